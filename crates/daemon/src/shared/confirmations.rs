//! When the configuration was last known to be the newest, shared by the threads of a node.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::CatalogVersion;
use kestrellock_core::credential_evidence::{Confirmation, CredentialEvidence, RevocationLimit};

/// Evidence that credentials still stand.
#[derive(Debug, Default)]
pub struct Confirmations {
    evidence: Mutex<CredentialEvidence>,
}

impl Confirmations {
    /// Takes a confirmation in, also one of a revision that the node is still to get.
    pub fn add(&self, confirmation: Confirmation) {
        self.lock().add(confirmation);
    }

    /// The newest one for the configuration `in_force`.
    pub fn newest(&self, in_force: CatalogVersion) -> Option<Confirmation> {
        self.lock().newest(in_force)
    }

    /// How old the newest one is.
    pub fn age(&self, in_force: CatalogVersion, now: Instant) -> Option<Duration> {
        let newest = self.newest(in_force)?;
        Some(now.saturating_duration_since(newest.at))
    }

    /// Whether the configuration `in_force` covers a request that arrived at `arrived`.
    pub fn covers(
        &self,
        in_force: CatalogVersion,
        arrived: Instant,
        limit: RevocationLimit,
    ) -> bool {
        self.lock().covers(in_force, arrived, limit)
    }

    fn lock(&self) -> MutexGuard<'_, CredentialEvidence> {
        self.evidence.lock().expect("a holder of the lock panicked")
    }
}
