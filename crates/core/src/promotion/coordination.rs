//! What nodes tell each other, through the store, about replacing primaries.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Intent;
use crate::ids::{GroupName, InstanceName, NodeName};
use crate::position::Term;
use crate::store_era::StoreEra;
use crate::suspicion::Cause;

/// A node's suspicion of one group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The primary.
    pub instance: InstanceName,
    /// Why it is suspected.
    pub cause: Cause,
}

/// What one node suspects.
pub type NodeVotes = BTreeMap<GroupName, Vote>;

/// The instance of a group that was promoted last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The instance.
    pub instance: InstanceName,
    /// The term that it led, by its own word, if it said so before the replacement was over.
    pub term: Option<Term>,
}

/// Who holds the right to act.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coordinator {
    /// The node.
    pub node: NodeName,
    /// Its fence.
    pub fence: u64,
}

/// What the store says, as far as this node has heard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoordinationView {
    /// Era of the store; the holder and the votes are those of this era.
    pub era: StoreEra,
    /// Revision of the store; zero before the first.
    pub revision: u64,
    /// Who acts.
    pub coordinator: Option<Coordinator>,
    /// Attempts under way, or left unfinished.
    pub intents: BTreeMap<GroupName, Intent>,
    /// What nodes suspect.
    pub votes: BTreeMap<NodeName, NodeVotes>,
    /// The instance of each group that was promoted last.
    pub promoted: BTreeMap<GroupName, Successor>,
    /// Nodes that have entered themselves.
    pub nodes: Vec<NodeName>,
}
