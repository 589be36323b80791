//! What membership shares with the other parts of the node.

use std::net::SocketAddr;
use std::sync::Mutex;

use crossbeam::queue::SegQueue;
use kestrellock_core::catalog::Revision;
use kestrellock_core::ids::NodeName;
use kestrellock_core::membership::{Counters, MemberRecord};

use crate::shared::live::Shared;

const POISONED: &str = "a holder of the membership lock panicked";

/// A node that has a revision of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestRevision {
    /// The node.
    pub node: NodeName,
    /// Where it accepts peers.
    pub peer_address: SocketAddr,
    /// Where operators connect to it.
    pub admin_address: SocketAddr,
    /// The revision.
    pub revision: Revision,
}

/// State that membership publishes, and wishes that it takes.
#[derive(Debug, Default)]
pub struct SharedMembership {
    /// Every member known, this node first, dead ones among them; renewed at least each second.
    pub members: Shared<Vec<MemberRecord>>,
    hints: SegQueue<NodeName>,
    newest: Mutex<Option<NewestRevision>>,
    counters: Mutex<Counters>,
}

impl SharedMembership {
    /// A connection to `node` broke: membership probes it at once.
    pub fn hint_unreachable(&self, node: &NodeName) {
        self.hints.push(node.clone());
    }

    /// The hints since the last call.
    pub fn take_hints(&self) -> Vec<NodeName> {
        std::iter::from_fn(|| self.hints.pop()).collect()
    }

    /// The first node heard to have the newest revision in force.
    pub fn newest_revision(&self) -> Option<NewestRevision> {
        self.newest.lock().expect(POISONED).clone()
    }

    /// Notes who has a newer revision than any before.
    pub fn set_newest_revision(&self, holder: NewestRevision) {
        *self.newest.lock().expect(POISONED) = Some(holder);
    }

    /// Counts of membership since the start.
    pub fn counters(&self) -> Counters {
        *self.counters.lock().expect(POISONED)
    }

    /// Renews the counts.
    pub fn set_counters(&self, counters: Counters) {
        *self.counters.lock().expect(POISONED) = counters;
    }
}
