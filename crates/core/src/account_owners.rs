//! Chooses which of a group's owners serve an account.
//!
//! A connection to an instance belongs to one account, and an owner has few connections to each
//! instance. If each owner served all accounts, nearly every statement would find only connections
//! of other accounts. Rendezvous hashing therefore divides the accounts among the available owners.
//! An account with a high quota is served by several owners, in proportion to its share of all
//! quotas.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::{AccountName, GroupName, NodeName};

/// Owners that serve an account, relative to the number that its share of the load requires. With a
/// factor of one, the statements of an account whose load varies over time would queue while other
/// owners are idle.
const OWNERS_PER_LOAD_SHARE: f64 = 2.0;

fn weight(group: &GroupName, account: &AccountName, node: &NodeName) -> u64 {
    let mut hasher = Xxh3::new();
    for name in [group.as_str(), account.as_str(), node.as_str()] {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// How many of `owners` owners serve an account whose share of all quotas is `quota_share`; all of
/// them if the share is unknown.
pub fn serving_owner_count(quota_share: Option<f64>, owners: usize) -> usize {
    let Some(quota_share) = quota_share else { return owners };
    let wanted = (quota_share * owners as f64 * OWNERS_PER_LOAD_SHARE).ceil();
    (wanted as usize).clamp(1, owners.max(1))
}

/// The owner among `owners` that serves the account's next statement. `random` spreads the
/// statements of an account that several owners serve.
pub fn choose_owner<'a>(
    group: &GroupName,
    account: &AccountName,
    quota_share: Option<f64>,
    owners: &[&'a NodeName],
    random: u64,
) -> Option<&'a NodeName> {
    let mut ranked: Vec<(u64, &NodeName)> =
        owners.iter().map(|node| (weight(group, account, node), *node)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    let serving = serving_owner_count(quota_share, ranked.len());
    let chosen = random as usize % serving.max(1);
    ranked.get(chosen).map(|(_, node)| *node)
}
