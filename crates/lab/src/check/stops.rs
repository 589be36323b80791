//! Checks that a node in a planned stop finishes the requests in progress.

use super::history::{Attempt, History, Outcome, PlannedStop};
use super::violation::{Invariant, Verdict};

/// Error number with which a stopping node refuses new work.
const STOPPING_NUMBER: u16 = 1404;

/// Checks the attempts on nodes during their planned stop. Skips runs with other faults, because an
/// attempt may have failed from them.
pub fn check(history: &History, verdict: &mut Verdict) {
    if !history.only_planned_stops {
        return;
    }
    for stop in &history.planned_stops {
        for attempt in history.attempts.iter().filter(|attempt| overlaps(attempt, stop)) {
            if is_interrupted(attempt) {
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

/// Whether the stop interrupted the request. A refusal of new work with the stopping number does
/// not, but the same refusal within an open transaction does.
fn is_interrupted(attempt: &Attempt) -> bool {
    match &attempt.outcome {
        Outcome::Answered(_) | Outcome::AlreadyRan(_) => false,
        Outcome::NotRun(error) => {
            error.number != Some(STOPPING_NUMBER) || attempt.statements_answered > 0
        }
        Outcome::InDoubt(_) | Outcome::Abandoned(_) | Outcome::Disconnected => true,
    }
}
