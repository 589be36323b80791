//! Reports of the nodes that show, during a primary replacement, whether a restarted instance has
//! every acknowledged commit again.
//!
//! A restarted instance has lost its log. Each node sends its report to the coordinator together
//! with the confirmation that it has revoked its evidence. Two observations show that the instance
//! is complete again: a node has seen it receive everything ([`super::refill`]); or all nodes have
//! seen the restart, and the instance has received the log up to the highest position that the
//! primary reported to any of them, since no node has acknowledged a commit beyond that position to
//! a client.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceName, NodeName};
use crate::incarnation::InstanceIncarnation;
use crate::position::{LogOffset, Position, Term};

/// A restart of an instance that a node has observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedRestart {
    /// The instance.
    pub instance: InstanceName,
    /// Incarnation of the process that the restart began.
    #[serde(rename = "start")]
    pub incarnation: InstanceIncarnation,
}

/// What one node knows about restarts in a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartReport {
    /// Restarts that it has observed; empty until it has observed the group for long enough.
    pub started_again: Vec<ObservedRestart>,
    /// Restarts after which it has seen the instance receive everything again.
    pub refilled: Vec<ObservedRestart>,
    /// The highest position that the group's primary has reported to it.
    #[serde(rename = "heard")]
    pub primary_position: Option<Position>,
}

/// The reports of all nodes combined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CombinedReport {
    /// Restarts that every node has observed.
    pub started_again: Vec<ObservedRestart>,
    /// The highest position that the primary has reported to any node.
    pub highest_position: Position,
}

/// The restart reports that the coordinator has received from the nodes during one replacement of
/// a group's primary.
#[derive(Clone, Debug, Default)]
pub struct RestartReports {
    by_node: BTreeMap<NodeName, RestartReport>,
}

fn order(position: &Position) -> (Term, LogOffset) {
    (position.term, position.offset)
}

impl RestartReports {
    /// Adds the report of a node, in place of its previous one.
    pub fn add(&mut self, node: &NodeName, report: RestartReport) {
        self.by_node.insert(node.clone(), report);
    }

    /// Whether all of `nodes` have sent a report.
    pub fn includes_all(&self, nodes: &[NodeName]) -> bool {
        nodes.iter().all(|node| self.by_node.contains_key(node))
    }

    /// Restarts after which at least one node has seen the instance receive everything again.
    pub fn refilled(&self) -> Vec<ObservedRestart> {
        let mut restarts: Vec<ObservedRestart> = Vec::new();
        for restart in self.by_node.values().flat_map(|report| &report.refilled) {
            if !restarts.contains(restart) {
                restarts.push(restart.clone());
            }
        }
        restarts
    }

    /// The combined report of all `nodes`; `None` unless all of them have sent a report and at
    /// least one of them knows a position of the primary.
    pub fn combined(&self, nodes: &[NodeName]) -> Option<CombinedReport> {
        let reports: Option<Vec<&RestartReport>> =
            nodes.iter().map(|node| self.by_node.get(node)).collect();
        let reports = reports?;
        let highest =
            reports.iter().filter_map(|report| report.primary_position).max_by_key(order)?;
        let observed = reports.first()?.started_again.iter();
        let by_all = |restart: &&ObservedRestart| {
            reports.iter().all(|report| report.started_again.contains(restart))
        };
        Some(CombinedReport {
            started_again: observed.filter(by_all).cloned().collect(),
            highest_position: highest,
        })
    }
}
