//! Direct status queries to instances: to primaries that other nodes suspect or that may be old
//! primaries, and to restarted instances.
//!
//! A primary that reports a lower term than the highest one known to have been led is an old
//! primary. It is ordered to step down at once, because otherwise it would acknowledge commits at
//! nodes that have not learned of its successor.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::ReplicationStatus;
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::Cause;
use kestrellock_store::control::{ControlError, ControlTarget, InstanceCommand, InstanceControl};

use super::ReplacementServices;

/// Time for which an assessment of a primary is used.
pub(super) const ASSESSMENT_LIFETIME: Duration = Duration::from_millis(600);

pub(super) type Subject = (GroupName, InstanceName);

/// What a status query showed about a primary.
#[derive(Clone, Copy, Debug)]
pub(super) struct Assessment {
    /// Why the primary has to be replaced, if it has to be.
    pub cause: Option<Cause>,
    assessed_at: Instant,
}

/// What a status query showed about an instance.
#[derive(Clone, Debug)]
pub(super) enum QueryOutcome {
    /// The instance reported its replication status.
    Status(ReplicationStatus),
    /// Its process has ended: nothing listens at its address, or another instance does.
    Ended,
}

/// The outcome of a status query.
#[derive(Clone, Debug)]
pub(super) struct StatusReport {
    /// The instance.
    pub subject: Subject,
    /// What the query showed.
    pub outcome: QueryOutcome,
    /// When the query was sent.
    pub sent_at: Instant,
}

/// Result of a query.
struct QueryResult {
    subject: Subject,
    assessment: Assessment,
    /// `None` if the query showed nothing, for example because it was not answered.
    outcome: Option<QueryOutcome>,
    sent_at: Instant,
}

/// Status queries, each in a thread of its own, and the assessments that follow from them.
pub(super) struct StatusQueries {
    /// Time for which an assessment is used; an instance is queried again after it.
    lifetime: Duration,
    assessments: HashMap<Subject, Assessment>,
    in_progress: Vec<Subject>,
    results: Receiver<QueryResult>,
    result_sender: Sender<QueryResult>,
}

impl StatusQueries {
    /// Starts without queries and assessments, each of which is used for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        let (result_sender, results) = unbounded();
        Self {
            lifetime,
            assessments: HashMap::new(),
            in_progress: Vec::new(),
            results,
            result_sender,
        }
    }

    /// Whether a query is in progress.
    pub fn is_query_in_progress(&self) -> bool {
        !self.in_progress.is_empty()
    }

    /// Processes the results that have arrived and drops expired assessments. Returns what the
    /// queries showed.
    pub fn step(&mut self, now: Instant) -> Vec<StatusReport> {
        let mut reports = Vec::new();
        for QueryResult { subject, assessment, outcome, sent_at } in self.results.try_iter() {
            self.in_progress.retain(|other| *other != subject);
            self.assessments.insert(subject.clone(), assessment);
            let report = outcome.map(|outcome| StatusReport { subject, outcome, sent_at });
            reports.extend(report);
        }
        let lifetime = self.lifetime;
        self.assessments.retain(|_, assessment| now < assessment.assessed_at + lifetime);
        reports
    }

    /// The current assessment of a primary.
    pub fn assessment_of(&self, group: &GroupName, primary: &InstanceName) -> Option<Assessment> {
        self.assessments.get(&(group.clone(), primary.clone())).copied()
    }

    /// Sends a query to an instance, unless one is in progress or its assessment has not expired.
    /// `highest` is the highest term of its group that is known to have been led.
    pub fn query(&mut self, target: ControlTarget, highest: Term, services: &ReplacementServices) {
        let subject = (target.group.clone(), target.instance.clone());
        if self.in_progress.contains(&subject) || self.assessments.contains_key(&subject) {
            return;
        }
        self.in_progress.push(subject.clone());
        let (control, result_sender) = (services.control.clone(), self.result_sender.clone());
        let spawned =
            thread::Builder::new().name("promotion-opinion".to_owned()).spawn(move || {
                let sent_at = Instant::now();
                let answer = control.execute(&target, InstanceCommand::Ask, None);
                let outcome = match &answer {
                    Ok(status) => Some(QueryOutcome::Status(*status)),
                    Err(ControlError::Refused | ControlError::Displaced) => {
                        Some(QueryOutcome::Ended)
                    }
                    Err(ControlError::Unanswered(_) | ControlError::Rejected(_)) => None,
                };
                let cause = assess(control.as_ref(), &target, highest, answer);
                let assessment = Assessment { cause, assessed_at: Instant::now() };
                // The receiver has been dropped if the node is stopping.
                let _ = result_sender.send(QueryResult { subject, assessment, outcome, sent_at });
            });
        if let Err(error) = spawned {
            log::error!("failed to start a status query thread: {error}");
        }
    }
}

/// Why a primary with this query result has to be replaced, if it has to be. Orders an old primary
/// to step down.
fn assess(
    control: &dyn InstanceControl,
    target: &ControlTarget,
    highest: Term,
    outcome: Result<ReplicationStatus, ControlError>,
) -> Option<Cause> {
    match outcome {
        Ok(status) if status.role == Role::Primary && status.term < highest => {
            let outcome = control.execute(target, InstanceCommand::Demote(highest), None);
            log::info!(event = "old_primary", group = target.group.as_str(), instance = target.instance.as_str(), leads = status.term.0, newest = highest.0, outcome:? = outcome; "an old primary was ordered to step down");
            Some(Cause::Outdated)
        }
        Ok(_) | Err(ControlError::Rejected(_)) => None,
        Err(ControlError::Refused | ControlError::Displaced) => Some(Cause::Refuses),
        Err(ControlError::Unanswered(_)) => Some(Cause::Silent),
    }
}
