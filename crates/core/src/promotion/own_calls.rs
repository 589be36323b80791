//! The promotion calls of this process, and when a later coordinator may rely on their end.
//!
//! A later coordinator sends no promotion while an earlier one may still arrive (`open_calls`). This
//! process confirms the end of its calls once each has been answered, or its connection has been
//! reset and the call has had time to take effect if it arrived before. From the first query on, it
//! begins no call with the queried fencing token or a lower one.

use std::collections::HashMap;
use std::time::Instant;

use super::open_calls::{PROMOTION_SETTLE_TIME, PromotionCaller};
use crate::ids::GroupName;

/// The calls of one group.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCalls {
    is_open: bool,
    /// When the last call without an answer ended. It may have reached the platform.
    unanswered_at: Option<Instant>,
    /// Highest fencing token with which no call may begin any more.
    closed_fence: u64,
}

/// The promotion calls of this process.
#[derive(Clone, Debug)]
pub struct OwnCalls {
    /// Number of this process among those of its node.
    process: u64,
    /// When this process started. Earlier processes of its node ended before.
    started_at: Instant,
    groups: HashMap<GroupName, GroupCalls>,
}

impl OwnCalls {
    /// The state of a process that starts at `now`.
    pub fn new(process: u64, now: Instant) -> Self {
        Self { process, started_at: now, groups: HashMap::new() }
    }

    /// Begins a call. False if it must not be sent: another call of the group is open, or a later
    /// coordinator has asked about this fencing token.
    pub fn begin(&mut self, group: &GroupName, fence: u64) -> bool {
        let calls = self.groups.entry(group.clone()).or_default();
        let may_begin = !calls.is_open && fence > calls.closed_fence;
        calls.is_open |= may_begin;
        may_begin
    }

    /// Ends the open call of a group: it has been answered, or its connection has been reset.
    pub fn end(&mut self, group: &GroupName, is_answered: bool, now: Instant) {
        let calls = self.groups.entry(group.clone()).or_default();
        calls.is_open = false;
        if !is_answered {
            calls.unanswered_at = Some(now);
        }
    }

    /// Whether the calls of `caller`, a process of this node, have ended and have had time to take
    /// effect.
    pub fn confirm_ended(
        &mut self,
        group: &GroupName,
        caller: &PromotionCaller,
        now: Instant,
    ) -> bool {
        if caller.process != self.process {
            // The end of that process has reset its connections.
            return now >= self.started_at + PROMOTION_SETTLE_TIME;
        }
        let calls = self.groups.entry(group.clone()).or_default();
        calls.closed_fence = calls.closed_fence.max(caller.fence);
        let is_settled = calls.unanswered_at.is_none_or(|at| now >= at + PROMOTION_SETTLE_TIME);
        !calls.is_open && is_settled
    }
}
