//! Recent questions of this node and the answers to them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{InstanceName, NodeName};

/// A node or an instance that was asked.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    asked_at: Duration,
    answered_at: Option<Duration>,
}

impl Asked {
    fn has_answered_since(&self, since: Duration) -> bool {
        self.answered_at.is_some_and(|at| at >= since)
    }
}

/// What was asked, and what has answered. It holds no more entries than questions of one survey, or
/// of the period since the last [`Answers::forget_before`].
#[derive(Clone, Debug, Default)]
pub struct Answers {
    nodes: BTreeMap<NodeName, Asked>,
    instances: BTreeMap<InstanceName, Asked>,
}

impl Answers {
    /// Records a question to a node.
    pub fn on_node_asked(&mut self, node: &NodeName, now: Duration) {
        self.nodes.entry(node.clone()).or_default().asked_at = now;
    }

    /// Records the answer of a node that was asked.
    pub fn on_node_answer(&mut self, node: &NodeName, now: Duration) {
        if let Some(asked) = self.nodes.get_mut(node) {
            asked.answered_at = Some(now);
        }
    }

    /// Records an attempt to connect to an instance.
    pub fn on_instance_asked(&mut self, instance: &InstanceName, now: Duration) {
        self.instances.entry(instance.clone()).or_default().asked_at = now;
    }

    /// Records the answer of an instance to which this node tried to connect.
    pub fn on_instance_answer(&mut self, instance: &InstanceName, now: Duration) {
        if let Some(asked) = self.instances.get_mut(instance) {
            asked.answered_at = Some(now);
        }
    }

    /// Forgets what was last asked before `moment`.
    pub fn forget_before(&mut self, moment: Duration) {
        self.nodes.retain(|_, asked| asked.asked_at >= moment);
        self.instances.retain(|_, asked| asked.asked_at >= moment);
    }

    /// Whether the node has answered since `since`; `None` if it was not asked since then.
    pub fn node_has_answered(&self, node: &NodeName, since: Duration) -> Option<bool> {
        let asked = self.nodes.get(node).filter(|asked| asked.asked_at >= since)?;
        Some(asked.has_answered_since(since))
    }

    /// Whether the instance has answered since `since`.
    pub fn instance_has_answered(&self, instance: &InstanceName, since: Duration) -> bool {
        self.instances.get(instance).is_some_and(|asked| asked.has_answered_since(since))
    }

    /// Numbers of the nodes asked since `since`, and of those that have answered.
    pub fn node_counts(&self, since: Duration) -> (usize, usize) {
        let asked: Vec<&Asked> =
            self.nodes.values().filter(|asked| asked.asked_at >= since).collect();
        (asked.len(), asked.iter().filter(|asked| asked.has_answered_since(since)).count())
    }

    /// Number of instances to which this node tried to connect.
    pub fn instances_tried(&self) -> usize {
        self.instances.len()
    }
}
