//! The log line `queued`: which exchange waited long in the queue of an instance, and for what.

use kestrellock_core::catalog::Priority;
use kestrellock_core::ids::InstanceName;

use super::pool::{QueueWait, WaitCause};
use crate::event::Io;
use crate::shared::routine_log_lines::RoutineLogLimiter;

/// Limits the rate of the lines of each priority separately, so that many waits of less urgent
/// exchanges do not suppress the lines of urgent ones.
#[derive(Debug)]
pub struct QueuedLogLimiter {
    order: RoutineLogLimiter,
    normal: RoutineLogLimiter,
    browse: RoutineLogLimiter,
}

impl QueuedLogLimiter {
    /// Allows at most `per_second` lines of each priority in each second.
    pub fn new(per_second: u32) -> Self {
        let limiter = || RoutineLogLimiter::for_queued(per_second);
        Self { order: limiter(), normal: limiter(), browse: limiter() }
    }

    fn of(&self, priority: Priority) -> &RoutineLogLimiter {
        match priority {
            Priority::Order => &self.order,
            Priority::Normal => &self.normal,
            Priority::Browse => &self.browse,
        }
    }
}

/// Logs long waits in the queue of an instance.
pub(super) fn log_waits(instance: &InstanceName, waits: &[QueueWait], io: &Io) {
    for wait in waits {
        if io.context.queued_log_limiter.of(wait.priority).admits(io.now) {
            log_wait(instance, wait);
        }
    }
}

fn log_wait(instance: &InstanceName, wait: &QueueWait) {
    let id = wait.request.as_deref().unwrap_or("-");
    let priority = format!("{:?}", wait.priority).to_lowercase();
    let cause = match wait.cause() {
        WaitCause::Slot => "slot",
        WaitCause::Connection => "connection",
    };
    let outcome = if wait.is_run { "run" } else { "refused" };
    let waited_ms = wait.waited.as_millis() as u64;
    let slot_ms = wait.waited_for_slot.as_millis() as u64;
    log::info!(
        event = "queued",
        id = id,
        priority = priority.as_str(),
        instance = instance.as_str(),
        waited_ms = waited_ms,
        waited_for = cause,
        slot_ms = slot_ms,
        ahead = wait.ahead as u64,
        limit = wait.limit,
        outcome = outcome;
        "an exchange waited in the queue of an instance"
    );
}
