//! Limits how many nodes receive a configuration from this node at once, and queues the others.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use super::REQUEST_TIMEOUT;
use crate::ids::NodeName;

/// Size of one chunk, in bytes: 6.5 ms of a link of 10 Mbit/s.
pub const CHUNK_BYTES: usize = 8 * 1024;
/// Nodes served at once. One chunk is in flight to each, so transfers occupy at most 26 ms of a
/// link of 10 Mbit/s: less than the usual time of a statement, and a tenth of the heartbeat
/// timeout.
const MAX_CONCURRENT_TRANSFERS: usize = 4;

/// Whether a requested transfer starts now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferDecision {
    /// The transfer starts.
    Start,
    /// Other nodes are served first.
    Queue,
}

/// A transfer in progress to one node.
#[derive(Clone, Debug)]
struct Transfer<R> {
    request: R,
    /// When the transfer is dropped unless the node requests another chunk.
    deadline: Instant,
}

/// Transfers in progress and queued nodes, each with the request of its node.
#[derive(Clone, Debug)]
pub struct TransferQueue<R> {
    active: HashMap<NodeName, Transfer<R>>,
    queued: VecDeque<(NodeName, R)>,
}

impl<R> Default for TransferQueue<R> {
    fn default() -> Self {
        Self { active: HashMap::new(), queued: VecDeque::new() }
    }
}

impl<R: Clone> TransferQueue<R> {
    /// Handles a request of a node. A node that is queued already keeps its place.
    pub fn request(&mut self, node: &NodeName, request: R, now: Instant) -> TransferDecision {
        self.drop_expired(now);
        if let Some(entry) = self.queued.iter_mut().find(|(queued, _)| queued == node) {
            entry.1 = request;
            return TransferDecision::Queue;
        }
        let has_capacity = self.active.len() < MAX_CONCURRENT_TRANSFERS && self.queued.is_empty();
        if has_capacity || self.active.contains_key(node) {
            self.start(node, request, now);
            return TransferDecision::Start;
        }
        self.queued.push_back((node.clone(), request));
        TransferDecision::Queue
    }

    /// Handles a request for the next chunk, which extends the deadline of the transfer.
    pub fn on_chunk_request(&mut self, node: &NodeName, now: Instant) {
        if let Some(active) = self.active.get_mut(node) {
            active.deadline = now + REQUEST_TIMEOUT;
        }
    }

    /// The request of a node that is being served.
    pub fn request_of(&self, node: &NodeName) -> Option<&R> {
        self.active.get(node).map(|active| &active.request)
    }

    /// Ends the transfer to a node, because it is complete or the node no longer wants it.
    pub fn finish(&mut self, node: &NodeName) {
        self.active.remove(node);
    }

    /// Starts the transfer to the first queued node, if there is one and the limit allows it.
    pub fn start_next(&mut self, now: Instant) -> Option<(NodeName, R)> {
        self.drop_expired(now);
        if self.active.len() >= MAX_CONCURRENT_TRANSFERS {
            return None;
        }
        let (node, request) = self.queued.pop_front()?;
        self.start(&node, request.clone(), now);
        Some((node, request))
    }

    fn start(&mut self, node: &NodeName, request: R, now: Instant) {
        self.active.insert(node.clone(), Transfer { request, deadline: now + REQUEST_TIMEOUT });
    }

    /// Whether any node is queued.
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Drops transfers whose node requests no further chunk: the node is down, or has received the
    /// configuration from another node.
    fn drop_expired(&mut self, now: Instant) {
        self.active.retain(|_, active| active.deadline > now);
    }
}
