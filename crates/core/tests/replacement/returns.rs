//! A store that comes back from an older copy: keys of each era, and what nodes remember of those that it lost.

use std::collections::BTreeMap;

use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::{Intent, NodeVotes, Successor};
use kestrellock_core::store_era::StoreEra;

use crate::store::Contents;
use crate::world::World;

/// Longest time after the return until an instance has written its entry again.
pub const ANNOUNCED_AGAIN_MS: u64 = 1_500;

/// What stands under the keys of one era.
#[derive(Clone, Debug, Default)]
pub struct EraKeys {
    /// Who acts, by node and fence, and until when.
    pub holder: Option<(usize, u64, u64)>,
    /// Replacements, with the revision at which each was written; none: it is over, and so are those of earlier
    /// eras.
    pub intents: BTreeMap<GroupName, (u64, Option<Intent>)>,
    /// What nodes suspect.
    pub votes: BTreeMap<usize, NodeVotes>,
    /// The instance promoted last, and the revision at which it was written.
    pub installed: Option<(u64, Successor)>,
}

/// The keys of all eras.
pub type Keys = BTreeMap<StoreEra, EraKeys>;

/// Replacements that are under way, or were left unfinished in an earlier era.
pub fn intents_of(keys: &Keys) -> BTreeMap<GroupName, Intent> {
    let mut latest: BTreeMap<GroupName, Option<Intent>> = BTreeMap::new();
    for of_era in keys.values() {
        let entries = of_era.intents.iter();
        latest.extend(entries.map(|(group, (_, intent))| (group.clone(), intent.clone())));
    }
    latest.into_iter().filter_map(|(group, intent)| Some((group, intent?))).collect()
}

/// The instance promoted last.
pub fn installed_of(keys: &Keys) -> Option<Successor> {
    let latest = keys.values().rev().find_map(|of_era| of_era.installed.as_ref());
    latest.map(|(_, successor)| successor.clone())
}

/// What `remembered` has beyond what the store has: keys that it lost, and later states of some that it has.
pub fn complete(keys: &Keys, remembered: &Keys) -> Keys {
    let mut whole = keys.clone();
    for (era, of_era) in remembered {
        let known = whole.entry(*era).or_default();
        for (group, entry) in &of_era.intents {
            if known.intents.get(group).is_none_or(|(revision, _)| *revision < entry.0) {
                known.intents.insert(group.clone(), entry.clone());
            }
        }
        let is_later = |other: &(u64, Successor)| {
            known.installed.as_ref().is_none_or(|(revision, _)| *revision < other.0)
        };
        if let Some(installed) = of_era.installed.clone().filter(is_later) {
            known.installed = Some(installed);
        }
    }
    whole
}

/// Copies of the store that are put back later, by when that ends.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    taken: BTreeMap<u64, Contents>,
}

impl Copies {
    /// A copy that is put back at `until`.
    pub fn keep(&mut self, until: u64, copy: Contents) {
        self.taken.insert(until, copy);
    }

    /// The copy to put back now.
    pub fn take(&mut self, now: u64) -> Option<Contents> {
        self.taken.remove(&now)
    }
}

impl World {
    /// The store comes back from a copy: instances write their entries again one after the other.
    pub fn put_store_back(&mut self, copy: Contents) {
        self.store.put_back(copy);
        let era = self.store.era;
        self.trace.note(self.now, || format!("the store is back from a copy, era {era}"));
        for one in 0..self.instances.len() {
            self.announce_again(one);
        }
    }
}
