//! Decides which accounts get a connection to an instance in advance, and which idle connection
//! closes when another account needs one.
//!
//! A connection belongs to one account, and opening it takes as much of a slot as a short
//! statement. The inputs are the accounts' recent use of the instance and the logins of their
//! clients. The decisions prevent urgent statements from waiting for a connection that could have
//! been opened before, or that was closed shortly before although its account uses it often.

mod advance;
mod eviction;
mod recent_use;

pub use advance::{AdvanceRequests, MAX_REQUESTS, REQUEST_LIFETIME};
pub use eviction::{IdleConnection, eviction_order};
pub use recent_use::{AccountUse, MAX_ACCOUNTS};

use std::time::Duration;

use crate::admission::Startable;
use crate::catalog::Priority;

/// Sorts accounts that wait for a connection: those that have waited for `starvation_limit` first,
/// then by priority, then by their wait. Without that limit, accounts with urgent statements would
/// get every new connection of an instance that is short of them.
pub fn sort_by_urgency(waiting: &mut [Startable], starvation_limit: Duration) {
    waiting.sort_by_key(|account| {
        let is_starved = account.waited >= starvation_limit;
        let priority = if is_starved { Priority::Order } else { account.priority };
        (priority, std::cmp::Reverse(account.waited))
    });
}
