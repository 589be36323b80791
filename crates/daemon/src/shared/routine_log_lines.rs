//! Rate limits for frequent log lines, such as the routine ones of successful operations and those
//! of waiting requests, so that load does not flood the log. A separate line states how many were
//! suppressed.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kestrellock_core::ids::GroupName;
use kestrellock_core::outcome::ResultCode;

/// Routine log lines per second, unless the settings say otherwise.
pub const DEFAULT_ROUTINE_LINES_PER_SECOND: u32 = 20;
const SECOND: Duration = Duration::from_secs(1);

/// Limits the rate of routine log lines.
#[derive(Debug)]
pub struct RoutineLogLimiter {
    per_second: u32,
    subject: Subject,
    window: Mutex<Window>,
}

/// The lines whose rate is limited.
#[derive(Debug)]
enum Subject {
    SuccessfulOperations,
    QueuedExchanges,
    /// The lines of one event.
    Event(&'static str),
    /// The lines of refusals with one code: those of a group, or those without a limiter of their
    /// group.
    Refusals(ResultCode, Option<GroupName>),
}

impl Subject {
    fn log_suppressed(&self, suppressed: u64) {
        match self {
            Self::SuccessfulOperations => {
                log::info!(event = "ordinary_untold", count = suppressed; "suppressed routine log lines of successful operations");
            }
            Self::QueuedExchanges => {
                log::info!(
                    event = "queued_untold",
                    count = suppressed;
                    "suppressed log lines of exchanges that waited in the queue of an instance"
                );
            }
            Self::Refusals(code, group) => {
                log::info!(
                    event = "lines_suppressed",
                    lines = "refused",
                    code = code.to_string().as_str(),
                    group = group.as_ref().map(GroupName::as_str),
                    count = suppressed;
                    "suppressed log lines of refusals with one code"
                );
            }
            Self::Event(event) => {
                log::info!(
                    event = "lines_suppressed",
                    lines = *event,
                    count = suppressed;
                    "suppressed log lines of one event"
                );
            }
        }
    }
}

#[derive(Debug, Default)]
struct Window {
    since: Option<Instant>,
    emitted: u32,
    suppressed: u64,
}

impl RoutineLogLimiter {
    /// Allows at most `per_second` lines in each second.
    pub fn new(per_second: u32) -> Self {
        Self { per_second, subject: Subject::SuccessfulOperations, window: Mutex::default() }
    }

    /// Like [`Self::new`], for the lines of exchanges that waited in a queue.
    pub fn for_queued(per_second: u32) -> Self {
        Self { subject: Subject::QueuedExchanges, ..Self::new(per_second) }
    }

    /// Like [`Self::new`], for the lines of one event.
    pub fn for_event(event: &'static str, per_second: u32) -> Self {
        Self { subject: Subject::Event(event), ..Self::new(per_second) }
    }

    /// Like [`Self::new`], for the lines of refusals with one code: those of `group`, or those
    /// without a limiter of their group.
    pub fn for_refusals(code: ResultCode, group: Option<GroupName>, per_second: u32) -> Self {
        Self { subject: Subject::Refusals(code, group), ..Self::new(per_second) }
    }

    /// Whether another line may be logged at `now`.
    pub fn admits(&self, now: Instant) -> bool {
        let mut window = self.lock();
        let is_over = window.since.is_none_or(|since| now >= since + SECOND);
        if is_over {
            let suppressed = std::mem::take(&mut window.suppressed);
            *window = Window { since: Some(now), emitted: 0, suppressed: 0 };
            if suppressed > 0 {
                self.subject.log_suppressed(suppressed);
            }
        }
        if window.emitted < self.per_second {
            window.emitted += 1;
            return true;
        }
        window.suppressed += 1;
        false
    }

    /// The end of the second in which lines were last counted, if any were.
    pub fn end_of_second(&self) -> Option<Instant> {
        self.lock().since.map(|since| since + SECOND)
    }

    /// States how many lines were suppressed, for a limiter that is not used any more.
    pub fn log_suppressed(&self) {
        let suppressed = std::mem::take(&mut self.lock().suppressed);
        if suppressed > 0 {
            self.subject.log_suppressed(suppressed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Window> {
        self.window.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
