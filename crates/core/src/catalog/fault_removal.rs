//! Removes the faulty parts of a catalog, so that the rest can be used.
//!
//! The operators' entries and the reports of instances arrive as one catalog. If any fault rejected
//! the whole catalog, an instance that restarts at the address of an instance that is still
//! reported would delay every change of the operators; this took up to nine seconds.

use super::validate::{Fault, Subject};
use super::versioned::remove_entry;
use super::{Catalog, VersionedCatalog};

impl Catalog {
    /// Removes the subjects of `faults`, which include entries that refer to faulty ones. The rest
    /// is valid.
    fn remove_faulty(&mut self, faults: &[Fault]) {
        // In reverse order, so that removing an instance does not change the indexes of faulty
        // instances that are still to be removed.
        for fault in faults.iter().rev() {
            match &fault.subject {
                Subject::Entry(id) => remove_entry(self, id),
                Subject::Instance { group, index, .. } => {
                    let group = self.groups.get_mut(group);
                    group.map(|group| group.instances.remove(*index));
                }
            }
        }
    }
}

impl VersionedCatalog {
    /// The catalog without its faulty entries and instances, and the faults.
    pub fn without_faults(self) -> (Self, Vec<Fault>) {
        let faults = self.faults();
        if faults.is_empty() {
            return (self, faults);
        }
        let mut catalog = Catalog::clone(&self);
        catalog.remove_faulty(&faults);
        (Self::with_digests_from(catalog, &self), faults)
    }
}
