//! One attempt of the coordinator, with what its thread keeps about it: the change of the store that
//! is under way, the times for the log, and what operators have been shown.

use std::time::Instant;

use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::{Attempt, Command, Event, Phase, PromotionCaller};

use super::call_wait::CallWait;
use super::log_wait::LogWait;
use crate::metrics::Metrics;

/// An attempt that this node runs.
pub(super) struct RunningAttempt {
    pub attempt: Attempt,
    /// The change of the store that failed, and when to retry it.
    pub retry: Option<(Instant, Command)>,
    /// The change of the store that was sent and has not been answered.
    pub pending: Option<Command>,
    pub started: Instant,
    /// When the store first confirmed the intent.
    pub recorded: Option<Instant>,
    /// The phase that was logged last.
    pub phase: Phase,
    pub log_wait: LogWait,
    pub call_wait: CallWait,
}

/// What shows that the promotions of an earlier caller have ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallsEndedEvidence {
    /// A process of the caller's node answered.
    Answer,
    /// The caller's node runs no process.
    ProcessEnded,
}

impl RunningAttempt {
    /// An attempt that starts at `now`.
    pub fn new(attempt: Attempt, now: Instant) -> Self {
        let phase = attempt.phase();
        Self {
            attempt,
            retry: None,
            pending: None,
            started: now,
            recorded: None,
            phase,
            log_wait: LogWait::default(),
            call_wait: CallWait::default(),
        }
    }

    /// Reports a promotion that is sent although nothing shows that the instance has every commit of
    /// an old primary that leaves.
    pub fn report_promotion(&self, group: &GroupName, metrics: &Metrics) {
        if !self.attempt.lacks_old_primary_log() {
            return;
        }
        metrics.replacements_without_old_primary.inc();
        log::warn!(
            event = "old_primary_unconfirmed",
            group = group.as_str(),
            old_primary:? = self.attempt.old_primary(),
            chosen:? = self.attempt.chosen();
            "a planned replacement goes on without the log of the old primary, which has not answered in time or has commits that the promoted instance lacks"
        );
    }

    /// The promotions of an earlier caller have ended.
    pub fn on_calls_ended(
        &mut self,
        group: &GroupName,
        caller: PromotionCaller,
        evidence: CallsEndedEvidence,
        now: Instant,
    ) {
        log::info!(
            event = "promotion_calls_ended",
            group = group.as_str(),
            caller:? = caller,
            evidence:? = evidence;
            "promotions of an earlier coordinator have ended"
        );
        self.attempt.on_event(Event::CallsEnded(caller), now);
    }
}
