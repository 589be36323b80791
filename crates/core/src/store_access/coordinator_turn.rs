//! When a node may try to acquire the coordinator lease.
//!
//! Nodes take turns, so that not all of them try at once. If the turns went on while the store is
//! down, every node's turn would have come once the store returns, and all of them would try in
//! that moment. So a node counts its turn anew from the moment at which the store answers it again.

use std::time::{Duration, Instant};

use super::{CallBackoff, Refusal, StoreAvailability};

/// Delay before a node tries to become the coordinator, for each live node that is ahead of it in
/// the order of turns.
const TURN_DELAY: Duration = Duration::from_millis(120);

/// One node's turn to become the coordinator.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorTurn {
    /// Since when a coordinator is needed.
    needed_since: Option<Instant>,
    backoff: CallBackoff,
}

impl Default for CoordinatorTurn {
    fn default() -> Self {
        Self { needed_since: None, backoff: CallBackoff::for_lease_attempts() }
    }
}

impl CoordinatorTurn {
    /// Records that a coordinator is needed now.
    pub fn on_needed(&mut self, now: Instant) {
        self.needed_since.get_or_insert(now);
    }

    /// Records that no coordinator is needed.
    pub fn on_not_needed(&mut self) {
        self.needed_since = None;
    }

    /// Whether a coordinator is needed.
    pub fn is_needed(&self) -> bool {
        self.needed_since.is_some()
    }

    /// Records that another node is known to be the coordinator, or that this node has become the
    /// coordinator. This ends the backoff.
    pub fn on_coordinator_known(&mut self) {
        self.backoff.on_success();
    }

    /// Records an attempt that the store refused, or that failed because another node was the
    /// coordinator already.
    pub fn on_refused(&mut self, refusal: Refusal, random: u64, now: Instant) {
        self.backoff.on_refused(refusal, random, now);
    }

    /// Whether the node may try now. `position` is the number of live nodes ahead of it in the
    /// order of turns.
    pub fn is_due(
        &mut self,
        position: u32,
        availability: &StoreAvailability,
        now: Instant,
    ) -> bool {
        self.backoff.on_availability(availability);
        let Some(needed_since) = self.needed_since else { return false };
        let counted_from = needed_since.max(availability.available_since.unwrap_or(needed_since));
        !availability.is_failing
            && self.backoff.may_call(now)
            && now >= counted_from + TURN_DELAY * position
    }
}
