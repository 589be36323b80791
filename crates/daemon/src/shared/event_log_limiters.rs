//! Rate limits for the log lines of events that single requests, links or groups can cause. Each
//! event has a separate limiter, so that many lines of one do not suppress those of another. Metrics
//! count all of them, including those whose lines are suppressed.

use std::time::Instant;

use kestrellock_core::outcome::{Execution, ResultCode};

use super::routine_log_lines::RoutineLogLimiter;

/// The limiters, by event.
#[derive(Debug)]
pub struct EventLogLimiters {
    /// Commits that wait until replicas have confirmed them.
    pub commit_waits: RoutineLogLimiter,
    /// Commits whose wait ended in doubt.
    pub commits_in_doubt: RoutineLogLimiter,
    /// Exchanges that wait at a gateway for an instance.
    pub held_at_gateway: RoutineLogLimiter,
    /// Requests that wait at a front for a gateway.
    pub held_at_front: RoutineLogLimiter,
    /// Retries of requests after a refusal inside the proxy.
    pub retries: RoutineLogLimiter,
    /// Session states of connections that an instance did not confirm.
    pub failed_preparations: RoutineLogLimiter,
    /// Writes that were sent to an instance and have no answer.
    pub failed_writes: RoutineLogLimiter,
    /// Commits that a primary answered too late during its replacement.
    pub late_answers: RoutineLogLimiter,
    /// Exchanges that were dropped because they were reported to their front as not run.
    pub dropped_exchanges: RoutineLogLimiter,
    /// Open transactions that were rolled back because of the drain of a zone.
    pub drained_transactions: RoutineLogLimiter,
    /// Requests whose connection this node closed without a complete answer.
    pub unanswered_requests: RoutineLogLimiter,
    /// Links that were closed because of an error of the other side.
    pub closed_links: RoutineLogLimiter,
    /// Failures to write replacement records back to the store.
    pub failed_write_backs: RoutineLogLimiter,
    /// Refusals of requests and logins.
    pub refusals: RefusalLogLimiters,
}

impl EventLogLimiters {
    /// Allows at most `per_second` lines of each event in each second.
    pub fn new(per_second: u32) -> Self {
        let limiter = |event| RoutineLogLimiter::for_event(event, per_second);
        Self {
            commit_waits: limiter("commit_waits"),
            commits_in_doubt: limiter("commit_in_doubt"),
            held_at_gateway: limiter("held"),
            held_at_front: limiter("held_at_front"),
            retries: limiter("retried"),
            failed_preparations: limiter("preparation_failed"),
            failed_writes: limiter("write_failed"),
            late_answers: limiter("answer_too_late"),
            dropped_exchanges: limiter("ruled_out"),
            drained_transactions: limiter("transaction_drained"),
            unanswered_requests: limiter("request_unanswered"),
            closed_links: limiter("link_closed"),
            failed_write_backs: limiter("not_written_back"),
            refusals: RefusalLogLimiters::new(per_second),
        }
    }
}

/// Limiters for the lines of refusals, one for each code: an overloaded node refuses much with one
/// code, and the rare refusals beside it must be seen.
#[derive(Debug)]
pub struct RefusalLogLimiters {
    /// By the position of the code in [`ResultCode::ALL`].
    limiters: Vec<RoutineLogLimiter>,
}

impl RefusalLogLimiters {
    /// Allows at most `per_second` lines with each code in each second.
    pub fn new(per_second: u32) -> Self {
        let limiter = |code: &ResultCode| RoutineLogLimiter::for_refusals(*code, per_second);
        Self { limiters: ResultCode::ALL.iter().map(limiter).collect() }
    }

    /// Whether a refusal with `code` may be logged at `now`. One whose statement may have run always
    /// is: somebody has to find out what it did.
    pub fn admits(&self, code: ResultCode, now: Instant) -> bool {
        code.execution() != Execution::NotRun || self.limiters[code as usize].admits(now)
    }
}
