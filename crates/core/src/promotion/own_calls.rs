//! The promotion calls of this process, and when a later coordinator may rely on their end.
//!
//! A later coordinator sends no promotion while an earlier one may still arrive (`open_calls`). This
//! process confirms the end of its calls once each has been answered or its connection has been
//! reset, and has had time to take effect. From the first query on, it begins no call with the
//! queried fencing token or a lower one.

use std::collections::HashMap;
use std::time::Instant;

use super::open_calls::{PROMOTION_SETTLE_TIME, PromotionCaller};
use crate::ids::{GroupName, InstanceName};

/// The calls of one group.
#[derive(Clone, Debug, Default)]
struct GroupCalls {
    is_open: bool,
    /// The instance of the last call.
    instance: Option<InstanceName>,
    /// When the last call ended that may have taken effect since.
    effective_since: Option<Instant>,
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

impl GroupCalls {
    /// Whether the calls that have ended have had time to take effect.
    fn are_settled(&self, now: Instant) -> bool {
        self.effective_since.is_none_or(|ended| now >= ended + PROMOTION_SETTLE_TIME)
    }
}

impl OwnCalls {
    /// The state of a process that starts at `now`.
    pub fn new(process: u64, now: Instant) -> Self {
        Self { process, started_at: now, groups: HashMap::new() }
    }

    /// Begins a call that promotes `instance`. False if it must not be sent: another call of the
    /// group is open, one that promotes another instance may be taking effect, or a later
    /// coordinator has asked about this fencing token.
    pub fn begin(
        &mut self,
        group: &GroupName,
        instance: &InstanceName,
        fence: u64,
        now: Instant,
    ) -> bool {
        let calls = self.groups.entry(group.clone()).or_default();
        let is_repeated = calls.instance.as_ref() == Some(instance);
        let is_alone = !calls.is_open && (is_repeated || calls.are_settled(now));
        let may_begin = is_alone && fence > calls.closed_fence;
        if may_begin {
            calls.is_open = true;
            calls.instance = Some(instance.clone());
        }
        may_begin
    }

    /// Ends the open call of a group: it has been answered, or its connection has been reset.
    /// `may_take_effect` unless it was not sent or the platform has refused it.
    pub fn end(&mut self, group: &GroupName, may_take_effect: bool, now: Instant) {
        let calls = self.groups.entry(group.clone()).or_default();
        calls.is_open = false;
        if may_take_effect {
            calls.effective_since = Some(now);
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
            return caller.resets_its_calls() && now >= self.started_at + PROMOTION_SETTLE_TIME;
        }
        let calls = self.groups.entry(group.clone()).or_default();
        calls.closed_fence = calls.closed_fence.max(caller.fence);
        !calls.is_open && calls.are_settled(now)
    }
}
