//! Planned stops: a node that is asked to stop finishes what is under way.

use super::history::{Attempt, History, Outcome, PlannedStop};
use super::violation::{Invariant, Verdict};

/// Number of the proxy's refusal of new work while it stops.
const STOPPING_NUMBER: u16 = 1404;

/// Judges the attempts on nodes that were being stopped. In a run with other faults a failed
/// attempt may have another cause, and nothing is judged.
pub fn check(history: &History, verdict: &mut Verdict) {
    if !history.only_planned_stops {
        return;
    }
    for stop in &history.planned_stops {
        for attempt in history.attempts.iter().filter(|attempt| overlaps(attempt, stop)) {
            if is_cut(attempt) {
                let detail = format!(
                    "{} on {} ended with {:?} after {} statements",
                    attempt.operation, attempt.node, attempt.outcome, attempt.statements_answered
                );
                verdict.add(Invariant::PlannedStopCutsNothing, detail);
            }
        }
    }
}

fn overlaps(attempt: &Attempt, stop: &PlannedStop) -> bool {
    attempt.node == stop.node && attempt.invoked <= stop.ended && attempt.completed >= stop.began
}

/// Whether the request was cut. Refusing new work with the stopping number cuts nothing; ending
/// a transaction that is under way does.
fn is_cut(attempt: &Attempt) -> bool {
    match &attempt.outcome {
        Outcome::Answered(_) | Outcome::AlreadyRan(_) => false,
        Outcome::NotRun(told) => {
            told.number != Some(STOPPING_NUMBER) || attempt.statements_answered > 0
        }
        Outcome::InDoubt(_) | Outcome::Abandoned(_) | Outcome::Disconnected => true,
    }
}
