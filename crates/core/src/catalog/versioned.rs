//! A catalog with a hash of each entry, so that nodes transfer only the entries that differ.

use std::collections::BTreeSet;
use std::ops::Deref;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::digests::{CatalogSummary, Digests, Fingerprint, MAX_BUCKETS, entry_ids};
use super::{Catalog, CatalogVersion};
use crate::admin::configuration::{EntryId, EntryKind};
use crate::ids::{AccountName, GroupName, TemplateName, TenantName, ZoneName};

/// A catalog and the hashes of its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedCatalog {
    catalog: Catalog,
    digests: Digests,
}

/// The difference between a catalog and an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogDelta {
    /// Hash of the catalog to which the delta applies; `None` if the delta holds the whole catalog.
    pub base: Option<Fingerprint>,
    /// Number of buckets into which the older catalog's entries were divided; at least one.
    pub buckets: u32,
    /// Buckets that differ; `changed` holds all entries of the newer catalog in these buckets.
    pub replaced: Vec<u32>,
    /// Entries of the newer catalog, with its revision and edition.
    pub changed: Catalog,
    /// Hash of the newer catalog.
    pub fingerprint: Fingerprint,
}

/// Reason why a delta cannot be applied.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DeltaError {
    /// The current catalog is at least as new.
    #[error("delta is not newer")]
    NotNewer,
    /// The delta has another base, or the result differs from the sender's catalog: the whole
    /// catalog is needed.
    #[error("delta does not fit")]
    DoesNotFit,
}

impl CatalogDelta {
    /// For each bucket, whether the delta replaces it.
    fn replaced_buckets(&self) -> Result<Vec<bool>, DeltaError> {
        let count = self.buckets as usize;
        if !count.is_power_of_two() || count > MAX_BUCKETS {
            return Err(DeltaError::DoesNotFit);
        }
        let mut is_replaced = vec![false; count];
        for bucket in &self.replaced {
            *is_replaced.get_mut(*bucket as usize).ok_or(DeltaError::DoesNotFit)? = true;
        }
        Ok(is_replaced)
    }
}

impl VersionedCatalog {
    /// A catalog and the hashes of its entries; reuses the hashes of entries that are the same in
    /// `previous`.
    pub fn with_digests_from(catalog: Catalog, previous: &Self) -> Self {
        let digests = Digests::of(&catalog, Some((&previous.catalog, &previous.digests)));
        Self { catalog, digests }
    }

    /// Hash of the whole content, without the revision.
    pub fn fingerprint(&self) -> Fingerprint {
        self.digests.fingerprint()
    }

    /// Summary to send with a request for a newer catalog.
    pub fn summary(&self) -> CatalogSummary {
        CatalogSummary {
            revision: self.catalog.revision,
            fingerprint: self.fingerprint(),
            buckets: self.digests.buckets(self.digests.bucket_count()),
        }
    }

    /// The delta for a node whose catalog has the given summary; the whole catalog if the summary
    /// has no buckets.
    pub fn delta_for(&self, summary: &CatalogSummary) -> CatalogDelta {
        let count = summary.buckets.len();
        let fingerprint = self.fingerprint();
        if !count.is_power_of_two() {
            let (changed, replaced) = (self.catalog.clone(), Vec::new());
            return CatalogDelta { base: None, buckets: 1, replaced, changed, fingerprint };
        }
        let own = self.digests.buckets(count);
        let differs = |bucket: usize| own[bucket] != summary.buckets[bucket];
        let replaced =
            (0..count).filter(|bucket| differs(*bucket)).map(|bucket| bucket as u32).collect();
        let CatalogVersion { edition, revision } = self.catalog.version();
        let mut changed = Catalog { revision, edition, ..Catalog::default() };
        for id in self.digests.entries_in(count, differs) {
            copy_entry(&self.catalog, &mut changed, id.kind, &id.name);
        }
        let base = Some(summary.fingerprint);
        CatalogDelta { base, buckets: count as u32, replaced, changed, fingerprint }
    }

