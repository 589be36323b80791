//! The nodes whose votes count, as this node knows them. They are collected when a list of nodes
//! changes, and regularly because time passes, but not at each step.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::promotion::Electorate;

use crate::context::NodeContext;
use crate::shared::live::LiveNode;

/// Longest time between two refreshes while no list changes: a node counts for 20 s after it was
/// last known to be live. Collecting the electors takes time proportional to the number of nodes,
/// which would be wasted at each step of 20 ms.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The live nodes, and those whose votes count.
#[derive(Debug, Default)]
pub(super) struct Electors {
    electorate: Electorate,
    live_list: Arc<Vec<LiveNode>>,
    listed_list: Arc<Vec<LiveNode>>,
    refreshed: Option<Instant>,
    live: Vec<NodeName>,
    counted: Vec<NodeName>,
    listed: BTreeSet<NodeName>,
    last_removal: Option<Instant>,
}

fn names(nodes: &[LiveNode]) -> Vec<NodeName> {
    nodes.iter().map(|node| node.candidate.node.clone()).collect()
}

impl Electors {
    /// Collects the nodes again if a list has changed or the last refresh is too old.
    pub fn refresh(&mut self, context: &NodeContext, now: Instant) {
        let (live, listed) = (context.live.load(), context.listed_nodes.load());
        let is_same =
            Arc::ptr_eq(&live, &self.live_list) && Arc::ptr_eq(&listed, &self.listed_list);
        let is_recent = self.refreshed.is_some_and(|at| now < at + REFRESH_INTERVAL);
        if is_same && is_recent {
            return;
        }
        self.live = names(&live);
        self.counted = self.electorate.eligible(&names(&listed), &self.live, now);
        if !Arc::ptr_eq(&listed, &self.listed_list) {
            let names: BTreeSet<NodeName> = names(&listed).into_iter().collect();
            if !self.listed.is_subset(&names) {
                self.last_removal = Some(now);
            }
            self.listed = names;
        }
        (self.live_list, self.listed_list) = (live, listed);
        self.refreshed = Some(now);
    }

    /// When a node was last removed from the machine list, as this node knows it.
    pub fn last_removal(&self) -> Option<Instant> {
        self.last_removal
    }

    /// Live nodes.
    pub fn live(&self) -> &[NodeName] {
        &self.live
    }

    /// Listed nodes that are live, or were until recently.
    pub fn counted(&self) -> &[NodeName] {
        &self.counted
    }
}
