//! Hashes of a catalog's entries, by which two nodes determine how their catalogs differ.
//!
//! The hashes cover the content of an entry and not its time of writing: an external system may
//! keep the whole configuration in one value, which it then rewrites entirely to change one field.

use std::collections::BTreeMap;
use std::io::{self, Write};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{Catalog, Revision};
use crate::admin::configuration::{EntryId, EntryKind};

/// Average number of entries in a bucket of a summary. Larger buckets increase the cost of a
/// change, because changing one entry transfers all entries of its bucket; smaller buckets increase
/// the summary, which has five bytes for each bucket.
const ENTRIES_PER_BUCKET: usize = 4;
/// Most buckets of a summary: 5 kB.
pub const MAX_BUCKETS: usize = 1_024;

/// Hash of the whole content of a catalog.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Summary of a node's catalog, which it sends with a request for a newer one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogSummary {
    /// Revision of the catalog; zero for an empty one.
    pub revision: Revision,
    /// Hash of the whole content.
    pub fingerprint: Fingerprint,
    /// Hashes of the entries by bucket. Their number is a power of two, or zero to request the
    /// whole catalog.
    pub buckets: Vec<u32>,
}

impl CatalogSummary {
    /// A summary that requests the whole catalog.
    pub fn empty() -> Self {
        Self::default()
    }
}

/// Hash of an entry's name, which determines its bucket, and hash of its whole content.
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

/// The hashes of all entries of a catalog.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    entries: BTreeMap<EntryId, EntryDigest>,
    fingerprint: u64,
}

impl Digests {
    /// Hashes every entry of `catalog`, reusing the hashes of entries that are the same in
    /// `previous`.
    pub fn of(catalog: &Catalog, previous: Option<(&Catalog, &Digests)>) -> Self {
        let mut digests = Self::default();
        for id in entry_ids(catalog) {
            let reused = previous.filter(|(other, _)| is_same_entry(catalog, other, &id));
            let reused = reused.and_then(|(_, known)| known.entries.get(&id).copied());
            let digest = reused.unwrap_or_else(|| digest_of(catalog, &id));
            digests.insert(id, digest);
        }
        digests
    }

    /// Updates the hash of one entry after a change of `catalog`, or removes it if the entry is
    /// gone.
    pub fn update(&mut self, catalog: &Catalog, id: EntryId) {
        if let Some(previous_digest) = self.entries.remove(&id) {
            self.fingerprint = self.fingerprint.wrapping_sub(previous_digest.content);
        }
        if contains(catalog, &id) {
            let digest = digest_of(catalog, &id);
            self.insert(id, digest);
        }
    }

    fn insert(&mut self, id: EntryId, digest: EntryDigest) {
        self.fingerprint = self.fingerprint.wrapping_add(digest.content);
        if let Some(previous_digest) = self.entries.insert(id, digest) {
            self.fingerprint = self.fingerprint.wrapping_sub(previous_digest.content);
        }
    }

    /// Hash of the whole content.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint(self.fingerprint)
    }

    /// Number of buckets suited to the number of entries.
    pub fn bucket_count(&self) -> usize {
        (self.entries.len() / ENTRIES_PER_BUCKET).next_power_of_two().min(MAX_BUCKETS)
    }

    /// Hashes of the entries by bucket; `count` must be a power of two.
    pub fn buckets(&self, count: usize) -> Vec<u32> {
        let mut buckets = vec![0_u32; count];
        for digest in self.entries.values() {
            let bucket = &mut buckets[digest.bucket(count)];
            *bucket = bucket.wrapping_add(digest.content as u32);
        }
        buckets
    }

    /// Entries in those of `count` buckets for which `is_chosen` returns true.
    pub fn entries_in(
        &self,
        count: usize,
        is_chosen: impl Fn(usize) -> bool,
    ) -> impl Iterator<Item = &EntryId> {
        let chosen = move |digest: &EntryDigest| is_chosen(digest.bucket(count));
        self.entries.iter().filter(move |(_, digest)| chosen(digest)).map(|(id, _)| id)
    }
}

/// Ids of all entries: zones, groups, templates, tenants and accounts, each ordered by name.
pub fn entry_ids(catalog: &Catalog) -> impl Iterator<Item = EntryId> + '_ {
    let id = |kind, name: &str| EntryId { kind, name: name.to_owned() };
    let zones = catalog.zones.keys().map(move |name| id(EntryKind::Zone, name.as_str()));
    let groups = catalog.groups.keys().map(move |name| id(EntryKind::Group, name.as_str()));
    let templates =
        catalog.templates.keys().map(move |name| id(EntryKind::Template, name.as_str()));
    let tenants = catalog.tenants.keys().map(move |name| id(EntryKind::Tenant, name.as_str()));
    let accounts = catalog.accounts.keys().map(move |name| id(EntryKind::Account, name.as_str()));
    zones.chain(groups).chain(templates).chain(tenants).chain(accounts)
}

fn contains(catalog: &Catalog, id: &EntryId) -> bool {
    let name = id.name.as_str();
    match id.kind {
        EntryKind::Zone => catalog.zones.contains_key(name),
        EntryKind::Group => catalog.groups.contains_key(name),
        EntryKind::Template => catalog.templates.contains_key(name),
        EntryKind::Tenant => catalog.tenants.contains_key(name),
        EntryKind::Account => catalog.accounts.contains_key(name),
    }
}

fn is_same_entry(left: &Catalog, right: &Catalog, id: &EntryId) -> bool {
    let name = id.name.as_str();
    match id.kind {
        EntryKind::Zone => left.zones.get(name) == right.zones.get(name),
        EntryKind::Group => left.groups.get(name) == right.groups.get(name),
        EntryKind::Template => left.templates.get(name) == right.templates.get(name),
        EntryKind::Tenant => left.tenants.get(name) == right.tenants.get(name),
        EntryKind::Account => left.accounts.get(name) == right.accounts.get(name),
    }
}

fn digest_of(catalog: &Catalog, id: &EntryId) -> EntryDigest {
    let mut hasher = Xxh3::new();
    hasher.update(id.kind.table().as_bytes());
    hasher.update(&[0]);
    hasher.update(id.name.as_bytes());
    hasher.update(&[0]);
    let name = hasher.digest();
    let entry_name = id.name.as_str();
    match id.kind {
        EntryKind::Zone => add_content(&mut hasher, catalog.zones.get(entry_name)),
        EntryKind::Group => add_content(&mut hasher, catalog.groups.get(entry_name)),
        EntryKind::Template => add_content(&mut hasher, catalog.templates.get(entry_name)),
        EntryKind::Tenant => add_content(&mut hasher, catalog.tenants.get(entry_name)),
        EntryKind::Account => add_content(&mut hasher, catalog.accounts.get(entry_name)),
    }
    EntryDigest { name, content: hasher.digest() }
}

fn add_content(hasher: &mut Xxh3, value: Option<&impl Serialize>) {
    let result = ciborium::into_writer(&value, HashWriter(hasher));
    result.expect("writing to a hasher cannot fail, and every entry is serializable");
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
