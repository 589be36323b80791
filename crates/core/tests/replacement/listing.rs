//! Registration of nodes in the store. A coordinator waits for the reports of the nodes that are
//! listed when its intent is recorded. A node whose own copy of the store does not list it yet must
//! not assume that a coordinator waits for it, and relies on its evidence for a shorter time.

use std::time::Duration;

use kestrellock_core::ids::NodeName;
use kestrellock_core::primary_evidence::{EVIDENCE_LIFETIME, UNLISTED_EVIDENCE_LIFETIME};

use crate::node::group_name;
use crate::plan::PlantedFault;
use crate::store::{Operation, node_name};
use crate::world::World;

/// Interval between two attempts of a node to register, and delay from its start to the first
/// attempt.
const REGISTRATION_RETRY_INTERVAL_MS: u64 = 100;

/// Interval between two reads of the other nodes' registrations, which a node does not watch.
const LIST_READ_INTERVAL_MS: u64 = 2_000;

/// How nodes learn which nodes there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The set of nodes is fixed and known to all nodes.
    Fixed,
    /// Nodes register in the store.
    Registered,
}

impl World {
    /// Registers a node, repeatedly until its copy of the store lists it.
    pub fn register(&mut self, node: usize) {
        let has_just_started =
            self.now < self.nodes[node].started_at + REGISTRATION_RETRY_INTERVAL_MS;
        let own = &self.nodes[node];
        let is_listed = own.is_listed_in_own_view();
        let was_sent_recently =
            self.now < own.registration_sent_at + REGISTRATION_RETRY_INTERVAL_MS;
        if self.listing == Listing::Fixed || is_listed || was_sent_recently || has_just_started {
            return;
        }
        self.nodes[node].registration_sent_at = self.now;
        self.call(node, 0, Operation::Register);
    }

    /// The `registered` nodes that a node's copy of the store shows: the node itself at once, the
    /// others as of the last read of their registrations.
    pub fn nodes_shown_to(&mut self, node: usize, registered: &[NodeName]) -> Vec<NodeName> {
        let (now, own) = (self.now, &mut self.nodes[node]);
        if own.listed_nodes.is_empty() || now >= own.listed_nodes_read_at + LIST_READ_INTERVAL_MS {
            own.listed_nodes = registered.to_vec();
            own.listed_nodes_read_at = now;
        }
        let name = node_name(node);
        let mut shown = own.listed_nodes.clone();
        if registered.contains(&name) && !shown.contains(&name) {
            shown.push(name);
        }
        shown
    }

    /// Whether the node can rely on a coordinator to wait for its report: it is listed, and knows
    /// that.
    pub fn coordinator_waits_for(&self, node: usize) -> bool {
        self.listing == Listing::Fixed || self.nodes[node].is_listed_in_own_view()
    }

    /// Lifetime of a node's evidence.
    pub fn evidence_lifetime(&self, node: usize) -> Duration {
        let is_unresolved = self.nodes[node].replacements.is_unresolved(&group_name())
            && self.planted_fault == PlantedFault::None;
        if (self.coordinator_waits_for(node) && !is_unresolved)
            || self.planted_fault == PlantedFault::UnlistedEvidenceNotShortened
        {
            EVIDENCE_LIFETIME
        } else {
            UNLISTED_EVIDENCE_LIFETIME
        }
    }

    /// All nodes that a node knows of.
    pub fn nodes_known_to(&self, node: usize) -> Vec<NodeName> {
        match self.listing {
            Listing::Fixed => (0..self.nodes.len()).map(node_name).collect(),
            Listing::Registered => self.nodes[node].view.nodes.clone(),
        }
    }

    /// The nodes whose reports a coordinator waits for: those in its own copy of the store, and
    /// those that the store listed when the intent was recorded.
    pub fn nodes_to_wait_for(&self, coordinator: usize) -> Vec<NodeName> {
        let mut nodes = self.nodes_known_to(coordinator);
        let state = self.nodes[coordinator].coordinator.as_ref();
        nodes.extend(state.into_iter().flat_map(|state| state.nodes_at_intent.iter().cloned()));
        nodes.sort();
        nodes.dedup();
        nodes
    }
}
