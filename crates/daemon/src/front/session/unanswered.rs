//! Counts and logs whole requests that get neither an answer nor a refusal, so that operators see
//! them. The metric counts each; the log lines are rate-limited.

use std::time::Instant;

use super::{CloseReason, Session};
use crate::context::NodeContext;
use crate::event::Io;
use crate::metrics::UnansweredRequest;

impl Session {
    /// Counts a request whose answer is incomplete when this node closes the connection for
    /// `reason`. The answer may be lost in the kernel's buffers too, without the node learning it.
    pub fn count_if_unanswered(&self, reason: CloseReason, io: &Io) {
        let has_unsent_output = !self.connection.output.is_empty();
        let unanswered = match (reason, &self.request) {
            (CloseReason::ClientLeft, _) => return,
            (CloseReason::OutputLimit, _) => UnansweredRequest::OutputLimit,
            (CloseReason::Ended, Some(_)) => UnansweredRequest::InProgress,
            (CloseReason::Ended, None) if has_unsent_output => UnansweredRequest::OutputUnsent,
            (CloseReason::Ended, None) => return,
        };
        let id = self.request.as_ref().and_then(|request| request.id.as_deref());
        count_unanswered(unanswered, id, io.context, io.now);
    }

    /// Counts a session whose handling panicked. It may have read a request.
    pub fn count_panicked(&self, io: &Io) {
        let id = self.request.as_ref().and_then(|request| request.id.as_deref());
        count_unanswered(UnansweredRequest::ThreadPanicked, id, io.context, io.now);
    }

    /// Counts a request that is unfinished when the process ends.
    pub fn report_unfinished(&self, context: &NodeContext, now: Instant) {
        let id = self.request.as_ref().and_then(|request| request.id.as_deref());
        if self.is_unfinished() {
            count_unanswered(UnansweredRequest::EndOfStop, id, context, now);
        }
    }

    /// Whether a request is in progress or the kernel has not taken all output.
    pub fn is_unfinished(&self) -> bool {
        self.request.is_some() || !self.connection.output.is_empty()
    }
}

/// Counts and logs a whole request that gets neither an answer nor a refusal.
pub fn count_unanswered(
    reason: UnansweredRequest,
    id: Option<&str>,
    context: &NodeContext,
    now: Instant,
) {
    context.metrics.unanswered_requests.count(reason);
    if !context.event_log_limiters.unanswered_requests.admits(now) {
        return;
    }
    let stop = context.stop.load();
    let since_stop = stop.as_ref().as_ref().map(|stop| now.saturating_duration_since(stop.began));
    log::warn!(
        event = "request_unanswered",
        id = id.unwrap_or("-"),
        reason:? = reason,
        since_stop_ms = since_stop.map(|age| age.as_millis() as u64);
        "closed a connection without an answer to its request"
    );
}
