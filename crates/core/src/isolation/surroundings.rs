//! The listed nodes and the instances around a node, by zone.

use std::collections::BTreeMap;

use crate::ids::{InstanceName, NodeName, ZoneName};

/// A node that belongs to the cluster, alive or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Its name.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether membership considers it live.
    pub is_live: bool,
}

/// Nodes and instances of one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Zone {
    nodes: Vec<NodeName>,
    live: Vec<NodeName>,
    instances: Vec<InstanceName>,
}

/// The nodes and instances around a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Surroundings {
    own_zone: ZoneName,
    zones: BTreeMap<ZoneName, Zone>,
    listed: usize,
    live: usize,
    /// The first listed node by name.
    first: Option<NodeName>,
}

impl Surroundings {
    /// The surroundings of a node that knows no other nodes.
    pub fn alone(own: NodeName, own_zone: ZoneName) -> Self {
        let node = ListedNode { node: own, zone: own_zone.clone(), is_live: true };
        Self::new(own_zone, [node], [])
    }

    /// Groups `nodes`, each listed once and this node among them, and `instances` by zone.
    pub fn new(
        own_zone: ZoneName,
        nodes: impl IntoIterator<Item = ListedNode>,
        instances: impl IntoIterator<Item = (InstanceName, ZoneName)>,
    ) -> Self {
        let mut zones: BTreeMap<ZoneName, Zone> = BTreeMap::new();
        let (mut listed, mut live, mut first) = (0, 0, None);
        for ListedNode { node, zone, is_live } in nodes {
            let zone = zones.entry(zone).or_default();
            listed += 1;
            if first.as_ref().is_none_or(|first| node < *first) {
                first = Some(node.clone());
            }
            if is_live {
                live += 1;
                zone.live.push(node.clone());
            }
            zone.nodes.push(node);
        }
        for (instance, zone) in instances {
            zones.entry(zone).or_default().instances.push(instance);
        }
        Self { own_zone, zones, listed, live, first }
    }

    /// Number of listed nodes.
    pub fn listed(&self) -> usize {
        self.listed
    }

    /// Whether more than half of the listed nodes are live.
    pub fn has_live_majority(&self) -> bool {
        self.listed > 1 && self.live * 2 > self.listed
    }

    /// The first listed node by name.
    pub fn first(&self) -> Option<&NodeName> {
        self.first.as_ref()
    }

    /// The zone of this node.
    pub fn own_zone(&self) -> &ZoneName {
        &self.own_zone
    }

    /// All zones with nodes or instances.
    pub fn zone_names(&self) -> Vec<ZoneName> {
        self.zones.keys().cloned().collect()
    }

    /// The listed nodes of a zone.
    pub fn nodes_of(&self, zone: &ZoneName) -> &[NodeName] {
        self.zones.get(zone).map_or(&[], |zone| &zone.nodes)
    }

    /// The live nodes of a zone.
    pub fn live_nodes_of(&self, zone: &ZoneName) -> &[NodeName] {
        self.zones.get(zone).map_or(&[], |zone| &zone.live)
    }

    /// The nodes of a zone to ask: the live ones, or all if fewer than `needed` are live. In a
    /// network partition, membership declares the nodes on the other side dead after some seconds.
    pub fn to_ask(&self, zone: &ZoneName, needed: usize) -> Vec<&NodeName> {
        let live = self.live_nodes_of(zone);
        let nodes = if live.len() >= needed { live } else { self.nodes_of(zone) };
        nodes.iter().collect()
    }

    /// The instances of a zone.
    pub fn instances_of(&self, zone: &ZoneName) -> impl Iterator<Item = &InstanceName> {
        self.zones.get(zone).into_iter().flat_map(|zone| &zone.instances)
    }
}
