//! Rendezvous hashing: which node owns an instance.
//!
//! Every node computes the same answer from the same list of live nodes, and a node that joins or
//! leaves moves only the instances it wins or held.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{InstanceName, NodeName, ZoneName};

/// A node that may own instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: NodeName,
    /// Zone it runs in.
    pub zone: ZoneName,
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

/// Chooses owner and standby of `instance`, which runs in `zone`: nodes of the same zone first,
/// higher weight next. `None` if there is no candidate.
pub fn ownership<'a>(
    instance: &InstanceName,
    zone: &ZoneName,
    candidates: impl IntoIterator<Item = &'a Candidate>,
) -> Option<Ownership> {
    let mut best: Option<((bool, u64), &Candidate)> = None;
    let mut second: Option<((bool, u64), &Candidate)> = None;
    for candidate in candidates {
        let rank = (candidate.zone == *zone, weight(instance, &candidate.node));
        if best.is_none_or(|(top, _)| rank > top) {
            second = best;
            best = Some((rank, candidate));
        } else if second.is_none_or(|(next, _)| rank > next) {
            second = Some((rank, candidate));
        }
    }
    let (_, owner) = best?;
    Some(Ownership {
        owner: owner.node.clone(),
        standby: second.map(|(_, standby)| standby.node.clone()),
    })
}
