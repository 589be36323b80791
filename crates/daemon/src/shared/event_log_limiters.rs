//! Rate limits for the log lines of events that single requests, links or groups can cause. Each
//! event has a separate limiter, so that many lines of one do not suppress those of another. Metrics
//! count all of them, including those whose lines are suppressed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use kestrellock_core::ids::GroupName;
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

/// Largest number of pairs of a code and a group that have a limiter of their own.
pub const MAX_REFUSAL_LIMITERS: usize = 64;

/// Limiters for the lines of refusals, one for each code and group: an overloaded group is refused
/// much with one code, and the rare refusals beside it must be seen.
///
/// At most [`MAX_REFUSAL_LIMITERS`] pairs of a code and a group have a limiter of their own. When a
/// further pair needs one, those whose second has ended are dropped, after they have stated what they
/// suppressed. If there is still no room, the pair shares the limiter of its code with all other
/// pairs without one, and with refusals without a group. So memory and the number of lines in a
/// second are bounded for any number of groups.
#[derive(Debug)]
pub struct RefusalLogLimiters {
    per_second: u32,
    by_group: Mutex<GroupLimiters>,
    /// For refusals without a limiter of their own, by the position of the code in
    /// [`ResultCode::ALL`].
    shared: Vec<RoutineLogLimiter>,
}

#[derive(Debug, Default)]
struct GroupLimiters {
    limiters: HashMap<(ResultCode, GroupName), Arc<RoutineLogLimiter>>,
    /// Time before which the second of none of the limiters ends.
    in_use_until: Option<Instant>,
}

impl RefusalLogLimiters {
    /// Allows at most `per_second` lines with each code and group in each second.
    pub fn new(per_second: u32) -> Self {
        let shared = |code: &ResultCode| RoutineLogLimiter::for_refusals(*code, None, per_second);
        let shared = ResultCode::ALL.iter().map(shared).collect();
        Self { per_second, by_group: Mutex::default(), shared }
    }

    /// Whether a refusal with `code` may be logged at `now`. One whose statement may have run always
    /// is: somebody has to find out what it did.
    pub fn admits(&self, code: ResultCode, group: Option<&GroupName>, now: Instant) -> bool {
        if code.execution() != Execution::NotRun {
            return true;
        }
        match group.and_then(|group| self.limiter_of(code, group, now)) {
            Some(limiter) => limiter.admits(now),
            None => self.shared[code as usize].admits(now),
        }
    }

    /// The number of pairs of a code and a group that have a limiter of their own.
    pub fn count_by_group(&self) -> usize {
        self.lock().limiters.len()
    }

    /// The limiter of a code and a group, or `None` if there is no room for another. No line is
    /// logged under the lock.
    fn limiter_of(
        &self,
        code: ResultCode,
        group: &GroupName,
        now: Instant,
    ) -> Option<Arc<RoutineLogLimiter>> {
        let key = (code, group.clone());
        let mut by_group = self.lock();
        if let Some(limiter) = by_group.limiters.get(&key) {
            return Some(limiter.clone());
        }
        let dropped = by_group.drop_ended(now);
        let limiter = (by_group.limiters.len() < MAX_REFUSAL_LIMITERS).then(|| {
            let limiter =
                RoutineLogLimiter::for_refusals(code, Some(group.clone()), self.per_second);
            by_group.limiters.entry(key).or_insert(Arc::new(limiter)).clone()
        });
        drop(by_group);
        dropped.iter().for_each(|limiter| limiter.log_suppressed());
        limiter
    }

    fn lock(&self) -> MutexGuard<'_, GroupLimiters> {
        self.by_group.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GroupLimiters {
    /// Drops the limiters whose second has ended, and returns them.
    fn drop_ended(&mut self, now: Instant) -> Vec<Arc<RoutineLogLimiter>> {
        let mut dropped = Vec::new();
        if self.in_use_until.is_some_and(|until| now < until) {
            return dropped;
        }
        self.in_use_until = None;
        self.limiters.retain(|_, limiter| {
            // A limiter without an end is about to be used for the first time.
            let end = limiter.end_of_second();
            if end.is_some_and(|end| end <= now) {
                dropped.push(limiter.clone());
                return false;
            }
            self.in_use_until = self.in_use_until.into_iter().chain(end).min();
            true
        });
        dropped
    }
}
