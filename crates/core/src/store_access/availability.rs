//! Whether the store answers this node, as the node's own regular calls show.

use std::time::Instant;

/// The results of a node's regular calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreAvailability {
    /// Whether the last call failed.
    pub is_failing: bool,
    /// When the store answered for the first time after the last failure; `None` if no failure
    /// has ended yet.
    pub available_since: Option<Instant>,
    /// When the newest answered call was sent.
    pub last_answered: Option<Instant>,
}

impl StoreAvailability {
    /// Records at `now` the answer to a call that was sent at `sent`.
    pub fn on_answer(&mut self, sent: Instant, now: Instant) {
        if self.is_failing {
            self.available_since = Some(now);
        }
        self.is_failing = false;
        self.last_answered = self.last_answered.max(Some(sent));
    }

    /// Records a call that failed.
    pub fn on_failure(&mut self) {
        self.is_failing = true;
    }
}
