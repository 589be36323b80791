//! Chooses the node that owns an instance, by rendezvous hashing.
//!
//! Every node computes the same owners from the same list of live nodes, and a node that joins or
//! leaves moves only the instances that it gains or loses.

use std::collections::HashMap;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{InstanceName, NodeName, ZoneName};

/// A node that may own instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: NodeName,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Bandwidth of its link in Mbit/s; zero if its settings do not state it.
    pub link_mbps: u32,
}

/// The two nodes responsible for an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Holds the pooled connections.
    pub owner: NodeName,
    /// Becomes the owner when the owner leaves or fails; `None` if only one node is live.
    pub standby: Option<NodeName>,
}

fn weight(instance: &InstanceName, node: &NodeName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(instance.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    hasher.digest()
}

/// A candidate's claim to an instance; the highest wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Claim {
    same_zone: bool,
    weight: u64,
    node: NodeName,
}

/// The two highest claims to an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Claims {
    first: Option<Claim>,
    second: Option<Claim>,
}

impl Claims {
    fn add(
        &mut self,
        instance: &InstanceName,
        zone: &ZoneName,
        node: &NodeName,
        node_zone: &ZoneName,
    ) {
        let (same_zone, weight) = (node_zone == zone, weight(instance, node));
        let beats = |claim: &Claim| {
            (same_zone, weight, node) > (claim.same_zone, claim.weight, &claim.node)
        };
        if self.first.as_ref().is_none_or(beats) {
            let claim = Claim { same_zone, weight, node: node.clone() };
            self.second = self.first.replace(claim);
        } else if self.second.as_ref().is_none_or(beats) {
            self.second = Some(Claim { same_zone, weight, node: node.clone() });
        }
    }

    fn ownership(&self) -> Option<Ownership> {
        Some(Ownership {
            owner: self.first.as_ref()?.node.clone(),
            standby: self.second.as_ref().map(|claim| claim.node.clone()),
        })
    }

    fn includes(&self, node: &NodeName) -> bool {
        [&self.first, &self.second].into_iter().flatten().any(|claim| claim.node == *node)
    }
}

/// Chooses owner and standby of `instance`, which runs in `zone`. Nodes in the same zone come
/// first, then nodes with a higher weight. `None` if there is no candidate.
pub fn ownership<'a>(
    instance: &InstanceName,
    zone: &ZoneName,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Option<Ownership> {
    let mut claims = Claims::default();
    for candidate in candidates {
        claims.add(instance, zone, &candidate.node, &candidate.zone);
    }
    claims.ownership()
}

#[derive(Clone, Debug)]
struct InstanceOwners {
    zone: ZoneName,
    claims: Claims,
    ownership: Option<Ownership>,
}

/// Owner and standby of every instance, updated incrementally. A node that leaves costs a new
/// choice for the instances to which it had a claim; a node that joins costs one comparison for
/// each instance.
#[derive(Clone, Debug, Default)]
pub struct OwnershipTable {
    nodes: HashMap<NodeName, ZoneName>,
    instances: HashMap<InstanceName, InstanceOwners>,
}

impl OwnershipTable {
    /// Owner and standby of an instance; `None` if it is unknown or there is no candidate.
    pub fn get(&self, instance: &InstanceName) -> Option<&Ownership> {
        self.instances.get(instance)?.ownership.as_ref()
    }

    /// Replaces the candidates and instances.
    pub fn update<'a>(
        &mut self,
        candidates: impl IntoIterator<Item = &'a Candidate>,
        instances: impl IntoIterator<Item = (&'a InstanceName, &'a ZoneName)>,
    ) {
        let candidates = candidates.into_iter();
        let nodes: HashMap<NodeName, ZoneName> =
            candidates.map(|candidate| (candidate.node.clone(), candidate.zone.clone())).collect();
        let previous = std::mem::replace(&mut self.nodes, nodes);
        let left = difference(&previous, &self.nodes);
        let joined = difference(&self.nodes, &previous);
        let mut known = std::mem::take(&mut self.instances);
        for (instance, zone) in instances {
            let kept = known.remove(instance).filter(|owners| {
                owners.zone == *zone && !left.iter().any(|node| owners.claims.includes(node))
            });
            let owners = match kept {
                Some(owners) if joined.is_empty() => owners,
                Some(owners) => self.add_claims(instance, zone, owners.claims, joined.iter()),
                None => self.add_claims(instance, zone, Claims::default(), self.nodes.keys()),
            };
            self.instances.insert(instance.clone(), owners);
        }
    }

    /// Adds the claims of `nodes` to those already known.
    fn add_claims<'a>(
        &self,
        instance: &InstanceName,
        zone: &ZoneName,
        mut claims: Claims,
        nodes: impl Iterator<Item = &'a NodeName>,
    ) -> InstanceOwners {
        for node in nodes {
            claims.add(instance, zone, node, &self.nodes[node]);
        }
        let ownership = claims.ownership();
        InstanceOwners { zone: zone.clone(), claims, ownership }
    }
}

/// Nodes of `these` that `others` lacks or has in another zone.
fn difference(
    these: &HashMap<NodeName, ZoneName>,
    others: &HashMap<NodeName, ZoneName>,
) -> Vec<NodeName> {
    let is_missing = |(node, zone): &(&NodeName, &ZoneName)| others.get(*node) != Some(*zone);
    these.iter().filter(is_missing).map(|(node, _)| node.clone()).collect()
}
