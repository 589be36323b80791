//! Which nodes answer questions about quotas.

use std::collections::HashMap;
use std::time::Instant;

use super::BYPASS_PERIOD;
use crate::ids::NodeName;

/// Questions in a row without an answer after which a node counts as gone, so that another one grants in
/// its place: a single answer may just be late.
pub(super) const UNREACHABLE_MISSES: u32 = 2;

/// A node that did not answer.
#[derive(Clone, Copy, Debug)]
struct Missed {
    /// Until when it is passed over.
    until: Instant,
    /// Questions in a row that it did not answer.
    questions: u32,
}

/// The nodes that did not answer lately.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    missed: HashMap<NodeName, Missed>,
}

impl Reachability {
    /// So many questions to a node went without an answer, or might as well have.
    pub fn miss(&mut self, node: NodeName, questions: u32, now: Instant) {
        self.missed.retain(|_, missed| now < missed.until);
        let until = now + BYPASS_PERIOD;
        let missed = self.missed.entry(node).or_insert(Missed { until, questions: 0 });
        *missed = Missed { until, questions: missed.questions.saturating_add(questions) };
    }

    /// Something arrived from a node.
    pub fn on_answer(&mut self, node: &NodeName) {
        self.missed.remove(node);
    }

    /// Whether fronts ask another node first.
    pub fn is_bypassed(&self, node: &NodeName, now: Instant) -> bool {
        self.missed.get(node).is_some_and(|missed| now < missed.until)
    }

    /// Whether another node grants in its place.
    pub fn is_unreachable(&self, node: &NodeName, now: Instant) -> bool {
        let gone = |missed: &Missed| now < missed.until && missed.questions >= UNREACHABLE_MISSES;
        self.missed.get(node).is_some_and(gone)
    }
}
