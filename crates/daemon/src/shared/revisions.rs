//! Which revision of the configuration each node is known to have active.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use kestrellock_core::catalog::Revision;
use kestrellock_core::ids::NodeName;

/// Newest known revision of each node. A node never activates an older revision, so entries only
/// grow.
#[derive(Debug, Default)]
pub struct Revisions {
    by_node: Mutex<HashMap<NodeName, Revision>>,
}

impl Revisions {
    /// Records that a node has `revision` active, as reported by itself or by another node.
    pub fn record(&self, node: &NodeName, revision: Revision) {
        let mut revisions = self.lock();
        match revisions.get_mut(node) {
            Some(known) => *known = revision.max(*known),
            None => {
                revisions.insert(node.clone(), revision);
            }
        }
    }

    /// Newest known revision of a node; zero if there is none.
    pub fn of(&self, node: &NodeName) -> Revision {
        self.lock().get(node).copied().unwrap_or_default()
    }

    /// Whether the revision of any node is known.
    pub fn has_reports(&self) -> bool {
        !self.lock().is_empty()
    }

    /// A node with the newest known revision, if that is newer than `own`.
    pub fn newer_than(&self, own: Revision) -> Option<NodeName> {
        let revisions = self.lock();
        let newest = revisions.iter().max_by_key(|(_, revision)| **revision)?;
        (*newest.1 > own).then(|| newest.0.clone())
    }

    /// Newest known revision of all nodes.
    pub fn newest(&self) -> Revision {
        self.lock().values().copied().max().unwrap_or_default()
    }

    /// Removes nodes that are not live.
    pub fn retain(&self, is_live: impl Fn(&NodeName) -> bool) {
        self.lock().retain(|node, _| is_live(node));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeName, Revision>> {
        self.by_node.lock().expect("a thread panicked while it held the lock")
    }
}
