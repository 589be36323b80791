//! Shows operators that a primary replacement waits until the promotions of earlier coordinators
//! have ended. The wait ends when their processes answer or are known to have ended, after
//! `Timing::open_call_timeout`, or when an operator accepts the loss of commits.

use std::time::Instant;

use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::Attempt;

use super::reported_wait::ReportedWait;

/// The wait of one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallWait {
    wait: ReportedWait,
    is_timeout_reported: bool,
}

impl CallWait {
    /// Processes the state of the attempt at `now`.
    pub fn observe(&mut self, group: &GroupName, attempt: &Attempt, now: Instant) {
        let callers = attempt.open_callers();
        if callers.is_empty() {
            self.end(group, attempt, now);
            return;
        }
        let Some(waited) = self.wait.report_due(now) else { return };
        log::warn!(
            event = "waiting_for_promotion_calls",
            group = group.as_str(),
            waited_ms = waited.as_millis() as u64,
            callers:? = callers;
            "promotions of earlier coordinators may still arrive: the replacement waits for an answer or the end of their processes, or for the setting accept_commit_loss"
        );
    }

    fn end(&mut self, group: &GroupName, attempt: &Attempt, now: Instant) {
        if let Some(waited) = self.wait.end(now) {
            log::info!(event = "promotion_call_wait_over", group = group.as_str(), waited_ms = waited.as_millis() as u64; "the replacement no longer waits for earlier promotions");
        }
        let unconfirmed = attempt.unconfirmed_callers();
        if !unconfirmed.is_empty() && !self.is_timeout_reported {
            self.is_timeout_reported = true;
            log::warn!(
                event = "promotion_calls_unconfirmed",
                group = group.as_str(),
                callers:? = unconfirmed;
                "the replacement goes on without evidence that earlier promotions have ended"
            );
        }
    }

    /// Whether the wait has been reported and goes on.
    pub fn is_reported(&self) -> bool {
        self.wait.is_reported()
    }
}
