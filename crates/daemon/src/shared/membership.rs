//! State that membership shares with the other parts of the node.

use std::net::SocketAddr;
use std::sync::Mutex;

use crossbeam::queue::SegQueue;
use kestrellock_core::catalog::Revision;
use kestrellock_core::ids::NodeName;
use kestrellock_core::membership::{Counters, MemberRecord};

use crate::shared::live::Shared;

const POISONED: &str = "a thread panicked while it held the membership lock";

/// The newest active revision that is known, and a node that has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestRevision {
    /// The node.
    pub node: NodeName,
    /// Address at which it accepts peers.
    pub peer_address: SocketAddr,
    /// Address at which it accepts operators.
    pub admin_address: SocketAddr,
    /// The revision.
    pub revision: Revision,
}

/// State that membership publishes, and hints that it receives.
#[derive(Debug, Default)]
pub struct SharedMembership {
    /// All known members, this node first, including dead ones; updated at least once a second.
    pub members: Shared<Vec<MemberRecord>>,
    hints: SegQueue<NodeName>,
    newest: Mutex<Option<NewestRevision>>,
    counters: Mutex<Counters>,
}

impl SharedMembership {
    /// Reports that a connection to `node` broke, so that membership probes it at once.
    pub fn hint_unreachable(&self, node: &NodeName) {
        self.hints.push(node.clone());
    }

    /// Takes the hints since the last call.
    pub fn take_hints(&self) -> Vec<NodeName> {
        std::iter::from_fn(|| self.hints.pop()).collect()
    }

    /// The newest revision, with the first node that was known to have it active.
    pub fn newest_revision(&self) -> Option<NewestRevision> {
        self.newest.lock().expect(POISONED).clone()
    }

    /// Records a node with a newer revision than any before.
    pub fn set_newest_revision(&self, newest: NewestRevision) {
        *self.newest.lock().expect(POISONED) = Some(newest);
    }

    /// Counters of membership since the start.
    pub fn counters(&self) -> Counters {
        *self.counters.lock().expect(POISONED)
    }

    /// Updates the counters.
    pub fn set_counters(&self, counters: Counters) {
        *self.counters.lock().expect(POISONED) = counters;
    }
}
