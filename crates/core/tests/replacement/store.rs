//! The modelled store: linearizable, with leases. Calls to it and its answers may be lost or
//! delayed.

use std::collections::BTreeMap;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::promotion::{
    CoordinationView, Coordinator, Intent, NodeVotes, PromotionCaller, ReplacementId, Successor,
};

use kestrellock_core::store_era::StoreEra;

use crate::node::{group_name, instance_name};
use crate::returns::{EraKeys, Keys, last_promoted_in, unfinished_intents};

/// Duration of the coordinator lease.
pub const LEASE_MS: u64 = 3_000;

/// The entry that an instance writes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announced {
    /// Whether it is primary.
    pub leads: bool,
    /// Whether it is about to be shut down.
    pub leaving: bool,
    /// Start time of its process, which identifies the process.
    pub incarnation: u64,
}

/// Contents of the store.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    /// Increases with each change.
    pub revision: u64,
    /// How often the store has been restored from a copy.
    pub era: StoreEra,
    /// What nodes have written about replacements, by the era that they knew.
    pub keys: Keys,
    /// Entries of the instances.
    pub announced: Vec<Announced>,
    /// Nodes that have registered.
    pub nodes: Vec<NodeName>,
}

/// A request to the store; changes are conditional.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Acquires the coordinator lease.
    AcquireLease,
    /// Renews the coordinator lease.
    RenewLease,
    /// Releases the coordinator lease.
    ReleaseLease,
    /// Replaces the node's votes.
    Vote(NodeVotes),
    /// Records an intent.
    RecordIntent(Intent),
    /// Records the successor.
    RecordSuccessor(InstanceName),
    /// Removes the intent of a finished or cancelled replacement, and keeps the processes whose
    /// promotions may not have ended.
    Finish(ReplacementId, Option<Successor>, Vec<PromotionCaller>),
    /// Writes records back that the store has lost: the instance promoted last, and whether the
    /// replacement that the store shows has finished.
    WriteBack(Option<Successor>, bool),
    /// Reads the current position of the store.
    ReadRevision,
    /// Registers the node.
    Register,
    /// Reads the incarnations of the instances from their entries.
    ReadIncarnations,
}

/// Result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Applied; the position of the store, which for a new coordinator is its fencing token.
    Done(u64),
    /// The intent is recorded.
    Recorded {
        /// The nodes that have registered by then.
        nodes: Vec<NodeName>,
        /// Revision of the record.
        revision: u64,
    },
    /// The group's intent has another revision than the record of an intent required.
    OtherIntent {
        /// Its revision.
        revision: u64,
        /// Whether it is the intent that was to be recorded.
        is_same: bool,
    },
    /// A condition was not met.
    Conflict,
    /// The incarnations from the entries of the instances.
    Incarnations(BTreeMap<InstanceName, InstanceIncarnation>),
}

/// Whether this replacement, or the earlier one that it continues, is recorded. The earlier one may
/// have been recorded in an earlier era.
fn is_recorded(era: StoreEra, keys: &EraKeys, group: &GroupName, intent: &Intent) -> bool {
    match keys.intents.get(group) {
        Some((_, known)) => known.as_ref().is_some_and(|known| known.id <= intent.id),
        None => era > StoreEra::default(),
    }
}

/// The name of a node.
pub fn node_name(node: usize) -> NodeName {
    NodeName::new(format!("node-{node}"))
}

