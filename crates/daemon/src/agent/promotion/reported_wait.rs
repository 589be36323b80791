//! When the wait of an attempt is reported to operators: after a delay, then at intervals.

use std::time::{Duration, Instant};

/// Time after which a wait is reported. Shorter ones are part of most replacements.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Interval between two log lines about the same wait.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// A wait of one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedWait {
    since: Option<Instant>,
    last_report: Option<Instant>,
}

impl ReportedWait {
    /// The attempt waits at `now`. Returns how long it has waited if a report is due.
    pub fn report_due(&mut self, now: Instant) -> Option<Duration> {
        let waited = now.saturating_duration_since(*self.since.get_or_insert(now));
        let is_due = self.last_report.is_none_or(|last| now >= last + REPORT_INTERVAL);
        let is_reported_now = waited >= REPORT_DELAY && is_due;
        if is_reported_now {
            self.last_report = Some(now);
        }
        is_reported_now.then_some(waited)
    }

    /// The attempt does not wait at `now`. Returns how long it had waited if that was reported.
    pub fn end(&mut self, now: Instant) -> Option<Duration> {
        let ended = std::mem::take(self);
        let since = ended.since.filter(|_| ended.last_report.is_some())?;
        Some(now.saturating_duration_since(since))
    }

    /// Whether the wait has been reported and goes on.
    pub fn is_reported(&self) -> bool {
        self.last_report.is_some()
    }
}
