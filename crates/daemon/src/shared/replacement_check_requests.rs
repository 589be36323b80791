//! Groups for which the store has to say that nobody replaces their primary, before replicas that have
//! answered are evidence for it (`core::primary_evidence`).

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use kestrellock_core::ids::GroupName;

/// Groups that wait for the next look at the store; one look serves them all.
#[derive(Debug, Default)]
pub struct ReplacementCheckRequests {
    wanted: Mutex<BTreeSet<GroupName>>,
}

impl ReplacementCheckRequests {
    /// A group waits for a look.
    pub fn request(&self, group: &GroupName) {
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        if !wanted.contains(group) {
            wanted.insert(group.clone());
        }
    }

    /// The groups that wait, which a look that begins now will serve.
    pub fn take(&self) -> BTreeSet<GroupName> {
        std::mem::take(&mut self.wanted.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
