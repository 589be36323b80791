//! Votes on primaries that owners send to each other, shared by the threads of a node: shards
//! receive them, and the watcher of the primaries uses them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use kestrellock_core::ids::NodeName;
use kestrellock_core::promotion::{CoordinationView, NodeVotes, PeerVotes};

use crate::ownership::OwnershipSnapshot;

/// Votes of other owners, and their confirmations of this node's votes.
#[derive(Debug, Default)]
pub struct SharedPeerVotes {
    is_enabled: bool,
    received: Mutex<PeerVotes>,
    /// Number of the last message that each node has confirmed since the watcher took them.
    confirmed: Mutex<BTreeMap<NodeName, u64>>,
}

impl SharedPeerVotes {
    /// Votes are sent, accepted and confirmed only if `is_enabled`.
    pub fn new(is_enabled: bool) -> Self {
        Self { is_enabled, ..Self::default() }
    }

    /// Whether owners exchange votes directly.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Processes the votes of `from`. Returns whether to confirm them. A vote on a group that is
    /// not owned by both nodes is left out, and the message is not confirmed, so that the votes go
    /// through the store.
    pub fn on_votes(
        &self,
        (own, from): (&NodeName, &NodeName),
        mut votes: NodeVotes,
        owners: &OwnershipSnapshot,
        now: Instant,
    ) -> bool {
        if !self.is_enabled {
            return false;
        }
        let count = votes.len();
        votes.retain(|group, _| owners.is_owner(own, group) && owners.is_owner(from, group));
        let is_complete = votes.len() == count;
        self.received().on_votes(from, votes, now);
        is_complete
    }

    /// Processes the confirmation by `from` of this node's votes with number `round`.
    pub fn on_confirmed(&self, from: &NodeName, round: u64) {
        if self.is_enabled {
            self.confirmed().insert(from.clone(), round);
        }
    }

    /// Takes the confirmations since the last call.
    pub fn take_confirmed(&self) -> BTreeMap<NodeName, u64> {
        std::mem::take(&mut self.confirmed())
    }

    /// `view` with the votes that are valid now; `None` if there are none.
    pub fn added_to(&self, view: &CoordinationView, now: Instant) -> Option<CoordinationView> {
        let mut received = self.received();
        received.expire(now);
        (!received.is_empty()).then(|| received.added_to(view))
    }

    fn received(&self) -> MutexGuard<'_, PeerVotes> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn confirmed(&self) -> MutexGuard<'_, BTreeMap<NodeName, u64>> {
        self.confirmed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
