//! A token bucket.

use std::time::{Duration, Instant};

use super::{
    CAUTIOUS_PERIOD, CAUTIOUS_RATE_FRACTION, EXTRA_TOKENS, INITIAL_BURST_FRACTION, INITIAL_TOKENS,
    SOLE_INITIAL_BURST_FRACTION, SOLE_INITIAL_TOKENS,
};
use crate::catalog::Quota;

/// What became of a question for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Tokens granted.
    pub count: u32,
    /// When more will be there, if fewer were granted than were asked for.
    pub retry_after: Duration,
}

/// A token bucket: it fills at the account's rate and holds its burst at the most.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    filled: Instant,
    /// Until when it fills more slowly.
    cautious_until: Option<Instant>,
    /// Tokens that were asked for in vain and that the account's rate has not made up for since: whoever comes
    /// back is behind as many others.
    backlog: f64,
    /// When it was last asked, and when it last had less than it was asked for.
    asked: Instant,
    emptied: Option<Instant>,
}

/// Longest time to come back after: where the rate is zero, a change of the configuration may help.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// An account that asks more than it may does not fall silent by itself: after a silence of this length, and
/// of a few tokens' time, others have granted meanwhile, because this node stood still or was cut off.
const SILENCE_PERIOD: Duration = Duration::from_millis(250);
const SILENCE_TOKENS: f64 = 4.0;

/// Most tokens that a bucket holds; none where the account may ask nothing.
fn capacity(quota: &Quota) -> f64 {
    let asks = quota.per_second.count() > 0.0 || quota.burst.count() > 0.0;
    if asks { quota.burst.count() + EXTRA_TOKENS } else { 0.0 }
}

/// The same while it is not known what others have granted.
fn cautious_capacity(quota: &Quota) -> f64 {
    capacity(quota).min(INITIAL_TOKENS + INITIAL_BURST_FRACTION * quota.burst.count())
}

impl Bucket {
    /// A bucket of which is not known what was granted before, of a node that sees `share` of the others.
    pub fn unknown_history(quota: &Quota, share: f64, now: Instant) -> Self {
        let first = cautious_capacity(quota) * share;
        Self { cautious_until: Some(now + CAUTIOUS_PERIOD), ..Self::with(first, quota, now) }
    }

    /// The same of a node that is the first by right and whose neighbours have not granted: nobody else does.
    pub fn sole_allocator(quota: &Quota, share: f64, now: Instant) -> Self {
        let first = SOLE_INITIAL_TOKENS + SOLE_INITIAL_BURST_FRACTION * quota.burst.count();
        Self::with(first * share, quota, now)
    }

    /// A bucket with so many tokens.
    pub fn with(tokens: f64, quota: &Quota, now: Instant) -> Self {
        let tokens = if tokens.is_finite() { tokens } else { 0.0 };
        Self {
            tokens: tokens.clamp(0.0, capacity(quota)),
            filled: now,
            cautious_until: None,
            asked: now,
            backlog: 0.0,
            emptied: None,
        }
    }

    /// Tokens that are left, if the bucket fills at `share` of the rate.
    pub fn left(&mut self, quota: &Quota, share: f64, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        let cautious = self.cautious_until.is_some_and(|until| now < until);
        let (share, most) = match cautious {
            true => (share.min(CAUTIOUS_RATE_FRACTION), cautious_capacity(quota) * share),
            false => (share, capacity(quota)),
        };
        let came = passed * quota.per_second.count() * share;
        self.tokens = (self.tokens + came).min(most);
        self.backlog = (self.backlog - came).max(0.0);
        self.filled = self.filled.max(now);
        self.tokens
    }

    /// Takes tokens back that were granted and not used.
    pub fn take_back(&mut self, unused: u32) {
        self.tokens += f64::from(unused);
    }

    /// Grants as many of `wanted` tokens as there are.
    pub fn grant(&mut self, quota: &Quota, share: f64, wanted: u32, now: Instant) -> Grant {
        if self.was_bypassed(quota, now) {
            let beginning = Self::unknown_history(quota, share, now);
            self.tokens = self.left(quota, share, now).min(beginning.tokens);
            self.cautious_until = beginning.cautious_until;
        }
        let left = self.left(quota, share, now);
        let count = wanted.min(left as u32);
        self.tokens -= f64::from(count);
        self.asked = now;
        if count < wanted {
            self.emptied = Some(now);
        }
        let missing = wanted - count;
        if missing == 0 {
            return Grant { count, retry_after: Duration::ZERO };
        }
        self.backlog += f64::from(missing);
        Grant { count, retry_after: self.time_to_clear_backlog(quota, share) }
    }

    /// Whether others have granted since it was last asked: it had too little for a hungry account a short
    /// time ago, and then was not asked any more.
    fn was_bypassed(&self, quota: &Quota, now: Instant) -> bool {
        let was_empty = self.emptied.is_some_and(|at| now < at + CAUTIOUS_PERIOD);
        let tokens = Duration::try_from_secs_f64(SILENCE_TOKENS / quota.per_second.count());
        let silence = SILENCE_PERIOD + tokens.unwrap_or(CAUTIOUS_PERIOD);
        was_empty && now >= self.asked + silence
    }

    /// Time until there are tokens for all that were asked for in vain.
    fn time_to_clear_backlog(&self, quota: &Quota, share: f64) -> Duration {
        let missing = (self.backlog - self.tokens).max(0.0);
        let seconds = missing / (quota.per_second.count() * share);
        // Without a rate the quotient is no number, or endless.
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_DELAY).min(MAX_RETRY_DELAY)
    }
}
