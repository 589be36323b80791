//! What a node may do after the store was restored from an older copy.
//!
//! The copy may lack the current coordinator lease and the intents that the coordinator has
//! recorded. That coordinator continues until it learns of the restore or its lease expires, and
//! commands that it has sent take effect. Meanwhile the restored store would grant the lease to
//! another node, and shows no replacement. So while a lease of the earlier era may still be valid,
//! no other node acquires the lease, and an absent intent in the store does not prove that no
//! replacement is running.

use std::time::{Duration, Instant};

use super::open_calls::PROMOTION_SETTLE_TIME;
use crate::store_era::StoreEra;

/// How long the coordinator lease is valid after its last renewal.
pub const COORDINATOR_LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time after a restore within which the instances write their reports to the store again.
const INSTANCE_REPORT_TIME: Duration = Duration::from_secs(2);

/// The store's era as one node has observed it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEraTracker {
    era: Option<StoreEra>,
    /// When this era was first seen; `None` for a store that reports no era, which cannot show a
    /// restore.
    first_seen: Option<Instant>,
    /// Whether this node has seen an earlier era.
    saw_restore: bool,
}

impl StoreEraTracker {
    /// Processes the era that the store reports now. Returns whether the store was restored since
    /// the last observation.
    pub fn observe(&mut self, era: StoreEra, now: Instant) -> bool {
        if self.era.is_some_and(|known| era <= known) {
            return false;
        }
        let saw_restore = self.era.is_some();
        let first_seen = (era != StoreEra::default()).then_some(now);
        *self = Self { era: Some(era), first_seen, saw_restore };
        saw_restore
    }

    /// Whether a coordinator lease of an earlier era may still be valid. This also holds for the
    /// first era that this node sees, since the node may have started just after a restore.
    pub fn earlier_lease_may_be_valid(&self, now: Instant) -> bool {
        self.first_seen.is_some_and(|since| now < since + COORDINATOR_LEASE_DURATION)
    }

    /// Whether the store may show outdated incarnations: a restarted instance, which has lost its
    /// log, may not have written its new incarnation yet.
    pub fn incarnations_may_be_stale(&self, now: Instant) -> bool {
        self.first_seen.is_some_and(|since| now < since + INSTANCE_REPORT_TIME)
    }

    /// Whether a replacement that was recorded in an earlier era, and that the store has lost, may
    /// still be running. Does not hold for the first era that this node sees: otherwise a node that
    /// has just started could not serve a group with a silent replica during that time, while it is
    /// rare that a node starts and serves reads right after a restore.
    pub fn replacement_may_be_lost(&self, now: Instant) -> bool {
        let lasts = |since| now < since + COORDINATOR_LEASE_DURATION + PROMOTION_SETTLE_TIME;
        self.saw_restore && self.first_seen.is_some_and(lasts)
    }

    /// When a copy of the store was requested, if the copy shows every replacement that was running
    /// then.
    pub fn replacements_known_at(&self, requested_at: Option<Instant>) -> Option<Instant> {
        requested_at.filter(|requested_at| !self.replacement_may_be_lost(*requested_at))
    }
}
