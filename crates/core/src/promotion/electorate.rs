//! Decides which nodes count as voters when a primary is suspected: the listed nodes that are live
//! or were live recently. Permanently lost machines then do not block a majority, and a node
//! that has just been isolated does not consider itself the majority.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::ids::NodeName;

/// Time after which a listed node that has not been live no longer counts. Longer than a restart or
/// a network partition usually lasts, so that an isolated node does not consider itself the
/// majority.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(20);

/// Tracks when this node last saw each listed node live.
#[derive(Clone, Debug, Default)]
pub struct Electorate {
    last_live: HashMap<NodeName, Instant>,
}

impl Electorate {
    /// The nodes of `listed` that are live or were live recently. A permanently lost machine stays
    /// in the list and would otherwise count forever.
    pub fn eligible(
        &mut self,
        listed: &[NodeName],
        live: &[NodeName],
        now: Instant,
    ) -> Vec<NodeName> {
        let (listed_names, live): (HashSet<_>, HashSet<_>) =
            (listed.iter().collect(), live.iter().collect());
        self.last_live.retain(|node, _| listed_names.contains(node));
        for node in listed {
            let seen = self.last_live.entry(node.clone()).or_insert(now);
            if live.contains(node) {
                *seen = now;
            }
        }
        let counts = |node: &&NodeName| now < self.last_live[*node] + LIVENESS_TIMEOUT;
        listed.iter().filter(counts).cloned().collect()
    }
}
