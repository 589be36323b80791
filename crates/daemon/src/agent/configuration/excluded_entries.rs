//! Tells what is left out of the configuration: once when it comes, and once when it has gone.

use std::collections::BTreeMap;

use kestrellock_core::catalog::{Fault, Revision};

use super::Origin;
use crate::metrics::{ConfigurationEvent, Metrics};

/// What is left out of the configuration in force, by subject: what is wrong with it.
#[derive(Debug, Default)]
pub(super) struct ExcludedEntries {
    told: BTreeMap<String, String>,
}

impl ExcludedEntries {
    /// A configuration of that revision comes into force without what has these faults. What peers send
    /// has been through this before: that nothing is left out of it says nothing.
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
