//! What instances say when they are asked for themselves: primaries, because others suspect them or they may be
//! old ones, and instances that have started again.
//!
//! A primary that says that it leads a term lower than one that has been led is told to step down at once: it
//! would answer commits at nodes that have not heard of its successor.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::ReplicationStatus;
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::Cause;
use kestrellock_store::control::{ControlError, ControlTarget, InstanceControl, Order};

use super::SuccessionServices;

/// How long an opinion counts.
const OPINION_LIFE: Duration = Duration::from_millis(600);

pub(super) type Subject = (GroupName, InstanceName);

/// What asking a primary for itself showed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Opinion {
    /// Why it is to be replaced, if it is.
    pub cause: Option<Cause>,
    at: Instant,
}

/// How an instance that was asked for itself stands.
#[derive(Clone, Debug)]
pub(super) struct StandingAnswer {
    /// The instance.
    pub subject: Subject,
    /// How it stands.
    pub standing: ReplicationStatus,
    /// When it was asked.
    pub asked: Instant,
}

/// What a question came to.
struct Answered {
    subject: Subject,
    opinion: Opinion,
    standing: Option<ReplicationStatus>,
    asked: Instant,
}

/// Questions to primaries, each in a thread of its own, and what they showed.
pub(super) struct Opinions {
    known: HashMap<Subject, Opinion>,
    asking: Vec<Subject>,
    answers: Receiver<Answered>,
    answered: Sender<Answered>,
}

impl Opinions {
    /// Nobody has been asked.
    pub fn new() -> Self {
        let (answered, answers) = unbounded();
        Self { known: HashMap::new(), asking: Vec::new(), answers, answered }
    }

    /// Whether a question is under way.
    pub fn is_asking(&self) -> bool {
        !self.asking.is_empty()
    }

    /// Takes in what has been answered, and drops what is old. Returns how instances have said that they stand.
    pub fn step(&mut self, now: Instant) -> Vec<StandingAnswer> {
        let mut standings = Vec::new();
        for Answered { subject, opinion, standing, asked } in self.answers.try_iter() {
            self.asking.retain(|asking| *asking != subject);
            self.known.insert(subject.clone(), opinion);
            let answer = standing.map(|standing| StandingAnswer { subject, standing, asked });
            standings.extend(answer);
        }
        self.known.retain(|_, opinion| now < opinion.at + OPINION_LIFE);
        standings
    }

    /// What a primary showed a moment ago.
    pub fn of(&self, group: &GroupName, primary: &InstanceName) -> Option<Opinion> {
        self.known.get(&(group.clone(), primary.clone())).copied()
    }

    /// Asks a primary, unless it has been asked a moment ago; `highest` is the highest term of
    /// its group that is known to have been led.
    pub fn ask(&mut self, target: ControlTarget, highest: Term, services: &SuccessionServices) {
        let subject = (target.group.clone(), target.instance.clone());
        if self.asking.contains(&subject) || self.known.contains_key(&subject) {
            return;
        }
        self.asking.push(subject.clone());
        let (control, answered) = (services.control.clone(), self.answered.clone());
        let spawned =
            thread::Builder::new().name("promotion-opinion".to_owned()).spawn(move || {
                let asked = Instant::now();
                let outcome = control.tell(&target, Order::Ask);
                let standing = outcome.as_ref().ok().copied();
                let cause = judge(control.as_ref(), &target, highest, outcome);
                let opinion = Opinion { cause, at: Instant::now() };
                // The node may be stopping.
                let _ = answered.send(Answered { subject, opinion, standing, asked });
            });
        if let Err(error) = spawned {
            log::error!("a thread for an opinion could not be started: {error}");
        }
    }
}

/// Why a primary that answered so is to be replaced, if it is. An old one is told to step down.
fn judge(
    control: &dyn InstanceControl,
    target: &ControlTarget,
    highest: Term,
    outcome: Result<ReplicationStatus, ControlError>,
) -> Option<Cause> {
    match outcome {
        Ok(standing) if standing.role == Role::Primary && standing.term < highest => {
            let outcome = control.tell(target, Order::Demote(highest));
            log::info!(event = "old_primary", group = target.group.as_str(), instance = target.instance.as_str(), leads = standing.term.0, newest = highest.0, outcome:? = outcome; "an old primary is told to step down");
            Some(Cause::Outdated)
        }
        Ok(_) | Err(ControlError::Rejected(_)) => None,
        Err(ControlError::Refused | ControlError::Displaced) => Some(Cause::Refuses),
        Err(ControlError::Unanswered(_)) => Some(Cause::Silent),
    }
}
