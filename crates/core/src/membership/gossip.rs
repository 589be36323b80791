//! News waiting to be told to others, least told first.

use std::collections::BTreeMap;

use super::record::Update;
use crate::ids::NodeName;

/// Place of an update in the queue: how often it was told, then when it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    sent: u32,
    serial: u64,
}

/// The newest update of each member that has not been told often enough.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    queue: BTreeMap<QueueKey, Update>,
    places: BTreeMap<NodeName, QueueKey>,
    next_serial: u64,
}

impl Gossip {
    /// Queues an update; replaces an older one of the same member.
    pub fn push(&mut self, update: Update) {
        if let Some(place) = self.places.remove(update.node()) {
            self.queue.remove(&place);
        }
        self.insert(update, 0);
    }

    fn insert(&mut self, update: Update, sent: u32) {
        let place = QueueKey { sent, serial: self.next_serial };
        self.next_serial += 1;
        self.places.insert(update.node().clone(), place);
        self.queue.insert(place, update);
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes updates that fit into `budget` bytes; each is given out `limit` times in all.
    pub fn take(&mut self, mut budget: usize, limit: u32) -> Vec<Update> {
        let mut taken = Vec::new();
        let mut again = Vec::new();
        while let Some(entry) = self.queue.first_entry() {
            let bytes = entry.get().encoded_bytes();
            if bytes > budget {
                break;
            }
            budget -= bytes;
            let (place, update) = entry.remove_entry();
            self.places.remove(update.node());
            if place.sent + 1 < limit {
                again.push((update.clone(), place.sent + 1));
            }
            taken.push(update);
        }
        for (update, sent) in again {
            self.insert(update, sent);
        }
        taken
    }
}
