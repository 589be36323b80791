//! The store: linearizable, with leases, and answers that may be lost or come late.

use std::collections::BTreeMap;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::promotion::{
    CoordinationView, Coordinator, Intent, NodeVotes, ReplacementId, Successor,
};

use kestrellock_core::store_era::StoreEra;

use crate::node::{group_name, instance_name};
use crate::returns::{EraKeys, Keys, installed_of, intents_of};

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
    pub born: u64,
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
    Acquire,
    /// Prolongs it.
    Renew,
    /// Gives it up.
    Release,
    /// Replaces what the node suspects.
    Vote(NodeVotes),
    /// Records an intent.
    Record(Intent),
    /// Records the successor.
    Install(InstanceName),
    /// Takes the intent of a replacement back.
    Finish(ReplacementId, Option<Successor>),
    /// Records again what the store has lost of replacements: who was promoted last, and whether the replacement that
    /// it shows is over.
    WriteBack(Option<Successor>, bool),
    /// Changes nothing: tells how new the store is.
    Look,
    /// Enters the node.
    Enter,
    /// Changes nothing: tells which starts of their processes the instances say.
    ReadStarts,
}

/// What an operation came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// It is done; the store's revision.
    Yes(u64),
    /// An intent is recorded; the nodes that have entered themselves by then.
    Recorded(Vec<NodeName>),
    /// A condition did not hold.
    Conflict,
    /// The starts that instances tell.
    Starts(BTreeMap<InstanceName, InstanceIncarnation>),
}

/// Whether this replacement, or an earlier one that it goes on with, is recorded; what it goes on with may be of an
/// earlier era.
fn has_begun(era: StoreEra, keys: &EraKeys, group: &GroupName, intent: &Intent) -> bool {
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
    pub fn carry_out(
        &mut self,
        node: usize,
        (era, fence): (StoreEra, u64),
        group: &GroupName,
        operation: &Operation,
        now: u64,
    ) -> Done {
        self.expire(now);
        let written = self.revision + 1;
        let keys = self.keys.entry(era).or_default();
        let holds = keys.holder.is_some_and(|(holder, held, _)| holder == node && held == fence);
        match operation {
            Operation::Acquire if keys.holder.is_some() => return Done::Conflict,
            Operation::Vote(votes) => {
                keys.votes.insert(node, votes.clone());
            }
            Operation::Look => return Done::Yes(self.position()),
            Operation::ReadStarts => return Done::Starts(self.starts()),
            Operation::Acquire => {}
            Operation::WriteBack(successor, is_over) => {
                if let Some(successor) = successor.clone().filter(|_| keys.installed.is_none()) {
                    keys.installed = Some((written, successor));
                }
                if *is_over {
                    keys.intents.entry(group.clone()).or_insert((written, None));
                }
            }
            Operation::Enter => {
                let name = node_name(node);
                if !self.nodes.contains(&name) {
                    self.nodes.push(name);
                }
            }
            _ if !holds => return Done::Conflict,
            Operation::Renew => {
                keys.holder = Some((node, fence, now + LEASE_MS));
                return Done::Yes(self.position());
            }
            Operation::Release => keys.holder = None,
            // Done late, it must not bring back what has been finished.
            Operation::Record(intent)
                if intent.promoting && !has_begun(era, keys, group, intent) =>
            {
                return Done::Conflict;
            }
            Operation::Record(intent) => {
                keys.intents.insert(group.clone(), (written, Some(intent.clone())));
            }
            Operation::Install(successor) => {
                let successor = Successor { instance: successor.clone(), term: None };
                keys.installed = Some((written, successor));
            }
            Operation::Finish(id, successor) => {
                // Done late, it must not take back the intent of the next replacement.
                let other = keys.intents.get(group).and_then(|(_, intent)| intent.as_ref());
                if other.is_none_or(|intent| intent.id == *id) {
                    keys.intents.insert(group.clone(), (written, None));
                }
                let successor = successor.clone().map(|successor| (written, successor));
                keys.installed = successor.or(keys.installed.take());
            }
        }
        self.revision = written;
        if matches!(operation, Operation::Record(_)) {
            return Done::Recorded(self.nodes.clone());
        }
        if matches!(operation, Operation::Acquire) {
            let fence = self.position();
            let keys = self.keys.entry(era).or_default();
            keys.holder = Some((node, fence, now + LEASE_MS));
        }
        Done::Yes(self.position())
    }

    /// Position of the last change in the history of the store.
    pub fn position(&self) -> u64 {
        self.era.position(self.revision).expect("revisions of a run are few")
    }

    /// Goes back to a copy: revisions are given out again.
    pub fn put_back(&mut self, copy: Contents) {
        let era = StoreEra(self.era.0 + 1);
        *self = Self { era, ..copy };
    }

    fn starts(&self) -> BTreeMap<InstanceName, InstanceIncarnation> {
        let told = self.announced.iter().enumerate();
        told.map(|(one, told)| (instance_name(one), InstanceIncarnation(told.born))).collect()
    }

    /// Ends a hold that has run out.
    pub fn expire(&mut self, now: u64) {
        let is_over = |holder: (usize, u64, u64)| now >= holder.2;
        for keys in self.keys.values_mut() {
            if keys.holder.take_if(|holder| is_over(*holder)).is_some() {
                self.revision += 1;
            }
        }
    }

    /// What nodes see of it.
    pub fn view(&self) -> CoordinationView {
        let none = EraKeys::default();
        let keys = self.keys.get(&self.era).unwrap_or(&none);
        let votes = keys.votes.iter().map(|(node, votes)| (node_name(*node), votes.clone()));
        CoordinationView {
            era: self.era,
            revision: self.position(),
            coordinator: keys
                .holder
                .map(|(node, fence, _)| Coordinator { node: node_name(node), fence }),
            intents: intents_of(&self.keys),
            votes: votes.collect(),
            promoted: installed_of(&self.keys).map(|one| (group_name(), one)).into_iter().collect(),
            nodes: self.nodes.clone(),
        }
    }
}
