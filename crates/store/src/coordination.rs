//! Election of the coordinator, the only node that may replace primaries, by a lease in the store.
//!
//! One node at a time holds the coordinator lease. The coordinator counts the lease's validity from
//! the moment at which it sent the request, on its own monotonic clock, so that the lease expires
//! for the coordinator before it expires for other nodes. The fencing token is the position in the
//! store's history at which the lease was acquired. It rises with each lease and never repeats,
//! even after a store restore. A store restore ends the lease.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;
pub use kestrellock_core::promotion::{CoordinationView, Coordinator, NodeVotes, Vote};
use kestrellock_core::promotion::{Intent, PromotionCaller, ReplacementId, Successor};
use kestrellock_core::store_access::StoreAvailability;
use kestrellock_core::store_era::StoreEra;

use crate::call_counts::CallCounts;
use crate::store::StoreError;

/// The coordinator lease as acquired by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorLease {
    /// Number of the lease in the store.
    pub lease_id: u64,
    /// Fencing token, which rises with each acquired lease.
    pub fence: u64,
    /// Time until which the lease is certainly valid.
    pub valid_until: Instant,
}

/// How a write of an intent has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The store has the intent.
    Recorded,
    /// The coordinator lease has ended.
    LeaseOver,
    /// The store has the intent of another replacement, which may have sent promotions. It was
    /// kept, since this one does not say so, or does not name each process that may have.
    EarlierPromotion,
}

/// Result of a replacement check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplacementCheck {
    /// Store position of the read; the lowest one if there were several reads.
    pub read_revision: u64,
    /// Revision of the [`Coordination::view`] that was compared with the read.
    pub view_revision: u64,
    /// Groups whose replacement record in the store is the one in the view.
    pub confirmed: BTreeSet<GroupName>,
    /// Number of calls to the store.
    pub calls: u64,
}

/// State of primary replacements in the store, and the operations on it.
pub trait Coordination: Send + Sync {
    /// The state that this node last read from the store.
    fn view(&self) -> Arc<CoordinationView>;

    /// The newest store era seen in any answer; [`Self::view`] may still be from the previous one.
    fn era(&self) -> StoreEra;

    /// Whether the store answers the calls that update [`Self::view`].
    fn availability(&self) -> StoreAvailability;

    /// Takes the numbers of calls that have updated [`Self::view`] since the last time.
    fn take_watch_calls(&self) -> CallCounts;

    /// Performs a replacement check: reads the replacement records of `groups` from the store and
    /// compares them with [`Self::view`]. The read contains every record that was acknowledged
    /// before this call.
    fn check_view(&self, groups: &BTreeSet<GroupName>) -> Result<ReplacementCheck, StoreError>;

    /// Replaces the votes of `node`.
    fn publish_votes(&self, node: &NodeName, votes: &NodeVotes) -> Result<(), StoreError>;

    /// Acquires the coordinator lease; `None` if another node holds it.
    fn acquire(&self, node: &NodeName) -> Result<Option<CoordinatorLease>, StoreError>;

    /// Renews the lease; `None` if it has expired.
    fn renew(&self, lease: &CoordinatorLease) -> Result<Option<CoordinatorLease>, StoreError>;

    /// Releases the lease before it expires.
    fn release(&self, lease: &CoordinatorLease) -> Result<(), StoreError>;

    /// Records an intent on condition that the lease is valid and the intent in the store is the
    /// one that this node knows. After [`RecordOutcome::EarlierPromotion`], [`Self::view`] contains
    /// the intent in the store.
    fn record_intent(
        &self,
        lease: &CoordinatorLease,
        group: &GroupName,
        intent: &Intent,
    ) -> Result<RecordOutcome, StoreError>;

    /// Asks the store which incarnations `instances` have reported. Instances that have reported
    /// none are missing from the result.
    fn reported_incarnations(
        &self,
        instances: &[InstanceName],
    ) -> Result<BTreeMap<InstanceName, InstanceIncarnation>, StoreError>;

    /// Records `successor` as the primary of a group, on condition that the lease is valid and the
    /// intent is the one that this node has recorded; false if a condition does not hold.
    fn record_primary(
        &self,
        lease: &CoordinatorLease,
        group: &GroupName,
        successor: &InstanceName,
    ) -> Result<bool, StoreError>;

    /// Writes back what a store restore has lost of a group's replacements: which instance was
    /// promoted last, and that the replacement that the restored copy shows has finished. Records
    /// written since the restore are kept.
    fn write_back(&self, group: &GroupName) -> Result<(), StoreError>;

    /// Removes the intent of a replacement and records its successor, on condition that the lease
    /// is valid; false if it has expired. The intent of another replacement is kept. `open_callers`
    /// are recorded beside the successor: their promotions may not have ended.
    fn finish_replacement(
        &self,
        lease: &CoordinatorLease,
        group: &GroupName,
        id: ReplacementId,
        successor: Option<&Successor>,
        open_callers: &[PromotionCaller],
    ) -> Result<bool, StoreError>;
}
