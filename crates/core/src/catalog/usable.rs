//! What of a catalog can be used where a part of it is faulty.
//!
//! The operators' word and what instances say of themselves arrive as one catalog. While a fault anywhere
//! refused it whole, an instance that started again at the address of one still told held every change of
//! the operators back for up to nine seconds.

use super::validate::{Fault, Subject};
use super::versioned::remove_entry;
use super::{Catalog, VersionedCatalog};

impl Catalog {
    /// Takes out what is faulty, and what refers to it. The rest is valid.
    fn remove_faulty(&mut self, faults: &[Fault]) {
        // From behind: the places of a group's instances that come before one stay as they are.
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
    /// The catalog without what is faulty in it, and the faults.
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
