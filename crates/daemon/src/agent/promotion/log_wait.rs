//! Shows operators that a primary replacement waits for the log of an instance, since no evidence
//! shows that the instances within reach hold every acknowledged commit. The wait ends when the old
//! primary returns, or when an operator accepts the loss of commits.

use std::time::Instant;

use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::MissingLogs;

use super::reported_wait::ReportedWait;

/// The wait of one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogWait {
    wait: ReportedWait,
}

impl LogWait {
    /// Processes what the attempt lacks at `now`; `None` if it lacks nothing.
    pub fn observe(&mut self, group: &GroupName, missing: Option<MissingLogs>, now: Instant) {
        let Some(missing) = missing else { return self.end(group, now) };
        let Some(waited) = self.wait.report_due(now) else { return };
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
        if let Some(waited) = self.wait.end(now) {
            log::info!(event = "log_wait_over", group = group.as_str(), waited_ms = waited.as_millis() as u64; "the replacement no longer waits for a log");
        }
    }

    /// Whether the wait has been reported and goes on.
    pub fn is_reported(&self) -> bool {
        self.wait.is_reported()
    }
}
