//! Releases the stopped replicas when an attempt finishes, whether or not an instance was promoted.
//! Also releases those that an earlier coordinator may have stopped: a replica that stays stopped
//! never follows a primary whose term is below its minimum term.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Attempt, RetriedCommand};
use crate::ids::InstanceName;
use crate::promotion::Command;

/// Replicas that may have been stopped, and those that have been released.
#[derive(Clone, Debug, Default)]
pub(super) struct Releases {
    /// Whether an earlier attempt may have stopped any of the replicas.
    earlier_attempt_stopped: bool,
    /// Replicas that this attempt may have stopped.
    stop_sent: BTreeSet<InstanceName>,
    released: BTreeSet<InstanceName>,
}

impl Releases {
    /// The state when an attempt begins.
    pub fn after(earlier_attempt_stopped: bool) -> Self {
        Self { earlier_attempt_stopped, ..Self::default() }
    }

    /// A stop is sent to a replica. It has to be released again, also if it was released while the
    /// attempt settled with a successor that it has lost since.
    pub fn on_stop_sent(&mut self, replica: InstanceName) {
        self.released.remove(&replica);
        self.stop_sent.insert(replica);
    }

    /// Whether this attempt has sent a stop to a replica and has not released it for a refill
    /// since.
    pub fn is_stop_sent(&self, replica: &InstanceName) -> bool {
        self.stop_sent.contains(replica)
    }

    /// A replica was released while the attempt continues, so that it can receive its lost log
    /// again.
    pub fn on_released_early(&mut self, replica: &InstanceName) {
        self.stop_sent.remove(replica);
    }

    /// A replica is no longer stopped while the attempt finishes: it was released or does not run.
    pub fn on_released(&mut self, replica: InstanceName) {
        self.released.insert(replica);
    }

    /// Whether a replica may still be stopped.
    fn needs_release(&self, replica: &InstanceName) -> bool {
        let may_be_stopped = self.earlier_attempt_stopped || self.is_stop_sent(replica);
        may_be_stopped && !self.released.contains(replica)
    }
}

impl Attempt {
    /// Replicas that may still be stopped, including those whose answer was lost and those that an
    /// earlier coordinator stopped.
    fn to_release(&self) -> Vec<InstanceName> {
        let mut replicas: BTreeSet<InstanceName> =
            self.replicas().into_iter().map(|replica| replica.name).collect();
        replicas.extend(self.old_primary_as_replica());
        replicas
            .retain(|name| Some(name) != self.chosen.as_ref() && self.releases.needs_release(name));
        replicas.into_iter().collect()
    }

    /// The old primary, if it is reported as a replica. An earlier coordinator may have stopped it
    /// as one, and unless it is released it never follows a successor whose term is below that
    /// minimum term.
    fn old_primary_as_replica(&self) -> Option<InstanceName> {
        let old_primary = self.members.get(self.old_primary()?)?;
        (!old_primary.leads).then(|| old_primary.name.clone())
    }

    pub(super) fn all_released(&self) -> bool {
        self.to_release().is_empty()
    }

    pub(super) fn release(&mut self, now: Instant, commands: &mut Vec<Command>) {
        for name in self.to_release() {
            self.send(&name, RetriedCommand::Release, now, commands, Command::Release);
        }
    }
}
