//! Replacements under way as one node has heard of them: from the store, and from whoever carries them out.
//!
//! A node that does not reach the store would go on at the old primary. So whoever replaces a primary tells the
//! nodes that serve its group besides, again and again until the replacement is over.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Intent, Reason, ReplacementId, Timing};
use crate::ids::{GroupName, InstanceName};

/// Time between two messages about a replacement to one node.
pub const NOTIFY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a replacement counts as under way that its holder told of last and the store does not show: the holder
/// may be gone.
const TOLD_FOR: Duration = Duration::from_millis(1_000);
/// How long an old primary's answers to commits count once its replicas are being stopped: those that were given
/// before are under way yet. Half of what whoever promotes waits at least before it checks the replicas
/// for the last time, so that a replica that has forgotten its stop since then lets no commit be acknowledged.
const ANSWERS_COUNT_FOR: Duration = Duration::from_millis(50);

/// What a holder has told of a replacement.
#[derive(Clone, Debug)]
struct Told {
    intent: Intent,
    at: Instant,
}

/// Since when a replacement has been under way.
#[derive(Clone, Copy, Debug)]
struct Begun {
    id: ReplacementId,
    /// When its holder knew it to be recorded, after which it begins; where nobody has told that, when it was first
    /// heard of.
    at: Instant,
    is_told: bool,
}

/// Replacements that a node has heard of.
#[derive(Clone, Debug, Default)]
pub struct KnownReplacements {
    in_store: BTreeMap<GroupName, Intent>,
    told: BTreeMap<GroupName, Told>,
    /// When the newest of each group began.
    began: BTreeMap<GroupName, Begun>,
    /// The newest of each group that is known to be over.
    over: BTreeMap<GroupName, ReplacementId>,
}

impl KnownReplacements {
    /// The store shows `intents` now.
    pub fn update_from_store(&mut self, intents: &BTreeMap<GroupName, Intent>, now: Instant) {
        let gone: Vec<(GroupName, ReplacementId)> = self
            .in_store
            .iter()
            .filter(|(group, known)| intents.get(*group).is_none_or(|intent| intent.id > known.id))
            .map(|(group, known)| (group.clone(), known.id))
            .collect();
        for (group, id) in gone {
            self.on_finished(&group, id);
        }
        for (group, intent) in intents {
            let begun = Begun { id: intent.id, at: now, is_told: false };
            self.note_begun(group, begun);
        }
        self.in_store.clone_from(intents);
    }

    /// The holder of a replacement says that it is under way, and has known it to be recorded for `age`.
    pub fn on_notification(
        &mut self,
        group: &GroupName,
        intent: Intent,
        age: Duration,
        now: Instant,
    ) {
        let is_over = self.over.get(group).is_some_and(|over| intent.id <= *over);
        let is_old = self.told.get(group).is_some_and(|told| intent.id < told.intent.id);
        if is_over || is_old {
            return;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        self.note_begun(group, Begun { id: intent.id, at, is_told: true });
        self.told.insert(group.clone(), Told { intent, at: now });
    }

    /// A replacement is over, and so are earlier ones of its group.
    pub fn on_finished(&mut self, group: &GroupName, id: ReplacementId) {
        let newest = self.over.entry(group.clone()).or_insert(id);
        *newest = id.max(*newest);
        let newest = *newest;
        self.told.retain(|name, told| name != group || told.intent.id > newest);
    }

    /// Drops what a holder has not told again for a while; whether there was any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.told.len();
        self.told.retain(|_, told| now < told.at + TOLD_FOR);
        self.told.len() < before
    }

    /// Those under way, also those that have been called off.
    pub fn intents(&self) -> BTreeMap<GroupName, Intent> {
        let mut intents = self.in_store.clone();
        for (group, told) in &self.told {
            let is_newer = |shown: &Intent| told.intent.id > shown.id;
            if intents.get(group).is_none_or(is_newer) {
                intents.insert(group.clone(), told.intent.clone());
            }
        }
        intents
    }

    /// Whether a commit counts that `instance` answered: not if it is being replaced, and has been for so long that
    /// somebody else may have been chosen without that commit.
    pub fn accepts_commit(&self, group: &GroupName, instance: &InstanceName, now: Instant) -> bool {
        let told = self.told.get(group).map(|told| &told.intent);
        let newest = self.in_store.get(group).into_iter().chain(told).max_by_key(|one| one.id);
        let Some(intent) = newest.filter(|intent| !intent.called_off) else { return true };
        if intent.former.as_ref() != Some(instance) {
            return true;
        }
        let drain = match intent.reason {
            Reason::Leaving => Timing::default().drain_time,
            Reason::Suspected | Reason::Missing | Reason::Unfinished => Duration::ZERO,
        };
        let begun = self.began.get(group).filter(|begun| begun.id == intent.id);
        begun.is_none_or(|begun| now <= begun.at + drain + ANSWERS_COUNT_FOR)
    }

    /// What the holder tells counts rather than when the node heard of it; of several messages the one that took
    /// least.
    fn note_begun(&mut self, group: &GroupName, begun: Begun) {
        let known = self.began.entry(group.clone()).or_insert(begun);
        let is_better = match (known.is_told, begun.is_told) {
            (false, true) => true,
            (true, false) => false,
            _ => begun.at < known.at,
        };
        if known.id < begun.id || (known.id == begun.id && is_better) {
            *known = begun;
        }
    }
}
