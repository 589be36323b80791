//! What goes into the scheduler and what comes out of it.

use std::time::{Duration, Instant};

use crate::catalog::Priority;
use crate::ids::{AccountName, TenantName};
use crate::outcome::ResultCode;

/// What an instance can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests running at once.
    pub slots: u32,
    /// Requests waiting at once.
    pub queue_length: usize,
}

/// What the scheduler must know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Tenant that is charged.
    pub tenant: TenantName,
    /// Account on whose behalf it is asked: accounts of one tenant share like tenants.
    pub account: Option<AccountName>,
    /// Requests that the tenant may have running at once on this instance.
    pub capacity: u32,
    /// Order among all requests.
    pub priority: Priority,
    /// Time by which it is to be finished.
    pub deadline: Instant,
}

/// Requests of one account that wait and could start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Startable {
    /// The account; `None`: nobody in particular.
    pub account: Option<AccountName>,
    /// How many.
    pub count: u32,
    /// How long the one that has waited longest has.
    pub waited: Duration,
}

/// A refusal: the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// `Overloaded`, or `TenantOverCapacity` where the tenant's own limit is the cause.
    pub code: ResultCode,
    /// When to come back.
    pub retry_after: Duration,
}

/// A request that was refused on arrival, given back.
#[derive(Debug, PartialEq, Eq)]
pub struct Refused<T> {
    /// The request's work.
    pub work: T,
    /// Why.
    pub overload: Overload,
}

/// The right to one slot, given back through [`Scheduler::finish`](super::Scheduler::finish).
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(super) tenant: usize,
    pub(super) level: usize,
    /// When it last took its slot, and what its tenant was charged then; `None` while paused.
    pub(super) running: Option<Running>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Running {
    pub started: Instant,
    pub charged: u64,
}

/// What comes out of the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dispatch<T> {
    /// Run it now.
    Run {
        /// Its slot.
        ticket: Ticket,
        /// The work.
        work: T,
    },
    /// It can no longer finish in time: answer it at once.
    Expired(Refused<T>),
}
