//! Retries that do not multiply load: exponential backoff with jitter, and retry budgets.
//!
//! Randomness is an argument: a number distributed uniformly over `u64`.

use std::time::{Duration, Instant};

/// Exponential backoff with jitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Waits about `min` after the first failure and at most `max` after many.
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, failures: 0 }
    }

    /// Counts a failure and returns how long to wait: between half and all of the doubled delay.
    pub fn on_failure(&mut self, random: u64) -> Duration {
        let doubled = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let wait = self.min.saturating_mul(doubled).min(self.max);
        self.failures = self.failures.saturating_add(1);
        let half = wait / 2;
        half + half.mul_f64(random as f64 / u64::MAX as f64)
    }

    /// Resets the backoff after a successful attempt.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

/// Paces requests that are repeated because earlier answers did not help.
#[derive(Clone, Copy, Debug)]
pub struct RequestPacer {
    initial: Backoff,
    backoff: Backoff,
    /// A request that follows the previous one after at least this time restarts the backoff.
    reset_after: Duration,
    last_request: Option<Instant>,
}

impl RequestPacer {
    /// Waits as `backoff` determines, and restarts it when there was no request for `reset_after`.
    pub const fn new(backoff: Backoff, reset_after: Duration) -> Self {
        Self { initial: backoff, backoff, reset_after, last_request: None }
    }

    /// Records that a request is sent. Returns how long to wait before the next one.
    pub fn on_request(&mut self, now: Instant, random: u64) -> Duration {
        if self.last_request.is_none_or(|last| now >= last + self.reset_after) {
            self.backoff = self.initial;
        }
        self.last_request = Some(now);
        self.backoff.on_failure(random)
    }
}

/// Parts of a token, so that a share of a retry is a whole number.
const TOKEN_PARTS: u32 = 100;

/// A budget that limits retries to a share of first attempts, with a small reserve for idle
/// periods. Each layer that retries has its own budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u32,
    max_parts: u32,
    parts: u32,
}

impl RetryBudget {
    /// Allows `percent` retries per 100 first attempts, and up to `reserve` unused retries. Starts
    /// with a full reserve.
    pub const fn new(percent: u32, reserve: u32) -> Self {
        let max_parts = reserve.saturating_mul(TOKEN_PARTS);
        Self { percent, max_parts, parts: max_parts }
    }

    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.parts = self.parts.saturating_add(self.percent).min(self.max_parts);
    }

    /// Whether a retry is allowed now. If so, it is counted.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.parts >= TOKEN_PARTS;
        if allowed {
            self.parts -= TOKEN_PARTS;
        }
        allowed
    }
}
