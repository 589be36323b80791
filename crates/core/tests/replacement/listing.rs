//! Nodes that enter themselves in the store: whoever replaces a primary waits for the word of those that are
//! listed when its intent has been recorded. One that is not listed yet by its own copy of the store must not
//! rely on being waited for.

use std::time::Duration;

use kestrellock_core::ids::NodeName;
use kestrellock_core::primary_evidence::{EVIDENCE_LIFETIME, UNLISTED_EVIDENCE_LIFETIME};

use crate::plan::Plant;
use crate::store::{Operation, node_name};
use crate::world::World;

/// Time between two attempts of a node to enter itself, and from its start to the first.
const ENTER_EVERY_MS: u64 = 100;

/// Time between two readings of the entries of others: a node does not watch them.
const READ_OTHERS_EVERY_MS: u64 = 2_000;

/// Which nodes there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The same at all times, and all of them know that.
    Fixed,
    /// Those that have entered themselves.
    Entered,
}

impl World {
    /// A node enters itself until its copy of the store shows it.
    pub fn enter(&mut self, node: usize) {
        let is_young = self.now < self.nodes[node].started + ENTER_EVERY_MS;
        let own = &self.nodes[node];
        let is_listed = own.is_listed_by_its_copy();
        let is_early = self.now < own.entered + ENTER_EVERY_MS;
        if self.listing == Listing::Fixed || is_listed || is_early || is_young {
            return;
        }
        self.nodes[node].entered = self.now;
        self.call(node, 0, Operation::Enter);
    }

    /// The nodes that a node's copy of the store shows, of those that have `entered`: itself at once, the others as
    /// they were when their entries were last read.
    pub fn nodes_shown_to(&mut self, node: usize, entered: &[NodeName]) -> Vec<NodeName> {
        let (now, own) = (self.now, &mut self.nodes[node]);
        if own.others.is_empty() || now >= own.others_read + READ_OTHERS_EVERY_MS {
            own.others = entered.to_vec();
            own.others_read = now;
        }
        let name = node_name(node);
        let mut shown = own.others.clone();
        if entered.contains(&name) && !shown.contains(&name) {
            shown.push(name);
        }
        shown
    }

    /// Whether whoever replaces a primary waits for the node's word: it is listed, and knows that.
    pub fn is_waited_for(&self, node: usize) -> bool {
        self.listing == Listing::Fixed || self.nodes[node].is_listed_by_its_copy()
    }

    /// How long a node relies on its evidence.
    pub fn evidence_life(&self, node: usize) -> Duration {
        if self.is_waited_for(node) || self.plant == Plant::UnlistedEvidenceLasts {
            EVIDENCE_LIFETIME
        } else {
            UNLISTED_EVIDENCE_LIFETIME
        }
    }

    /// The nodes that a node takes for those there are.
    pub fn nodes_known_to(&self, node: usize) -> Vec<NodeName> {
        match self.listing {
            Listing::Fixed => (0..self.nodes.len()).map(node_name).collect(),
            Listing::Entered => self.nodes[node].view.nodes.clone(),
        }
    }

    /// The nodes whose word a holder waits for: those of its copy, and those that the store had when the intent
    /// was recorded.
    pub fn nodes_to_hear(&self, holder: usize) -> Vec<NodeName> {
        let mut nodes = self.nodes_known_to(holder);
        let acting = self.nodes[holder].acting.as_ref();
        nodes.extend(acting.into_iter().flat_map(|acting| acting.listed.iter().cloned()));
        nodes.sort();
        nodes.dedup();
        nodes
    }
}
