//! What nodes tell each other, through the store, about replacing primaries.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Intent;
use crate::ids::{GroupName, InstanceName, NodeName};
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

/// Who holds the right to act.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The node.
    pub node: NodeName,
    /// Its fence.
    pub fence: u64,
}

/// What the store says, as far as this node has heard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoordinationView {
    /// Revision of the store; zero before the first.
    pub revision: u64,
    /// Who acts.
    pub holder: Option<Holder>,
    /// Attempts under way, or left unfinished.
    pub intents: BTreeMap<GroupName, Intent>,
    /// What nodes suspect.
    pub votes: BTreeMap<NodeName, NodeVotes>,
    /// The instance of each group that was promoted last.
    pub promoted: BTreeMap<GroupName, InstanceName>,
    /// Nodes that have entered themselves.
    pub nodes: Vec<NodeName>,
}
