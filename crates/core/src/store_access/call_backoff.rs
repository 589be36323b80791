//! Delays of one kind of call to the store while the store refuses it.

use std::time::{Duration, Instant};

use super::StoreAvailability;
use crate::retry::Backoff;

/// Delay after the first refused vote or replacement check. Like all delays here, it is shortened
/// at random, so that the nodes that were refused together do not call together again.
const MIN_CALL_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between votes or replacement checks, each refusal doubling the delay.
const MAX_CALL_DELAY: Duration = Duration::from_secs(1);
/// Delay after the first refused attempt to acquire the coordinator lease.
const MIN_LEASE_DELAY: Duration = Duration::from_millis(200);
/// Longest delay between attempts to acquire the coordinator lease.
const MAX_LEASE_DELAY: Duration = Duration::from_secs(2);

/// A call that the store refused or did not answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// Time for which the store has asked not to be called; zero if it has named none.
    pub retry_after: Duration,
}

/// Backoff of one kind of call, which ends at the first success.
#[derive(Clone, Copy, Debug)]
pub struct CallBackoff {
    backoff: Backoff,
    first_delay: Duration,
    /// The last refusal, while in backoff.
    refused: Option<Refused>,
}

/// What the delay after a refusal is computed from.
#[derive(Clone, Copy, Debug)]
struct Refused {
    at: Instant,
    /// Time before which the store has asked not to be called.
    allowed_from: Instant,
    next_call: Instant,
}

impl CallBackoff {
    /// The backoff of votes and replacement checks.
    pub fn for_calls() -> Self {
        Self::new(MIN_CALL_DELAY, MAX_CALL_DELAY)
    }

    /// The backoff of attempts to acquire the coordinator lease.
    pub fn for_lease_attempts() -> Self {
        Self::new(MIN_LEASE_DELAY, MAX_LEASE_DELAY)
    }

    fn new(min: Duration, max: Duration) -> Self {
        Self { backoff: Backoff::new(min, max), first_delay: min, refused: None }
    }

    /// Records a refused call. Returns whether the backoff begins with it. `random` is uniform.
    pub fn on_refused(&mut self, refusal: Refusal, random: u64, now: Instant) -> bool {
        let is_new = self.refused.is_none();
        let allowed_from = now + refusal.retry_after;
        let next_call = allowed_from.max(now + self.backoff.on_failure(random));
        self.refused = Some(Refused { at: now, allowed_from, next_call });
        is_new
    }

    /// Records a successful call. Returns whether the backoff ends with it.
    pub fn on_success(&mut self) -> bool {
        self.backoff.on_success();
        self.refused.take().is_some()
    }

    /// Processes the results of the node's regular calls. If the store has answered one that was
    /// sent after the refusal, the next call is made as early as after a first refusal: otherwise a
    /// vote that was refused several times would reach a recovered store up to a second late.
    pub fn on_availability(&mut self, availability: &StoreAvailability) {
        let Some(refused) = &mut self.refused else { return };
        if availability.last_answered.is_some_and(|sent| sent > refused.at) {
            let early = refused.allowed_from.max(refused.at + self.first_delay);
            refused.next_call = refused.next_call.min(early);
        }
    }

    /// Time until the next call may be made; zero if it may be made now.
    pub fn remaining(&self, now: Instant) -> Duration {
        let next_call = self.refused.map(|refused| refused.next_call);
        next_call.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Whether a call may be made now.
    pub fn may_call(&self, now: Instant) -> bool {
        self.remaining(now).is_zero()
    }
}
