//! Shows operators that a primary replacement waits for the log of an instance, since no evidence
//! shows that the instances within reach hold every acknowledged commit. The wait ends when the old
//! primary returns, or when an operator accepts the loss of commits.

use std::time::{Duration, Instant};

use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::MissingLogs;

/// Time after which a wait is reported. Shorter ones are part of most replacements.
const REPORT_DELAY: Duration = Duration::from_secs(1);
/// Interval between two log lines about the same wait.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The wait of one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogWait {
    since: Option<Instant>,
    last_report: Option<Instant>,
}

impl LogWait {
    /// Processes what the attempt lacks at `now`; `None` if it lacks nothing.
    pub fn observe(&mut self, group: &GroupName, missing: Option<MissingLogs>, now: Instant) {
        let Some(missing) = missing else { return self.end(group, now) };
        let since = *self.since.get_or_insert(now);
        let waited = now.saturating_duration_since(since);
        let is_due = self.last_report.is_none_or(|last| now >= last + REPORT_INTERVAL);
        if waited < REPORT_DELAY || !is_due {
            return;
        }
        self.last_report = Some(now);
        log::warn!(
            event = "waiting_for_log",
            group = group.as_str(),
            waited_ms = waited.as_millis() as u64,
            stopped = missing.stopped as u64,
            required:? = missing.required,
            missing:? = missing.missing,
            best:? = missing.best,
            acknowledged:? = missing.acknowledged;
            "the instances within reach may lack acknowledged commits: the replacement waits for the old primary, or for the setting accept_commit_loss"
        );
    }

    fn end(&mut self, group: &GroupName, now: Instant) {
        let ended = std::mem::take(self);
        if let (Some(since), Some(_)) = (ended.since, ended.last_report) {
            let waited = now.saturating_duration_since(since).as_millis() as u64;
            log::info!(event = "log_wait_over", group = group.as_str(), waited_ms = waited; "the replacement no longer waits for a log");
        }
    }

    /// Whether the wait has been reported and goes on.
    pub fn is_reported(&self) -> bool {
        self.last_report.is_some()
    }
}
