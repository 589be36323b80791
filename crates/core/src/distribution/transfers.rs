//! Whom a node sends its configuration to, and who waits.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use super::REQUEST_TIMEOUT;
use crate::ids::NodeName;

/// Bytes sent at once to one node: 6.5 ms of a link of 10 Mbit/s.
pub const CHUNK_BYTES: usize = 8 * 1024;
/// Nodes served at once. Each has one part under way, so that at most 26 ms of a link of 10 Mbit/s are
/// taken: less than a statement's usual time, and a tenth of what a heartbeat waits.
const MAX_CONCURRENT_TRANSFERS: usize = 4;

/// Whether a node is served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferDecision {
    /// It is.
    Start,
    /// Others are served first.
    Queue,
}

/// A node that is served.
#[derive(Clone, Debug)]
struct Transfer<Q> {
    question: Q,
    /// Until when it is waited for.
    until: Instant,
}

/// The nodes served and those that wait, each with what it asked with.
#[derive(Clone, Debug)]
pub struct TransferQueue<Q> {
    served: HashMap<NodeName, Transfer<Q>>,
    waiting: VecDeque<(NodeName, Q)>,
}

impl<Q> Default for TransferQueue<Q> {
    fn default() -> Self {
        Self { served: HashMap::new(), waiting: VecDeque::new() }
    }
}

impl<Q: Clone> TransferQueue<Q> {
    /// A node asks. One that waits already keeps its place.
    pub fn request(&mut self, node: &NodeName, question: Q, now: Instant) -> TransferDecision {
        self.drop_silent(now);
        if let Some(place) = self.waiting.iter_mut().find(|(waiting, _)| waiting == node) {
            place.1 = question;
            return TransferDecision::Queue;
        }
        let has_room = self.served.len() < MAX_CONCURRENT_TRANSFERS && self.waiting.is_empty();
        if has_room || self.served.contains_key(node) {
            self.serve(node, question, now);
            return TransferDecision::Start;
        }
        self.waiting.push_back((node.clone(), question));
        TransferDecision::Queue
    }

    /// A node has received a part and wants the next.
    pub fn on_chunk_request(&mut self, node: &NodeName, now: Instant) {
        if let Some(served) = self.served.get_mut(node) {
            served.until = now + REQUEST_TIMEOUT;
        }
    }

    /// What a node that is served asked with.
    pub fn request_of(&self, node: &NodeName) -> Option<&Q> {
        self.served.get(node).map(|served| &served.question)
    }

    /// A node has all, or wants no more.
    pub fn finish(&mut self, node: &NodeName) {
        self.served.remove(node);
    }

    /// The node whose turn has come, if one waits and there is room.
    pub fn start_next(&mut self, now: Instant) -> Option<(NodeName, Q)> {
        self.drop_silent(now);
        if self.served.len() >= MAX_CONCURRENT_TRANSFERS {
            return None;
        }
        let (node, question) = self.waiting.pop_front()?;
        self.serve(&node, question.clone(), now);
        Some((node, question))
    }

    fn serve(&mut self, node: &NodeName, question: Q, now: Instant) {
        self.served.insert(node.clone(), Transfer { question, until: now + REQUEST_TIMEOUT });
    }

    /// Whether a node waits for its turn.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// A node that asks for no further part has gone, or has the configuration from elsewhere.
    fn drop_silent(&mut self, now: Instant) {
        self.served.retain(|_, served| served.until > now);
    }
}
