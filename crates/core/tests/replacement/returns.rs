//! Restoring the store from an older copy: the keys of each store era, and how nodes complete them
//! with what they remember of keys that the store has lost.

use std::collections::BTreeMap;

use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::{Intent, NodeVotes, PromotionCaller, Successor};
use kestrellock_core::store_era::StoreEra;

use crate::store::Contents;
use crate::world::World;

/// Longest time after a store restore until an instance has written its entry again.
pub const MAX_REANNOUNCE_DELAY_MS: u64 = 1_500;

/// Values of the keys of one era.
#[derive(Clone, Debug, Default)]
pub struct EraKeys {
    /// The coordinator lease: node, fencing token and expiry.
    pub lease: Option<(usize, u64, u64)>,
    /// Intents, with the revision at which each was written; `None` means that this replacement and
    /// those of earlier eras have finished.
    pub intents: BTreeMap<GroupName, (u64, Option<Intent>)>,
    /// Votes of the nodes.
    pub votes: BTreeMap<usize, NodeVotes>,
    /// The instance promoted last, with the revision at which it was written.
    pub last_promoted: Option<(u64, Successor)>,
    /// Processes whose promotions may not have ended when the last replacement finished.
    pub open_callers: Vec<PromotionCaller>,
}

impl EraKeys {
    /// The revision at which a group's intent was written; zero without an intent.
    pub fn intent_revision(&self, group: &GroupName) -> u64 {
        let written = self.intents.get(group).filter(|(_, intent)| intent.is_some());
        written.map_or(0, |(revision, _)| *revision)
    }
}

/// The keys of all eras.
pub type Keys = BTreeMap<StoreEra, EraKeys>;

/// Intents of replacements that are active, or were left unfinished in an earlier era.
pub fn unfinished_intents(keys: &Keys) -> BTreeMap<GroupName, Intent> {
    let mut latest: BTreeMap<GroupName, Option<Intent>> = BTreeMap::new();
    for era_keys in keys.values() {
        let entries = era_keys.intents.iter();
        latest.extend(entries.map(|(group, (_, intent))| (group.clone(), intent.clone())));
    }
    latest.into_iter().filter_map(|(group, intent)| Some((group, intent?))).collect()
}

/// The instance promoted last.
pub fn last_promoted_in(keys: &Keys) -> Option<Successor> {
    let latest = keys.values().rev().find_map(|era_keys| era_keys.last_promoted.as_ref());
    latest.map(|(_, successor)| successor.clone())
}

/// Merges the store's keys with those that a node remembers: keys that the store has lost, and
/// later values of keys that it still has.
pub fn merge_keys(keys: &Keys, remembered: &Keys) -> Keys {
    let mut merged = keys.clone();
    for (era, era_keys) in remembered {
        let known = merged.entry(*era).or_default();
        for (group, entry) in &era_keys.intents {
            if known.intents.get(group).is_none_or(|(revision, _)| *revision < entry.0) {
                known.intents.insert(group.clone(), entry.clone());
            }
        }
        let is_later = |other: &(u64, Successor)| {
            known.last_promoted.as_ref().is_none_or(|(revision, _)| *revision < other.0)
        };
        if let Some(last_promoted) = era_keys.last_promoted.clone().filter(is_later) {
            known.last_promoted = Some(last_promoted);
        }
    }
    merged
}

/// Copies of the store that are restored later, by the time of the restore.
#[derive(Clone, Debug, Default)]
pub struct StoreCopies {
    by_restore_time: BTreeMap<u64, Contents>,
}

impl StoreCopies {
    /// Adds a copy to be restored at `until`.
    pub fn add(&mut self, until: u64, copy: Contents) {
        self.by_restore_time.insert(until, copy);
    }

    /// Removes and returns the copy to be restored now.
    pub fn take(&mut self, now: u64) -> Option<Contents> {
        self.by_restore_time.remove(&now)
    }
}

impl World {
    /// Restores the store from a copy. Each instance writes its entry again after a random delay.
    pub fn restore_store(&mut self, copy: Contents) {
        self.store.restore_copy(copy);
        let era = self.store.era;
        self.trace.record(self.now, || format!("the store is restored from a copy, era {era}"));
        for index in 0..self.instances.len() {
            self.announce_later(index);
        }
    }
}
