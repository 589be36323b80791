//! What the watcher and the coordinator thread pass to each other.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::{KnownInstances, Need};
use kestrellock_core::store_access::Refusal;

/// What the watcher passes to the coordinator thread, and what the thread reports back: the
/// cancelled attempts, and how acquiring the lease ended.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorInput {
    /// The replacement that each group needs.
    pub needs: BTreeMap<GroupName, Need>,
    /// The instances of each group.
    pub known: KnownInstances,
    /// When a node was last removed from the machine list.
    pub last_node_removal: Option<Instant>,
    /// Whether the store may return outdated incarnations of instances.
    pub incarnations_may_be_outdated: bool,
    /// Groups whose attempt was cancelled since the watcher last took this list.
    pub cancelled: Vec<GroupName>,
    /// How the last attempt to acquire the lease ended, if the watcher has not taken it yet.
    pub lease_attempt: Option<LeaseAttempt>,
}

/// How an attempt to acquire the coordinator lease ended.
#[derive(Clone, Copy, Debug)]
pub enum LeaseAttempt {
    /// This node has become the coordinator.
    Acquired,
    /// Another node was the coordinator already.
    Preceded,
    /// The store refused a call.
    Refused(Refusal),
}

/// The input, shared between the watcher and the coordinator thread.
pub type SharedCoordinatorInput = Arc<Mutex<CoordinatorInput>>;
