//! Contents of the store: keys, revisions, history and leases.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Era of a store that has never been restored.
const FIRST_ERA: u64 = 1;

/// The stored value of a key, with its metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Value.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub created: u64,
    /// Revision of the last write.
    pub modified: u64,
    /// Number of writes since the key was created.
    pub version: u64,
    /// Lease to which the key is bound; zero for none.
    pub lease: u64,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Revision of the change.
    pub revision: u64,
    /// Key.
    pub key: Vec<u8>,
    /// The new entry; `None` if the key was deleted.
    pub entry: Option<Entry>,
    /// The previous entry, if there was one.
    pub previous: Option<Entry>,
}

/// A key or a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// First key.
    pub start: Vec<u8>,
    /// Exclusive end; `None` for the first key alone, a zero byte for an open end.
    pub end: Option<Vec<u8>>,
}

impl KeyRange {
    /// Whether the range contains a key.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_deref() {
            None | Some([]) => key == self.start,
            Some([0]) => key >= self.start.as_slice(),
            Some(end) => key >= self.start.as_slice() && key < end,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    lifetime: Duration,
    expires: Instant,
}

/// Contents of the store.
#[derive(Clone, Debug)]
pub struct Contents {
    /// Revision of the last change.
    pub revision: u64,
    /// Era, which increases by one with each restore.
    pub era: u64,
    /// History before this revision is compacted.
    pub compacted: u64,
    entries: BTreeMap<Vec<u8>, Entry>,
    history: Vec<Event>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

impl Default for Contents {
    fn default() -> Self {
        Self {
            revision: 1,
            era: FIRST_ERA,
            compacted: 0,
            entries: BTreeMap::new(),
            history: Vec::new(),
            leases: HashMap::new(),
            next_lease: 0x1000,
        }
    }
}

impl Contents {
    /// Restores a snapshot: revisions and lease numbers after it are assigned a second time.
    pub fn restore(&mut self, snapshot: &Contents) {
        let era = self.era + 1;
        *self = Self { era, ..snapshot.clone() };
    }

    /// The current entry of a key.
    pub fn get(&self, key: &[u8]) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The entries of a range, now or at an earlier revision.
    pub fn range(&self, range: &KeyRange, at: Option<u64>) -> Vec<(Vec<u8>, Entry)> {
        let at = at.filter(|at| *at > 0 && *at < self.revision);
        let Some(at) = at else {
            let found = self.entries.iter().filter(|(key, _)| range.contains(key));
            return found.map(|(key, entry)| (key.clone(), entry.clone())).collect();
        };
        let mut state_at: BTreeMap<&[u8], Option<&Entry>> = BTreeMap::new();
        let events = self.history.iter().take_while(|event| event.revision <= at);
        for event in events.filter(|event| range.contains(&event.key)) {
            state_at.insert(&event.key, event.entry.as_ref());
        }
        let present =
            state_at.into_iter().filter_map(|(key, entry)| Some((key.to_vec(), entry?.clone())));
        present.collect()
    }

    /// The first entries of a range behind the key `after`, and whether there are more: at least
    /// one, and no further one once there are `max_items` or their values have `max_bytes`.
    pub fn page(
        &self,
        range: &KeyRange,
        after: Option<&[u8]>,
        max_items: usize,
        max_bytes: usize,
    ) -> (Vec<(Vec<u8>, Entry)>, bool) {
        let is_after = |key: &[u8]| after.is_none_or(|after| key > after);
        let found = self.entries.iter().filter(|(key, _)| range.contains(key) && is_after(key));
        let mut page = Vec::new();
        let mut bytes = 0;
        for (key, entry) in found {
            if page.len() >= max_items || bytes >= max_bytes {
                return (page, true);
            }
            bytes += entry.value.len();
            page.push((key.clone(), entry.clone()));
        }
        (page, false)
    }

    /// Writes a key at `revision`, which becomes the store's revision. Returns false if the lease
    /// does not exist.
    pub fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: u64, revision: u64) -> bool {
        if lease != 0 && !self.leases.contains_key(&lease) {
            return false;
        }
        let previous = self.entries.get(&key).cloned();
        let entry = Entry {
            value,
            created: previous.as_ref().map_or(revision, |previous| previous.created),
            modified: revision,
            version: previous.as_ref().map_or(1, |previous| previous.version + 1),
            lease,
        };
        self.revision = revision;
        self.entries.insert(key.clone(), entry.clone());
        self.history.push(Event { revision, key, entry: Some(entry), previous });
        true
    }

    /// Deletes the keys of a range at `revision`. Returns the number of deleted keys.
    pub fn delete(&mut self, range: &KeyRange, revision: u64) -> usize {
        let deleted = self.range(range, None);
        for (key, entry) in &deleted {
            self.entries.remove(key);
            self.revision = revision;
            let previous = Some(entry.clone());
            self.history.push(Event { revision, key: key.clone(), entry: None, previous });
        }
        deleted.len()
    }

    /// Changes to a range since a revision, inclusive.
    pub fn events(&self, range: &KeyRange, from: u64) -> Vec<Event> {
        let first = self.history.partition_point(|event| event.revision < from);
        self.history[first..].iter().filter(|event| range.contains(&event.key)).cloned().collect()
    }

    /// Compacts the history before a revision. Returns false if it is already compacted or is a
    /// future revision.
    pub fn compact(&mut self, revision: u64) -> bool {
        if revision <= self.compacted || revision > self.revision {
            return false;
        }
        self.compacted = revision;
        self.history.retain(|event| event.revision >= revision);
        true
    }

    /// Grants a lease. Returns its number, or `None` if the requested number is in use.
    pub fn grant(&mut self, requested: u64, lifetime: Duration, now: Instant) -> Option<u64> {
        let number = match requested {
            0 => {
                self.next_lease += 1;
                self.next_lease
            }
            requested if self.leases.contains_key(&requested) => return None,
            requested => requested,
        };
        self.leases.insert(number, Lease { lifetime, expires: now + lifetime });
        Some(number)
    }

    /// Renews a lease. Returns its lifetime, or `None` if it does not exist.
    pub fn keep_alive(&mut self, number: u64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&number)?;
        lease.expires = now + lease.lifetime;
        Some(lease.lifetime)
    }

    /// Remaining time of a lease, or `None` if it does not exist.
    pub fn remaining_time(&self, number: u64, now: Instant) -> Option<Duration> {
        Some(self.leases.get(&number)?.expires.saturating_duration_since(now))
    }

    /// Revokes a lease and deletes its keys. Returns false if it does not exist.
    pub fn revoke(&mut self, number: u64) -> bool {
        if self.leases.remove(&number).is_none() {
            return false;
        }
        let bound = self.entries.iter().filter(|(_, entry)| entry.lease == number);
        let keys: Vec<Vec<u8>> = bound.map(|(key, _)| key.clone()).collect();
        let revision = self.revision + 1;
        for start in keys {
            self.delete(&KeyRange { start, end: None }, revision);
        }
        true
    }

    /// Revokes the expired leases. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let numbers: Vec<u64> = expired.map(|(number, _)| *number).collect();
        numbers.iter().for_each(|number| {
            self.revoke(*number);
        });
        !numbers.is_empty()
    }
}
