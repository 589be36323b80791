//! Checks that an instance marked as leaving in the configuration gets no new work after a grace
//! period.

use super::final_state::{FinalState, StatementKind};
use super::history::RunTime;
use super::violation::{Invariant, Verdict};

/// Time for which an instance may still get new work after it was marked as leaving, in
/// microseconds.
pub const LEAVING_GRACE_PERIOD: RunTime = RunTime(3_000_000);

/// Checks every statement that reached a leaving instance. Commits and rollbacks may arrive after
/// the grace period, because they end transactions that are already open there.
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
                    "{} received work of {:?} {} us after it was marked as leaving",
                    arrival.instance,
                    arrival.operation,
                    arrival.at.0 - leaving.since.0
                );
                verdict.add(Invariant::LeavingUnused, detail);
            }
        }
    }
}
