//! What nodes know of a group that tells whether an instance that has started again holds everything.
//!
//! Each node says so, with its word that it has given its evidence up, to whoever replaces the primary. Two
//! things show that such an instance is whole: a node has seen it receive everything ([`super::refill`]); or all
//! nodes have seen the start, and it has received as much as the primary has told any of them, since none of them
//! has passed on a commit beyond that.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceName, NodeName};
use crate::incarnation::InstanceIncarnation;
use crate::position::{LogOffset, Position, Term};

/// An instance that a node has seen start again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedRestart {
    /// The instance.
    pub instance: InstanceName,
    /// The start of its process.
    #[serde(rename = "start")]
    pub incarnation: InstanceIncarnation,
}

/// What one node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartReport {
    /// Instances that have started again while it watched; none before it has watched for a while.
    pub started_again: Vec<ObservedRestart>,
    /// Those that it has seen receive everything since.
    pub refilled: Vec<ObservedRestart>,
    /// The highest position that the group's primary has told it.
    #[serde(rename = "heard")]
    pub primary_position: Option<Position>,
}

/// What all nodes together have heard of the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CombinedReport {
    /// Starts that each of them has seen.
    pub started_again: Vec<ObservedRestart>,
    /// The highest position that the primary has told any of them.
    pub highest_position: Position,
}

/// What nodes have said about one replacement.
#[derive(Clone, Debug, Default)]
pub struct RestartReports {
    by_node: BTreeMap<NodeName, RestartReport>,
}

fn order(position: &Position) -> (Term, LogOffset) {
    (position.term, position.offset)
}

impl RestartReports {
    /// A node has said what it knows.
    pub fn add(&mut self, node: &NodeName, witness: RestartReport) {
        self.by_node.insert(node.clone(), witness);
    }

    /// Whether all of `nodes` have spoken.
    pub fn includes_all(&self, nodes: &[NodeName]) -> bool {
        nodes.iter().all(|node| self.by_node.contains_key(node))
    }

    /// Starts since which an instance has received everything, as some node has seen it.
    pub fn refilled(&self) -> Vec<ObservedRestart> {
        let mut starts: Vec<ObservedRestart> = Vec::new();
        for start in self.by_node.values().flat_map(|witness| &witness.refilled) {
            if !starts.contains(start) {
                starts.push(start.clone());
            }
        }
        starts
    }

    /// What all of `nodes` have heard, if all of them have spoken and one at least has heard the primary.
    pub fn combined(&self, nodes: &[NodeName]) -> Option<CombinedReport> {
        let spoken: Option<Vec<&RestartReport>> =
            nodes.iter().map(|node| self.by_node.get(node)).collect();
        let spoken = spoken?;
        let highest =
            spoken.iter().filter_map(|witness| witness.primary_position).max_by_key(order)?;
        let seen = spoken.first()?.started_again.iter();
        let by_all = |start: &&ObservedRestart| {
            spoken.iter().all(|witness| witness.started_again.contains(start))
        };
        Some(CombinedReport {
            started_again: seen.filter(by_all).cloned().collect(),
            highest_position: highest,
        })
    }
}
