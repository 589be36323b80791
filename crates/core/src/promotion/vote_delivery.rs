//! Decides how this node's votes reach the other owners of the groups: directly, or through the
//! store.
//!
//! Every node watches the votes in the store, so each change of a vote there costs one call by
//! every node, while only the owners of the group need it. An owner therefore sends its votes to
//! the other owners, which confirm them. A vote goes through the store as well if one of the owners
//! may not have it: that owner does not know the message, or has not confirmed it in time. Such a
//! vote stays in the store until it is withdrawn, since removing it earlier would cost these calls
//! again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::NodeVotes;
use crate::ids::{GroupName, NodeName};

/// Interval at which votes are sent again. It is well below the time after which the receiver
/// forgets them, so that one lost message has no effect.
pub const VOTE_REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which an owner has to confirm a vote. It allows for a connection to be opened; a
/// longer time would delay the replacement when owners cannot reach each other.
pub const VOTE_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(100);

/// What the delivery of votes depends on.
#[derive(Clone, Copy, Debug)]
pub struct VoteDeliveryInput<'a> {
    /// This node's votes.
    pub votes: &'a NodeVotes,
    /// The other owners of each group that this node votes on.
    pub owners: &'a BTreeMap<GroupName, BTreeSet<NodeName>>,
    /// Nodes that are known not to receive direct votes: they speak an older version of the
    /// protocol or are unreachable.
    pub unable: &'a BTreeSet<NodeName>,
    /// Whether a listed node speaks an older version of the protocol. It may become the coordinator
    /// by the votes in the store only.
    pub has_old_nodes: bool,
    /// Another node that is the coordinator. If it does not own a group, it needs the votes on that
    /// group from the store.
    pub coordinator: Option<&'a NodeName>,
    /// The current time.
    pub now: Instant,
}

/// A message to another owner. An empty vote withdraws earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteMessage {
    /// The receiver.
    pub to: NodeName,
    /// Number that the receiver confirms.
    pub round: u64,
    /// This node's votes on the groups that the receiver owns as well.
    pub votes: NodeVotes,
}

/// What has to be done now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoteDeliveryStep {
    /// Messages to send.
    pub messages: Vec<VoteMessage>,
    /// Groups whose votes go through the store from now on, and why.
    pub newly_in_store: Vec<(GroupName, StoreReason)>,
}

/// Why a vote goes through the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReason {
    /// The owners of the group are not known.
    UnknownOwners,
    /// A listed node speaks an older version of the protocol.
    OldNode,
    /// The coordinator does not own the group.
    Coordinator,
    /// This owner is known not to receive direct votes.
    UnableOwner(NodeName),
    /// This owner has not confirmed the vote in time.
    UnconfirmedBy(NodeName),
}

/// What was sent to one owner.
#[derive(Clone, Debug)]
struct SentVotes {
    votes: NodeVotes,
    round: u64,
    sent_at: Instant,
    /// When the oldest unconfirmed message since the last confirmation was sent.
    unconfirmed_since: Option<Instant>,
}

/// Delivery of one node's votes.
#[derive(Clone, Debug, Default)]
pub struct VoteDelivery {
    sent: BTreeMap<NodeName, SentVotes>,
    last_round: u64,
    store_groups: BTreeSet<GroupName>,
}

impl VoteDelivery {
    /// Processes the confirmation by `node` of the message with number `round`.
    pub fn on_confirmed(&mut self, node: &NodeName, round: u64) {
        let sent = self.sent.get_mut(node).filter(|sent| sent.round == round);
        if let Some(sent) = sent {
            sent.unconfirmed_since = None;
        }
    }

    /// Computes what to send now, and which votes go through the store.
    pub fn step(&mut self, input: &VoteDeliveryInput) -> VoteDeliveryStep {
        let messages = self.due_messages(input);
        self.store_groups.retain(|group| input.votes.contains_key(group));
        let direct = input.votes.keys().filter(|group| !self.store_groups.contains(*group));
        let new: Vec<(GroupName, StoreReason)> = direct
            .filter_map(|group| Some((group.clone(), self.store_reason(group, input)?)))
            .collect();
        self.store_groups.extend(new.iter().map(|(group, _)| group.clone()));
        VoteDeliveryStep { messages, newly_in_store: new }
    }

    /// The votes that have to be in the store.
    pub fn store_votes(&self, votes: &NodeVotes) -> NodeVotes {
        let in_store = votes.iter().filter(|(group, _)| self.store_groups.contains(*group));
        in_store.map(|(group, vote)| (group.clone(), vote.clone())).collect()
    }

    fn store_reason(&self, group: &GroupName, input: &VoteDeliveryInput) -> Option<StoreReason> {
        let Some(owners) = input.owners.get(group) else { return Some(StoreReason::UnknownOwners) };
        if input.has_old_nodes {
            return Some(StoreReason::OldNode);
        }
        if input.coordinator.is_some_and(|coordinator| !owners.contains(coordinator)) {
            return Some(StoreReason::Coordinator);
        }
        owners.iter().find_map(|owner| match input.unable.contains(owner) {
            true => Some(StoreReason::UnableOwner(owner.clone())),
            false if self.is_overdue(owner, input.now) => {
                Some(StoreReason::UnconfirmedBy(owner.clone()))
            }
            false => None,
        })
    }

    /// Whether an owner should have confirmed a message by now.
    fn is_overdue(&self, owner: &NodeName, now: Instant) -> bool {
        let since = self.sent.get(owner).and_then(|sent| sent.unconfirmed_since);
        since.is_some_and(|since| now >= since + VOTE_CONFIRMATION_TIMEOUT)
    }

    /// The messages to send now. An owner that was sent votes and has none now gets an empty
    /// message, which withdraws them.
    fn due_messages(&mut self, input: &VoteDeliveryInput) -> Vec<VoteMessage> {
        let mut current: BTreeMap<NodeName, NodeVotes> =
            self.sent.keys().map(|node| (node.clone(), NodeVotes::new())).collect();
        for (group, vote) in input.votes {
            for owner in input.owners.get(group).into_iter().flatten() {
                let votes = current.entry(owner.clone()).or_default();
                votes.insert(group.clone(), vote.clone());
            }
        }
        let due = |(to, votes): &(NodeName, NodeVotes)| {
            self.sent.get(to).is_none_or(|sent| {
                sent.votes != *votes || input.now >= sent.sent_at + VOTE_REPEAT_INTERVAL
            })
        };
        let due: Vec<(NodeName, NodeVotes)> = current.into_iter().filter(due).collect();
        due.into_iter().map(|(to, votes)| self.send(to, votes, input.now)).collect()
    }

    fn send(&mut self, to: NodeName, votes: NodeVotes, now: Instant) -> VoteMessage {
        self.last_round += 1;
        let round = self.last_round;
        let unconfirmed_since =
            self.sent.remove(&to).and_then(|sent| sent.unconfirmed_since).or(Some(now));
        // A withdrawal is sent once: if it is lost, the receiver forgets the votes by itself.
        if !votes.is_empty() {
            let sent = SentVotes { votes: votes.clone(), round, sent_at: now, unconfirmed_since };
            self.sent.insert(to.clone(), sent);
        }
        VoteMessage { to, round, votes }
    }
}
