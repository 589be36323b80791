//! Nodes believed to live, and values that threads replace whole.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::sync::ShardedLock;
use kestrellock_core::connection_shares::knows_most_nodes;
use kestrellock_core::ids::NodeName;
use kestrellock_core::rendezvous::Candidate;

/// A node believed to live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveNode {
    /// Name and zone.
    pub candidate: Candidate,
    /// Where it accepts peers.
    pub peer_address: SocketAddr,
    /// Whether it may own instances (a leaving node may not).
    pub accepts_work: bool,
}

/// Nodes that the machine list names and that are not known to live; none where most of those listed are, since
/// the others may be gone. For a node that has just started and may know few of the others yet.
pub fn listed_not_known<'a>(
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

/// A value replaced whole and read often.
#[derive(Debug, Default)]
pub struct Shared<T> {
    value: ShardedLock<Arc<T>>,
}

impl<T> Shared<T> {
    /// Starts with `value`.
    pub fn new(value: T) -> Self {
        Self { value: ShardedLock::new(Arc::new(value)) }
    }

    /// The value now in force.
    pub fn load(&self) -> Arc<T> {
        self.value.read().expect("a holder of the lock panicked").clone()
    }

    /// Replaces the value.
    pub fn store(&self, value: T) {
        *self.value.write().expect("a holder of the lock panicked") = Arc::new(value);
    }
}
