//! Reads: a session sees its own acknowledged writes, and only what was committed.

use std::collections::{BTreeMap, HashMap};

use super::final_state::LogPlace;
use super::history::{Action, Answer, Attempt, GroupId, History, OperationId, Outcome, RowKey};
use super::index::CommitIndex;
use super::violation::{Invariant, Verdict};

/// Value of every register and seat before the run; it stands before every commit.
pub const INITIAL_VALUE: &str = "";

/// What a session has seen so far, by row.
#[derive(Default)]
struct Seen {
    acknowledged: HashMap<(GroupId, RowKey), LogPlace>,
    read: HashMap<(GroupId, RowKey), LogPlace>,
}

/// Judges every read.
pub fn check(history: &History, index: &CommitIndex, verdict: &mut Verdict) {
    let mut sessions: BTreeMap<_, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &history.attempts {
        sessions.entry(attempt.session).or_default().push(attempt);
    }
    for attempts in sessions.values_mut() {
        attempts.sort_by_key(|attempt| attempt.invoked);
        let mut seen = Seen::default();
        for attempt in attempts {
            follow(attempt, &mut seen, index, verdict);
        }
    }
}

fn follow(attempt: &Attempt, seen: &mut Seen, index: &CommitIndex, verdict: &mut Verdict) {
    match (&attempt.action, &attempt.outcome) {
        (Action::Read(row), Outcome::Answered(answer)) => {
            check_read(attempt, *row, answer, seen, index, verdict);
        }
        (Action::Write(row) | Action::Purchase(row), outcome)
            if outcome.is_acknowledged(&attempt.action)
                || matches!(outcome, Outcome::AlreadyRan(_)) =>
        {
            note_write(attempt, *row, seen, index);
        }
        _ => {}
    }
}

/// An acknowledged write that did not survive is judged as a write; it binds no read.
fn note_write(attempt: &Attempt, row: RowKey, seen: &mut Seen, index: &CommitIndex) {
    if let Some(place) = index.commits_of(&attempt.operation).surviving.iter().min() {
        let entry = seen.acknowledged.entry((attempt.group.clone(), row)).or_default();
        *entry = (*entry).max(*place);
    }
}

fn check_read(
    attempt: &Attempt,
    row: RowKey,
    answer: &Answer,
    seen: &mut Seen,
    index: &CommitIndex,
    verdict: &mut Verdict,
) {
    let Some(value) = &answer.value else { return };
    let Some(place) = place_of(value, index) else {
        let detail = format!("{} read {value:?}, which nobody committed", describe(attempt));
        verdict.add(Invariant::ReadOfCommitted, detail);
        return;
    };
    let key = (attempt.group.clone(), row);
    let own = seen.acknowledged.get(&key).copied().unwrap_or_default();
    if place < own {
        let detail =
            format!("{} read {value:?} at {place:?}, behind its own {own:?}", describe(attempt));
        verdict.add(Invariant::ReadYourWrites, detail);
    }
    let earlier = seen.read.entry(key).or_default();
    if place < *earlier {
        verdict.read_regressions += 1;
    }
    *earlier = (*earlier).max(place);
}

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
