//! Decides whether the instances of a group that remain hold every commit that instances which have
//! ended may have counted for.
//!
//! The primary acknowledges a commit once `synchronous` replicas have received it. If one of these
//! replicas ends, its log is lost, and the commit may be left at the primary alone: the other
//! replicas may have received nothing for a while. Neither the time since the end nor a position
//! that the primary reported before it shows that they have received the commit since. Only the
//! primary shows it: a position that it reports after the end includes every commit that was
//! acknowledged before the end, so replicas that have received the log up to that position hold all
//! of those commits.

use std::collections::BTreeSet;
use std::time::Instant;

use super::ReplicationStatus;
use crate::ids::InstanceName;
use crate::position::{Position, Term};
use crate::routing::Role;

/// The position that a primary reported.
#[derive(Clone, Debug)]
struct PrimaryPosition {
    instance: InstanceName,
    term: Term,
    received: Position,
}

/// Evidence about the commits that were acknowledged before a moment.
#[derive(Clone, Debug)]
pub(super) struct LogCoverage {
    /// Commits acknowledged before this moment have to be covered.
    since: Instant,
    /// The first position that the newest primary reported after that moment.
    primary: Option<PrimaryPosition>,
    /// Replicas that have received the log up to that position.
    replicas: BTreeSet<InstanceName>,
}

impl LogCoverage {
    /// No evidence yet about the commits that were acknowledged before `since`.
    pub fn required_since(since: Instant) -> Self {
        Self { since, primary: None, replicas: BTreeSet::new() }
    }

    /// The moment before which commits have to be covered.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// An instance has ended at `moment` or earlier. Evidence from before does not count.
    pub fn on_ended(&mut self, moment: Instant) {
        if moment > self.since {
            *self = Self::required_since(moment);
        }
    }

    /// The log of an instance is lost, or the instance may have ended.
    pub fn on_log_lost(&mut self, instance: &InstanceName) {
        self.replicas.remove(instance);
        if self.primary.as_ref().is_some_and(|primary| primary.instance == *instance) {
            *self = Self::required_since(self.since);
        }
    }

    /// An instance reported its status in answer to a query that was sent at `queried_at`. The
    /// first position of a primary suffices; one of a newer term replaces it.
    pub fn on_status(
        &mut self,
        instance: &InstanceName,
        status: &ReplicationStatus,
        queried_at: Instant,
    ) {
        if queried_at < self.since {
            return;
        }
        match status.role {
            Role::Primary => {
                if self.primary.as_ref().is_none_or(|primary| status.term > primary.term) {
                    let (term, received) = (status.term, status.received);
                    let instance = instance.clone();
                    self.primary = Some(PrimaryPosition { instance, term, received });
                    self.replicas.clear();
                }
            }
            Role::Replica => {
                let order = |position: Position| (position.term, position.offset);
                let has_received = self.primary.as_ref().is_some_and(|primary| {
                    status.term == primary.term && order(status.received) >= order(primary.received)
                });
                if has_received {
                    self.replicas.insert(instance.clone());
                }
            }
        }
    }

    /// Whether the primary has reported a position since the moment.
    pub fn has_primary_position(&self) -> bool {
        self.primary.is_some()
    }

    /// Whether a replica has received the log up to that position.
    pub fn includes(&self, replica: &InstanceName) -> bool {
        self.replicas.contains(replica)
    }

    /// How many more replicas have to show that they have received the log.
    pub fn missing_replicas(&self, synchronous: u32) -> usize {
        (synchronous as usize).saturating_sub(self.replicas.len())
    }

    /// Whether as many replicas as an acknowledgement requires hold every commit that was
    /// acknowledged before the moment. Any group of instances that intersects the holders of a
    /// newer commit then intersects the holders of those commits as well.
    pub fn is_complete(&self, synchronous: u32) -> bool {
        self.primary.is_some() && self.replicas.len() >= synchronous as usize
    }
}
