//! Growing waits between attempts, with jitter so that many nodes do not come back together.

use std::time::Duration;

/// Waits that double from a first to a last one, each drawn from its upper half.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    last: Duration,
    next: Duration,
}

impl Backoff {
    /// Waits between `first` and `last`.
    pub fn new(first: Duration, last: Duration) -> Self {
        Self { first, last, next: first }
    }

    /// The next wait; `random` is uniform in 0..1.
    pub fn next_delay(&mut self, random: f64) -> Duration {
        let ceiling = self.next;
        self.next = (self.next * 2).min(self.last);
        ceiling.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
    }

    /// An attempt succeeded.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
