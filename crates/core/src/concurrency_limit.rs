//! Limits how many statements a node sends to an instance concurrently, when other nodes send to
//! the instance as well.
//!
//! Each owner of a group could fill an instance's slots on its own, and no owner sees what the
//! others send. At peak load the instance then refuses the statements beyond its slots. Refused
//! statements are sent again after random delays, behind statements that arrived later. Therefore a
//! refusal multiplies the limit by `DECREASE_FACTOR`, and a full limit's worth of answers raises
//! it by one (AIMD). Statements above the limit wait in the owner's queue, in its order. Slow
//! answers raise the limit slowly, so it follows the capacity that is left for this node.

use std::time::{Duration, Instant};

/// Factor by which a refusal lowers the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// Refusals within this period count once, because they answer statements that were sent under the
/// same limit. About the service time of a statement.
const REFUSAL_COALESCING_PERIOD: Duration = Duration::from_millis(40);
const MIN_LIMIT: f64 = 1.0;

/// The concurrency limit for one instance.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    max: f64,
    current: f64,
    lowered_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the instance's number of slots.
    pub fn new(slots: u32) -> Self {
        let max = f64::from(slots.max(1));
        Self { max, current: max, lowered_at: None }
    }

    /// Changes the instance's number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        let max = f64::from(slots.max(1));
        self.current = if self.current >= self.max { max } else { self.current.min(max) };
        self.max = max;
    }

    /// Number of statements that may run concurrently.
    pub fn limit(&self) -> u32 {
        self.current as u32
    }

    /// Records that the instance refused a statement for lack of a free slot.
    pub fn on_refused(&mut self, now: Instant) {
        if self.lowered_at.is_some_and(|at| now < at + REFUSAL_COALESCING_PERIOD) {
            return;
        }
        self.lowered_at = Some(now);
        self.current = (self.current * DECREASE_FACTOR).max(MIN_LIMIT);
    }

    /// Records that the instance answered a statement.
    pub fn on_answered(&mut self) {
        self.current = (self.current + 1.0 / self.current).min(self.max);
    }
}
