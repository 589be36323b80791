//! Read routing of the baseline policies that benchmarks compare session consistency with.

use std::time::{Duration, Instant};

use kestrellock_core::routing::Access;

use crate::policy::Policy;

/// How long a session reads from the primary after a write under [`Policy::StickyPrimary`]. Common
/// for proxies that do not track replication positions.
pub const STICKY_PERIOD: Duration = Duration::from_secs(5);

/// The access that the instance is chosen for: a baseline may send a read to the primary.
/// `last_write` is the time of the session's last write.
pub fn effective_access(
    access: Access,
    policy: Policy,
    last_write: Option<Instant>,
    now: Instant,
) -> Access {
    let is_sticky = || last_write.is_some_and(|at| now.duration_since(at) < STICKY_PERIOD);
    match policy {
        Policy::PrimaryOnly => Access::Write { bound: None },
        Policy::StickyPrimary if is_sticky() => Access::Write { bound: None },
        _ => access,
    }
}

/// Whether sessions track a position that the instances of their reads must have reached.
pub fn uses_session_bounds(policy: Policy) -> bool {
    !matches!(policy, Policy::PrimaryOnly | Policy::StickyPrimary | Policy::RoundRobin)
}
