//! Which nodes own a group: rendezvous hashing within each zone, the zones in turn.
//!
//! Every node computes the same owners from the same list of live nodes, and a node that joins or
//! leaves moves only the places that it wins or held. Each zone gets an owner before any gets its
//! second, so that a node finds one nearby.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{GroupName, NodeName, ZoneName};
use crate::rendezvous::Candidate;

fn weight(group: &GroupName, name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(group.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    hasher.digest()
}

/// The `count` nodes of `candidates` that own `group`; all of them if they are fewer.
pub fn owners<'a>(
    group: &GroupName,
    candidates: impl IntoIterator<Item = &'a Candidate>,
    count: usize,
) -> Vec<&'a Candidate> {
    let mut zones: BTreeMap<&ZoneName, Vec<(u64, &NodeName, &Candidate)>> = BTreeMap::new();
    for candidate in candidates {
        let claim = (weight(group, candidate.node.as_str()), &candidate.node, candidate);
        zones.entry(&candidate.zone).or_default().push(claim);
    }
    let mut claims = Vec::new();
    for (zone, nodes) in &mut zones {
        nodes.sort_unstable_by(|one, other| (other.0, other.1).cmp(&(one.0, one.1)));
        let zone_weight = weight(group, zone.as_str());
        let ranked = nodes.iter().take(count).enumerate();
        claims.extend(ranked.map(|(rank, claim)| (rank, zone_weight, *zone, claim.2)));
    }
    claims.sort_unstable_by_key(|(rank, zone_weight, zone, _)| (*rank, *zone_weight, *zone));
    claims.into_iter().take(count).map(|(_, _, _, candidate)| candidate).collect()
}
