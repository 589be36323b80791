//! Inputs and outputs of the scheduler: requests, limits, refusals and the slots in use.

use std::time::{Duration, Instant};

use crate::catalog::Priority;
use crate::ids::{AccountName, TenantName};
use crate::outcome::ResultCode;

/// Limits of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that may run concurrently.
    pub slots: u32,
    /// Requests that may wait.
    pub queue_length: usize,
}

/// What the scheduler needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Tenant that is charged.
    pub tenant: TenantName,
    /// Account that the request belongs to. The accounts of one tenant are scheduled like separate
    /// tenants.
    pub account: Option<AccountName>,
    /// Requests that the tenant may run concurrently on this instance.
    pub capacity: u32,
    /// Priority in the instance's queue, compared across all tenants.
    pub priority: Priority,
    /// Time by which the request must finish.
    pub deadline: Instant,
}

/// Waiting requests of one account that could start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Startable {
    /// The account; `None` for requests without an account.
    pub account: Option<AccountName>,
    /// Number of requests.
    pub count: u32,
    /// Longest time that any of them has waited.
    pub waited: Duration,
    /// Highest priority of any of them.
    pub priority: Priority,
}

/// The reason for a refusal; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// `Overloaded`, or `TenantOverCapacity` if the tenant's own limit is the cause.
    pub code: ResultCode,
    /// Delay after which to retry.
    pub retry_after: Duration,
}

/// A refused request, with the work returned.
#[derive(Debug, PartialEq, Eq)]
pub struct Refused<T> {
    /// The request's work.
    pub work: T,
    /// The reason for the refusal.
    pub overload: Overload,
}

/// The use of one slot, ended by [`Scheduler::finish`](super::Scheduler::finish).
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(super) tenant: usize,
    pub(super) level: usize,
    /// When the slot was last taken and what the tenant was charged for it; `None` while paused.
    pub(super) running: Option<Running>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Running {
    pub started: Instant,
    pub charged: u64,
}

/// The next request and what to do with it.
#[derive(Debug, PartialEq, Eq)]
pub enum Dispatch<T> {
    /// Run the request now.
    Run {
        /// The slot it uses.
        ticket: Ticket,
        /// The work.
        work: T,
    },
    /// The request can no longer finish before its deadline: answer it at once.
    Expired(Refused<T>),
}
