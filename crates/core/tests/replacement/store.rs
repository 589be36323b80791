//! The store: linearizable, with leases, and answers that may be lost or come late.

use std::collections::BTreeMap;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::promotion::{
    CoordinationView, Coordinator, Intent, NodeVotes, ReplacementId, Successor,
};

use kestrellock_core::store_era::StoreEra;

use crate::node::{group_name, instance_name};
use crate::returns::{EraKeys, Keys, last_promoted_in, unfinished_intents};

/// Life of a hold.
pub const LEASE_MS: u64 = 3_000;

/// What an instance says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announced {
    /// Whether it says that it leads.
    pub leads: bool,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// Which start of its process it is.
    pub incarnation: u64,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    /// Grows with each change.
    pub revision: u64,
    /// How often the store has come back from a copy.
    pub era: StoreEra,
    /// What nodes have written of replacements, by the era that they knew.
    pub keys: Keys,
    /// What instances say.
    pub announced: Vec<Announced>,
    /// Nodes that have entered themselves.
    pub nodes: Vec<NodeName>,
}

/// A change under a condition.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Takes the right to act.
    AcquireLease,
    /// Prolongs it.
    RenewLease,
    /// Gives it up.
    ReleaseLease,
    /// Replaces what the node suspects.
    Vote(NodeVotes),
    /// Records an intent.
    RecordIntent(Intent),
    /// Records the successor.
    RecordSuccessor(InstanceName),
    /// Takes the intent of a replacement back.
    Finish(ReplacementId, Option<Successor>),
    /// Records again what the store has lost of replacements: who was promoted last, and whether the replacement that
    /// it shows is over.
    WriteBack(Option<Successor>, bool),
    /// Changes nothing: tells how new the store is.
    ReadRevision,
    /// Enters the node.
    Register,
    /// Changes nothing: tells which starts of their processes the instances say.
    ReadIncarnations,
}

/// What an operation came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It is done; the store's revision.
    Done(u64),
    /// An intent is recorded; the nodes that have entered themselves by then.
    Recorded(Vec<NodeName>),
    /// A condition did not hold.
    Conflict,
    /// The starts that instances tell.
    Incarnations(BTreeMap<InstanceName, InstanceIncarnation>),
}

/// Whether this replacement, or an earlier one that it goes on with, is recorded; what it goes on with may be of an
/// earlier era.
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
    /// Carries an operation of `node` out, which knew `era`; `fence` is that of its hold. A lease counts from the
    /// arrival of the call.
    pub fn apply(
        &mut self,
        node: usize,
        (era, fence): (StoreEra, u64),
        group: &GroupName,
        operation: &Operation,
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
            // Done late, it must not bring back what has been finished.
            Operation::RecordIntent(intent)
                if intent.promoting && !is_recorded(era, keys, group, intent) =>
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
            Operation::Finish(id, successor) => {
                // Done late, it must not take back the intent of the next replacement.
                let recorded = keys.intents.get(group).and_then(|(_, intent)| intent.as_ref());
                if recorded.is_none_or(|intent| intent.id == *id) {
                    keys.intents.insert(group.clone(), (new_revision, None));
                }
                let successor = successor.clone().map(|successor| (new_revision, successor));
                keys.last_promoted = successor.or(keys.last_promoted.take());
            }
        }
        self.revision = new_revision;
        if matches!(operation, Operation::RecordIntent(_)) {
            return CallResult::Recorded(self.nodes.clone());
        }
        if matches!(operation, Operation::AcquireLease) {
            let fence = self.position();
            let keys = self.keys.entry(era).or_default();
            keys.lease = Some((node, fence, now + LEASE_MS));
        }
        CallResult::Done(self.position())
    }

    /// Position of the last change in the history of the store.
    pub fn position(&self) -> u64 {
        self.era.position(self.revision).expect("revisions of a run are few")
    }

    /// Goes back to a copy: revisions are given out again.
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

    /// Ends a hold that has run out.
    pub fn expire(&mut self, now: u64) {
        let is_expired = |lease: (usize, u64, u64)| now >= lease.2;
        for keys in self.keys.values_mut() {
            if keys.lease.take_if(|lease| is_expired(*lease)).is_some() {
                self.revision += 1;
            }
        }
    }

    /// What nodes see of it.
    pub fn view(&self) -> CoordinationView {
        let empty = EraKeys::default();
        let keys = self.keys.get(&self.era).unwrap_or(&empty);
        let votes = keys.votes.iter().map(|(node, votes)| (node_name(*node), votes.clone()));
        CoordinationView {
            era: self.era,
            revision: self.position(),
            coordinator: keys
                .lease
                .map(|(node, fence, _)| Coordinator { node: node_name(node), fence }),
            intents: unfinished_intents(&self.keys),
            votes: votes.collect(),
            promoted: last_promoted_in(&self.keys)
                .map(|successor| (group_name(), successor))
                .into_iter()
                .collect(),
            nodes: self.nodes.clone(),
        }
    }
}
