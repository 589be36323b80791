//! The nodes whose word counts when a primary is suspected.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::ids::NodeName;

/// Time without a sign of life after which a listed node does not count any more: longer than a
/// restart or a cut usually lasts, since a node that is cut off must not take itself for most of them.
const GONE_AFTER: Duration = Duration::from_secs(20);

/// Remembers when each listed node last lived, by this node's own knowledge.
#[derive(Clone, Debug, Default)]
pub struct Electorate {
    seen: HashMap<NodeName, Instant>,
}

impl Electorate {
    /// The nodes that count: of those `listed` the ones that live, or did a while ago. A machine that
    /// was lost for good stays in the list, and would otherwise count for ever.
    pub fn eligible(
        &mut self,
        listed: &[NodeName],
        live: &[NodeName],
        now: Instant,
    ) -> Vec<NodeName> {
        let (listed_names, live): (HashSet<_>, HashSet<_>) =
            (listed.iter().collect(), live.iter().collect());
        self.seen.retain(|node, _| listed_names.contains(node));
        for node in listed {
            let seen = self.seen.entry(node.clone()).or_insert(now);
            if live.contains(node) {
                *seen = now;
            }
        }
        let counts = |node: &&NodeName| now < self.seen[*node] + GONE_AFTER;
        listed.iter().filter(counts).cloned().collect()
    }
}
