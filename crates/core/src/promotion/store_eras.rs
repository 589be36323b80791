//! What a node may do once the store has come back from an older copy.
//!
//! The copy may lack the hold of whoever replaces primaries, and what it has recorded. That node goes on until it
//! hears of the return or its hold ends, and what it has sent takes effect, while the store would give the right
//! to another one, and shows that nothing is replaced. So for as long as such a hold may last nobody else takes
//! the right, and the store's word that nobody replaces a primary counts for nothing.

use std::time::{Duration, Instant};

use crate::store_era::StoreEra;

/// How long a hold lasts from its last renewal on.
pub const COORDINATOR_LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time after a return in which the instances write again what they say of themselves.
const INSTANCES_WRITE_AGAIN: Duration = Duration::from_secs(2);
/// Time in which a promotion that was sent at the end of a hold is answered, and takes effect.
const PROMOTION_SETTLES: Duration = Duration::from_secs(1);

/// The store's era, as a node has seen it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEraTracker {
    era: Option<StoreEra>,
    /// When it was first seen. A store that tells no era has never come back from a copy, as far as anybody knows.
    since: Option<Instant>,
    /// Whether this node has seen an earlier one.
    has_come_back: bool,
}

impl StoreEraTracker {
    /// Takes in what the store says now. Returns whether it has come back since it was last followed.
    pub fn observe(&mut self, era: StoreEra, now: Instant) -> bool {
        if self.era.is_some_and(|known| era <= known) {
            return false;
        }
        let has_come_back = self.era.is_some();
        let since = (era != StoreEra::default()).then_some(now);
        *self = Self { era: Some(era), since, has_come_back };
        has_come_back
    }

    /// Whether a hold of an earlier era may last. This node may have started just after the return.
    pub fn earlier_lease_may_be_valid(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now < since + COORDINATOR_LEASE_DURATION)
    }

    /// Whether the store may tell starts of instances that are over: one that has started again may not have written
    /// that yet, and have lost its log.
    pub fn incarnations_may_be_stale(&self, now: Instant) -> bool {
        self.since.is_some_and(|since| now < since + INSTANCES_WRITE_AGAIN)
    }

    /// Whether a replacement may be under way that was recorded in an earlier era, and that the store has lost.
    /// A node that has just started would serve nothing of a group with a silent replica for that time; what it
    /// reads by then it rarely reads within a moment of a return.
    pub fn replacement_may_be_lost(&self, now: Instant) -> bool {
        let lasts = |since| now < since + COORDINATOR_LEASE_DURATION + PROMOTION_SETTLES;
        self.has_come_back && self.since.is_some_and(lasts)
    }
}
