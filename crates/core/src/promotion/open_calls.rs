//! Promotion calls of earlier coordinators that may still reach the platform.
//!
//! The platform executes a promotion whenever it arrives, whatever its fencing token. A call may
//! arrive long after its coordinator lease has ended: a partition holds it up, or its sender is
//! suspended. Taking effect after the promotion of a later coordinator, it would make an instance
//! primary that lacks acknowledged commits. So the end of a lease does not count as the end of the
//! calls that were sent under it, and a later coordinator sends no promotion until it has evidence
//! for each earlier process that may have a call open: that process reports that its calls have
//! ended, or it has ended itself, which resets its connections.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{Command, Timing};
use crate::ids::NodeName;

/// Time within which a promotion that has reached the platform takes effect.
pub const PROMOTION_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time at the start of a wait in which callers are queried as often as instances. Most answer at
/// once, and clients wait.
const FREQUENT_QUERY_PERIOD: Duration = Duration::from_secs(1);
/// Interval of the queries after that: a caller may be away for long.
const RARE_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Number of a process that is not known.
pub const UNKNOWN_PROCESS: u64 = 0;

/// A process that may have promotion calls open.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromotionCaller {
    /// Its node.
    pub node: NodeName,
    /// Number of the process among those of its node, or [`UNKNOWN_PROCESS`].
    pub process: u64,
    /// The fencing token with which it sends promotions.
    pub fence: u64,
}

/// The callers of which an attempt does not know yet that their calls have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenCalls {
    callers: Vec<PromotionCaller>,
    /// When this node first knew all of them.
    known_since: Option<Instant>,
    /// When the attempt began to query them.
    queried_since: Option<Instant>,
    last_query: Option<Instant>,
    /// Callers without evidence, once the attempt has stopped waiting for it.
    given_up: Vec<PromotionCaller>,
}

impl OpenCalls {
    /// The open calls when an attempt begins. This node has known all `callers` since `known_since`.
    pub fn new(callers: Vec<PromotionCaller>, known_since: Option<Instant>) -> Self {
        Self { callers, known_since, ..Self::default() }
    }

    /// The callers whose calls may still arrive.
    pub fn callers(&self) -> &[PromotionCaller] {
        &self.callers
    }

    /// The callers that the attempt has waited for without evidence.
    pub fn given_up(&self) -> &[PromotionCaller] {
        &self.given_up
    }

    /// There is evidence that the calls of `caller` have ended.
    pub fn on_ended(&mut self, caller: &PromotionCaller) {
        self.callers.retain(|open| open != caller);
    }

    /// Stops waiting for evidence. The operator may accept that a late call loses commits.
    pub fn discard(&mut self) {
        self.given_up.append(&mut self.callers);
    }

    /// Queries the callers, and stops waiting once `Timing::open_call_timeout` has passed without
    /// evidence since this node knew of them: the machine of a caller may be gone for good. Callers
    /// that have been known for longer are still queried for a moment, since most answer at once.
    pub fn step(&mut self, timing: &Timing, now: Instant, commands: &mut Vec<Command>) {
        if self.callers.is_empty() {
            return;
        }
        let queried_since = *self.queried_since.get_or_insert(now);
        let known_since = self.known_since.map_or(queried_since, |known| known.min(queried_since));
        let least_wait = FREQUENT_QUERY_PERIOD.min(timing.open_call_timeout);
        if now >= (known_since + timing.open_call_timeout).max(queried_since + least_wait) {
            self.discard();
            return;
        }
        let interval = match now < queried_since + FREQUENT_QUERY_PERIOD {
            true => timing.retry_interval,
            false => RARE_QUERY_INTERVAL,
        };
        if self.last_query.is_none_or(|last_query| now >= last_query + interval) {
            self.last_query = Some(now);
            commands.extend(self.callers.iter().cloned().map(Command::QueryCaller));
        }
    }
}