impl Contents {
    /// Applies an operation of `node`, which knew `era` and whose lease has the fencing token
    /// `fence`. A lease starts when the call arrives. The record of an intent may require a
    /// revision of the group's intent.
    pub fn apply(
        &mut self,
        node: usize,
        (era, fence): (StoreEra, u64),
        group: &GroupName,
        operation: &Operation,
        expected_intent: Option<u64>,
        now: u64,
    ) -> CallResult {
        self.expire(now);
        let new_revision = self.revision + 1;
        let keys = self.keys.entry(era).or_default();
        let holds_lease = keys.lease.is_some_and(|(coordinator, lease_fence, _)| {
            coordinator == node && lease_fence == fence
        });
        match operation {
            Operation::AcquireLease if keys.lease.is_some() => return CallResult::Conflict,
            Operation::Vote(votes) => {
                keys.votes.insert(node, votes.clone());
            }
            Operation::ReadRevision => return CallResult::Done(self.position()),
            Operation::ReadIncarnations => return CallResult::Incarnations(self.incarnations()),
            Operation::AcquireLease => {}
            Operation::WriteBack(successor, is_over) => {
                if let Some(successor) = successor.clone().filter(|_| keys.last_promoted.is_none())
                {
                    keys.last_promoted = Some((new_revision, successor));
                }
                if *is_over {
                    keys.intents.entry(group.clone()).or_insert((new_revision, None));
                }
            }
            Operation::Register => {
                let name = node_name(node);
                if !self.nodes.contains(&name) {
                    self.nodes.push(name);
                }
            }
            _ if !holds_lease => return CallResult::Conflict,
            Operation::RenewLease => {
                keys.lease = Some((node, fence, now + LEASE_MS));
                return CallResult::Done(self.position());
            }
            Operation::ReleaseLease => keys.lease = None,
            Operation::RecordIntent(intent)
                if expected_intent
                    .is_some_and(|expected| expected != keys.intent_revision(group)) =>
            {
                let known = keys.intents.get(group).and_then(|(_, known)| known.as_ref());
                let (revision, is_same) = (keys.intent_revision(group), known == Some(intent));
                return CallResult::OtherIntent { revision, is_same };
            }
            // A delayed record must not restore the intent of a finished replacement.
            Operation::RecordIntent(intent)
                if expected_intent.is_none()
                    && intent.promoting
                    && !is_recorded(era, keys, group, intent) =>
            {
                return CallResult::Conflict;
            }
            Operation::RecordIntent(intent) => {
                keys.intents.insert(group.clone(), (new_revision, Some(intent.clone())));
            }
            Operation::RecordSuccessor(successor) => {
                let successor = Successor { instance: successor.clone(), term: None };
                keys.last_promoted = Some((new_revision, successor));
            }
            Operation::Finish(id, successor, callers) => {
                // A delayed finish must not remove the intent of the next replacement.
                let recorded = keys.intents.get(group).and_then(|(_, intent)| intent.as_ref());
                if recorded.is_none_or(|intent| intent.id == *id) {
                    keys.intents.insert(group.clone(), (new_revision, None));
                }
                if successor.is_some() {
                    keys.open_callers = callers.clone();
                }
                let successor = successor.clone().map(|successor| (new_revision, successor));
                keys.last_promoted = successor.or(keys.last_promoted.take());
            }
        }
        self.revision = new_revision;
        if matches!(operation, Operation::RecordIntent(_)) {
            return CallResult::Recorded { nodes: self.nodes.clone(), revision: new_revision };
        }
        if matches!(operation, Operation::AcquireLease) {
            let fence = self.position();
            let keys = self.keys.entry(era).or_default();
            keys.lease = Some((node, fence, now + LEASE_MS));
        }
        CallResult::Done(self.position())
    }

    /// Position of the last change in the store's history across eras.
    pub fn position(&self) -> u64 {
        self.era.position(self.revision).expect("a run has few revisions")
    }

    /// Restores a copy and increases the era; revisions are assigned again.
    pub fn restore_copy(&mut self, copy: Contents) {
        let era = StoreEra(self.era.0 + 1);
        *self = Self { era, ..copy };
    }

    fn incarnations(&self) -> BTreeMap<InstanceName, InstanceIncarnation> {
        let announced = self.announced.iter().enumerate();
        announced
            .map(|(index, announced)| {
                (instance_name(index), InstanceIncarnation(announced.incarnation))
            })
            .collect()
    }

    /// Removes the coordinator lease if it has expired.
    pub fn expire(&mut self, now: u64) {
        let is_expired = |lease: (usize, u64, u64)| now >= lease.2;
        for keys in self.keys.values_mut() {
            if keys.lease.take_if(|lease| is_expired(*lease)).is_some() {
                self.revision += 1;
            }
        }
    }

    /// The part of the contents that nodes watch.
    pub fn view(&self) -> CoordinationView {
        let empty = EraKeys::default();
        let keys = self.keys.get(&self.era).unwrap_or(&empty);
        let votes = keys.votes.iter().map(|(node, votes)| (node_name(*node), votes.clone()));
        CoordinationView {
            era: self.era,
            revision: self.position(),
            requested_at: None,
            coordinator: keys
                .lease
                .map(|(node, fence, _)| Coordinator { node: node_name(node), fence }),
            intents: unfinished_intents(&self.keys),
            votes: votes.collect(),
            promoted: last_promoted_in(&self.keys)
                .map(|successor| (group_name(), successor))
                .into_iter()
                .collect(),
            open_callers: BTreeMap::from([(group_name(), keys.open_callers.clone())]),
            nodes: self.nodes.clone(),
        }
    }
}
