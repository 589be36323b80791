//! Measures how long queued exchanges wait and for what: a free slot, or a connection of their
//! account.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Priority;

/// Shortest wait that is reported.
const MIN_REPORTED_WAIT: Duration = Duration::from_millis(20);

/// Total time during which all slots of a pool were taken.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotsTakenTime {
    total: Duration,
    taken_since: Option<Instant>,
}

impl SlotsTakenTime {
    /// Records whether all slots are taken from now on.
    pub fn update(&mut self, are_taken: bool, now: Instant) {
        self.total = self.at(now);
        self.taken_since = are_taken.then_some(now);
    }

    /// The total up to now.
    pub fn at(&self, now: Instant) -> Duration {
        let current = self.taken_since.map(|since| now.saturating_duration_since(since));
        self.total + current.unwrap_or_default()
    }
}

/// The state of a pool when it queued an exchange.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedAt {
    pub time: Instant,
    /// Number of waiting exchanges of the same or a higher priority.
    pub ahead: usize,
    pub slots_taken: Duration,
}

/// What an exchange mainly waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// All slots were taken.
    Slot,
    /// A slot was free, but no connection of the exchange's account was idle.
    Connection,
}

/// How long an exchange waited in the queue of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueWait {
    /// Id of the request, if the client's protocol has request ids.
    pub request: Option<String>,
    /// Priority of the exchange.
    pub priority: Priority,
    /// Time from its arrival in the queue until it left the queue.
    pub waited: Duration,
    /// Part of that time during which all slots were taken.
    pub waited_for_slot: Duration,
    /// Number of exchanges of the same or a higher priority that waited when it arrived.
    pub ahead: usize,
    /// Number of exchanges that the pool may run concurrently when it left the queue.
    pub limit: u32,
    /// Whether it left the queue to run, and not because it could no longer finish in time.
    pub is_run: bool,
}

impl QueueWait {
    /// What it waited for most of the time.
    pub fn cause(&self) -> WaitCause {
        match self.waited_for_slot * 2 >= self.waited {
            true => WaitCause::Slot,
            false => WaitCause::Connection,
        }
    }

    /// Whether the wait is long enough to be reported.
    pub(super) fn is_reported(waited: Duration) -> bool {
        waited >= MIN_REPORTED_WAIT
    }
}
