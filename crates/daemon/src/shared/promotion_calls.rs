//! The promotion calls of this process, and queries of its coordinator about those of others,
//! shared by the threads of a node.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::promotion::{OwnCalls, PromotionCaller};

/// A group, and a process that may have promotions of it open.
pub type GroupCaller = (GroupName, PromotionCaller);

/// Promotion calls of this process and of others.
#[derive(Debug)]
pub struct PromotionCalls {
    own: Mutex<OwnCalls>,
    /// Queries that have not been sent yet.
    queries: Mutex<BTreeSet<GroupCaller>>,
    /// Callers whose nodes have answered that their calls have ended.
    ended: Mutex<BTreeSet<GroupCaller>>,
}

impl PromotionCalls {
    /// The state of a process with the number `process` that starts now.
    pub fn new(process: u64) -> Self {
        Self {
            own: Mutex::new(OwnCalls::new(process, Instant::now())),
            queries: Mutex::default(),
            ended: Mutex::default(),
        }
    }

    /// Begins a call that promotes `instance`. False if it must not be sent.
    pub fn begin(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        fence: u64,
        now: Instant,
    ) -> bool {
        lock(&self.own).begin(group, instance, fence, now)
    }

    /// Ends the open call of a group: it has been answered, or its connection has been reset.
    /// `may_take_effect` unless it was not sent or the platform has refused it.
    pub fn end(&self, group: &GroupName, may_take_effect: bool, now: Instant) {
        lock(&self.own).end(group, may_take_effect, now);
    }

    /// Whether the calls of `caller`, a process of this node, have ended and have had time to take
    /// effect.
    pub fn confirm_ended(&self, group: &GroupName, caller: &PromotionCaller, now: Instant) -> bool {
        lock(&self.own).confirm_ended(group, caller, now)
    }

    /// Queues a query to `caller`, a process of another node.
    pub fn query(&self, group: &GroupName, caller: PromotionCaller) {
        lock(&self.queries).insert((group.clone(), caller));
    }

    /// Takes the queued queries.
    pub fn take_queries(&self) -> BTreeSet<GroupCaller> {
        std::mem::take(&mut *lock(&self.queries))
    }

    /// Handles the answer of another node that the calls of `caller` have ended.
    pub fn on_ended(&self, group: GroupName, caller: PromotionCaller) {
        lock(&self.ended).insert((group, caller));
    }

    /// Takes the callers whose nodes have answered.
    pub fn take_ended(&self) -> BTreeSet<GroupCaller> {
        std::mem::take(&mut *lock(&self.ended))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
