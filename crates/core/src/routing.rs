//! Chooses the instance of a group that serves a statement.
//!
//! Inputs are the required access, with its session bound and staleness limit, and the last known
//! status of each instance. The choice keeps a session from reading data older than what it has
//! already seen or written.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceName, ZoneName};
use crate::position::{Position, Term};

/// A primary counts as confirmed for at least this long after a majority confirmed it. This is more
/// than the time between two probes, so that a smaller staleness limit does not exclude the primary
/// itself.
pub const CONFIRMATION_PERIOD: Duration = Duration::from_secs(1);

/// The role that an instance reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes, or believes that it may.
    Primary,
    /// Follows a primary.
    Replica,
}

/// The last known status of an instance, from its own report.
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
    /// Whether it answered the last probe.
    pub reachable: bool,
    /// Expected wait for a slot; `None` from a node that does not own the instance.
    pub queue_wait: Option<Duration>,
    /// For a replica: how far its data lags behind the confirmed primary.
    pub lag: Duration,
    /// For a primary: time since a majority last confirmed its term.
    pub unconfirmed_for: Option<Duration>,
}

/// What a statement requires of the instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// Any instance that has reached `bound` and lags by at most `max_staleness`.
    Read {
        /// Session bound, if the session has one.
        bound: Option<Position>,
        /// Maximum lag.
        max_staleness: Duration,
    },
    /// The primary, because the read must see every commit acknowledged before it.
    PrimaryRead {
        /// Session bound, if the session has one.
        bound: Option<Position>,
    },
    /// The primary, because the statement may change data.
    Write {
        /// Session bound, since the statement may also read.
        bound: Option<Position>,
    },
}

/// An instance of the group, as known to the node that routes.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its last known status.
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
    /// To this replica, which is expected to reach the bound within the given time.
    ServeAfter(&'a InstanceName, Duration),
    /// No instance qualifies yet.
    NoInstance,
}

/// Finds the reachable instance that reports to be primary under the highest term that any instance
/// has reported. A primary under a lower term has been replaced, even while the new one is unknown.
pub fn primary<'a>(candidates: &[Candidate<'a>]) -> Option<&'a InstanceStatus> {
    let statuses = candidates.iter().map(|candidate| candidate.status);
    let newest = statuses.clone().map(|status| status.flushed.term).max()?;
    statuses
        .filter(|status| status.reachable && status.role == Role::Primary)
        .find(|status| status.applied.term >= newest)
}

/// Whether an instance may serve a read with this bound and staleness limit.
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
    /// Whether the statement may change data.
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

/// Whether an instance may run a statement with this bound. The instance reported `status` over a
/// connection that is still open; a front may know an older status.
pub fn has_reached(status: &InstanceStatus, access: &Access) -> bool {
    let reached = |bound: &Position| match access {
        Access::Read { .. } | Access::PrimaryRead { .. } => status.applied.satisfies(bound),
        // A primary has applied everything it wrote, so only its term can be too low.
        Access::Write { .. } => status.applied.term >= bound.term,
    };
    access.bound().is_none_or(reached)
}

/// Whether a primary that leads the term `led` may lack a commit of a session with the bound
/// `bound`. A commit of a higher term was acknowledged by an instance that replaced this primary.
/// Commits of the primary's own term, and those of lower terms, are in its log. Evidence that the
/// primary led does not replace the comparison: it may be as old as the staleness that the session
/// accepts for commits of others.
pub fn may_lack_session_commits(led: Option<Term>, bound: Option<&Position>) -> bool {
    led.zip(bound).is_some_and(|(led, bound)| led < bound.term)
}

/// Chooses the instance for `access`. For a read: the nearest qualifying replica, among equally
/// near ones the one with the shortest queue, and the primary if no replica qualifies. For a write:
/// the primary.
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

/// Whether a primary may run a statement. A primary that no majority has confirmed for too long may
/// have been replaced, so its data counts as that old.
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
