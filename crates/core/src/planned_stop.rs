//! Times of a planned stop, and what a stopping node still accepts.
//!
//! A stop passes through a notice, in which the node serves as before, a time in which it finishes
//! open work and asks its clients to connect elsewhere, and a short time before its end in which it
//! refuses every request that is still unanswered. Without the last part, the end of the process
//! would cut requests off without an answer or a refusal.

use std::time::{Duration, Instant};

use crate::session_end::DisconnectNotice;

/// Part of a stop, at its end, that is reserved for refusing unanswered requests. A client may send
/// its next request before it reads the notice behind the refusal, and the node must still run to
/// refuse that one: for a round trip over a slow link.
const FINAL_REFUSALS_SHARE: f64 = 0.2;
/// Upper limit of that part.
const MAX_FINAL_REFUSALS: Duration = Duration::from_secs(2);
/// Part of the final refusals, at their end, that is reserved for the answers of work that is cut
/// off.
const LAST_ANSWERS_SHARE: f64 = 0.5;
/// Time over which the sessions of a leaving node are asked to connect elsewhere. Asking all of
/// them at once would make all of their clients connect to the remaining nodes at once.
const NOTICE_SPREAD: Duration = Duration::from_secs(1);
/// Time without a request after which a session is asked to connect elsewhere before its next
/// request. A client that sent a request more recently is likely to send another one, whose answer
/// can end the session without costing the client an attempt.
const MIN_REST: Duration = Duration::from_secs(1);
/// Time for a client to read an answer before a notice that ends the session by itself: some client
/// libraries that read both at once report the notice in place of the answer.
const ANSWER_READING_TIME: Duration = Duration::from_millis(50);

/// Time limits of a planned stop, each from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopLimits {
    /// Time in which the node still serves clients and only announces that it will stop.
    pub notice: Duration,
    /// Time after which open transactions are ended; `None`: they may last until the final
    /// refusals.
    pub transactions: Option<Duration>,
    /// Time after which the process ends.
    pub total: Duration,
}

/// A session's transaction, as far as the end of the session depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SessionTransaction {
    /// None is in progress.
    None,
    /// One is in progress, or has failed and its client has not ended it yet.
    Open,
    /// The node aborted it, and the client has not ended it yet.
    Aborted,
}

/// What a session is doing when its node decides whether to end it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionActivity {
    /// A request, or a part of one, was received and is not answered.
    pub has_request: bool,
    /// The answer to a request was just completed, and the client is not known to be about to send
    /// the next one: a client that has just logged in, or has set or prepared something, is.
    pub has_just_answered: bool,
    /// The transaction.
    pub transaction: SessionTransaction,
    /// Time of the last input or request in progress.
    pub last_active: Instant,
    /// The session's place, from 0 to 1, among those of its node.
    pub share: f64,
}

impl SessionActivity {
    /// Whether an isolated node ends the session now, without waiting for another request.
    pub fn may_end_when_isolated(&self, notice: DisconnectNotice, now: Instant) -> bool {
        let has_rested = now.saturating_duration_since(self.last_active) >= MIN_REST;
        let is_between = !self.has_request && self.transaction == SessionTransaction::None;
        is_between && (has_rested || self.ends_with_answer(notice))
    }

    /// Whether the client may not have read its last answer yet, and would mistake the notice for it.
    pub fn may_read_answer(&self, notice: DisconnectNotice, now: Instant) -> bool {
        let is_recent = now < self.last_active + ANSWER_READING_TIME;
        notice == DisconnectNotice::IsAnswer && !self.has_request && is_recent
    }

    /// Whether the answer that was just completed can end the session. Not for protocols whose
    /// notice ends the session by itself: some of their client libraries that read an answer and an
    /// unsolicited message at once mistake the message for the answer.
    fn ends_with_answer(&self, notice: DisconnectNotice) -> bool {
        self.has_just_answered && notice == DisconnectNotice::BeginsAnswer
    }
}

