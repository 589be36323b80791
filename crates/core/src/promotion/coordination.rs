//! What nodes publish in the store about primary replacements.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::{Intent, PromotionCaller};
use crate::ids::{GroupName, InstanceName, NodeName};
use crate::position::Term;
use crate::store_era::StoreEra;
use crate::suspicion::Cause;

/// A node's published suspicion of one group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The suspected primary.
    pub instance: InstanceName,
    /// Why the node suspects it.
    pub cause: Cause,
}

/// The votes of one node, by group.
pub type NodeVotes = BTreeMap<GroupName, Vote>;

/// The most recently promoted instance of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The instance.
    pub instance: InstanceName,
    /// The term that it leads, if it reported that before the replacement finished.
    pub term: Option<Term>,
}

/// The node that holds the coordinator lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coordinator {
    /// The node.
    pub node: NodeName,
    /// Its fencing token.
    pub fence: u64,
}

/// This node's copy of the coordination data in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoordinationView {
    /// Era of the store; the coordinator and the votes are those of this era.
    pub era: StoreEra,
    /// Revision of the store; zero before the first copy was read.
    pub revision: u64,
    /// When the store was asked for this copy: the copy includes everything that was recorded until
    /// then.
    pub requested_at: Option<Instant>,
    /// The coordinator, if the coordinator lease is held.
    pub coordinator: Option<Coordinator>,
    /// Intents of attempts that are running or were left unfinished.
    pub intents: BTreeMap<GroupName, Intent>,
    /// The suspicions that each node has published.
    pub votes: BTreeMap<NodeName, NodeVotes>,
    /// The most recently promoted instance of each group.
    pub promoted: BTreeMap<GroupName, Successor>,
    /// For groups without an intent: processes whose promotions may not have ended when the last
    /// replacement finished.
    pub open_callers: BTreeMap<GroupName, Vec<PromotionCaller>>,
    /// Nodes that have registered themselves in the store.
    pub nodes: Vec<NodeName>,
}
