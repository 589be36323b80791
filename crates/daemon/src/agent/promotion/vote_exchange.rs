//! Sends this node's votes to the other owners of the groups, and determines which of them go
//! through the store. The rules are in `core::promotion::VoteDelivery`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::{NodeVotes, VoteDelivery, VoteDeliveryInput};
use kestrellock_peer::message::{PRIMARY_VOTES_VERSION, PeerMessage};

use super::announcer::FIRST_SHARD;
use crate::context::NodeContext;
use crate::metrics::VoteEvent;
use crate::shard::mailbox::{Mailboxes, ShardMessage};

/// Exchanges votes with the other owners.
#[derive(Debug, Default)]
pub(super) struct VoteExchange {
    delivery: VoteDelivery,
}

impl VoteExchange {
    /// Sends the messages that are due. Returns the votes that have to be in the store.
    /// `coordinator` is another node that is the coordinator.
    pub fn step(
        &mut self,
        votes: &NodeVotes,
        coordinator: Option<&NodeName>,
        context: &NodeContext,
        mailboxes: &Mailboxes,
        now: Instant,
    ) -> NodeVotes {
        if !context.peer_votes.is_enabled() {
            return votes.clone();
        }
        for (node, round) in context.peer_votes.take_confirmed() {
            context.metrics.votes.count(VoteEvent::Confirmed);
            self.delivery.on_confirmed(&node, round);
        }
        let owners = other_owners(votes, context);
        let step = self.delivery.step(&VoteDeliveryInput {
            votes,
            owners: &owners,
            unable: &unable_owners(&owners, context, now),
            has_old_nodes: !votes.is_empty() && has_old_nodes(context),
            coordinator,
            now,
        });
        for (group, reason) in &step.newly_in_store {
            context.metrics.votes.count(VoteEvent::InStore);
            log::info!(
                event = "vote_in_store",
                group = group.as_str(),
                reason:? = reason;
                "the vote goes through the store as well"
            );
        }
        for sent in step.messages {
            context.metrics.votes.count(VoteEvent::Sent);
            let message = PeerMessage::PrimaryVotes { round: sent.round, votes: sent.votes };
            mailboxes.send(FIRST_SHARD, ShardMessage::ToPeer { node: sent.to, message });
        }
        self.delivery.store_votes(votes)
    }
}

fn other_owners(
    votes: &NodeVotes,
    context: &NodeContext,
) -> BTreeMap<GroupName, BTreeSet<NodeName>> {
    let own = &context.identity.node;
    let ownerships = context.ownership_snapshot();
    let others = |group: &GroupName| {
        let owners = ownerships.owners_of(group).iter().map(|owner| &owner.node);
        owners.filter(|node| *node != own).cloned().collect()
    };
    votes.keys().map(|group| (group.clone(), others(group))).collect()
}

/// The owners that are known not to receive direct votes: their links are silent or have an older
/// version. The version of a node without a link is unknown, and the message opens the link.
fn unable_owners(
    owners: &BTreeMap<GroupName, BTreeSet<NodeName>>,
    context: &NodeContext,
    now: Instant,
) -> BTreeSet<NodeName> {
    let is_unable =
        |node: &&NodeName| is_old(node, context) || context.routing_overrides.is_avoided(node, now);
    owners.values().flatten().filter(is_unable).cloned().collect()
}

fn has_old_nodes(context: &NodeContext) -> bool {
    let listed = context.listed_nodes.load();
    listed.iter().any(|listed| is_old(&listed.candidate.node, context))
}

fn is_old(node: &NodeName, context: &NodeContext) -> bool {
    context.peer_versions.get(node).is_some_and(|version| version < PRIMARY_VOTES_VERSION)
}
