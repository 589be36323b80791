//! Nodes that are considered live, and a container for values that are replaced as a whole.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::sync::ShardedLock;
use kestrellock_core::connection_shares::knows_most_nodes;
use kestrellock_core::ids::NodeName;
use kestrellock_core::rendezvous::Candidate;

/// A node that is considered live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveNode {
    /// Name, zone and link bandwidth.
    pub candidate: Candidate,
    /// Address at which it accepts peers.
    pub peer_address: SocketAddr,
    /// Whether it may own instances (a leaving node may not).
    pub accepts_work: bool,
}

/// Nodes in the machine list that are not known to be live, for a node that has just started and
/// may know few of the others yet. Returns none if most of the listed nodes are known, because the
/// rest may be gone.
pub fn listed_but_unknown<'a>(
    live: &[LiveNode],
    listed: &'a [LiveNode],
) -> impl Iterator<Item = &'a Candidate> {
    let (considered, live) = match knows_most_nodes(live.len(), listed.len()) {
        true => (&[][..], &[][..]),
        false => (listed, live),
    };
    let known: HashSet<NodeName> = live.iter().map(|live| live.candidate.node.clone()).collect();
    let candidates = considered.iter().map(|node| &node.candidate);
    candidates.filter(move |candidate| !known.contains(&candidate.node))
}

/// A value that is read often and replaced as a whole.
#[derive(Debug, Default)]
pub struct Shared<T> {
    value: ShardedLock<Arc<T>>,
}

impl<T> Shared<T> {
    /// Starts with `value`.
    pub fn new(value: T) -> Self {
        Self { value: ShardedLock::new(Arc::new(value)) }
    }

    /// The current value.
    pub fn load(&self) -> Arc<T> {
        self.value.read().expect("a thread panicked while it held the lock").clone()
    }

    /// Replaces the value.
    pub fn store(&self, value: T) {
        *self.value.write().expect("a thread panicked while it held the lock") = Arc::new(value);
    }
}
