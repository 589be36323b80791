//! Groups that need a replacement check: the store has to confirm that their primary is not being
//! replaced before the status reports of replicas are evidence for it (`core::primary_evidence`).

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use kestrellock_core::ids::GroupName;

/// Groups that wait for the next replacement check; one check serves them all.
#[derive(Debug, Default)]
pub struct ReplacementCheckRequests {
    wanted: Mutex<BTreeSet<GroupName>>,
}

impl ReplacementCheckRequests {
    /// Requests a check for a group.
    pub fn request(&self, group: &GroupName) {
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        if !wanted.contains(group) {
            wanted.insert(group.clone());
        }
    }

    /// Takes the waiting groups, for a check that begins now.
    pub fn take(&self) -> BTreeSet<GroupName> {
        std::mem::take(&mut self.wanted.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
