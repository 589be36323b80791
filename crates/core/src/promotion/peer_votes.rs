//! The votes that the other owners of this node's groups have sent to it directly.
//!
//! The sender repeats a vote until it is withdrawn. A vote that is not repeated expires:
//! otherwise the vote of an owner that died would count indefinitely. Votes decide on availability
//! only.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{CoordinationView, NodeVotes};
use crate::ids::NodeName;

/// Time without news after which the votes of an owner are forgotten.
pub const PEER_VOTE_VALIDITY: Duration = Duration::from_secs(1);

/// Votes of other owners, by owner.
#[derive(Clone, Debug, Default)]
pub struct PeerVotes {
    nodes: BTreeMap<NodeName, ReceivedVotes>,
}

#[derive(Clone, Debug)]
struct ReceivedVotes {
    votes: NodeVotes,
    received_at: Instant,
}

impl PeerVotes {
    /// Replaces the votes of `node`. The caller has left out the groups that are not owned by both
    /// this node and `node`, which also bounds the number of nodes and votes.
    pub fn on_votes(&mut self, node: &NodeName, votes: NodeVotes, now: Instant) {
        if votes.is_empty() {
            self.nodes.remove(node);
            return;
        }
        self.nodes.insert(node.clone(), ReceivedVotes { votes, received_at: now });
    }

    /// Forgets the votes of owners that have not repeated them.
    pub fn expire(&mut self, now: Instant) {
        self.nodes.retain(|_, received| now < received.received_at + PEER_VOTE_VALIDITY);
    }

    /// Whether no vote is known.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// `view` with these votes in addition to those in the store.
    pub fn added_to(&self, view: &CoordinationView) -> CoordinationView {
        let mut view = view.clone();
        for (node, received) in &self.nodes {
            let votes = view.votes.entry(node.clone()).or_default();
            votes.extend(received.votes.clone());
        }
        view
    }
}
