//! The recent peak of connections of a pool that were in use at the same time.

use std::time::{Duration, Instant};

/// Length of a measuring window. The peak covers between one and two windows, so that a pool that
/// gets a statement every few seconds, as those of hundreds of small groups do, keeps its
/// connection for the next statement.
const WINDOW: Duration = Duration::from_secs(10);

/// Peaks of the current and the previous window.
#[derive(Clone, Copy, Debug)]
pub struct RecentUse {
    window_start: Instant,
    peak: u32,
    previous_peak: u32,
}

impl RecentUse {
    /// Starts a window in which no connection has been used.
    pub fn new(now: Instant) -> Self {
        Self { window_start: now, peak: 0, previous_peak: 0 }
    }

    /// Records that `in_use` connections are in use now.
    pub fn on_use(&mut self, in_use: u32, now: Instant) {
        self.advance_window(now);
        self.peak = self.peak.max(in_use);
    }

    /// The most connections in use at the same time in the current and the previous window.
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
