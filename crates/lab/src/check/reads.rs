//! Checks that a session reads its own acknowledged writes, and reads only committed values.

use std::collections::{BTreeMap, HashMap};

use super::final_state::LogPlace;
use super::history::{Action, Answer, Attempt, GroupId, History, OperationId, Outcome, RowKey};
use super::index::CommitIndex;
use super::violation::{Invariant, Verdict};

/// Value of every register and seat at the start of the run. It precedes every commit.
pub const INITIAL_VALUE: &str = "";

/// Latest log positions that a session knows of, by row: of its acknowledged writes, and of the
/// values that it has read.
#[derive(Default)]
struct SessionState {
    acknowledged: HashMap<(GroupId, RowKey), LogPlace>,
    read: HashMap<(GroupId, RowKey), LogPlace>,
}

/// Checks every read, session by session in the order of requests.
pub fn check(history: &History, index: &CommitIndex, verdict: &mut Verdict) {
    let mut sessions: BTreeMap<_, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &history.attempts {
        sessions.entry(attempt.session).or_default().push(attempt);
    }
    for attempts in sessions.values_mut() {
        attempts.sort_by_key(|attempt| attempt.invoked);
        let mut state = SessionState::default();
        for attempt in attempts {
            apply_attempt(attempt, &mut state, index, verdict);
        }
    }
}

fn apply_attempt(
    attempt: &Attempt,
    state: &mut SessionState,
    index: &CommitIndex,
    verdict: &mut Verdict,
) {
    match (&attempt.action, &attempt.outcome) {
        (Action::Read(row), Outcome::Answered(answer)) => {
            check_read(attempt, *row, answer, state, index, verdict);
        }
        (Action::Write(row) | Action::Purchase(row), outcome)
            if outcome.is_acknowledged(&attempt.action)
                || matches!(outcome, Outcome::AlreadyRan(_)) =>
        {
            record_write(attempt, *row, state, index);
        }
        _ => {}
    }
}

/// Records the position that later reads of the session must reach. An acknowledged write without a
/// surviving commit sets none: the check of writes reports it.
fn record_write(attempt: &Attempt, row: RowKey, state: &mut SessionState, index: &CommitIndex) {
    if let Some(place) = index.commits_of(&attempt.operation).surviving.iter().min() {
        let entry = state.acknowledged.entry((attempt.group.clone(), row)).or_default();
        *entry = (*entry).max(*place);
    }
}

fn check_read(
    attempt: &Attempt,
    row: RowKey,
    answer: &Answer,
    state: &mut SessionState,
    index: &CommitIndex,
    verdict: &mut Verdict,
) {
    let Some(value) = &answer.value else { return };
    let Some(place) = place_of(value, index) else {
        let detail = format!("{} read {value:?}, which was never committed", describe(attempt));
        verdict.add(Invariant::ReadOfCommitted, detail);
        return;
    };
    let key = (attempt.group.clone(), row);
    let own = state.acknowledged.get(&key).copied().unwrap_or_default();
    if place < own {
        let detail =
            format!("{} read {value:?} at {place:?}, behind its own {own:?}", describe(attempt));
        verdict.add(Invariant::ReadYourWrites, detail);
    }
    let earlier = state.read.entry(key).or_default();
    if place < *earlier {
        verdict.read_regressions += 1;
    }
    *earlier = (*earlier).max(place);
}

/// Position of the commit that wrote `value`; `None` if no transaction committed it.
fn place_of(value: &str, index: &CommitIndex) -> Option<LogPlace> {
    if value == INITIAL_VALUE {
        return Some(LogPlace::default());
    }
    index.commits_of(&OperationId::new(value)).latest_place()
}

fn describe(attempt: &Attempt) -> String {
    let Attempt { session, node, action, with_token, operation, .. } = attempt;
    let token = if *with_token { "with" } else { "without" };
    format!("{operation}: session {} on {node} {token} token ({action:?})", session.0)
}
