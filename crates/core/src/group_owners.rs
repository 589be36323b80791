//! Chooses the nodes that own a group: rendezvous hashing within each zone, round-robin over zones.
//!
//! Every node computes the same owners from the same list of live nodes, and a node that joins or
//! leaves moves only the ownerships that it gains or loses. Each zone gets an owner before any zone
//! gets its second, so that nodes find an owner nearby.
//!
//! [`GroupOwnerTable`] keeps the owners of all groups and applies changes incrementally. A node
//! that joins costs one weight for each group. A node that leaves costs the weights of its zone for
//! the groups that it owned. Computing the weights of all nodes for all groups at each change would
//! take 985,000 weights with 1,000 groups and 985 nodes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{GroupName, NodeName, ZoneName};
use crate::rendezvous::Candidate;

/// Weight of a node or a zone for a group. It is computed from the hashes of their names, so that
/// each name is hashed only once.
fn weight(group_hash: u64, name_hash: u64) -> u64 {
    let mut bytes = [0_u8; 16];
    bytes[..8].copy_from_slice(&group_hash.to_le_bytes());
    bytes[8..].copy_from_slice(&name_hash.to_le_bytes());
    xxh3_64(&bytes)
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A node that may own groups.
#[derive(Clone, Debug)]
struct Node {
    hash: u64,
    candidate: Arc<Candidate>,
}

/// Candidates by zone.
type Zones = BTreeMap<ZoneName, Vec<Node>>;

/// A node's claim to a group; within a zone the highest weight wins.
#[derive(Clone, Debug)]
struct Claim {
    weight: u64,
    candidate: Arc<Candidate>,
}

impl Claim {
    fn order(&self) -> (u64, &NodeName) {
        (self.weight, &self.candidate.node)
    }
}

/// The owners of one group, and the claims by which they were chosen.
#[derive(Clone, Debug)]
struct GroupOwners {
    count: usize,
    /// Number of claims kept for each zone.
    depth: usize,
    /// The highest claims of each zone, in descending order.
    claims: BTreeMap<ZoneName, Vec<Claim>>,
    owners: Vec<Candidate>,
}

impl GroupOwners {
    /// Adds the claims of a zone's nodes.
    fn add_claims<'a>(
        &mut self,
        group_hash: u64,
        zone: &ZoneName,
        nodes: impl Iterator<Item = &'a Node>,
    ) {
        let depth = self.depth;
        let claims = self.claims.entry(zone.clone()).or_default();
        for node in nodes {
            let claim =
                Claim { weight: weight(group_hash, node.hash), candidate: node.candidate.clone() };
            let rank = claims.partition_point(|other| other.order() > claim.order());
            if rank < depth {
                claims.insert(rank, claim);
                claims.truncate(depth);
            }
        }
    }

    /// Chooses the owners: each zone's first claim comes before any second one.
    fn choose_owners(&mut self, group_hash: u64) {
        let ranked = self.claims.iter().flat_map(|(zone, claims)| {
            let zone_weight = weight(group_hash, hash(zone.as_str()));
            let ranks = claims.iter().enumerate();
            ranks.map(move |(rank, claim)| (rank, zone_weight, zone, &claim.candidate))
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by_key(|(rank, zone_weight, zone, _)| (*rank, *zone_weight, *zone));
        let chosen = ranked.into_iter().take(self.count);
        self.owners = chosen.map(|(_, _, _, candidate)| Candidate::clone(candidate)).collect();
    }
}

/// Owners of all groups, updated incrementally.
#[derive(Clone, Debug, Default)]
pub struct GroupOwnerTable {
    nodes: Arc<HashMap<NodeName, Node>>,
    zones: Arc<Zones>,
    groups: HashMap<GroupName, Arc<GroupOwners>>,
    computed_weights: u64,
}

/// Difference between two sets of candidates.
struct Difference<'a> {
    /// Nodes that joined, by zone.
    joined: BTreeMap<&'a ZoneName, Vec<&'a Node>>,
    left: HashSet<NodeName>,
    /// Zones of the nodes that left.
    left_zones: HashSet<ZoneName>,
}

impl GroupOwnerTable {
    /// The owners of a group; empty if the group is unknown or there is no candidate.
    pub fn owners_of(&self, group: &GroupName) -> &[Candidate] {
        self.groups
            .get(group)
            .map(|group_owners| group_owners.owners.as_slice())
            .unwrap_or_default()
    }

    /// Number of nodes that share the connections of a group, if the group is known.
    pub fn owner_count_of(&self, group: &GroupName) -> Option<usize> {
        Some(self.groups.get(group)?.count)
    }

    /// The groups that `node` owns, each with all its owners.
    pub fn owned_by<'a>(
        &'a self,
        node: &'a NodeName,
    ) -> impl Iterator<Item = (&'a GroupName, &'a [Candidate])> {
        let groups =
            self.groups.iter().map(|(group, group_owners)| (group, group_owners.owners.as_slice()));
        groups.filter(|(_, owners)| owners.iter().any(|owner| owner.node == *node))
    }

    /// Number of weights computed so far.
    pub fn computed_weights(&self) -> u64 {
        self.computed_weights
    }

    /// Replaces the candidates, and the groups with their numbers of owners.
    pub fn update<'a>(
        &mut self,
        candidates: impl IntoIterator<Item = &'a Candidate>,
        groups: impl IntoIterator<Item = (&'a GroupName, usize)>,
    ) {
        let previous = std::mem::take(&mut self.nodes);
        let nodes: HashMap<NodeName, Node> = candidates
            .into_iter()
            .map(|candidate| (candidate.node.clone(), reuse_or_new(&previous, candidate)))
            .collect();
        let left: HashSet<NodeName> = missing_in(&nodes, &previous).cloned().collect();
        let left_zones = left.iter().map(|node| previous[node].candidate.zone.clone()).collect();
        let joined: HashSet<&NodeName> = missing_in(&previous, &nodes).collect();
        if !left.is_empty() || !joined.is_empty() {
            self.zones = Arc::new(by_zone(nodes.values()));
        }
        let zones = self.zones.clone();
        let difference = Difference { joined: joined_by_zone(&zones, &joined), left, left_zones };
        let mut known = std::mem::take(&mut self.groups);
        let mut depths = HashMap::new();
        for (group, count) in groups {
            let depth = *depths.entry(count).or_insert_with(|| depth(&zones, count));
            let kept = known.remove(group).filter(|group_owners| group_owners.depth == depth);
            let group_owners = match kept {
                Some(group_owners) => self.update_group(group, count, group_owners, &difference),
                None => self.compute(group, count, depth),
            };
            self.groups.insert(group.clone(), group_owners);
        }
        self.nodes = Arc::new(nodes);
    }

    /// Computes the owners of a group that is new, or whose number of kept claims has changed.
    fn compute(&mut self, group: &GroupName, count: usize, depth: usize) -> Arc<GroupOwners> {
        let group_hash = hash(group.as_str());
        let mut group_owners =
            GroupOwners { count, depth, claims: BTreeMap::new(), owners: Vec::new() };
        for (zone, nodes) in self.zones.iter() {
            self.computed_weights += nodes.len() as u64;
            group_owners.add_claims(group_hash, zone, nodes.iter());
        }
        group_owners.choose_owners(group_hash);
        Arc::new(group_owners)
    }

    /// Updates the owners of a known group; they stay the same unless the difference affects a kept
    /// claim.
    fn update_group(
        &mut self,
        group: &GroupName,
        count: usize,
        mut group_owners: Arc<GroupOwners>,
        difference: &Difference,
    ) -> Arc<GroupOwners> {
        let group_hash = hash(group.as_str());
        let mut changed = group_owners.count != count;
        for zone in &difference.left_zones {
            let claims = group_owners.claims.get(zone).map(Vec::as_slice).unwrap_or_default();
            if !claims.iter().any(|claim| difference.left.contains(&claim.candidate.node)) {
                continue;
            }
            let remaining = self.zones.get(zone).map(Vec::as_slice).unwrap_or_default();
            self.computed_weights += remaining.len() as u64;
            let updated = Arc::make_mut(&mut group_owners);
            updated.claims.remove(zone);
            updated.add_claims(group_hash, zone, remaining.iter());
            changed = true;
        }
        for (zone, nodes) in &difference.joined {
            self.computed_weights += nodes.len() as u64;
            let known = group_owners.claims.get(*zone).map(Vec::as_slice).unwrap_or_default();
            let lowest = known.get(group_owners.depth - 1).map(Claim::order);
            let wins_claim = |node: &&Node| {
                let order = (weight(group_hash, node.hash), &node.candidate.node);
                let has_claim = known.iter().any(|claim| claim.candidate.node == *order.1);
                !has_claim && lowest.is_none_or(|lowest| order > lowest)
            };
            let winners: Vec<&Node> = nodes.iter().copied().filter(wins_claim).collect();
            if winners.is_empty() {
                continue;
            }
            Arc::make_mut(&mut group_owners).add_claims(group_hash, zone, winners.into_iter());
            changed = true;
        }
        if changed {
            let updated = Arc::make_mut(&mut group_owners);
            updated.count = count;
            updated.choose_owners(group_hash);
        }
        group_owners
    }
}

