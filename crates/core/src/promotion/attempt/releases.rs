//! Replicas that have been stopped are released when the attempt ends, whether somebody was promoted or not.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Attempt, Repeated};
use crate::ids::InstanceName;
use crate::promotion::Command;

/// Replicas that may have been stopped, and those that receive again.
#[derive(Clone, Debug, Default)]
pub(super) struct Releases {
    /// Whether an earlier holder may have stopped replicas.
    others_stopped: bool,
    /// Replicas that this attempt may have stopped.
    stop_sent: BTreeSet<InstanceName>,
    released: BTreeSet<InstanceName>,
}

impl Releases {
    /// At the beginning; an earlier holder may have stopped replicas.
    pub fn after(others_stopped: bool) -> Self {
        Self { others_stopped, ..Self::default() }
    }

    /// A replica is told to stop.
    pub fn on_stop_sent(&mut self, replica: InstanceName) {
        self.stop_sent.insert(replica);
    }

    /// Whether this attempt has told a replica to stop, and has not released it to refill since.
    pub fn was_stopped(&self, replica: &InstanceName) -> bool {
        self.stop_sent.contains(replica)
    }

    /// A replica receives again, though the attempt goes on.
    pub fn on_not_stopped(&mut self, replica: &InstanceName) {
        self.stop_sent.remove(replica);
    }

    /// A replica receives again, or has forgotten that it was stopped, and the attempt ends.
    pub fn on_released(&mut self, replica: InstanceName) {
        self.released.insert(replica);
    }

    /// Whether a replica may be stopped.
    fn is_due(&self, replica: &InstanceName) -> bool {
        let may_be_stopped = self.others_stopped || self.was_stopped(replica);
        may_be_stopped && !self.released.contains(replica)
    }
}

impl Attempt {
    /// Replicas that may be stopped: also those whose answer was lost, or that an earlier holder
    /// stopped.
    fn to_release(&self) -> Vec<InstanceName> {
        let mut others: BTreeSet<InstanceName> =
            self.replicas().into_iter().map(|replica| replica.name).collect();
        others.extend(self.former_that_follows());
        others.retain(|name| Some(name) != self.chosen.as_ref() && self.releases.is_due(name));
        others.into_iter().collect()
    }

    /// The old primary, if it is told as a replica: an earlier holder may have stopped it as one, and a successor of a
    /// lower term than that would wait for it in vain.
    fn former_that_follows(&self) -> Option<InstanceName> {
        let former = self.members.get(self.old_primary()?)?;
        (!former.leads).then(|| former.name.clone())
    }

    pub(super) fn all_released(&self) -> bool {
        self.to_release().is_empty()
    }

    pub(super) fn release(&mut self, now: Instant, commands: &mut Vec<Command>) {
        for name in self.to_release() {
            self.send(&name, Repeated::Release, now, commands, Command::Release);
        }
    }
}
