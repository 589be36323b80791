//! Primary replacements that this node knows of, and the announcements of those that it
//! coordinates.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{Intent, KnownReplacements, ReplacementId};

/// What the coordinator has to announce to the owners of the groups.
#[derive(Clone, Debug, Default)]
pub struct ReplacementUpdates {
    /// Running replacements, and since when each is known to be recorded.
    pub running: BTreeMap<GroupName, (Intent, Instant)>,
    /// Replacements that have ended since the last announcement, and the terms that their
    /// successors lead.
    pub ended: Vec<(GroupName, ReplacementId, Option<Term>)>,
}

/// Primary replacements, shared by the threads of a node.
#[derive(Debug, Default)]
pub struct Replacements {
    known: Mutex<KnownReplacements>,
    updates: Mutex<ReplacementUpdates>,
}

impl Replacements {
    /// Updates the replacements with the intents in a copy of the store that was requested at
    /// `requested_at`.
    pub fn follow_store(
        &self,
        intents: &BTreeMap<GroupName, Intent>,
        requested_at: Option<Instant>,
        now: Instant,
    ) {
        self.known().update_from_store(intents, requested_at, now);
    }

    /// Handles the report of a coordinator that it runs a replacement, and that the intent has been
    /// known to be recorded for `age`.
    pub fn on_reported(&self, group: &GroupName, intent: Intent, age: Duration, now: Instant) {
        self.known().on_notification(group, intent, age, now);
    }

    /// Handles the report of a coordinator that a replacement has ended.
    pub fn on_reported_end(&self, group: &GroupName, id: ReplacementId) {
        self.known().on_finished(group, id);
    }

    /// The intents of running replacements, including cancelled ones.
    pub fn intents(&self, now: Instant) -> BTreeMap<GroupName, Intent> {
        let mut known = self.known();
        known.expire(now);
        known.intents()
    }

    /// Whether any replacement of the group is known that is not known to have ended.
    pub fn knows_replacement(&self, group: &GroupName) -> bool {
        self.known().knows_replacement(group)
    }

    /// When the newest copy of the store was requested.
    pub fn store_copy_requested_at(&self) -> Option<Instant> {
        self.known().store_copy_requested_at()
    }

    /// Whether a commit that `instance` answers now may be acknowledged to the client.
    pub fn may_acknowledge_commit(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        now: Instant,
    ) -> bool {
        self.known().accepts_commit(group, instance, now)
    }

    /// Whether a commit that `instance` has answered is acknowledged only once replicas confirm it,
    /// because it is not known how a replacement of the instance ended.
    pub fn needs_confirmation(&self, group: &GroupName, instance: &InstanceName) -> bool {
        self.known().needs_confirmation(group, instance)
    }

    /// Whether it is not known how a replacement of the group's primary ended.
    pub fn is_unresolved(&self, group: &GroupName) -> bool {
        self.known().is_unresolved(group)
    }

    /// Records that this node runs a replacement whose intent has been recorded since `recorded`.
    pub fn on_attempt_running(&self, group: &GroupName, intent: &Intent, recorded: Instant) {
        self.updates().running.insert(group.clone(), (intent.clone(), recorded));
    }

    /// Records that this node has ended a replacement whose successor has not reported its term.
    /// The end is not announced, because nodes could not recognize the old primary.
    pub fn on_attempt_ended_without_term(&self, group: &GroupName) {
        self.updates().running.remove(group);
    }

    /// Records that this node has ended a replacement, with a successor that leads the term `led`.
    pub fn on_attempt_ended(
        &self,
        group: &GroupName,
        id: ReplacementId,
        successor_term: Option<Term>,
    ) {
        let mut updates = self.updates();
        updates.running.remove(group);
        updates.ended.push((group.clone(), id, successor_term));
    }

    /// Stops the announcements, because this node's coordinator lease has ended. The next
    /// coordinator continues the replacements and announces them.
    pub fn on_coordinator_lease_ended(&self) {
        self.updates().running.clear();
    }

    /// Takes what has to be announced now. Ends are announced once, running replacements each time.
    pub fn take_updates(&self) -> ReplacementUpdates {
        let mut updates = self.updates();
        ReplacementUpdates {
            running: updates.running.clone(),
            ended: std::mem::take(&mut updates.ended),
        }
    }

    /// Whether there is anything to announce.
    pub fn has_updates(&self) -> bool {
        let updates = self.updates();
        !updates.running.is_empty() || !updates.ended.is_empty()
    }

    fn known(&self) -> MutexGuard<'_, KnownReplacements> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn updates(&self) -> MutexGuard<'_, ReplacementUpdates> {
        self.updates.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
