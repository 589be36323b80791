//! How the catalog is laid out in the store: one key a group, template and tenant, JSON values.

use kestrellock_core::catalog::{Catalog, Revision};
use kestrellock_core::ids::{GroupName, TemplateName, TenantName};
use thiserror::Error;

use crate::store::{ConfigStore, KeyValue, Snapshot, StoreError};

/// Prefix of every key of the catalog.
pub const PREFIX: &str = "/kestrellock/";
/// Prefix of database groups.
pub const GROUPS: &str = "/kestrellock/groups/";
/// Prefix of templates.
pub const TEMPLATES: &str = "/kestrellock/templates/";
/// Prefix of tenants.
pub const TENANTS: &str = "/kestrellock/tenants/";

/// Why the catalog could not be read.
#[derive(Debug, Error)]
pub enum CatalogError {
    /// The store did not answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A value is not what its key says.
    #[error("value of {key} is malformed: {problem}")]
    Malformed {
        /// Key of the value.
        key: String,
        /// What is wrong.
        problem: String,
    },
}

/// A catalog as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredCatalog {
    /// The catalog; its revision is the store's revision at which its newest part was written.
    pub catalog: Catalog,
    /// Revision of the store at which it was read.
    pub store_revision: u64,
}

/// Reads the whole catalog at one revision.
pub fn read_catalog(store: &dyn ConfigStore) -> Result<StoredCatalog, CatalogError> {
    let snapshot = store.range(PREFIX)?;
    let catalog = catalog_of(&snapshot)?;
    Ok(StoredCatalog { catalog, store_revision: snapshot.revision })
}

/// The catalog that a snapshot of [`PREFIX`] holds.
pub fn catalog_of(snapshot: &Snapshot) -> Result<Catalog, CatalogError> {
    let newest = snapshot.entries.iter().map(|entry| entry.modified).max().unwrap_or(0);
    let mut catalog = Catalog { revision: Revision(newest), ..Catalog::default() };
    for entry in &snapshot.entries {
        add(&mut catalog, entry).map_err(|error| CatalogError::Malformed {
            key: entry.key.clone(),
            problem: error.to_string(),
        })?;
    }
    Ok(catalog)
}

fn add(catalog: &mut Catalog, entry: &KeyValue) -> Result<(), serde_json::Error> {
    if let Some(name) = entry.key.strip_prefix(GROUPS) {
        let group = serde_json::from_slice(&entry.value)?;
        catalog.groups.insert(GroupName::new(name), group);
    } else if let Some(name) = entry.key.strip_prefix(TEMPLATES) {
        let template = serde_json::from_slice(&entry.value)?;
        catalog.templates.insert(TemplateName::new(name), template);
    } else if let Some(name) = entry.key.strip_prefix(TENANTS) {
        let tenant = serde_json::from_slice(&entry.value)?;
        catalog.tenants.insert(TenantName::new(name), tenant);
    }
    Ok(())
}
