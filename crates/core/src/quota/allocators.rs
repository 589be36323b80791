//! Which nodes grant for an account, in order: rendezvous hashing over the live nodes.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{AccountName, NodeName};

fn weight(account: &AccountName, node: &NodeName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(account.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    hasher.digest()
}

/// The `count` nodes that grant for an account: the first one, and who stands in where it cannot be
/// reached.
pub fn allocators<'a>(
    account: &AccountName,
    nodes: impl IntoIterator<Item = &'a NodeName>,
    count: usize,
) -> Vec<&'a NodeName> {
    let mut first: Vec<(u64, &NodeName)> = Vec::with_capacity(count + 1);
    for node in nodes {
        let claim = (weight(account, node), node);
        let place = first.partition_point(|other| *other > claim);
        if place < count {
            first.insert(place, claim);
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, node)| node).collect()
}
