//! The store: linearizable, with leases, and answers that may be lost or come late.

use std::collections::BTreeMap;

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::promotion::{
    CoordinationView, Holder, Intent, NodeVotes, ReplacementId, Successor,
};

use crate::node::{group_name, instance_name};

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
    /// Who acts, by node and fence, and until when.
    pub holder: Option<(usize, u64, u64)>,
    /// Replacements under way.
    pub intents: BTreeMap<GroupName, Intent>,
    /// What nodes suspect.
    pub votes: BTreeMap<usize, NodeVotes>,
    /// The instance promoted last.
    pub installed: Option<Successor>,
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

/// The name of a node.
pub fn node_name(node: usize) -> NodeName {
    NodeName::new(format!("node-{node}"))
}

impl Contents {
    /// Carries an operation of `node` out; `fence` is that of its hold. A lease counts from the
    /// arrival of the call.
    pub fn carry_out(
        &mut self,
        node: usize,
        fence: u64,
        group: &GroupName,
        operation: &Operation,
        now: u64,
    ) -> Done {
        self.expire(now);
        let holds = self.holder.is_some_and(|(holder, held, _)| holder == node && held == fence);
        match operation {
            Operation::Acquire if self.holder.is_some() => return Done::Conflict,
            Operation::Vote(votes) => {
                self.votes.insert(node, votes.clone());
            }
            Operation::Look => return Done::Yes(self.revision),
            Operation::ReadStarts => return Done::Starts(self.starts()),
            Operation::Acquire => {}
            Operation::Enter => {
                let name = node_name(node);
                if !self.nodes.contains(&name) {
                    self.nodes.push(name);
                }
            }
            _ if !holds => return Done::Conflict,
            Operation::Renew => {
                self.holder = Some((node, fence, now + LEASE_MS));
                return Done::Yes(self.revision);
            }
            Operation::Release => self.holder = None,
            // Done late, it must not bring back what has been finished.
            Operation::Record(intent) if intent.promoting && !self.has_begun(group, intent) => {
                return Done::Conflict;
            }
            Operation::Record(intent) => {
                self.intents.insert(group.clone(), intent.clone());
            }
            Operation::Install(successor) => {
                self.installed = Some(Successor { instance: successor.clone(), term: None });
            }
            Operation::Finish(id, successor) => {
                // Done late, it must not take back the intent of the next replacement.
                self.intents.retain(|_, intent| intent.id != *id);
                self.installed = successor.clone().or(self.installed.take());
            }
        }
        self.revision += 1;
        if matches!(operation, Operation::Record(_)) {
            return Done::Recorded(self.nodes.clone());
        }
        if matches!(operation, Operation::Acquire) {
            self.holder = Some((node, self.revision, now + LEASE_MS));
        }
        Done::Yes(self.revision)
    }

    /// Whether this replacement, or an earlier one that it goes on with, is recorded.
    fn has_begun(&self, group: &GroupName, intent: &Intent) -> bool {
        self.intents.get(group).is_some_and(|known| known.id <= intent.id)
    }

    fn starts(&self) -> BTreeMap<InstanceName, InstanceIncarnation> {
        let told = self.announced.iter().enumerate();
        told.map(|(one, told)| (instance_name(one), InstanceIncarnation(told.born))).collect()
    }

    /// Ends a hold that has run out.
    pub fn expire(&mut self, now: u64) {
        if self.holder.is_some_and(|(_, _, until)| now >= until) {
            self.holder = None;
            self.revision += 1;
        }
    }

    /// What nodes see of it.
    pub fn view(&self) -> CoordinationView {
        CoordinationView {
            revision: self.revision,
            holder: self.holder.map(|(node, fence, _)| Holder { node: node_name(node), fence }),
            intents: self.intents.clone(),
            votes: self
                .votes
                .iter()
                .map(|(node, votes)| (node_name(*node), votes.clone()))
                .collect(),
            promoted: self.installed.iter().map(|one| (group_name(), one.clone())).collect(),
            nodes: self.nodes.clone(),
        }
    }
}
