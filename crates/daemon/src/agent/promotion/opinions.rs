//! What primaries say when they are asked for themselves, because others suspect them or they may be old ones.
//!
//! A primary that says that it leads a term lower than one that has been led is told to step down at once: it
//! would answer commits at nodes that have not heard of its successor.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::Term;
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::Cause;
use kestrellock_store::control::{ControlError, ControlTarget, InstanceControl, Order};

use super::SuccessionServices;

/// How long an opinion counts.
const OPINION_LIFE: Duration = Duration::from_millis(600);

type Subject = (GroupName, InstanceName);

/// What asking a primary for itself showed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Opinion {
    /// Why it is to be replaced, if it is.
    pub cause: Option<Cause>,
    at: Instant,
}

/// Questions to primaries, each in a thread of its own, and what they showed.
pub(super) struct Opinions {
    known: HashMap<Subject, Opinion>,
    asking: Vec<Subject>,
    answers: Receiver<(Subject, Opinion)>,
    answered: Sender<(Subject, Opinion)>,
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

    /// Takes in what has been answered, and drops what is old.
    pub fn step(&mut self, now: Instant) {
        for (subject, opinion) in self.answers.try_iter() {
            self.asking.retain(|asking| *asking != subject);
            self.known.insert(subject, opinion);
        }
        self.known.retain(|_, opinion| now < opinion.at + OPINION_LIFE);
    }

    /// What a primary showed a moment ago.
    pub fn of(&self, group: &GroupName, primary: &InstanceName) -> Option<Opinion> {
        self.known.get(&(group.clone(), primary.clone())).copied()
    }

    /// Asks a primary, unless it has been asked a moment ago; `highest` is the highest term known of its group.
    pub fn ask(&mut self, target: ControlTarget, highest: Term, services: &SuccessionServices) {
        let subject = (target.group.clone(), target.instance.clone());
        if self.asking.contains(&subject) || self.known.contains_key(&subject) {
            return;
        }
        self.asking.push(subject.clone());
        let (control, answered) = (services.control.clone(), self.answered.clone());
        let spawned =
            thread::Builder::new().name("promotion-opinion".to_owned()).spawn(move || {
                let cause = question(control.as_ref(), &target, highest);
                let opinion = Opinion { cause, at: Instant::now() };
                // The node may be stopping.
                let _ = answered.send((subject, opinion));
            });
        if let Err(error) = spawned {
            log::error!("a thread for an opinion could not be started: {error}");
        }
    }
}

fn question(control: &dyn InstanceControl, target: &ControlTarget, highest: Term) -> Option<Cause> {
    match control.tell(target, Order::Ask) {
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
