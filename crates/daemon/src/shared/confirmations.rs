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
    pub fn newest(&self, active: CatalogVersion) -> Option<Confirmation> {
        self.lock().newest(active)
    }

    /// Age of the newest confirmation of the `active` configuration.
    pub fn age(&self, active: CatalogVersion, now: Instant) -> Option<Duration> {
        let newest = self.newest(active)?;
        Some(now.saturating_duration_since(newest.at))
    }

    /// Whether the evidence for the `active` configuration covers a request that arrived at
    /// `arrived`.
    pub fn covers(&self, active: CatalogVersion, arrived: Instant, limit: RevocationLimit) -> bool {
        self.lock().covers(active, arrived, limit)
    }

    fn lock(&self) -> MutexGuard<'_, CredentialEvidence> {
        self.evidence.lock().expect("a thread panicked while it held the lock")
    }
}
