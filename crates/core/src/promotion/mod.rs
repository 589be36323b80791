//! Replacing a group's primary where the group does not elect by itself.
//!
//! One node acts at a time: the holder of a lease in the store. Its attempt on one group is the
//! state machine [`Attempt`]; it takes events and gives commands, and knows neither sockets nor
//! clocks. Its steps:
//!
//! 1. *Record*: the intent goes into the store, so that the next holder finds what a dead one began,
//!    and nodes hold new writes back.
//! 2. *Drain* (planned replacements only): what is under way gets time to end.
//! 3. *Stop*: replicas are told to receive nothing below a new term, until so many have been stopped
//!    that the primary can answer no further commit and one of them holds every commit answered
//!    so far: all but `synchronous - 1` of them.
//! 4. *Lapse*: evidence of the old primary lapses (`primary_evidence`), unless the old primary
//!    refuses connections, so that nobody can read there, or every node has given its evidence up. The
//!    record says meanwhile that a promotion may be sent.
//! 5. *Check*: the replicas say once more that they are stopped; one that was restarted is not. The store
//!    says which of them have started again, and so have lost what they held: this node's copy may be old.
//! 6. *Promote*: the one with the highest position, again and again until the platform says so.
//! 7. *Settle*: the old primary is demoted, then the other replicas released, the record taken back.
//!
//! Before the promotion is sent the attempt can be called off; after that it goes on to the end, by the next
//! holder if need be: somebody may have led, so that the old primary must not go on.

mod attempt;
mod coordination;
mod electorate;
mod known_instances;
mod known_replacements;
mod members;
mod needs;
mod refill;
mod restart_reports;
mod steps;
mod store_eras;
mod timing;

pub use attempt::Attempt;
pub use coordination::{CoordinationView, Coordinator, NodeVotes, Successor, Vote};
pub use electorate::Electorate;
pub use known_instances::KnownInstances;
pub use known_replacements::{KnownReplacements, NOTIFY_INTERVAL};
pub use members::{Member, Members};
pub use needs::{Need, NeedsEvaluator, NeedsInput};
pub use restart_reports::{CombinedReport, ObservedRestart, RestartReport, RestartReports};
pub use steps::{Command, Event, Phase};
pub use store_eras::{COORDINATOR_LEASE_DURATION, StoreEraTracker};
pub use timing::Timing;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{GroupName, InstanceName, NodeName};
use crate::position::{Position, Term};
use crate::routing::Role;

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It is leaving as planned, and works until then.
    Leaving,
    /// Nodes suspect it.
    Suspected,
    /// No instance says that it is one.
    Missing,
    /// An earlier holder has begun and not finished.
    Unfinished,
}

/// Names one replacement; rises with each of a group.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplacementId {
    /// Number of the holder's right to act; rises with each holder.
    pub fence: u64,
    /// Number of the attempt under that.
    pub attempt: u32,
}

/// What the store keeps of an attempt while it is under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Node that acts.
    pub holder: NodeName,
    /// Which replacement this is.
    pub id: ReplacementId,
    /// Why.
    pub reason: Reason,
    /// The primary that is replaced, if one is known.
    pub former: Option<InstanceName>,
    /// Whether nobody will be promoted any more: work goes on as if there was no attempt, and
    /// whoever acts only releases the replicas that were stopped.
    #[serde(default)]
    pub called_off: bool,
    /// Whether a promotion may have been sent, by this holder or an earlier one: then somebody has to be
    /// promoted, since the old primary is not the only one that has led.
    #[serde(default)]
    pub promoting: bool,
}

/// The attempts that nodes heed: those that have not been called off.
pub fn active_intents(intents: &BTreeMap<GroupName, Intent>) -> BTreeMap<GroupName, Intent> {
    let heeded = intents.iter().filter(|(_, intent)| !intent.called_off);
    heeded.map(|(group, intent)| (group.clone(), intent.clone())).collect()
}

/// What an instance says of itself when it is asked, stopped or demoted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// Its role.
    pub role: Role,
    /// Term that it follows or leads.
    pub term: Term,
    /// Position that it has received.
    pub received: Position,
    /// Term below which it receives nothing, if it has been stopped.
    pub min_term: Term,
}

/// What the platform answered to a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The instance takes over, or has.
    Accepted,
    /// The instance does not run.
    NotRunning,
    /// No answer, or one that leaves it open: it may take over.
    Unknown,
}
