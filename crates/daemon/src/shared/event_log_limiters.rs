//! Rate limits for the log lines of events that a single request can cause. Each event has a limiter
//! of its own, so that many lines of one do not suppress those of another. Metrics count all of them,
//! including those whose lines are suppressed.

use super::routine_log_lines::RoutineLogLimiter;

/// The limiters, by event.
#[derive(Debug)]
pub struct EventLogLimiters {
    /// Commits that wait until replicas have confirmed them.
    pub commit_waits: RoutineLogLimiter,
    /// Exchanges that wait at a gateway for an instance.
    pub held_at_gateway: RoutineLogLimiter,
    /// Requests that wait at a front for a gateway.
    pub held_at_front: RoutineLogLimiter,
}

impl EventLogLimiters {
    /// Allows at most `per_second` lines of each event in each second.
    pub fn new(per_second: u32) -> Self {
        let limiter = |event| RoutineLogLimiter::for_event(event, per_second);
        Self {
            commit_waits: limiter("commit_waits"),
            held_at_gateway: limiter("held"),
            held_at_front: limiter("held_at_front"),
        }
    }
}
