//! Which of a group's owners serve an account.
//!
//! A connection to a back end belongs to one account, and an owner has a few connections to each instance. If
//! each owner served all accounts, nearly every statement would find connections of others only. So the
//! accounts are divided among the owners at hand by rendezvous hashing; one that may ask much is served by
//! several, in proportion to its part of all rates.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{AccountName, GroupName, NodeName};

/// Owners that serve an account for each owner's worth of load that it may ask: with just as many, an
/// account whose load is uneven over time would queue while others of its owners are idle.
const OWNERS_FOR_LOAD: f64 = 2.0;

fn weight(group: &GroupName, account: &AccountName, node: &NodeName) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [group.as_str(), account.as_str(), node.as_str()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// How many of `owners` serve an account whose quota is `part` of all; all of them where none is known.
pub fn serving_owner_count(part: Option<f64>, owners: usize) -> usize {
    let Some(part) = part else { return owners };
    let wanted = (part * owners as f64 * OWNERS_FOR_LOAD).ceil();
    (wanted as usize).clamp(1, owners.max(1))
}

/// The owner among `owners` that serves the account's next statement; `random` spreads those of an account
/// that several serve.
pub fn choose_owner<'a>(
    group: &GroupName,
    account: &AccountName,
    part: Option<f64>,
    owners: &[&'a NodeName],
    random: u64,
) -> Option<&'a NodeName> {
    let mut ranked: Vec<(u64, &NodeName)> =
        owners.iter().map(|node| (weight(group, account, node), *node)).collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    let serving = serving_owner_count(part, ranked.len());
    let chosen = random as usize % serving.max(1);
    ranked.get(chosen).map(|(_, node)| *node)
}
