//! How many connections of a pool were in use at once lately.

use std::time::{Duration, Instant};

/// The time that is looked back on, at the least; twice as long at the most. A pool that gets a statement every
/// few seconds, as those of hundreds of small groups do, keeps the connection for the next one.
const WINDOW: Duration = Duration::from_secs(10);

/// Peaks of the period under way and the one before.
#[derive(Clone, Copy, Debug)]
pub struct RecentUse {
    window_start: Instant,
    peak: u32,
    previous_peak: u32,
}

impl RecentUse {
    /// Nothing was in use so far.
    pub fn new(now: Instant) -> Self {
        Self { window_start: now, peak: 0, previous_peak: 0 }
    }

    /// As many connections are in use now.
    pub fn on_use(&mut self, in_use: u32, now: Instant) {
        self.advance_window(now);
        self.peak = self.peak.max(in_use);
    }

    /// The most that were in use at once lately.
    pub fn peak(&self, now: Instant) -> u32 {
        let mut current = *self;
        current.advance_window(now);
        current.peak.max(current.previous_peak)
    }

    fn advance_window(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.window_start);
        if passed < WINDOW {
            return;
        }
        self.previous_peak = if passed < 2 * WINDOW { self.peak } else { 0 };
        self.peak = 0;
        self.window_start = now;
    }
}
