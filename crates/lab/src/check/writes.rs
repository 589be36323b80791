//! Checks that acknowledged writes survive, that requests reported as not run have no effect, and
//! that no operation takes effect twice.

use std::collections::{BTreeMap, BTreeSet};

use super::history::{Action, Attempt, GroupId, History, OperationId, Outcome, RowKey};
use super::index::CommitIndex;
use super::violation::{Invariant, Verdict};

/// Checks every operation that may change data.
pub fn check(history: &History, index: &CommitIndex, verdict: &mut Verdict) {
    let mut operations: BTreeMap<&OperationId, Vec<&Attempt>> = BTreeMap::new();
    for attempt in history.attempts.iter().filter(|attempt| attempt.action.may_write()) {
        operations.entry(&attempt.operation).or_default().push(attempt);
    }
    for (operation, attempts) in &operations {
        check_operation(operation, attempts, index, verdict);
    }
    check_seats(history, index, verdict);
}

/// Checks one operation: it takes effect at most once, an acknowledged one takes effect, and the
/// outcomes of all its attempts agree with its effect.
fn check_operation(
    operation: &OperationId,
    attempts: &[&Attempt],
    index: &CommitIndex,
    verdict: &mut Verdict,
) {
    let commits = index.commits_of(operation);
    let effects = commits.surviving.len();
    if effects > 1 {
        verdict.add(Invariant::AtMostOnce, format!("{operation} took effect {effects} times"));
    }
    let acknowledged =
        attempts.iter().find(|attempt| attempt.outcome.is_acknowledged(&attempt.action));
    if let Some(attempt) = acknowledged
        && effects == 0
    {
        let invariant = if commits.discarded.is_empty() {
            Invariant::AcknowledgedKept
        } else {
            Invariant::ReplacedPrimary
        };
        verdict.add(invariant, format!("{operation} by {}: {:?}", attempt.node, attempt.outcome));
    }
    if effects == 0 {
        check_reported_purchases(operation, attempts, index, verdict);
    } else {
        check_denials(operation, attempts, verdict);
    }
}

/// A purchase without effect that was reported as already run must have found the seat taken.
fn check_reported_purchases(
    operation: &OperationId,
    attempts: &[&Attempt],
    index: &CommitIndex,
    verdict: &mut Verdict,
) {
    for attempt in attempts {
        let Action::Purchase(row) = attempt.action else { continue };
        let ran = matches!(attempt.outcome, Outcome::AlreadyRan(_));
        if ran && !index.seat_owners().contains_key(&(attempt.group.clone(), row)) {
            let detail = format!("{operation} by {} is reported as already run", attempt.node);
            verdict.add(Invariant::AcknowledgedKept, detail);
        }
    }
}

/// Checks the outcomes of an operation that took effect. An outcome that covers the whole operation
/// must not state that it had no effect. [`Outcome::NotRun`] covers only its own attempt, so it is
/// a violation only if every attempt ended with it: otherwise another attempt may have run.
fn check_denials(operation: &OperationId, attempts: &[&Attempt], verdict: &mut Verdict) {
    for attempt in attempts {
        let denies_operation = matches!(attempt.outcome, Outcome::Abandoned(_))
            || matches!(attempt.outcome, Outcome::Answered(_))
                && attempt.outcome.denies_effect(&attempt.action);
        if denies_operation {
            let detail = format!("{operation} took effect, reported as {:?}", attempt.outcome);
            verdict.add(Invariant::OutcomeTrue, detail);
        }
    }
    if attempts.iter().all(|attempt| matches!(attempt.outcome, Outcome::NotRun(_))) {
        let detail = format!("{operation} took effect, reported as {:?}", attempts[0].outcome);
        verdict.add(Invariant::NotRunTrue, detail);
    }
}

/// Checks that each seat has at most one buyer, counting the owners in surviving commits and the
/// purchases that were acknowledged.
fn check_seats(history: &History, index: &CommitIndex, verdict: &mut Verdict) {
    let mut buyers: BTreeMap<(&GroupId, RowKey), BTreeSet<&OperationId>> = BTreeMap::new();
    for ((group, row), owners) in index.seat_owners() {
        buyers.entry((group, *row)).or_default().extend(owners);
    }
    for attempt in &history.attempts {
        if let Action::Purchase(row) = attempt.action {
            let row_buyers = buyers.entry((&attempt.group, row)).or_default();
            if attempt.outcome.is_acknowledged(&attempt.action) {
                row_buyers.insert(&attempt.operation);
            }
        }
    }
    for ((group, row), buyers) in buyers {
        if buyers.len() > 1 {
            verdict.add(Invariant::SeatSoldOnce, format!("{row:?} of {group}: {buyers:?}"));
        }
    }
}
