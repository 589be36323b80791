//! The token bucket from which an allocator grants an account's tokens: decides how many tokens a
//! request gets, and when the front may retry if it got too few. While it is unknown what another
//! allocator has granted, the bucket starts below the full burst and refills at a reduced rate, so
//! that a restart or a handover does not grant the burst twice.

use std::time::{Duration, Instant};

use super::{
    CAUTIOUS_PERIOD, CAUTIOUS_RATE_FRACTION, EXTRA_TOKENS, INITIAL_BURST_FRACTION, INITIAL_TOKENS,
    SOLE_INITIAL_BURST_FRACTION, SOLE_INITIAL_TOKENS,
};
use crate::catalog::Quota;

/// The result of a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Number of tokens granted.
    pub count: u32,
    /// When further tokens will be available, if fewer were granted than requested.
    pub retry_after: Duration,
}

/// A token bucket: it refills at the account's rate, up to the account's burst plus
/// [`EXTRA_TOKENS`].
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    last_fill_at: Instant,
    /// End of the period in which the bucket refills at a reduced rate.
    cautious_until: Option<Instant>,
    /// Tokens that were requested but not granted and that the account's rate has not made up for
    /// yet. Retry hints count them, so that a client that retries queues behind the earlier
    /// refusals.
    backlog: f64,
    /// Times of the last request, and of the last request that got fewer tokens than it asked for.
    last_request_at: Instant,
    last_shortage_at: Option<Instant>,
}

/// Upper bound of retry hints. It also applies where the rate is zero, since a configuration change
/// may raise it.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// An account that exceeds its limit keeps sending requests. If its requests pause for this long,
/// plus the time in which [`SILENCE_TOKENS`] refill, then this node was frozen or partitioned, and
/// another node has granted meanwhile.
const SILENCE_PERIOD: Duration = Duration::from_millis(250);
const SILENCE_TOKENS: f64 = 4.0;

/// Capacity of a bucket: zero if the account has neither rate nor burst.
fn capacity(quota: &Quota) -> f64 {
    let allows_any = quota.per_second.count() > 0.0 || quota.burst.count() > 0.0;
    if allows_any { quota.burst.count() + EXTRA_TOKENS } else { 0.0 }
}

/// Capacity while the tokens granted by other nodes are unknown.
fn cautious_capacity(quota: &Quota) -> f64 {
    capacity(quota).min(INITIAL_TOKENS + INITIAL_BURST_FRACTION * quota.burst.count())
}

impl Bucket {
    /// A bucket of an account whose earlier grants are unknown. It starts with a reduced fill and
    /// refills at [`CAUTIOUS_RATE_FRACTION`] of the rate for [`CAUTIOUS_PERIOD`]. `share` is the
    /// fraction of the limit that this node may grant.
    pub fn unknown_history(quota: &Quota, share: f64, now: Instant) -> Self {
        let first = cautious_capacity(quota) * share;
        Self { cautious_until: Some(now + CAUTIOUS_PERIOD), ..Self::with_tokens(first, quota, now) }
    }

    /// A bucket for the first candidate in rendezvous order, after the other candidates answered
    /// that they have not granted, so that no other node grants.
    pub fn sole_allocator(quota: &Quota, share: f64, now: Instant) -> Self {
        let first = SOLE_INITIAL_TOKENS + SOLE_INITIAL_BURST_FRACTION * quota.burst.count();
        Self::with_tokens(first * share, quota, now)
    }

    /// A bucket with the given number of tokens.
    pub fn with_tokens(tokens: f64, quota: &Quota, now: Instant) -> Self {
        let tokens = if tokens.is_finite() { tokens } else { 0.0 };
        Self {
            tokens: tokens.clamp(0.0, capacity(quota)),
            last_fill_at: now,
            cautious_until: None,
            last_request_at: now,
            backlog: 0.0,
            last_shortage_at: None,
        }
    }

    /// Refills the bucket at `share` of the rate and returns the tokens it holds.
    pub fn available(&mut self, quota: &Quota, share: f64, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.last_fill_at).as_secs_f64();
        let cautious = self.cautious_until.is_some_and(|until| now < until);
        let (share, max) = match cautious {
            true => (share.min(CAUTIOUS_RATE_FRACTION), cautious_capacity(quota) * share),
            false => (share, capacity(quota)),
        };
        let added = passed * quota.per_second.count() * share;
        self.tokens = (self.tokens + added).min(max);
        self.backlog = (self.backlog - added).max(0.0);
        self.last_fill_at = self.last_fill_at.max(now);
        self.tokens
    }

    /// Returns tokens that were granted but not used.
    pub fn refund(&mut self, unused: u32) {
        self.tokens += f64::from(unused);
    }

    /// Grants up to `wanted` tokens.
    pub fn grant(&mut self, quota: &Quota, share: f64, wanted: u32, now: Instant) -> Grant {
        if self.was_bypassed(quota, now) {
            let fresh = Self::unknown_history(quota, share, now);
            self.tokens = self.available(quota, share, now).min(fresh.tokens);
            self.cautious_until = fresh.cautious_until;
        }
        let available = self.available(quota, share, now);
        let count = wanted.min(available as u32);
        self.tokens -= f64::from(count);
        self.last_request_at = now;
        if count < wanted {
            self.last_shortage_at = Some(now);
        }
        let missing = wanted - count;
        if missing == 0 {
            return Grant { count, retry_after: Duration::ZERO };
        }
        self.backlog += f64::from(missing);
        Grant { count, retry_after: self.time_to_clear_backlog(quota, share) }
    }

    /// Whether another node has granted since the last request: the bucket ran short for this
    /// account recently, and then requests stopped for longer than [`SILENCE_PERIOD`].
    fn was_bypassed(&self, quota: &Quota, now: Instant) -> bool {
        let was_empty = self.last_shortage_at.is_some_and(|at| now < at + CAUTIOUS_PERIOD);
        let tokens = Duration::try_from_secs_f64(SILENCE_TOKENS / quota.per_second.count());
        let silence = SILENCE_PERIOD + tokens.unwrap_or(CAUTIOUS_PERIOD);
        was_empty && now >= self.last_request_at + silence
    }

    /// Time until the refill covers all tokens that were requested and not granted.
    fn time_to_clear_backlog(&self, quota: &Quota, share: f64) -> Duration {
        let missing = (self.backlog - self.tokens).max(0.0);
        let seconds = missing / (quota.per_second.count() * share);
        // With a rate of zero the quotient is infinite or NaN.
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_DELAY).min(MAX_RETRY_DELAY)
    }
}
