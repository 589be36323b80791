//! How many statements a node sends to an instance at once, where others send to it as well.
//!
//! Each owner of a group may fill an instance's slots by its own count, and none sees what the others send.
//! At a peak of load the instance then refuses what comes beyond its slots, and refused statements go out
//! again after random waits, behind others that came later. So a refusal lowers the limit by a part, and
//! answers raise it again by one for as many as it is: what does not fit waits in the owner's queue, in
//! its order. Answers that come slowly raise it slowly, so the limit follows what is left for this node.

use std::time::{Duration, Instant};

/// Part of the limit that a refusal leaves.
const DECREASE_FACTOR: f64 = 0.7;
/// Refusals within this time count once: they answer what was sent under one limit. About the time of a
/// statement.
const REFUSAL_COALESCING_PERIOD: Duration = Duration::from_millis(40);
const MIN_LIMIT: f64 = 1.0;

/// The limit for one instance.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    most: f64,
    current: f64,
    lowered: Option<Instant>,
}

impl ConcurrencyLimit {
    /// As many as the instance runs well at once.
    pub fn new(slots: u32) -> Self {
        let most = f64::from(slots.max(1));
        Self { most, current: most, lowered: None }
    }

    /// The instance runs another number well at once.
    pub fn set_slots(&mut self, slots: u32) {
        let most = f64::from(slots.max(1));
        self.current = if self.current >= self.most { most } else { self.current.min(most) };
        self.most = most;
    }

    /// Statements that may be under way at once.
    pub fn limit(&self) -> u32 {
        self.current as u32
    }

    /// The instance had no room.
    pub fn on_refused(&mut self, now: Instant) {
        if self.lowered.is_some_and(|at| now < at + REFUSAL_COALESCING_PERIOD) {
            return;
        }
        self.lowered = Some(now);
        self.current = (self.current * DECREASE_FACTOR).max(MIN_LIMIT);
    }

    /// The instance answered.
    pub fn on_answered(&mut self) {
        self.current = (self.current + 1.0 / self.current).min(self.most);
    }
}
