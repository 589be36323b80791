//! A catalog that knows the revision of each entry, so that nodes exchange only what changed.

use std::collections::BTreeMap;
use std::ops::Deref;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

use super::{Catalog, Revision};
use crate::admin::configuration::{EntryId, EntryKind};

/// A catalog and the revision at which each entry was last written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedCatalog {
    catalog: Catalog,
    revisions: BTreeMap<EntryId, Revision>,
}

/// What a catalog has more than an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogDelta {
    /// The older catalog's revision; zero: the delta is the whole catalog.
    pub base: Revision,
    /// Entries written after `base`; its revision is the newer catalog's.
    pub changed: Catalog,
    /// Revision of each entry of `changed`: groups, then templates, then tenants, by name.
    pub revisions: Vec<Revision>,
    /// Fingerprint of the newer catalog.
    pub fingerprint: u64,
}

/// Why a delta cannot be applied.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DeltaError {
    /// The catalog at hand is as new.
    #[error("delta is not newer")]
    NotNewer,
    /// The delta begins after the catalog at hand, or the outcome is not what the sender has:
    /// the whole catalog is needed.
    #[error("delta does not fit")]
    DoesNotFit,
}

impl VersionedCatalog {
    /// A catalog with the revision of each entry; one without a revision has the catalog's.
    pub fn new(catalog: Catalog, mut revisions: BTreeMap<EntryId, Revision>) -> Self {
        for id in ids(&catalog) {
            revisions.entry(id).or_insert(catalog.revision);
        }
        Self { catalog, revisions }
    }

    /// Entries written after `base`; the whole catalog if `base` is zero.
    pub fn delta_since(&self, base: Revision) -> CatalogDelta {
        let mut changed = Catalog { revision: self.catalog.revision, ..Catalog::default() };
        let is_newer = |kind, name: &str| {
            let id = EntryId { kind, name: name.to_owned() };
            base == Revision::default() || self.revisions.get(&id).is_none_or(|at| *at > base)
        };
        for (name, value) in &self.catalog.groups {
            if is_newer(EntryKind::Group, name.as_str()) {
                changed.groups.insert(name.clone(), value.clone());
            }
        }
        for (name, value) in &self.catalog.templates {
            if is_newer(EntryKind::Template, name.as_str()) {
                changed.templates.insert(name.clone(), value.clone());
            }
        }
        for (name, value) in &self.catalog.tenants {
            if is_newer(EntryKind::Tenant, name.as_str()) {
                changed.tenants.insert(name.clone(), value.clone());
            }
        }
        let revisions = ids(&changed).map(|id| self.revision_of(&id)).collect();
        CatalogDelta { base, changed, revisions, fingerprint: self.fingerprint() }
    }

    /// The catalog with a delta applied.
    pub fn with(&self, delta: &CatalogDelta) -> Result<Self, DeltaError> {
        if delta.changed.revision <= self.catalog.revision {
            return Err(DeltaError::NotNewer);
        }
        if delta.base > self.catalog.revision {
            return Err(DeltaError::DoesNotFit);
        }
        let mut next = match delta.base {
            Revision(0) => Self::default(),
            _ => self.clone(),
        };
        let ids: Vec<EntryId> = ids(&delta.changed).collect();
        if ids.len() != delta.revisions.len() {
            return Err(DeltaError::DoesNotFit);
        }
        next.catalog.revision = delta.changed.revision;
        next.catalog.groups.extend(delta.changed.groups.clone());
        next.catalog.templates.extend(delta.changed.templates.clone());
        next.catalog.tenants.extend(delta.changed.tenants.clone());
        next.revisions.extend(ids.into_iter().zip(delta.revisions.iter().copied()));
        match next.fingerprint() == delta.fingerprint {
            true => Ok(next),
            false => Err(DeltaError::DoesNotFit),
        }
    }

    /// A hash of every entry's name and revision: differs where an entry is missing or older.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (id, revision) in &self.revisions {
            hasher.update(id.kind.table().as_bytes());
            hasher.update(&[0]);
            hasher.update(id.name.as_bytes());
            hasher.update(&[0]);
            hasher.update(&revision.0.to_be_bytes());
        }
        hasher.digest()
    }

    /// Revision at which an entry was last written; the catalog's if it is not known.
    pub fn revision_of(&self, id: &EntryId) -> Revision {
        self.revisions.get(id).copied().unwrap_or(self.catalog.revision)
    }
}

impl From<Catalog> for VersionedCatalog {
    fn from(catalog: Catalog) -> Self {
        Self::new(catalog, BTreeMap::new())
    }
}

impl Deref for VersionedCatalog {
    type Target = Catalog;

    fn deref(&self) -> &Catalog {
        &self.catalog
    }
}

/// Every entry: groups, then templates, then tenants, by name.
fn ids(catalog: &Catalog) -> impl Iterator<Item = EntryId> + '_ {
    let id = |kind, name: &str| EntryId { kind, name: name.to_owned() };
    let groups = catalog.groups.keys().map(move |name| id(EntryKind::Group, name.as_str()));
    let templates =
        catalog.templates.keys().map(move |name| id(EntryKind::Template, name.as_str()));
    let tenants = catalog.tenants.keys().map(move |name| id(EntryKind::Tenant, name.as_str()));
    groups.chain(templates).chain(tenants)
}
