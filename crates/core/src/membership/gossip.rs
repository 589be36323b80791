//! The queue of updates to send to other members; the least often sent update comes first.

use std::collections::BTreeMap;

use super::record::Update;
use crate::ids::NodeName;

/// Position of an update in the queue: how often it was sent, then when it was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    sent: u32,
    serial: u64,
}

/// The newest update about each member, until it has been sent often enough.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    queue: BTreeMap<QueueKey, Update>,
    keys: BTreeMap<NodeName, QueueKey>,
    next_serial: u64,
}

impl Gossip {
    /// Queues an update; it replaces an older one about the same member.
    pub fn push(&mut self, update: Update) {
        if let Some(key) = self.keys.remove(update.node()) {
            self.queue.remove(&key);
        }
        self.insert(update, 0);
    }

    fn insert(&mut self, update: Update, sent: u32) {
        let key = QueueKey { sent, serial: self.next_serial };
        self.next_serial += 1;
        self.keys.insert(update.node().clone(), key);
        self.queue.insert(key, update);
    }

    /// Whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes updates that fit into `budget` bytes; each update is returned `limit` times in all.
    pub fn take(&mut self, mut budget: usize, limit: u32) -> Vec<Update> {
        let mut taken = Vec::new();
        let mut requeued = Vec::new();
        while let Some(entry) = self.queue.first_entry() {
            let bytes = entry.get().encoded_bytes();
            if bytes > budget {
                break;
            }
            budget -= bytes;
            let (key, update) = entry.remove_entry();
            self.keys.remove(update.node());
            if key.sent + 1 < limit {
                requeued.push((update.clone(), key.sent + 1));
            }
            taken.push(update);
        }
        for (update, sent) in requeued {
            self.insert(update, sent);
        }
        taken
    }
}
