//! Retries that do not multiply load: exponential backoff with jitter, and retry budgets.
//!
//! Randomness is an argument: a number drawn evenly from all of `u64`.

use std::time::{Duration, Instant};

/// Doubling waits with jitter between attempts that fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    last: Duration,
    failures: u32,
}

impl Backoff {
    /// Waits around `first` after the first failure, and at most `last` after many.
    pub const fn new(first: Duration, last: Duration) -> Self {
        Self { first, last, failures: 0 }
    }

    /// Counts a failure, and says how long to wait: between half and all of the doubled wait.
    pub fn on_failure(&mut self, random: u64) -> Duration {
        let doubled = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let wait = self.first.saturating_mul(doubled).min(self.last);
        self.failures = self.failures.saturating_add(1);
        let half = wait / 2;
        half + half.mul_f64(random as f64 / u64::MAX as f64)
    }

    /// An attempt succeeded: the next failure counts as the first.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Paces questions that are asked again because their answers did not help.
#[derive(Clone, Copy, Debug)]
pub struct RequestPacer {
    first: Backoff,
    backoff: Backoff,
    /// A question that comes so long after the last one is no repetition.
    reset_after: Duration,
    last: Option<Instant>,
}

impl RequestPacer {
    /// Waits as `backoff` says, from its first wait on after `afresh` without a question.
    pub const fn new(backoff: Backoff, afresh: Duration) -> Self {
        Self { first: backoff, backoff, reset_after: afresh, last: None }
    }

    /// A question is asked. Returns how long to wait before the next one.
    pub fn on_request(&mut self, now: Instant, random: u64) -> Duration {
        if self.last.is_none_or(|last| now >= last + self.reset_after) {
            self.backoff = self.first;
        }
        self.last = Some(now);
        self.backoff.on_failure(random)
    }
}

/// Parts of a token, so that shares need no fractions.
const TOKEN_PARTS: u32 = 100;

/// A budget that lets retries be at most a share of first attempts, with a small reserve for
/// quiet times. Every layer that retries has its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u32,
    largest: u32,
    parts: u32,
}

impl RetryBudget {
    /// Allows `percent` retries for 100 first attempts, saved up to `reserve` retries. Begins
    /// with the reserve full.
    pub const fn new(percent: u32, reserve: u32) -> Self {
        let largest = reserve.saturating_mul(TOKEN_PARTS);
        Self { percent, largest, parts: largest }
    }

    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.parts = self.parts.saturating_add(self.percent).min(self.largest);
    }

    /// Whether a retry is allowed now; if so it is counted.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.parts >= TOKEN_PARTS;
        if allowed {
            self.parts -= TOKEN_PARTS;
        }
        allowed
    }
}
