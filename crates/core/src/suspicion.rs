//! Decides when a node suspects a primary, from the results of its own exchanges and connections,
//! and when enough nodes suspect it to replace it.
//!
//! Suspicion affects availability, never safety: replacing a healthy primary only interrupts
//! writes. To avoid such interruptions, a single node's suspicion does not cause a replacement,
//! since that node may itself be cut off.

use std::time::{Duration, Instant};

/// Time without any answer, while a request waits for one, after which a primary is considered
/// silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a commit may wait while the primary answers other requests but acknowledges no commit.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long at least a third of the voters must suspect a primary, if the majority does not.
pub const MINORITY_SUSPICION_DURATION: Duration = Duration::from_millis(1_000);
/// Longest interval between two ticks. After a longer one the node itself did not run, so it cannot
/// tell whether the primary was silent meanwhile.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(150);

/// Why a node suspects a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It refuses connections.
    Refuses,
    /// It does not answer.
    Silent,
    /// It answers, but acknowledges no commits.
    CannotCommit,
    /// It leads a lower term than the highest one seen.
    Outdated,
}

/// How long abandoned requests still count as a sign that an instance is silent.
pub const ABANDONED_REQUEST_VALIDITY: Duration = Duration::from_millis(2_000);

/// Requests to an instance that this node abandoned without an answer. Like requests that still
/// wait, they show that the instance is silent. If they did not count, everything that ends the
/// requests to a silent primary, most of all its replacement, would also end the suspicion.
#[derive(Clone, Copy, Debug, Default)]
pub struct AbandonedRequests {
    /// When the oldest abandoned request was sent.
    oldest: Option<Instant>,
    /// When this node last abandoned a request.
    last_abandoned: Option<Instant>,
}

impl AbandonedRequests {
    /// Records that this node abandoned at `now` a request that it sent at `sent`.
    pub fn on_abandoned(&mut self, sent: Instant, now: Instant) {
        self.oldest = Some(self.oldest_sent(now).map_or(sent, |oldest| oldest.min(sent)));
        self.last_abandoned = Some(now);
    }

    /// Records that the instance answered a request, so earlier abandoned ones no longer count.
    pub fn on_answer(&mut self) {
        *self = Self::default();
    }

    /// When the oldest abandoned request was sent, as long as abandoned requests count.
    pub fn oldest_sent(&self, now: Instant) -> Option<Instant> {
        let is_valid =
            |end: Instant| now.saturating_duration_since(end) < ABANDONED_REQUEST_VALIDITY;
        self.oldest.filter(|_| self.last_abandoned.is_some_and(is_valid))
    }
}

/// What a node's own exchanges show about the health of a primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthSignals {
    /// Since when it refuses connections, if no connection succeeded and nothing was answered
    /// since.
    pub refused_since: Option<Instant>,
    /// When the oldest exchange was sent that waits for an answer or was recently abandoned without
    /// one ([`AbandonedRequests`]).
    pub oldest_request: Option<Instant>,
    /// When the oldest commit was sent that waits for an answer or was recently abandoned without
    /// one.
    pub oldest_commit: Option<Instant>,
    /// When it last acknowledged a commit of writes.
    pub last_commit: Option<Instant>,
    /// When it last answered any request.
    pub last_answer: Option<Instant>,
    /// Whether a higher term was seen than the one that it leads. Nothing is sent to an outdated
    /// primary, so nothing else would show that it has to be replaced.
    pub is_outdated: bool,
}

/// Derives suspicions from health signals, and ignores the time during which this node itself did
/// not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureDetector {
    last_tick: Option<Instant>,
    /// Time before this moment does not count, because the node itself did not run.
    running_since: Option<Instant>,
}

impl FailureDetector {
    /// Has to be called at least every 100 ms.
    pub fn tick(&mut self, now: Instant) {
        let was_suspended = self
            .last_tick
            .is_some_and(|last| now.saturating_duration_since(last) > MAX_TICK_INTERVAL);
        if was_suspended || self.last_tick.is_none() {
            self.running_since = Some(now);
        }
        self.last_tick = Some(now);
    }

    /// Why the node suspects the primary with these signals, if it does.
    pub fn suspect(&self, signals: &HealthSignals, now: Instant) -> Option<Cause> {
        let running =
            |moment: Instant| self.running_since.map_or(moment, |since| moment.max(since));
        let lasts = |since: Option<Instant>, limit: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(running(since)) > limit)
        };
        if signals
            .refused_since
            .is_some_and(|at| self.running_since.is_none_or(|since| at >= since))
        {
            return Some(Cause::Refuses);
        }
        if signals.is_outdated {
            return Some(Cause::Outdated);
        }
        let silent_since = signals
            .oldest_request
            .max(signals.last_answer.filter(|_| signals.oldest_request.is_some()));
        if lasts(silent_since, SILENCE_TIMEOUT) {
            return Some(Cause::Silent);
        }
        let stuck_since = signals
            .oldest_commit
            .max(signals.last_commit.filter(|_| signals.oldest_commit.is_some()));
        lasts(stuck_since, COMMIT_TIMEOUT).then_some(Cause::CannotCommit)
    }
}

/// How many nodes suspect a primary, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Votes {
    /// Number of nodes that suspect the primary.
    pub suspecting: usize,
    /// Number of nodes that can suspect it.
    pub voters: usize,
    /// Since when at least a third of the voters has suspected it without interruption.
    pub at_least_third_since: Option<Instant>,
}

impl Votes {
    /// Whether the primary has to be replaced: a majority of the voters suspects it, or at least a
    /// third has suspected it for [`MINORITY_SUSPICION_DURATION`].
    pub fn are_sufficient(&self, now: Instant) -> bool {
        let is_majority = self.suspecting * 2 > self.voters.max(1);
        is_majority
            || self
                .at_least_third_since
                .is_some_and(|since| now >= since + MINORITY_SUSPICION_DURATION)
    }

    /// Whether at least a third of the voters suspects the primary.
    pub fn reaches_third(suspecting: usize, voters: usize) -> bool {
        suspecting > 0 && suspecting * 3 >= voters.max(1)
    }
}
