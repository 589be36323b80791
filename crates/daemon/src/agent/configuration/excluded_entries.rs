//! Logs the invalid entries that are excluded from the configuration: once when an entry is
//! excluded, and once when that is over.

use std::collections::BTreeMap;

use kestrellock_core::catalog::{Fault, Revision};

use super::Origin;
use crate::metrics::{ConfigurationEvent, Metrics};

/// The entries that are excluded from the active configuration, by subject, each with its problem.
#[derive(Debug, Default)]
pub(super) struct ExcludedEntries {
    logged: BTreeMap<String, String>,
}

impl ExcludedEntries {
    /// Logs the changes when a configuration becomes active without the entries that have `faults`.
    /// Peers send their configuration without the entries that they have excluded, so an entry that
    /// is missing from a peer's `faults` may still be invalid in the store.
    pub fn log_changes(
        &mut self,
        faults: &[Fault],
        origin: Origin,
        revision: Revision,
        metrics: &Metrics,
    ) {
        let mut now = BTreeMap::new();
        for Fault { subject, error } in faults {
            let subject = subject.to_string();
            if self.logged.get(&subject) != Some(&error.problem) {
                metrics.configuration.count(ConfigurationEvent::LeftOut);
                log::warn!(
                    event = "entry_left_out",
                    code = "KL3008",
                    subject = subject.as_str(),
                    field = error.field.as_str(),
                    problem = error.problem.as_str(),
                    revision = revision.0;
                    "an invalid entry of the configuration is excluded; the rest is active"
                );
            }
            now.insert(subject, error.problem.clone());
        }
        if origin == Origin::Peer {
            self.logged.append(&mut now);
            return;
        }
        for subject in self.logged.keys().filter(|subject| !now.contains_key(*subject)) {
            log::info!(
                event = "entry_left_out_over",
                subject = subject.as_str(),
                revision = revision.0;
                "an excluded entry of the configuration is valid again or has been removed"
            );
        }
        self.logged = now;
    }
}
