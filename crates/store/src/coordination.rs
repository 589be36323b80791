//! How nodes agree on who replaces a primary, through a store with leases.
//!
//! One node at a time holds the right to act. A hold counts from the moment its lease was asked
//! for, on the holder's own steady clock, so that it is over for the holder before it is for
//! others. Its fence is the position in the store's history at which it was taken: it rises with each hold, and
//! none repeats, also where the store has come back from a copy. With that a hold is over.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;
pub use kestrellock_core::promotion::{CoordinationView, Holder, NodeVotes, Vote};
use kestrellock_core::promotion::{Intent, ReplacementId, Successor};
use kestrellock_core::store_era::StoreEra;

use crate::store::StoreError;

/// The right to act, taken by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorLease {
    /// The store's number of the lease.
    pub lease_id: u64,
    /// Rises with each hold.
    pub fence: u64,
    /// Until when it surely lasts.
    pub valid_until: Instant,
}

/// The store's part in replacing primaries.
pub trait Coordination: Send + Sync {
    /// What the store said last.
    fn view(&self) -> Arc<CoordinationView>;

    /// The newest era of the store that any answer has told; [`Self::view`] may still be of the one before.
    fn era(&self) -> StoreEra;

    /// Asks the store whether [`Self::view`] is complete: its revision, if nothing has changed since.
    fn check_view(&self) -> Result<Option<u64>, StoreError>;

    /// Replaces what `node` suspects.
    fn publish_votes(&self, node: &NodeName, votes: &NodeVotes) -> Result<(), StoreError>;

    /// Takes the right to act; `None` if another node has it.
    fn acquire(&self, node: &NodeName) -> Result<Option<CoordinatorLease>, StoreError>;

    /// Prolongs a hold; `None` if it is over.
    fn renew(&self, hold: &CoordinatorLease) -> Result<Option<CoordinatorLease>, StoreError>;

    /// Gives the right to act up.
    fn release(&self, hold: &CoordinatorLease) -> Result<(), StoreError>;

    /// Records an intent under the hold; false if the hold is over.
    fn record_intent(
        &self,
        hold: &CoordinatorLease,
        group: &GroupName,
        intent: &Intent,
    ) -> Result<bool, StoreError>;

    /// Asks the store which starts of their processes `instances` tell; those are left out that tell none.
    fn reported_incarnations(
        &self,
        instances: &[InstanceName],
    ) -> Result<BTreeMap<InstanceName, InstanceIncarnation>, StoreError>;

    /// Records the successor that leads a group; false if the hold is over.
    fn record_primary(
        &self,
        hold: &CoordinatorLease,
        group: &GroupName,
        successor: &InstanceName,
    ) -> Result<bool, StoreError>;

    /// Records again what the store has lost of a group's replacements by coming back from a copy: who was promoted
    /// last, and that the replacement it shows is over. Whatever has been recorded since stands.
    fn write_back(&self, group: &GroupName) -> Result<(), StoreError>;

    /// Takes the intent of a replacement back under the hold, and records the successor; false if the hold is
    /// over. The intent of another replacement stays.
    fn finish_replacement(
        &self,
        hold: &CoordinatorLease,
        group: &GroupName,
        id: ReplacementId,
        successor: Option<&Successor>,
    ) -> Result<bool, StoreError>;
}