    /// The catalog with a delta applied.
    pub fn with_delta(&self, delta: CatalogDelta) -> Result<Self, DeltaError> {
        if delta.changed.revision <= self.catalog.revision {
            return Err(DeltaError::NotNewer);
        }
        let fingerprint = delta.fingerprint;
        let next = match delta.base {
            None => Self::with_digests_from(delta.changed, self),
            Some(base) if base == self.fingerprint() => self.with_buckets(delta)?,
            Some(_) => return Err(DeltaError::DoesNotFit),
        };
        match next.fingerprint() == fingerprint {
            true => Ok(next),
            false => Err(DeltaError::DoesNotFit),
        }
    }

    /// The catalog with its entries in the delta's buckets replaced by those of the delta. Only
    /// these entries are hashed: one changed tenant of 1,400 takes 0.9 ms, and hashing and
    /// comparing all entries takes 2.3 ms (bench `catalog`).
    fn with_buckets(&self, delta: CatalogDelta) -> Result<Self, DeltaError> {
        let is_replaced = delta.replaced_buckets()?;
        let replaced = self.digests.entries_in(is_replaced.len(), |bucket| is_replaced[bucket]);
        // Most entries are in both sets; collecting them first hashes each entry only once.
        let touched: BTreeSet<EntryId> =
            replaced.cloned().chain(entry_ids(&delta.changed)).collect();
        let mut next = self.clone();
        let catalog = &mut next.catalog;
        for id in &touched {
            remove_entry(catalog, id);
        }
        catalog.revision = delta.changed.revision;
        catalog.edition = delta.changed.edition;
        catalog.zones.extend(delta.changed.zones);
        catalog.groups.extend(delta.changed.groups);
        catalog.templates.extend(delta.changed.templates);
        catalog.tenants.extend(delta.changed.tenants);
        catalog.accounts.extend(delta.changed.accounts);
        for id in touched {
            next.digests.update(&next.catalog, id);
        }
        Ok(next)
    }
}

/// Removes an entry, if it exists.
pub(super) fn remove_entry(catalog: &mut Catalog, id: &EntryId) {
    match id.kind {
        EntryKind::Zone => drop(catalog.zones.remove(id.name.as_str())),
        EntryKind::Group => drop(catalog.groups.remove(id.name.as_str())),
        EntryKind::Template => drop(catalog.templates.remove(id.name.as_str())),
        EntryKind::Tenant => drop(catalog.tenants.remove(id.name.as_str())),
        EntryKind::Account => drop(catalog.accounts.remove(id.name.as_str())),
    }
}

fn copy_entry(from: &Catalog, to: &mut Catalog, kind: EntryKind, name: &str) {
    match kind {
        EntryKind::Zone => {
            let value = from.zones.get(name);
            to.zones.extend(value.map(|value| (ZoneName::new(name), *value)));
        }
        EntryKind::Group => {
            let value = from.groups.get(name);
            to.groups.extend(value.map(|value| (GroupName::new(name), value.clone())));
        }
        EntryKind::Template => {
            let value = from.templates.get(name);
            to.templates.extend(value.map(|value| (TemplateName::new(name), value.clone())));
        }
        EntryKind::Tenant => {
            let value = from.tenants.get(name);
            to.tenants.extend(value.map(|value| (TenantName::new(name), value.clone())));
        }
        EntryKind::Account => {
            let value = from.accounts.get(name);
            to.accounts.extend(value.map(|value| (AccountName::new(name), value.clone())));
        }
    }
}

impl From<Catalog> for VersionedCatalog {
    fn from(catalog: Catalog) -> Self {
        let digests = Digests::of(&catalog, None);
        Self { catalog, digests }
    }
}

impl Deref for VersionedCatalog {
    type Target = Catalog;

    fn deref(&self) -> &Catalog {
        &self.catalog
    }
}
