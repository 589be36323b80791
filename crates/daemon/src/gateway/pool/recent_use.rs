//! How many connections of a pool were in use at once lately.

use std::time::{Duration, Instant};

/// The time that is looked back on, at the least; twice as long at the most. A pool that gets a statement every
/// few seconds, as those of hundreds of small groups do, keeps the connection for the next one.
const PERIOD: Duration = Duration::from_secs(10);

/// Peaks of the period under way and the one before.
#[derive(Clone, Copy, Debug)]
pub struct RecentUse {
    began: Instant,
    peak: u32,
    peak_before: u32,
}

impl RecentUse {
    /// Nothing was in use so far.
    pub fn new(now: Instant) -> Self {
        Self { began: now, peak: 0, peak_before: 0 }
    }

    /// As many connections are in use now.
    pub fn on_use(&mut self, in_use: u32, now: Instant) {
        self.pass_time(now);
        self.peak = self.peak.max(in_use);
    }

    /// The most that were in use at once lately.
    pub fn peak(&self, now: Instant) -> u32 {
        let mut current = *self;
        current.pass_time(now);
        current.peak.max(current.peak_before)
    }

    fn pass_time(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.began);
        if passed < PERIOD {
            return;
        }
        self.peak_before = if passed < 2 * PERIOD { self.peak } else { 0 };
        self.peak = 0;
        self.began = now;
    }
}
