//! When the configuration was last confirmed as the newest, shared by the threads of a node.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::CatalogVersion;
use kestrellock_core::credential_evidence::{Confirmation, CredentialEvidence, RevocationLimit};

/// Evidence that the credentials in the configuration have not been revoked.
#[derive(Debug, Default)]
pub struct Confirmations {
    evidence: Mutex<CredentialEvidence>,
}

impl Confirmations {
    /// Adds a confirmation. It may be for a revision that this node does not have yet.
    pub fn add(&self, confirmation: Confirmation) {
        self.lock().add(confirmation);
    }

    /// The newest confirmation of the `active` configuration.
    pub fn newest(&self, in_force: CatalogVersion) -> Option<Confirmation> {
        self.lock().newest(in_force)
    }

    /// Age of the newest confirmation of the `active` configuration.
    pub fn age(&self, in_force: CatalogVersion, now: Instant) -> Option<Duration> {
        let newest = self.newest(in_force)?;
        Some(now.saturating_duration_since(newest.at))
    }

    /// Whether the evidence for the `active` configuration covers a request that arrived at `arrived`.
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
