//! Groups that need a replacement check: only some of their replicas have reported their status, so
//! the store has to confirm that the primary is not being replaced before these reports are
//! evidence for it (`core::primary_evidence`).

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use kestrellock_core::ids::GroupName;

/// Groups that wait for the next replacement check; one check serves them all.
#[derive(Debug, Default)]
pub struct ReplacementCheckRequests {
    groups: Mutex<BTreeSet<GroupName>>,
}

impl ReplacementCheckRequests {
    /// Requests a check for a group.
    pub fn request(&self, group: &GroupName) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        if !groups.contains(group) {
            groups.insert(group.clone());
        }
    }

    /// Takes the waiting groups, for a check that begins now.
    pub fn take(&self) -> BTreeSet<GroupName> {
        std::mem::take(&mut self.groups.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
