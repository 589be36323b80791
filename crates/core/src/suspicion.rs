//! When a node suspects a primary, and when enough nodes do.
//!
//! Suspicion is about benefit, never about safety: replacing a primary that is well costs a gap in
//! writes and nothing else. So no single node's word moves a primary: it may only be cut off itself.

use std::time::{Duration, Instant};

/// Time without any answer, while something waits for one, after which a primary is silent.
const SILENCE: Duration = Duration::from_millis(350);
/// Time for which commits may wait while the primary answers other things, and no commit.
const COMMIT_SILENCE: Duration = Duration::from_millis(500);
/// Time for which a part of the nodes must suspect it, if the others do not.
pub const MINORITY_SUSPICION_DURATION: Duration = Duration::from_millis(1_000);
/// A node that did not run for so long knows nothing of what was silent meanwhile.
const LONGEST_STEP: Duration = Duration::from_millis(150);

/// Why a node suspects a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It refuses connections.
    Refuses,
    /// It answers nothing.
    Silent,
    /// It answers, but no commits.
    CannotCommit,
    /// It leads a term lower than one that has been seen.
    Outdated,
}

/// How long requests that were given up go on to show that an instance is silent.
pub const ABANDONED_REQUEST_VALIDITY: Duration = Duration::from_millis(2_000);

/// Requests to an instance that were given up without an answer. They show its silence as well as
/// those that still wait: otherwise whatever ends the work on a silent primary, a replacement above
/// all, would end the suspicion of it too.
#[derive(Clone, Copy, Debug, Default)]
pub struct AbandonedRequests {
    oldest: Option<Instant>,
    newest_end: Option<Instant>,
}

impl AbandonedRequests {
    /// A request that was sent at `sent` was given up at `now`.
    pub fn on_abandoned(&mut self, sent: Instant, now: Instant) {
        self.oldest = Some(self.oldest_sent(now).map_or(sent, |oldest| oldest.min(sent)));
        self.newest_end = Some(now);
    }

    /// The instance has answered something.
    pub fn on_answer(&mut self) {
        *self = Self::default();
    }

    /// When the oldest one was sent, as long as they count.
    pub fn oldest_sent(&self, now: Instant) -> Option<Instant> {
        let counts = |end: Instant| now.saturating_duration_since(end) < ABANDONED_REQUEST_VALIDITY;
        self.oldest.filter(|_| self.newest_end.is_some_and(counts))
    }
}

/// What a node's own exchanges with a primary show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthSignals {
    /// Since when it refuses connections, if none was made or answered on since.
    pub refused_since: Option<Instant>,
    /// When the oldest exchange was sent that waits for an answer, or was given up without one a
    /// moment ago ([`AbandonedRequests`]).
    pub oldest_request: Option<Instant>,
    /// When the oldest commit was sent that waits for an answer, or was given up without one a
    /// moment ago.
    pub oldest_commit: Option<Instant>,
    /// When it last answered a commit that wrote.
    pub last_commit: Option<Instant>,
    /// When it last answered anything.
    pub last_answer: Option<Instant>,
    /// Whether a higher term has been seen than the one that it leads: nothing is sent there, so that
    /// nothing else would show that it must be replaced.
    pub is_outdated: bool,
}

/// Judges signs, and remembers when this node last did so.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureDetector {
    last: Option<Instant>,
    /// Signs from before this moment do not count: the node itself stood still.
    since: Option<Instant>,
}

impl FailureDetector {
    /// Time passes. Call it at least every 100 ms.
    pub fn tick(&mut self, now: Instant) {
        let stood_still =
            self.last.is_some_and(|last| now.saturating_duration_since(last) > LONGEST_STEP);
        if stood_still || self.last.is_none() {
            self.since = Some(now);
        }
        self.last = Some(now);
    }

    /// Why the node suspects the primary that shows `signs`, if it does.
    pub fn suspect(&self, signs: &HealthSignals, now: Instant) -> Option<Cause> {
        let counted = |moment: Instant| self.since.map_or(moment, |since| moment.max(since));
        let lasts = |since: Option<Instant>, limit: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(counted(since)) > limit)
        };
        if signs.refused_since.is_some_and(|at| self.since.is_none_or(|since| at >= since)) {
            return Some(Cause::Refuses);
        }
        if signs.is_outdated {
            return Some(Cause::Outdated);
        }
        let silent_since =
            signs.oldest_request.max(signs.last_answer.filter(|_| signs.oldest_request.is_some()));
        if lasts(silent_since, SILENCE) {
            return Some(Cause::Silent);
        }
        let stuck_since =
            signs.oldest_commit.max(signs.last_commit.filter(|_| signs.oldest_commit.is_some()));
        lasts(stuck_since, COMMIT_SILENCE).then_some(Cause::CannotCommit)
    }
}

/// How many nodes suspect a primary, and since when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Votes {
    /// Nodes that suspect it.
    pub suspecting: usize,
    /// Nodes that could.
    pub voters: usize,
    /// Since when at least a third has suspected it without a break.
    pub at_least_third_since: Option<Instant>,
}

impl Votes {
    /// Whether the primary is to be replaced: most nodes suspect it, or a third has for a while.
    pub fn are_sufficient(&self, now: Instant) -> bool {
        let most = self.suspecting * 2 > self.voters.max(1);
        most || self
            .at_least_third_since
            .is_some_and(|since| now >= since + MINORITY_SUSPICION_DURATION)
    }

    /// Whether at least a third of those that could suspects it.
    pub fn reaches_third(suspecting: usize, voters: usize) -> bool {
        suspecting > 0 && suspecting * 3 >= voters.max(1)
    }
}
