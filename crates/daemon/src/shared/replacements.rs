//! Replacements of primaries that this node has heard of, and those that it tells others of.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{Intent, KnownReplacements, ReplacementId};

/// What the node that carries replacements out has to tell the others.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// Those under way, and since when each is known to be recorded.
    pub under_way: BTreeMap<GroupName, (Intent, Instant)>,
    /// Those that have ended since it was last told, and the terms that their successors lead.
    pub over: Vec<(GroupName, ReplacementId, Option<Term>)>,
}

/// Shared by the threads of a node.
#[derive(Debug, Default)]
pub struct Replacements {
    heard: Mutex<KnownReplacements>,
    news: Mutex<News>,
}

impl Replacements {
    /// The store shows `intents` now.
    pub fn follow_store(&self, intents: &BTreeMap<GroupName, Intent>, now: Instant) {
        self.heard().update_from_store(intents, now);
    }

    /// The holder of a replacement says that it is under way, and has known it to be recorded for `age`.
    pub fn on_told(&self, group: &GroupName, intent: Intent, age: Duration, now: Instant) {
        self.heard().on_notification(group, intent, age, now);
    }

    /// The holder of a replacement says that it is over.
    pub fn on_over(&self, group: &GroupName, id: ReplacementId) {
        self.heard().on_finished(group, id);
    }

    /// Those under way, also those that have been called off.
    pub fn intents(&self, now: Instant) -> BTreeMap<GroupName, Intent> {
        let mut heard = self.heard();
        heard.expire(now);
        heard.intents()
    }

    /// Whether a commit counts that `instance` answers now.
    pub fn answer_counts(&self, group: &GroupName, instance: &InstanceName, now: Instant) -> bool {
        self.heard().accepts_commit(group, instance, now)
    }

    /// This node carries a replacement out, which it has known to be recorded since `recorded`.
    pub fn on_carried_out(&self, group: &GroupName, intent: &Intent, recorded: Instant) {
        self.news().under_way.insert(group.clone(), (intent.clone(), recorded));
    }

    /// This node has ended a replacement, with a successor that leads `led`.
    pub fn on_ended(&self, group: &GroupName, id: ReplacementId, led: Option<Term>) {
        let mut news = self.news();
        news.under_way.remove(group);
        news.over.push((group.clone(), id, led));
    }

    /// This node carries nothing out any more: whoever goes on with it tells of it.
    pub fn on_hold_over(&self) {
        self.news().under_way.clear();
    }

    /// What is to be told now; ends are told once.
    pub fn take_news(&self) -> News {
        let mut news = self.news();
        News { under_way: news.under_way.clone(), over: std::mem::take(&mut news.over) }
    }

    /// Whether anything is to be told.
    pub fn has_news(&self) -> bool {
        let news = self.news();
        !news.under_way.is_empty() || !news.over.is_empty()
    }

    fn heard(&self) -> MutexGuard<'_, KnownReplacements> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn news(&self) -> MutexGuard<'_, News> {
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
