//! Identifies which configuration of the operators a catalog contains.
//!
//! A catalog has two sources: the operators, and the instances that register themselves. The
//! revision orders catalogs by when they were read. After a store restore it does not show which
//! configuration of the operators is newer: a catalog that is read then has a newer revision, but
//! lacks changes that were acknowledged to the operators, until they write them again. The edition,
//! which the operators assign, shows it.

use serde::{Deserialize, Serialize};

use super::{Catalog, Group, Revision, VersionedCatalog};

/// Number by which operators order their configurations; it increases with each one. Zero if the
/// operators assign no numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Edition(pub u64);

impl Edition {
    pub(super) fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// Version of a catalog: the edition of the operators' part, and the revision at which it was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogVersion {
    /// The operators' edition.
    pub edition: Edition,
    /// The revision.
    pub revision: Revision,
}

impl CatalogVersion {
    /// Whether a catalog of this version has all operator changes that one of the `other` version
    /// has.
    pub fn covers(self, other: Self) -> bool {
        self.edition >= other.edition && self.revision >= other.revision
    }
}

impl From<Revision> for CatalogVersion {
    /// The version of a catalog without an edition.
    fn from(revision: Revision) -> Self {
        Self { edition: Edition::default(), revision }
    }
}

impl Catalog {
    /// Version of this catalog.
    pub fn version(&self) -> CatalogVersion {
        CatalogVersion { edition: self.edition, revision: self.revision }
    }

    /// Whether this catalog has an older edition than `other`, which can only happen after a store
    /// restore. A catalog without an edition is never older.
    pub fn is_older_edition_than(&self, other: &Catalog) -> bool {
        !self.edition.is_none() && self.edition < other.edition
    }
}

impl VersionedCatalog {
    /// The instances reported in this catalog, combined with the operators' entries of a `newer`
    /// edition.
    pub fn with_operator_entries_of(&self, newer: &Self) -> Self {
        let mut catalog = Catalog::clone(newer);
        catalog.revision = self.revision;
        for (name, group) in &mut catalog.groups {
            if let Some(reported) = self.groups.get(name) {
                copy_instances(group, reported);
            }
        }
        Self::with_digests_from(catalog, newer)
    }
}

/// Copies the reported instances, and which of them was promoted last.
fn copy_instances(group: &mut Group, reported: &Group) {
    group.instances.clone_from(&reported.instances);
    group.promoted.clone_from(&reported.promoted);
}
