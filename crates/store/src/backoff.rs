//! Exponential backoff with jitter, so that many nodes do not retry at the same time.

use std::time::Duration;

/// Delays that double from an initial to a maximum value; jitter reduces each by up to half.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    last: Duration,
    next: Duration,
}

impl Backoff {
    /// A backoff whose delays grow from `first` to `last`.
    pub fn new(first: Duration, last: Duration) -> Self {
        Self { first, last, next: first }
    }

    /// The next delay; `random` is uniform in 0..1.
    pub fn next_delay(&mut self, random: f64) -> Duration {
        let ceiling = self.next;
        self.next = (self.next * 2).min(self.last);
        ceiling.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
    }

    /// Starts again from the initial delay, after a successful attempt.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
