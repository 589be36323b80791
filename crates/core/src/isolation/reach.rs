//! The part of the network that a node reaches, and whether it is the larger one.

use std::time::Duration;

use super::FULL_SAMPLE;
use super::answers::Answers;
use super::surroundings::Surroundings;
use crate::ids::{NodeName, ZoneName};

/// Fraction of the asked nodes of a node's own zone above which the node counts as reaching all of
/// the zone. It is less than a half, so that a node does not take the death of half of its zone for
/// a network partition within the zone.
const WHOLE_ZONE_FRACTION: f64 = 0.25;

/// What a decision was based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Zones of which something has answered, and the node's own zone unless it reaches nothing in
    /// it.
    pub zones_reached: Vec<ZoneName>,
    /// Estimated number of listed nodes in the part that the node reaches, itself included.
    pub nodes_reached: usize,
    /// Number of listed nodes.
    pub nodes_listed: usize,
    /// Number of nodes that were asked.
    pub nodes_asked: usize,
    /// Number of those that answered.
    pub nodes_answered: usize,
    /// Number of instances to which the node tried to connect.
    pub instances_tried: usize,
}

/// The answers of a period, in relation to the surroundings.
pub struct Reach<'a> {
    own: &'a NodeName,
    surroundings: &'a Surroundings,
    answers: &'a Answers,
    nodes_since: Duration,
    instances_since: Duration,
}

impl<'a> Reach<'a> {
    /// Considers the answers of nodes and of instances from the given times on.
    pub fn new(
        own: &'a NodeName,
        surroundings: &'a Surroundings,
        answers: &'a Answers,
        nodes_since: Duration,
        instances_since: Duration,
    ) -> Self {
        Self { own, surroundings, answers, nodes_since, instances_since }
    }

    /// Whether the node reaches only the smaller part of the nodes, and nothing outside it.
    pub fn is_cut_off(&self) -> bool {
        !self.is_larger_part() && !self.instances_answer_outside()
    }

    /// The zones in which no other node has answered. The node's own zone is not among them if it
    /// has no other nodes there.
    pub fn zones_without_node_answer(&self) -> Vec<ZoneName> {
        let mut zones = self.surroundings.zone_names();
        zones.retain(|zone| !self.has_node_answer(zone));
        zones
    }

    /// What the decision is based on.
    pub fn observation(&self) -> Observation {
        let mut zones_reached = self.surroundings.zone_names();
        zones_reached.retain(|zone| self.has_node_answer(zone) || self.has_instance_answer(zone));
        let (nodes_asked, nodes_answered) = self.answers.node_counts(self.nodes_since);
        Observation {
            zones_reached,
            nodes_reached: self.nodes_reached(),
            nodes_listed: self.surroundings.listed(),
            nodes_asked,
            nodes_answered,
            instances_tried: self.answers.instances_tried(),
        }
    }

    /// Whether the reached part is the larger one. At exactly half, the part with the first listed
    /// node is.
    fn is_larger_part(&self) -> bool {
        let (reached, listed) = (self.nodes_reached() * 2, self.surroundings.listed());
        reached > listed || (reached == listed && self.reaches_first_node())
    }

    fn reaches_first_node(&self) -> bool {
        let Some(first) = self.surroundings.first() else { return true };
        let zones = self.surroundings.zone_names();
        let zone = zones.iter().find(|zone| self.surroundings.nodes_of(zone).contains(first));
        first == self.own || zone.is_some_and(|zone| self.has_node_answer(zone))
    }

    fn nodes_reached(&self) -> usize {
        let own_zone = self.surroundings.own_zone();
        let mut zones = self.surroundings.zone_names();
        zones.retain(|zone| zone != own_zone && self.has_node_answer(zone));
        let others = zones.iter().map(|zone| self.surroundings.nodes_of(zone).len());
        others.sum::<usize>() + self.own_zone_nodes_reached()
    }

    /// Estimates from the sample the number of reachable nodes in this node's zone, itself included.
    fn own_zone_nodes_reached(&self) -> usize {
        let nodes = self.surroundings.nodes_of(self.surroundings.own_zone());
        let others = nodes.iter().filter(|node| *node != self.own);
        let has_answered = |node| self.answers.node_has_answered(node, self.nodes_since);
        let asked: Vec<bool> = others.clone().filter_map(has_answered).collect();
        let answered = asked.iter().filter(|answered| **answered).count();
        if answered == 0 {
            return 1;
        }
        let others = others.count();
        let fraction = answered as f64 / asked.len() as f64;
        let is_sufficient = asked.len() >= FULL_SAMPLE.min(others);
        match is_sufficient && fraction >= WHOLE_ZONE_FRACTION {
            true => 1 + others,
            false => 1 + (others as f64 * fraction) as usize,
        }
    }

    /// Whether an instance answers in a zone of which no node does.
    fn instances_answer_outside(&self) -> bool {
        self.zones_without_node_answer().iter().any(|zone| self.has_instance_answer(zone))
    }

    /// Whether a node of the zone has answered. A node that is alone in its zone reaches all of it.
    fn has_node_answer(&self, zone: &ZoneName) -> bool {
        let nodes = self.surroundings.nodes_of(zone);
        let is_alone = zone == self.surroundings.own_zone() && nodes.len() <= 1;
        let has_answered =
            |node| self.answers.node_has_answered(node, self.nodes_since) == Some(true);
        is_alone || nodes.iter().any(has_answered)
    }

    fn has_instance_answer(&self, zone: &ZoneName) -> bool {
        let mut instances = self.surroundings.instances_of(zone);
        instances.any(|instance| self.answers.instance_has_answered(instance, self.instances_since))
    }
}
