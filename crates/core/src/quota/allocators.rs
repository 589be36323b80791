//! Selects the nodes that allocate an account's tokens, by rendezvous hashing over the live nodes.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{AccountName, NodeName};

fn weight(account: &AccountName, node: &NodeName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(account.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    hasher.digest()
}

/// The first `count` nodes in the account's rendezvous order. The first one allocates; the others
/// replace it, in this order, while it is unreachable.
pub fn allocators<'a>(
    account: &AccountName,
    nodes: impl IntoIterator<Item = &'a NodeName>,
    count: usize,
) -> Vec<&'a NodeName> {
    let mut first: Vec<(u64, &NodeName)> = Vec::with_capacity(count + 1);
    for node in nodes {
        let candidate = (weight(account, node), node);
        let index = first.partition_point(|other| *other > candidate);
        if index < count {
            first.insert(index, candidate);
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, node)| node).collect()
}
