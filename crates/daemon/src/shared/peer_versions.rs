//! Protocol versions of the links to other nodes, for parts that do not hold links: a message that
//! requires a newer version is useful only if the nodes concerned can receive it.

use std::collections::HashMap;

use crossbeam::sync::ShardedLock;
use kestrellock_core::ids::NodeName;

/// The version of the last link to each node that is considered live.
#[derive(Debug, Default)]
pub struct PeerVersions {
    versions: ShardedLock<HashMap<NodeName, u16>>,
}

impl PeerVersions {
    /// The highest version that this node and `node` speak; `None` if no link to it has been
    /// established yet.
    pub fn get(&self, node: &NodeName) -> Option<u16> {
        self.versions.read().expect("a thread panicked while it held the lock").get(node).copied()
    }

    /// Records the version of a link that has been established.
    pub fn record(&self, node: &NodeName, version: u16) {
        if self.get(node) != Some(version) {
            let mut versions =
                self.versions.write().expect("a thread panicked while it held the lock");
            versions.insert(node.clone(), version);
        }
    }

    /// Forgets a node that is no longer live: it may return as another build.
    pub fn forget(&self, node: &NodeName) {
        self.versions.write().expect("a thread panicked while it held the lock").remove(node);
    }
}
