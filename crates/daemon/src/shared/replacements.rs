//! Replacements of primaries that this node has heard of, and those that it tells others of.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{HeardReplacements, Intent, ReplacementId};

/// What the node that carries replacements out has to tell the others.
#[derive(Clone, Debug, Default)]
pub struct ReplacementUpdates {
    /// Those under way, and since when each is known to be recorded.
    pub running: BTreeMap<GroupName, (Intent, Instant)>,
    /// Those that have ended since it was last told, and the terms that their successors lead.
    pub ended: Vec<(GroupName, ReplacementId, Option<Term>)>,
}

/// Shared by the threads of a node.
#[derive(Debug, Default)]
pub struct Replacements {
    heard: Mutex<HeardReplacements>,
    news: Mutex<ReplacementUpdates>,
}

impl Replacements {
    /// The store shows `intents` now.
    pub fn follow_store(&self, intents: &BTreeMap<GroupName, Intent>, now: Instant) {
        self.heard().follow_store(intents, now);
    }

    /// The holder of a replacement says that it is under way, and has known it to be recorded for `age`.
    pub fn on_reported(&self, group: &GroupName, intent: Intent, age: Duration, now: Instant) {
        self.heard().on_told(group, intent, age, now);
    }

    /// The holder of a replacement says that it is over.
    pub fn on_reported_end(&self, group: &GroupName, id: ReplacementId) {
        self.heard().on_over(group, id);
    }

    /// Those under way, also those that have been called off.
    pub fn intents(&self, now: Instant) -> BTreeMap<GroupName, Intent> {
        let mut heard = self.heard();
        heard.pass_time(now);
        heard.intents()
    }

    /// Whether a commit counts that `instance` answers now.
    pub fn may_acknowledge_commit(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        now: Instant,
    ) -> bool {
        self.heard().answer_counts(group, instance, now)
    }

    /// This node carries a replacement out, which it has known to be recorded since `recorded`.
    pub fn on_attempt_running(&self, group: &GroupName, intent: &Intent, recorded: Instant) {
        self.news().running.insert(group.clone(), (intent.clone(), recorded));
    }

    /// This node has ended a replacement, with a successor that leads `led`.
    pub fn on_attempt_ended(&self, group: &GroupName, id: ReplacementId, led: Option<Term>) {
        let mut news = self.news();
        news.running.remove(group);
        news.ended.push((group.clone(), id, led));
    }

    /// This node carries nothing out any more: whoever goes on with it tells of it.
    pub fn on_coordinator_lease_ended(&self) {
        self.news().running.clear();
    }

    /// What is to be told now; ends are told once.
    pub fn take_updates(&self) -> ReplacementUpdates {
        let mut news = self.news();
        ReplacementUpdates { running: news.running.clone(), ended: std::mem::take(&mut news.ended) }
    }

    /// Whether anything is to be told.
    pub fn has_updates(&self) -> bool {
        let news = self.news();
        !news.running.is_empty() || !news.ended.is_empty()
    }

    fn heard(&self) -> MutexGuard<'_, HeardReplacements> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn news(&self) -> MutexGuard<'_, ReplacementUpdates> {
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
