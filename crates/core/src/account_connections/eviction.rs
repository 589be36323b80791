//! The order in which idle connections are closed for connections of other accounts.

use std::collections::HashMap;
use std::time::Instant;

use super::AccountUse;
use crate::ids::AccountName;

/// An idle connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection<'a> {
    /// Its key in the pool.
    pub key: usize,
    /// Its account; `None` for the gateway's own status queries.
    pub account: Option<&'a AccountName>,
    /// Whether it was opened in advance and has not run a statement yet.
    pub is_unused: bool,
}

/// Keys of the idle connections, the one to close first at the front. `idle` lists them with the
/// longest idle one first, which also decides between equals.
///
/// Unused connections that were opened in advance come first, because they cost other accounts the
/// connections that they use. Connections of urgent accounts come last. Otherwise the connection
/// comes first that is least likely to be used soon: of an account with `n` idle connections, the
/// most recently used one gets the next statement, and the others only overlapping ones.
pub fn eviction_order(idle: &[IdleConnection], recent: &AccountUse, now: Instant) -> Vec<usize> {
    let mut more_recent: HashMap<Option<&AccountName>, u32> = HashMap::new();
    let mut ranked: Vec<(bool, bool, f64, usize)> = Vec::with_capacity(idle.len());
    for connection in idle.iter().rev() {
        let rank = more_recent.entry(connection.account).or_default();
        *rank += 1;
        let weight = connection.account.map_or(0.0, |account| recent.weight(account, now));
        let is_urgent = connection.account.is_some_and(|account| recent.is_urgent(account, now));
        let likelihood = weight / f64::from(*rank);
        ranked.push((!connection.is_unused, is_urgent, likelihood, connection.key));
    }
    ranked.reverse();
    ranked.sort_by(|left, right| {
        (left.0, left.1).cmp(&(right.0, right.1)).then(left.2.total_cmp(&right.2))
    });
    ranked.into_iter().map(|(.., key)| key).collect()
}
