//! Rendezvous hashing: which node owns an instance.
//!
//! Every node computes the same answer from the same list of live nodes, and a node that joins or
//! leaves moves only the instances it wins or held.

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
    /// What its link carries, in Mbit/s; zero where its settings do not tell.
    pub link_mbps: u32,
}

/// The two nodes responsible for an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// Holds the pooled connections.
    pub owner: NodeName,
    /// Takes over when the owner goes; `None` where only one node is live.
    pub standby: Option<NodeName>,
}

fn weight(instance: &InstanceName, node: &NodeName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(instance.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    hasher.digest()
}

/// A candidate's claim to an instance; the greatest wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Claim {
    same_zone: bool,
    weight: u64,
    node: NodeName,
}

/// The two greatest claims to an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Claims {
    first: Option<Claim>,
    second: Option<Claim>,
}

impl Claims {
    fn add(&mut self, instance: &InstanceName, zone: &ZoneName, node: &NodeName, at: &ZoneName) {
        let (same_zone, weight) = (at == zone, weight(instance, node));
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

    fn holds(&self, node: &NodeName) -> bool {
        [&self.first, &self.second].into_iter().flatten().any(|claim| claim.node == *node)
    }
}

/// Chooses owner and standby of `instance`, which runs in `zone`: nodes of the same zone first,
/// higher weight next. `None` if there is no candidate.
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
struct Placement {
    zone: ZoneName,
    claims: Claims,
    ownership: Option<Ownership>,
}

/// Owner and standby of every instance, brought up to date by differences: a node that leaves
/// costs the instances that it held, a node that joins one comparison an instance.
#[derive(Clone, Debug, Default)]
pub struct OwnershipTable {
    nodes: HashMap<NodeName, ZoneName>,
    instances: HashMap<InstanceName, Placement>,
}

impl OwnershipTable {
    /// Owner and standby of an instance; `None` if it is unknown or there is no candidate.
    pub fn get(&self, instance: &InstanceName) -> Option<&Ownership> {
        self.instances.get(instance)?.ownership.as_ref()
    }

    /// Puts other candidates and instances in force.
    pub fn update<'a>(
        &mut self,
        candidates: impl IntoIterator<Item = &'a Candidate>,
        instances: impl IntoIterator<Item = (&'a InstanceName, &'a ZoneName)>,
    ) {
        let candidates = candidates.into_iter();
        let nodes: HashMap<NodeName, ZoneName> =
            candidates.map(|candidate| (candidate.node.clone(), candidate.zone.clone())).collect();
        let before = std::mem::replace(&mut self.nodes, nodes);
        let left = differences(&before, &self.nodes);
        let joined = differences(&self.nodes, &before);
        let mut known = std::mem::take(&mut self.instances);
        for (instance, zone) in instances {
            let kept = known.remove(instance).filter(|placement| {
                placement.zone == *zone && !left.iter().any(|node| placement.claims.holds(node))
            });
            let placement = match kept {
                Some(placement) if joined.is_empty() => placement,
                Some(placement) => self.place(instance, zone, placement.claims, joined.iter()),
                None => self.place(instance, zone, Claims::default(), self.nodes.keys()),
            };
            self.instances.insert(instance.clone(), placement);
        }
    }

    /// Adds the claims of `nodes` to those already known.
    fn place<'a>(
        &self,
        instance: &InstanceName,
        zone: &ZoneName,
        mut claims: Claims,
        nodes: impl Iterator<Item = &'a NodeName>,
    ) -> Placement {
        for node in nodes {
            claims.add(instance, zone, node, &self.nodes[node]);
        }
        let ownership = claims.ownership();
        Placement { zone: zone.clone(), claims, ownership }
    }
}

/// Nodes of `these` that `others` does not hold in the same zone.
fn differences(
    these: &HashMap<NodeName, ZoneName>,
    others: &HashMap<NodeName, ZoneName>,
) -> Vec<NodeName> {
    let differs = |(node, zone): &(&NodeName, &ZoneName)| others.get(*node) != Some(*zone);
    these.iter().filter(differs).map(|(node, _)| node.clone()).collect()
}
