//! Which instance of a group serves a statement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceName, ZoneName};
use crate::position::Position;

/// A primary counts as confirmed for at least this long after a majority confirmed it: more than
/// the time between two probes, so that a smaller staleness does not shut out the primary itself.
pub const CONFIRMATION_PERIOD: Duration = Duration::from_secs(1);

/// What an instance says it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes, or believes it may.
    Primary,
    /// Follows a primary.
    Replica,
}

/// What was last learnt of an instance, by asking it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceName,
    /// Role it reported.
    pub role: Role,
    /// Term and offset applied, which reads see.
    pub applied: Position,
    /// Term and offset flushed to its log, which elections count.
    pub flushed: Position,
    /// Whether the last probe was answered.
    pub reachable: bool,
    /// Expected wait for a slot; `None` from a node that does not own the instance.
    pub queue_wait: Option<Duration>,
    /// For a replica: how far its data trails the confirmed primary.
    pub lag: Duration,
    /// For a primary: time since a majority last confirmed its term.
    pub unconfirmed_for: Option<Duration>,
}

/// What a statement needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// Any instance that has reached `bound` and trails by at most `max_staleness`.
    Read {
        /// Session bound, if the session has one.
        bound: Option<Position>,
        /// Largest lag accepted.
        max_staleness: Duration,
    },
    /// The primary, because the read must see every commit acknowledged before it.
    PrimaryRead {
        /// Session bound, if the session has one.
        bound: Option<Position>,
    },
    /// The primary, because the statement may change something.
    Write {
        /// Session bound: the statement may read, too.
        bound: Option<Position>,
    },
}

/// An instance of the group, as far as it is known to the node that routes.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What is known of it.
    pub status: &'a InstanceStatus,
    /// Zone it runs in.
    pub zone: &'a ZoneName,
    /// Time since the status was received.
    pub age: Duration,
}

/// Where a statement goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice<'a> {
    /// To this instance, now.
    Serve(&'a InstanceName),
    /// To this replica, which is expected to reach the bound within `wait`.
    ServeAfter(&'a InstanceName, Duration),
    /// Nowhere yet: no instance qualifies.
    NoInstance,
}

/// Picks the reachable instance that claims to be primary under the highest term that any instance
/// has shown. A primary under a lower one has been replaced, even while its successor is unknown.
pub fn primary<'a>(candidates: &[Candidate<'a>]) -> Option<&'a InstanceStatus> {
    let statuses = candidates.iter().map(|candidate| candidate.status);
    let newest = statuses.clone().map(|status| status.flushed.term).max()?;
    statuses
        .filter(|status| status.reachable && status.role == Role::Primary)
        .find(|status| status.applied.term >= newest)
}

/// Whether `status` may serve a read with this bound and staleness.
fn qualifies(candidate: &Candidate, bound: Option<&Position>, max_staleness: Duration) -> bool {
    let status = candidate.status;
    let age = match status.role {
        Role::Replica => status.lag,
        Role::Primary => status.unconfirmed_for.unwrap_or(Duration::ZERO),
    };
    status.reachable
        && age.saturating_add(candidate.age) <= max_staleness
        && bound.is_none_or(|bound| status.applied.satisfies(bound))
}

impl Access {
    /// Whether the statement may change something.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Write { .. })
    }

    /// The session bound.
    pub fn bound(&self) -> Option<&Position> {
        match self {
            Self::Read { bound, .. } | Self::PrimaryRead { bound } | Self::Write { bound } => {
                bound.as_ref()
            }
        }
    }
}

/// Whether an instance that last reported `status` over a connection that still stands may run a
/// statement with this bound. What a front knows of it may be older.
pub fn has_reached(status: &InstanceStatus, access: &Access) -> bool {
    let reached = |bound: &Position| match access {
        Access::Read { .. } | Access::PrimaryRead { .. } => status.applied.satisfies(bound),
        // A primary applies what it writes; only its term can fall behind.
        Access::Write { .. } => status.applied.term >= bound.term,
    };
    access.bound().is_none_or(reached)
}

/// Chooses the instance for `access`: for a read the nearest qualifying replica, the shortest
/// queue among equals, the primary when no replica qualifies; for a write the primary.
pub fn choose<'a>(
    access: &Access,
    candidates: &[Candidate<'a>],
    local_zone: &ZoneName,
) -> Choice<'a> {
    let Access::Read { bound, max_staleness } = access else {
        return serve_primary(access, candidates);
    };
    let replica = candidates
        .iter()
        .filter(|candidate| candidate.status.role == Role::Replica)
        .filter(|candidate| qualifies(candidate, bound.as_ref(), *max_staleness))
        .min_by_key(|candidate| (candidate.zone != local_zone, candidate.status.queue_wait));
    match replica {
        Some(candidate) => Choice::Serve(&candidate.status.instance),
        None => serve_primary(access, candidates),
    }
}

fn serve_primary<'a>(access: &Access, candidates: &[Candidate<'a>]) -> Choice<'a> {
    let primary = candidates
        .iter()
        .filter(|candidate| candidate.status.reachable)
        .filter(|candidate| candidate.status.role == Role::Primary)
        .max_by_key(|candidate| candidate.status.applied.term);
    match primary {
        Some(candidate) if may_run(candidate, access) => Choice::Serve(&candidate.status.instance),
        _ => Choice::NoInstance,
    }
}

/// Whether a primary may run a statement: one that a majority has not confirmed for too long may
/// have been replaced, and its data is as old as that.
fn may_run(primary: &Candidate, access: &Access) -> bool {
    if !has_reached(primary.status, access) {
        return false;
    }
    let max_staleness = match access {
        Access::Read { max_staleness, .. } => max_staleness,
        Access::PrimaryRead { .. } => &Duration::ZERO,
        Access::Write { .. } => return true,
    };
    let unconfirmed = primary.status.unconfirmed_for.unwrap_or(Duration::ZERO);
    unconfirmed.saturating_add(primary.age) <= (*max_staleness).max(CONFIRMATION_PERIOD)
}
