//! Whom a node sends its configuration to, and who waits.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use super::REQUEST_LIMIT;
use crate::ids::NodeName;

/// Bytes sent at once to one node: 6.5 ms of a link of 10 Mbit/s.
pub const PART_BYTES: usize = 8 * 1024;
/// Nodes served at once. Each has one part under way, so that at most 26 ms of a link of 10 Mbit/s are
/// taken: less than a statement's usual time, and a tenth of what a heartbeat waits.
const SERVED_AT_ONCE: usize = 4;

/// Whether a node is served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is.
    Now,
    /// Others are served first.
    Later,
}

/// A node that is served.
#[derive(Clone, Debug)]
struct Served<Q> {
    question: Q,
    /// Until when it is waited for.
    until: Instant,
}

/// The nodes served and those that wait, each with what it asked with.
#[derive(Clone, Debug)]
pub struct TransferQueue<Q> {
    served: HashMap<NodeName, Served<Q>>,
    waiting: VecDeque<(NodeName, Q)>,
}

impl<Q> Default for TransferQueue<Q> {
    fn default() -> Self {
        Self { served: HashMap::new(), waiting: VecDeque::new() }
    }
}

impl<Q: Clone> TransferQueue<Q> {
    /// A node asks. One that waits already keeps its place.
    pub fn ask(&mut self, node: &NodeName, question: Q, now: Instant) -> Turn {
        self.drop_silent(now);
        if let Some(place) = self.waiting.iter_mut().find(|(waiting, _)| waiting == node) {
            place.1 = question;
            return Turn::Later;
        }
        let has_room = self.served.len() < SERVED_AT_ONCE && self.waiting.is_empty();
        if has_room || self.served.contains_key(node) {
            self.serve(node, question, now);
            return Turn::Now;
        }
        self.waiting.push_back((node.clone(), question));
        Turn::Later
    }

    /// A node has received a part and wants the next.
    pub fn on_next(&mut self, node: &NodeName, now: Instant) {
        if let Some(served) = self.served.get_mut(node) {
            served.until = now + REQUEST_LIMIT;
        }
    }

    /// What a node that is served asked with.
    pub fn question_of(&self, node: &NodeName) -> Option<&Q> {
        self.served.get(node).map(|served| &served.question)
    }

    /// A node has all, or wants no more.
    pub fn on_end(&mut self, node: &NodeName) {
        self.served.remove(node);
    }

    /// The node whose turn has come, if one waits and there is room.
    pub fn take_turn(&mut self, now: Instant) -> Option<(NodeName, Q)> {
        self.drop_silent(now);
        if self.served.len() >= SERVED_AT_ONCE {
            return None;
        }
        let (node, question) = self.waiting.pop_front()?;
        self.serve(&node, question.clone(), now);
        Some((node, question))
    }

    fn serve(&mut self, node: &NodeName, question: Q, now: Instant) {
        self.served.insert(node.clone(), Served { question, until: now + REQUEST_LIMIT });
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
