//! Whether replacement checks fail: those by the store, so that the other nodes are asked, and those
//! by the other nodes as well, so that a commit that needs a check would not be confirmed.

use std::time::{Duration, Instant};

/// Time after which a check without an answer counts as one that the store does not answer. Calls
/// to a store that has been cut off end only after seconds.
const STORE_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
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

/// The last replacement check by the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreCheck {
    /// When the check in progress began.
    began: Option<Instant>,
    /// Whether the store did not answer the last check that has ended.
    has_failed: bool,
}

impl StoreCheck {
    /// A check begins at `now`.
    pub fn begin(&mut self, now: Instant) {
        self.began = Some(now);
    }

    /// The check in progress has ended.
    pub fn end(&mut self, is_answered: bool) {
        self.began = None;
        self.has_failed = !is_answered;
    }

    /// Whether the store is not expected to answer a check soon.
    pub fn is_unanswered(&self, now: Instant) -> bool {
        self.has_failed || self.began.is_some_and(|began| now >= began + STORE_ANSWER_TIMEOUT)
    }
}
