//! Checks that transactions take effect completely or not at all, and that statements of different
//! transactions never mix on a pooled connection.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::final_state::{Arrival, Commit, FinalState, RowChange, StatementKind};
use super::history::{Action, Ending, History, InstanceId, OperationId};
use super::violation::{Invariant, Verdict};

/// Checks the surviving commits and the order of statements on each connection.
pub fn check(history: &History, state: &FinalState, verdict: &mut Verdict) {
    let expected = expected_parts(history);
    for group in &state.groups {
        for commit in &group.surviving {
            check_commit(commit, &expected, verdict);
        }
        check_connections(&group.arrivals, verdict);
    }
}

/// Number of parts that each transaction leaves if it takes effect; zero for one that the client
/// meant to roll back.
fn expected_parts(history: &History) -> HashMap<&OperationId, u32> {
    let of_action = |action: &Action| match action {
        Action::Transaction { parts, ending: Ending::Commit } => Some(*parts),
        Action::Transaction { .. } => Some(0),
        _ => None,
    };
    let attempts = history.attempts.iter();
    attempts.filter_map(|attempt| Some((&attempt.operation, of_action(&attempt.action)?))).collect()
}

/// Checks that a commit holds changes of one operation only, and all parts of a transaction.
fn check_commit(commit: &Commit, expected: &HashMap<&OperationId, u32>, verdict: &mut Verdict) {
    let operations: BTreeSet<&OperationId> =
        commit.changes.iter().map(RowChange::operation).collect();
    if operations.len() > 1 {
        let detail = format!("one commit at {:?} holds {operations:?}", commit.place);
        verdict.add(Invariant::TransactionNotMixed, detail);
    }
    let mut parts: BTreeMap<&OperationId, Vec<u32>> = BTreeMap::new();
    for change in &commit.changes {
        if let RowChange::Part { operation, part } = change {
            parts.entry(operation).or_default().push(*part);
        }
    }
    for (operation, mut found) in parts {
        found.sort_unstable();
        let part_count = expected.get(operation).copied().unwrap_or_default();
        if !found.iter().copied().eq(0..part_count) {
            let detail = format!("{operation} committed parts {found:?} of {part_count}");
            verdict.add(Invariant::TransactionWhole, detail);
        }
    }
}

/// Checks that each connection carries only statements of the operation that opened the transaction
/// block, from the block's begin to its end.
fn check_connections(arrivals: &[Arrival], verdict: &mut Verdict) {
    let mut open: HashMap<(&InstanceId, u64), &OperationId> = HashMap::new();
    for arrival in arrivals {
        let key = (&arrival.instance, arrival.connection);
        let Some(operation) = &arrival.operation else {
            // The proxy rolls back an abandoned block without naming an operation.
            if arrival.kind == StatementKind::End {
                open.remove(&key);
            }
            continue;
        };
        let opener = open.get(&key).copied();
        let is_foreign = match (opener, arrival.kind) {
            (Some(opener), _) => opener != operation,
            (None, StatementKind::End) => true,
            (None, _) => false,
        };
        if is_foreign {
            let detail = format!(
                "{:?} of {operation} on {} connection {} within {opener:?}",
                arrival.kind, arrival.instance, arrival.connection
            );
            verdict.add(Invariant::TransactionNotMixed, detail);
        }
        match arrival.kind {
            StatementKind::Begin => open.insert(key, operation),
            StatementKind::End => open.remove(&key),
            StatementKind::Other => None,
        };
    }
}
