//! Checks that an instance removed from the configuration gets no new work after a grace period.

use super::final_state::{FinalState, StatementKind};
use super::history::RunTime;
use super::violation::{Invariant, Verdict};

/// Time after its removal during which an instance may still get new work, in microseconds.
pub const LEAVING_GRACE_PERIOD: RunTime = RunTime(3_000_000);

/// Checks every statement that reached a removed instance. Commits and rollbacks may still arrive
/// later, because they end work that is already open there.
pub fn check(state: &FinalState, verdict: &mut Verdict) {
    for group in &state.groups {
        for leaving in &group.leaving {
            let limit = RunTime(leaving.since.0 + LEAVING_GRACE_PERIOD.0);
            let late = group.arrivals.iter().filter(|arrival| {
                let new_work = arrival.operation.is_some() && arrival.kind != StatementKind::End;
                arrival.instance == leaving.instance && new_work && arrival.at > limit
            });
            for arrival in late {
                let detail = format!(
                    "{} got work of {:?} {} us after it began to leave",
                    arrival.instance,
                    arrival.operation,
                    arrival.at.0 - leaving.since.0
                );
                verdict.add(Invariant::LeavingUnused, detail);
            }
        }
    }
}
