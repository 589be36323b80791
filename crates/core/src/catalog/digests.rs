//! Hashes of a catalog's entries, by which two nodes find out what differs between their catalogs.
//!
//! They are taken of what an entry says, not of when it was written: whoever keeps the configuration may
//! keep all of it in one value, which is then written whole for the change of one field.

use std::collections::BTreeMap;
use std::io::{self, Write};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{Catalog, Revision};
use crate::admin::configuration::{EntryId, EntryKind};

/// Most entries that a bucket of a summary holds on average: a change of one entry brings the others of its
/// bucket along, and the summary has five bytes for each bucket.
const ENTRIES_PER_BUCKET: usize = 4;
/// Most buckets of a summary: 5 kB.
pub const MAX_BUCKETS: usize = 1_024;

/// Hash of everything that a catalog says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// What a node tells of its catalog to whoever is to send it a newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogSummary {
    /// Revision of the catalog; zero: it is empty.
    pub revision: Revision,
    /// Hash of the whole.
    pub fingerprint: Fingerprint,
    /// Hashes of its entries by bucket; a power of two of them, or none to ask for everything.
    pub buckets: Vec<u32>,
}

impl CatalogSummary {
    /// Asks for everything.
    pub fn empty() -> Self {
        Self::default()
    }
}

/// Hash of one entry's name, which decides its bucket, and of all that it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EntryDigest {
    name: u64,
    content: u64,
}

impl EntryDigest {
    fn bucket(self, buckets: usize) -> usize {
        self.name as usize & (buckets - 1)
    }
}

/// Hashes of all entries of a catalog.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    entries: BTreeMap<EntryId, EntryDigest>,
    fingerprint: u64,
}

impl Digests {
    /// Of every entry of `catalog`; those of entries that `previous` has as well are taken over.
    pub fn of(catalog: &Catalog, previous: Option<(&Catalog, &Digests)>) -> Self {
        let mut digests = Self::default();
        for id in ids(catalog) {
            let kept = previous.filter(|(other, _)| is_same(catalog, other, &id));
            let kept = kept.and_then(|(_, known)| known.entries.get(&id).copied());
            let digest = kept.unwrap_or_else(|| digest_of(catalog, &id));
            digests.insert(id, digest);
        }
        digests
    }

    /// Takes an entry out, or brings it up to what `catalog` has.
    pub fn update(&mut self, catalog: &Catalog, id: EntryId) {
        if let Some(before) = self.entries.remove(&id) {
            self.fingerprint = self.fingerprint.wrapping_sub(before.content);
        }
        if has(catalog, &id) {
            let digest = digest_of(catalog, &id);
            self.insert(id, digest);
        }
    }

    fn insert(&mut self, id: EntryId, digest: EntryDigest) {
        self.fingerprint = self.fingerprint.wrapping_add(digest.content);
        if let Some(before) = self.entries.insert(id, digest) {
            self.fingerprint = self.fingerprint.wrapping_sub(before.content);
        }
    }

    /// Hash of the whole.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint(self.fingerprint)
    }

    /// As many buckets as suit the number of entries.
    pub fn bucket_count(&self) -> usize {
        (self.entries.len() / ENTRIES_PER_BUCKET).next_power_of_two().min(MAX_BUCKETS)
    }

    /// Hashes of the entries by bucket; `count` is a power of two.
    pub fn buckets(&self, count: usize) -> Vec<u32> {
        let mut buckets = vec![0_u32; count];
        for digest in self.entries.values() {
            let bucket = &mut buckets[digest.bucket(count)];
            *bucket = bucket.wrapping_add(digest.content as u32);
        }
        buckets
    }

    /// Entries in those of `count` buckets for which `is_chosen` holds.
    pub fn entries_in(
        &self,
        count: usize,
        is_chosen: impl Fn(usize) -> bool,
    ) -> impl Iterator<Item = &EntryId> {
        let chosen = move |digest: &EntryDigest| is_chosen(digest.bucket(count));
        self.entries.iter().filter(move |(_, digest)| chosen(digest)).map(|(id, _)| id)
    }
}

/// Every entry: zones, then groups, templates, tenants and accounts, by name.
pub fn ids(catalog: &Catalog) -> impl Iterator<Item = EntryId> + '_ {
    let id = |kind, name: &str| EntryId { kind, name: name.to_owned() };
    let zones = catalog.zones.keys().map(move |name| id(EntryKind::Zone, name.as_str()));
    let groups = catalog.groups.keys().map(move |name| id(EntryKind::Group, name.as_str()));
    let templates =
        catalog.templates.keys().map(move |name| id(EntryKind::Template, name.as_str()));
    let tenants = catalog.tenants.keys().map(move |name| id(EntryKind::Tenant, name.as_str()));
    let accounts = catalog.accounts.keys().map(move |name| id(EntryKind::Account, name.as_str()));
    zones.chain(groups).chain(templates).chain(tenants).chain(accounts)
}

fn has(catalog: &Catalog, id: &EntryId) -> bool {
    let name = id.name.as_str();
    match id.kind {
        EntryKind::Zone => catalog.zones.contains_key(name),
        EntryKind::Group => catalog.groups.contains_key(name),
        EntryKind::Template => catalog.templates.contains_key(name),
        EntryKind::Tenant => catalog.tenants.contains_key(name),
        EntryKind::Account => catalog.accounts.contains_key(name),
    }
}

fn is_same(one: &Catalog, other: &Catalog, id: &EntryId) -> bool {
    let name = id.name.as_str();
    match id.kind {
        EntryKind::Zone => one.zones.get(name) == other.zones.get(name),
        EntryKind::Group => one.groups.get(name) == other.groups.get(name),
        EntryKind::Template => one.templates.get(name) == other.templates.get(name),
        EntryKind::Tenant => one.tenants.get(name) == other.tenants.get(name),
        EntryKind::Account => one.accounts.get(name) == other.accounts.get(name),
    }
}

fn digest_of(catalog: &Catalog, id: &EntryId) -> EntryDigest {
    let mut hasher = Xxh3::new();
    hasher.update(id.kind.table().as_bytes());
    hasher.update(&[0]);
    hasher.update(id.name.as_bytes());
    hasher.update(&[0]);
    let name = hasher.digest();
    let name_of_entry = id.name.as_str();
    match id.kind {
        EntryKind::Zone => add_content(&mut hasher, catalog.zones.get(name_of_entry)),
        EntryKind::Group => add_content(&mut hasher, catalog.groups.get(name_of_entry)),
        EntryKind::Template => add_content(&mut hasher, catalog.templates.get(name_of_entry)),
        EntryKind::Tenant => add_content(&mut hasher, catalog.tenants.get(name_of_entry)),
        EntryKind::Account => add_content(&mut hasher, catalog.accounts.get(name_of_entry)),
    }
    EntryDigest { name, content: hasher.digest() }
}

fn add_content(hasher: &mut Xxh3, value: Option<&impl Serialize>) {
    let written = ciborium::into_writer(&value, HashWriter(hasher));
    written.expect("a hash takes every byte, and the entries are plain data");
}

struct HashWriter<'a>(&'a mut Xxh3);

impl Write for HashWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.update(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
