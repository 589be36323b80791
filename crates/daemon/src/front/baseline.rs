//! Where the baselines that the product is compared with send reads.

use std::time::{Duration, Instant};

use kestrellock_core::routing::Access;

use crate::policy::Policy;

/// How long a session stays on the primary after a write under [`Policy::StickyPrimary`]: a common
/// choice of proxies that know nothing of positions.
pub const STICKY_PERIOD: Duration = Duration::from_secs(5);

/// What the instance is chosen for, given what the statement needs: a baseline may send a read to
/// the primary. `last_write` is when the session last sent a write.
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

/// Whether sessions keep a position that their reads must have reached.
pub fn uses_session_bounds(policy: Policy) -> bool {
    !matches!(policy, Policy::PrimaryOnly | Policy::StickyPrimary | Policy::RoundRobin)
}
