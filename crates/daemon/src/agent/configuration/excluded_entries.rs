//! Logs the invalid entries that are excluded from the configuration: once when an entry is excluded,
//! and once when that is over.

use std::collections::BTreeMap;

use kestrellock_core::catalog::{Fault, Revision};

use super::Origin;
use crate::metrics::{ConfigurationEvent, Metrics};

/// The entries that are excluded from the active configuration, by subject, each with its problem.
#[derive(Debug, Default)]
pub(super) struct ExcludedEntries {
    told: BTreeMap<String, String>,
}

impl ExcludedEntries {
    /// Logs the changes when a configuration becomes active without the entries that have `faults`.
    /// Peers send their configuration without the entries that they have excluded, so an entry that is
    /// missing from a peer's `faults` may still be invalid in the store.
    pub fn tell(
        &mut self,
        faults: &[Fault],
        origin: Origin,
        revision: Revision,
        metrics: &Metrics,
    ) {
        let mut now = BTreeMap::new();
        for Fault { subject, error } in faults {
            let subject = subject.to_string();
            if self.told.get(&subject) != Some(&error.problem) {
                metrics.configuration.count(ConfigurationEvent::LeftOut);
                log::warn!(
                    event = "entry_left_out",
                    code = "KL3008",
                    subject = subject.as_str(),
                    field = error.field.as_str(),
                    problem = error.problem.as_str(),
                    revision = revision.0;
                    "a part of the configuration cannot be used; the rest is in force"
                );
            }
            now.insert(subject, error.problem.clone());
        }
        if origin == Origin::Peer {
            self.told.append(&mut now);
            return;
        }
        for subject in self.told.keys().filter(|subject| !now.contains_key(*subject)) {
            log::info!(
                event = "entry_left_out_over",
                subject = subject.as_str(),
                revision = revision.0;
                "what was left out of the configuration is gone or can be used again"
            );
        }
        self.told = now;
    }
}
