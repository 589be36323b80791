//! Whether replacement checks fail now, so that a commit that needs one would not be confirmed.

use std::time::{Duration, Instant};

/// How long a failed check shows that the next one would fail.
const FAILURE_VALIDITY: Duration = Duration::from_secs(2);

/// The last results of a node's replacement checks, by the store and by other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckFailures {
    /// When the other nodes last did not confirm a check that the store had not answered, if no
    /// check has succeeded since.
    failed_at: Option<Instant>,
}

impl CheckFailures {
    /// The store has answered a check, or the other nodes have confirmed a group.
    pub fn on_success(&mut self) {
        self.failed_at = None;
    }

    /// The other nodes have confirmed no group of a check that the store did not answer.
    pub fn on_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Whether the last check has failed, and that was recent.
    pub fn are_recent(&self, now: Instant) -> bool {
        self.failed_at.is_some_and(|failed_at| now < failed_at + FAILURE_VALIDITY)
    }
}
