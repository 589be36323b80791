//! Layout of the configuration in the store: one key for each entry (such as a group, template or
//! tenant), a guard key that every change writes, and a bounded history of each entry.

use kestrellock_core::admin::configuration::{Authorship, Entry, EntryId, EntryKind, EntryValue};
use kestrellock_core::catalog::{Catalog, Revision, VersionedCatalog};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::store::{ConfigStore, KeyValue, Snapshot, StoreError};

/// Prefix of every key of the catalog.
pub const CATALOG_PREFIX: &str = "/kestrellock/";
/// Prefix of database groups.
pub const GROUPS_PREFIX: &str = "/kestrellock/groups/";
/// Prefix of templates.
pub const TEMPLATES_PREFIX: &str = "/kestrellock/templates/";
/// Prefix of tenants.
pub const TENANTS_PREFIX: &str = "/kestrellock/tenants/";
/// Key that every change writes, so that two concurrent changes always conflict.
pub const GUARD_KEY: &str = "/kestrellock/guard";
/// Prefix of earlier versions. It lies outside [`CATALOG_PREFIX`], so that nodes that watch the
/// configuration do not read the history.
const HISTORY_PREFIX: &str = "/kestrellock-history/";
/// Number of versions kept for each entry.
pub const MAX_HISTORY_VERSIONS: u64 = 20;

/// Why the catalog could not be read.
#[derive(Debug, Error)]
pub enum CatalogError {
    /// The call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The value cannot be decoded as the kind of entry that its key names.
    #[error("value of {key} is malformed: {problem}")]
    Malformed {
        /// Key of the value.
        key: String,
        /// Description of the problem.
        problem: String,
    },
}

/// Stored form of an entry that was written by a change. A value without this envelope was written
/// by other means and is read as version zero.
#[derive(Serialize, Deserialize)]
struct Record {
    #[serde(flatten)]
    authorship: Authorship,
    value: Value,
}

/// Key of an entry.
pub fn entry_key(id: &EntryId) -> String {
    format!("{CATALOG_PREFIX}{}/{}", id.kind.table(), id.name)
}

/// Prefix of the history of an entry.
pub fn history_prefix(id: &EntryId) -> String {
    format!("{HISTORY_PREFIX}{}/{}/", id.kind.table(), id.name)
}

/// Key of a version in the history. The versions of an entry rotate through
/// [`MAX_HISTORY_VERSIONS`] keys, so a new version overwrites the oldest one.
pub fn history_key(id: &EntryId, version: u64) -> String {
    format!("{}{}", history_prefix(id), version % MAX_HISTORY_VERSIONS)
}

/// Encodes a version of an entry for the store.
pub fn encode(authorship: &Authorship, value: &EntryValue) -> Result<Vec<u8>, serde_json::Error> {
    let value = match value {
        EntryValue::Zone(zone) => serde_json::to_value(zone)?,
        EntryValue::Group(group) => serde_json::to_value(group)?,
        EntryValue::Template(template) => serde_json::to_value(template)?,
        EntryValue::Tenant(tenant) => serde_json::to_value(tenant)?,
        EntryValue::Account(account) => serde_json::to_value(account)?,
    };
    serde_json::to_vec(&Record { authorship: authorship.clone(), value })
}

/// Decodes the entry stored under a key; `None` if the key is not the key of an entry.
pub fn decode(stored: &KeyValue) -> Result<Option<Entry>, CatalogError> {
    let Some((kind, name)) = stored.key.strip_prefix(CATALOG_PREFIX).and_then(split_key) else {
        return Ok(None);
    };
    decode_as(kind, name, stored).map(Some)
}

fn split_key(path: &str) -> Option<(EntryKind, &str)> {
    let (table, name) = path.split_once('/')?;
    Some((EntryKind::of_table(table)?, name))
}

/// Decodes a stored value as an entry of the given kind and name.
pub fn decode_as(kind: EntryKind, name: &str, stored: &KeyValue) -> Result<Entry, CatalogError> {
    let malformed = |error: serde_json::Error| CatalogError::Malformed {
        key: stored.key.clone(),
        problem: error.to_string(),
    };
    let json: Value = serde_json::from_slice(&stored.value).map_err(malformed)?;
    let is_record = json.get("version").is_some() && json.get("value").is_some();
    let (authorship, value) = if is_record {
        let record: Record = serde_json::from_value(json).map_err(malformed)?;
        (record.authorship, record.value)
    } else {
        (Authorship::default(), json)
    };
    let value = match kind {
        EntryKind::Zone => serde_json::from_value(value).map(EntryValue::Zone),
        EntryKind::Group => serde_json::from_value(value).map(EntryValue::Group),
        EntryKind::Template => serde_json::from_value(value).map(EntryValue::Template),
        EntryKind::Tenant => serde_json::from_value(value).map(EntryValue::Tenant),
        EntryKind::Account => serde_json::from_value(value).map(EntryValue::Account),
    };
    let value = value.map_err(malformed)?;
    let revision = Revision(stored.mod_revision);
    Ok(Entry { name: name.to_owned(), revision, authorship, value })
}

/// A catalog as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCatalog {
    /// The catalog. Its revision is the store revision at which its newest key was written.
    pub catalog: VersionedCatalog,
    /// Store revision at which the catalog was read.
    pub store_revision: u64,
}

/// Reads the whole catalog at one store revision.
pub fn read_catalog(store: &dyn ConfigStore) -> Result<StoredCatalog, CatalogError> {
    let snapshot = store.range(CATALOG_PREFIX)?;
    let catalog = catalog_from_snapshot(&snapshot)?;
    Ok(StoredCatalog { catalog, store_revision: snapshot.revision })
}

/// Revision of the configuration in a snapshot of [`CATALOG_PREFIX`]: the newest revision of its
/// keys.
pub fn configuration_revision(snapshot: &Snapshot) -> Revision {
    Revision(snapshot.entries.iter().map(|entry| entry.mod_revision).max().unwrap_or(0))
}

/// Decodes the catalog in a snapshot of [`CATALOG_PREFIX`].
pub fn catalog_from_snapshot(snapshot: &Snapshot) -> Result<VersionedCatalog, CatalogError> {
    let mut catalog = Catalog { revision: configuration_revision(snapshot), ..Catalog::default() };
    for stored in &snapshot.entries {
        if let Some(entry) = decode(stored)? {
            catalog.insert(&entry.name, entry.value);
        }
    }
    Ok(VersionedCatalog::from(catalog))
}

/// Reads the history of an entry, newest version first.
pub fn read_history(store: &dyn ConfigStore, id: &EntryId) -> Result<Vec<Entry>, CatalogError> {
    let snapshot = store.range(&history_prefix(id))?;
    let decoded = snapshot.entries.iter().map(|stored| decode_as(id.kind, &id.name, stored));
    let mut versions = decoded.collect::<Result<Vec<_>, _>>()?;
    versions.sort_by_key(|entry| std::cmp::Reverse(entry.authorship.version));
    Ok(versions)
}
