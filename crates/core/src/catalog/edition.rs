//! Which configuration of the operators a catalog holds.
//!
//! A catalog has two authors: operators, and the instances that enter themselves. The revision orders catalogs
//! by when they were read. It does not show which configuration of the operators is the newer one once the
//! store has come back from an older copy of itself: what is read then is newer, and lacks what operators have
//! been told is in force, until they write it again. Their own number shows it.

use serde::{Deserialize, Serialize};

use super::{Catalog, Group, Revision, VersionedCatalog};

/// Number by which operators order their configurations; it rises with each. Zero where they have none.
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

/// Which catalog: of what operators wrote, and of when it was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogVersion {
    /// The operators' edition.
    pub edition: Edition,
    /// The revision.
    pub revision: Revision,
}

impl CatalogVersion {
    /// Whether a catalog of this version has all that one of the `other` version had from its operators.
    pub fn covers(self, other: Self) -> bool {
        self.edition >= other.edition && self.revision >= other.revision
    }
}

impl From<Revision> for CatalogVersion {
    /// Where operators have no numbers of their own.
    fn from(revision: Revision) -> Self {
        Self { edition: Edition::default(), revision }
    }
}

impl Catalog {
    /// Which catalog this is.
    pub fn version(&self) -> CatalogVersion {
        CatalogVersion { edition: self.edition, revision: self.revision }
    }

    /// Whether operators have written a newer one than this, which it can only lack because the store has gone
    /// back. Where they have no numbers none is older than another.
    pub fn is_older_edition_than(&self, other: &Catalog) -> bool {
        !self.edition.is_none() && self.edition < other.edition
    }
}

impl VersionedCatalog {
    /// What instances tell in this catalog, with what operators wrote in a `newer` edition.
    pub fn with_operator_entries_of(&self, newer: &Self) -> Self {
        let mut catalog = Catalog::clone(newer);
        catalog.revision = self.revision;
        for (name, group) in &mut catalog.groups {
            if let Some(told) = self.groups.get(name) {
                take_in_instances(group, told);
            }
        }
        Self::with_digests_from(catalog, newer)
    }
}

/// Takes in what instances say of themselves, and which one was promoted.
fn take_in_instances(group: &mut Group, told: &Group) {
    group.instances.clone_from(&told.instances);
    group.promoted.clone_from(&told.promoted);
}