/// When the parts of a planned stop begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// The start of the stop.
    pub began: Instant,
    /// When the node begins to leave: it asks its clients to connect elsewhere.
    pub leaving: Instant,
    /// When open transactions are ended.
    pub transactions: Instant,
    /// When requests that are still unanswered are refused.
    pub final_refusals: Instant,
    /// When work that still runs is cut off, so that its end can still be reported.
    pub last_answers: Instant,
    /// When the process ends.
    pub end: Instant,
}

impl StopSchedule {
    /// The schedule of a stop that begins at `began`.
    pub fn new(began: Instant, limits: StopLimits) -> Self {
        let reserved = limits.total.mul_f64(FINAL_REFUSALS_SHARE).min(MAX_FINAL_REFUSALS);
        let final_refusals = began + (limits.total - reserved);
        let transactions = limits.transactions.map_or(final_refusals, |limit| began + limit);
        Self {
            began,
            leaving: (began + limits.notice).min(final_refusals),
            transactions: transactions.min(final_refusals),
            final_refusals,
            last_answers: began + (limits.total - reserved.mul_f64(LAST_ANSWERS_SHARE)),
            end: began + limits.total,
        }
    }

    /// When a session is asked to connect elsewhere, unless an answer or the final refusals end it
    /// earlier. `share`, from 0 to 1, spreads the sessions of the node over time.
    pub fn notice_time(&self, last_active: Instant, share: f64) -> Instant {
        let spread = self.leaving + NOTICE_SPREAD.mul_f64(share);
        spread.max(last_active + MIN_REST).min(self.final_refusals)
    }

    /// The deadline of a request that arrives during the stop: what is not answered by the final
    /// refusals is refused, so it must not be given more time.
    pub fn limit_deadline(&self, deadline: Instant) -> Instant {
        deadline.min(self.final_refusals)
    }

    /// Whether a request that arrives at `now` on a session without an open transaction may run. A
    /// leaving node begins no transaction, because it may not last until the client ends it. Where
    /// the notice is itself an answer, a leaving node runs no request: the refusal ends the session.
    pub fn admits(&self, notice: DisconnectNotice, begins_transaction: bool, now: Instant) -> bool {
        let may_run = match notice {
            DisconnectNotice::IsAnswer => false,
            DisconnectNotice::BeginsAnswer => !begins_transaction,
        };
        now < self.final_refusals && (now < self.leaving || may_run)
    }

    /// Whether a leaving node ends the session now, without waiting for another request.
    pub fn ends_session(
        &self,
        session: &SessionActivity,
        notice: DisconnectNotice,
        now: Instant,
    ) -> bool {
        if session.has_request || session.may_read_answer(notice, now) {
            return false;
        }
        match session.transaction {
            SessionTransaction::None => {
                session.ends_with_answer(notice)
                    || now >= self.notice_time(session.last_active, session.share)
            }
            SessionTransaction::Aborted => {
                notice == DisconnectNotice::BeginsAnswer && now >= self.transactions
            }
            SessionTransaction::Open => false,
        }
    }

    /// Whether the stop no longer waits for open transactions.
    pub fn ends_transactions(&self, now: Instant) -> bool {
        now >= self.transactions
    }

    /// Whether requests that were forwarded and that no instance has received are withdrawn.
    pub fn withdraws_waiting(&self, now: Instant) -> bool {
        now >= self.final_refusals
    }

    /// Whether the stop no longer waits for a request or a resting transaction. A request that was
    /// forwarded gets more time, in which its gateway reports whether it has withdrawn it.
    pub fn refuses_unfinished(&self, is_forwarded: bool, now: Instant) -> bool {
        let until_last_answers = self.last_answers.saturating_duration_since(self.final_refusals);
        let extra = if is_forwarded { until_last_answers / 2 } else { Duration::ZERO };
        now >= self.final_refusals + extra
    }
}
