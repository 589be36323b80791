//! How the catalog is laid out in the store: one key a group, template and tenant, JSON values.

use kestrellock_core::catalog::{Catalog, Revision};
use kestrellock_core::ids::{GroupName, TemplateName, TenantName};
use thiserror::Error;

use crate::store::{ConfigStore, KeyValue, StoreError};

/// Prefix of every key of the product.
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

/// Reads the whole catalog at one revision.
pub fn read_catalog(store: &dyn ConfigStore) -> Result<Catalog, CatalogError> {
    let snapshot = store.range(PREFIX)?;
    let mut catalog = Catalog { revision: Revision(snapshot.revision), ..Catalog::default() };
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
