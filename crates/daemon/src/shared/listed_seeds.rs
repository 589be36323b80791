//! Seeds from the machine list, handed over to the membership agent.

use std::sync::{Mutex, PoisonError};

use kestrellock_core::membership::Seed;

/// The newest seeds that the membership agent has not taken yet.
#[derive(Debug, Default)]
pub struct ListedSeeds {
    newest: Mutex<Option<Vec<Seed>>>,
}

impl ListedSeeds {
    /// Stores new seeds, in place of those that have not been taken yet.
    pub fn put(&self, seeds: Vec<Seed>) {
        *self.newest.lock().unwrap_or_else(PoisonError::into_inner) = Some(seeds);
    }

    /// Takes the seeds that were stored since the last call.
    pub fn take(&self) -> Option<Vec<Seed>> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
