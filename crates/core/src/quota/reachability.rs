//! Tracks which nodes answer quota messages, and decides from their unanswered requests when fronts
//! ask another node first and when another node allocates in place of an unreachable one.

use std::collections::HashMap;
use std::time::Instant;

use super::BYPASS_PERIOD;
use crate::ids::NodeName;

/// Consecutive unanswered requests after which a node counts as unreachable and another node
/// allocates in its place. One is not enough, since a single answer may just be late.
pub(super) const UNREACHABLE_MISSES: u32 = 2;

/// Unanswered requests to one node.
#[derive(Clone, Copy, Debug)]
struct Missed {
    /// End of the period in which the node is bypassed.
    until: Instant,
    /// Number of consecutive unanswered requests.
    requests: u32,
}

/// Nodes that recently failed to answer.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    missed: HashMap<NodeName, Missed>,
}

impl Reachability {
    /// Records `requests` unanswered requests to a node. A broken connection counts as several.
    pub fn record_misses(&mut self, node: NodeName, requests: u32, now: Instant) {
        self.missed.retain(|_, missed| now < missed.until);
        let until = now + BYPASS_PERIOD;
        let missed = self.missed.entry(node).or_insert(Missed { until, requests: 0 });
        *missed = Missed { until, requests: missed.requests.saturating_add(requests) };
    }

    /// Records that a message arrived from a node.
    pub fn on_answer(&mut self, node: &NodeName) {
        self.missed.remove(node);
    }

    /// Whether fronts should send requests to another node first.
    pub fn is_bypassed(&self, node: &NodeName, now: Instant) -> bool {
        self.missed.get(node).is_some_and(|missed| now < missed.until)
    }

    /// Whether another node allocates in this node's place.
    pub fn is_unreachable(&self, node: &NodeName, now: Instant) -> bool {
        let unreachable =
            |missed: &Missed| now < missed.until && missed.requests >= UNREACHABLE_MISSES;
        self.missed.get(node).is_some_and(unreachable)
    }
}
