//! The nodes whose word counts, as this node knows them: gathered anew when a list changes, and now and
//! then because time passes, not at each look.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::promotion::Electorate;

use crate::context::NodeContext;
use crate::shared::live::LiveNode;

/// Longest time for which the electors are taken for the same although no list has changed: a node
/// counts for 20 s after its last sign of life. Gathering them takes time with the number of nodes,
/// which a look each 20 ms would spend in vain.
const REFRESH: Duration = Duration::from_millis(500);

/// The nodes that live, and those whose word counts.
#[derive(Debug, Default)]
pub(super) struct Electors {
    electorate: Electorate,
    live_list: Arc<Vec<LiveNode>>,
    listed_list: Arc<Vec<LiveNode>>,
    gathered: Option<Instant>,
    live: Vec<NodeName>,
    counted: Vec<NodeName>,
}

fn names(nodes: &[LiveNode]) -> Vec<NodeName> {
    nodes.iter().map(|node| node.candidate.node.clone()).collect()
}

impl Electors {
    /// Follows the lists of nodes.
    pub fn follow(&mut self, context: &NodeContext, now: Instant) {
        let (live, listed) = (context.live.load(), context.listed_nodes.load());
        let is_same =
            Arc::ptr_eq(&live, &self.live_list) && Arc::ptr_eq(&listed, &self.listed_list);
        let is_recent = self.gathered.is_some_and(|at| now < at + REFRESH);
        if is_same && is_recent {
            return;
        }
        self.live = names(&live);
        self.counted = self.electorate.eligible(&names(&listed), &self.live, now);
        (self.live_list, self.listed_list) = (live, listed);
        self.gathered = Some(now);
    }

    /// Nodes that live.
    pub fn live(&self) -> &[NodeName] {
        &self.live
    }

    /// Listed nodes that live, or did a while ago.
    pub fn counted(&self) -> &[NodeName] {
        &self.counted
    }
}