/// The node of a candidate: the previous one if the candidate has not changed.
fn reuse_or_new(previous: &HashMap<NodeName, Node>, candidate: &Candidate) -> Node {
    let known = previous.get(&candidate.node).filter(|node| *node.candidate == *candidate);
    known.cloned().unwrap_or_else(|| Node {
        hash: hash(candidate.node.as_str()),
        candidate: Arc::new(candidate.clone()),
    })
}

/// Nodes of `others` that are missing or different in `these`.
fn missing_in<'a>(
    these: &'a HashMap<NodeName, Node>,
    others: &'a HashMap<NodeName, Node>,
) -> impl Iterator<Item = &'a NodeName> {
    let is_same = |name: &NodeName, node: &Node| {
        these.get(name).is_some_and(|other| *other.candidate == *node.candidate)
    };
    others.iter().filter(move |(name, node)| !is_same(name, node)).map(|(name, _)| name)
}

fn by_zone<'a>(nodes: impl Iterator<Item = &'a Node>) -> Zones {
    let mut zones = Zones::new();
    for node in nodes {
        zones.entry(node.candidate.zone.clone()).or_default().push(node.clone());
    }
    zones
}

fn joined_by_zone<'a>(
    zones: &'a Zones,
    joined: &HashSet<&NodeName>,
) -> BTreeMap<&'a ZoneName, Vec<&'a Node>> {
    if joined.is_empty() {
        return BTreeMap::new();
    }
    let of_zone = |nodes: &'a Vec<Node>| -> Vec<&'a Node> {
        nodes.iter().filter(|node| joined.contains(&node.candidate.node)).collect()
    };
    let zones = zones.iter().map(|(zone, nodes)| (zone, of_zone(nodes)));
    zones.filter(|(_, nodes)| !nodes.is_empty()).collect()
}

/// Number of claims to keep for each zone to choose `count` owners. Zones get owners in turn, and a
/// zone with few nodes contributes all of them.
fn depth(zones: &Zones, count: usize) -> usize {
    let available =
        |depth: usize| zones.values().map(|nodes| nodes.len().min(depth)).sum::<usize>();
    let largest = zones.values().map(Vec::len).max().unwrap_or(0);
    (1..largest).find(|depth| available(*depth) >= count).unwrap_or(largest).max(1)
}
