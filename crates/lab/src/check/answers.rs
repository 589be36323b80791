//! Checks that each client gets the complete answer to its own request.
//!
//! The first row of an answer repeats the mark of its request, so an answer that the proxy
//! delivered to the wrong client carries a foreign mark. Row count and command tag show a truncated
//! answer.

use super::history::{Action, Answer, Attempt, Ending, History, Outcome};
use super::violation::{Invariant, Verdict};

/// Checks every answer.
pub fn check(history: &History, verdict: &mut Verdict) {
    for attempt in &history.attempts {
        if let Outcome::Answered(answer) = &attempt.outcome {
            check_answer(attempt, answer, verdict);
        }
    }
}

fn check_answer(attempt: &Attempt, answer: &Answer, verdict: &mut Verdict) {
    if answer.mark.as_ref().is_some_and(|mark| *mark != attempt.mark) {
        let detail = format!("{} marked {:?} got {:?}", attempt.operation, attempt.mark, answer);
        verdict.add(Invariant::AnswerOwn, detail);
    }
    if !is_complete(&attempt.action, answer) {
        let detail = format!("{} ({:?}) got {:?}", attempt.operation, attempt.action, answer);
        verdict.add(Invariant::AnswerWhole, detail);
    }
}

/// Whether the answer has the mark, row count and command tag that the action requires.
fn is_complete(action: &Action, answer: &Answer) -> bool {
    let marked = answer.mark.is_some();
    match action {
        Action::Read(_) => marked && answer.rows == 1 && answer.tag == "SELECT 1",
        Action::Write(_) => marked && answer.rows == 1 && answer.tag == "UPDATE 1",
        Action::Deposit => marked && answer.rows == 1 && answer.tag == "INSERT 0 1",
        Action::Purchase(_) => match answer.tag.as_str() {
            "UPDATE 1" => marked && answer.rows == 1,
            "UPDATE 0" => answer.rows == 0,
            _ => false,
        },
        Action::Transaction { ending: Ending::Commit, .. } => answer.tag == "COMMIT",
        Action::Transaction { ending: Ending::RollBack, .. } => answer.tag == "ROLLBACK",
    }
}
