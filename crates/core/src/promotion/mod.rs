//! Replaces the primary of a group that does not elect its primary itself.
//!
//! Only the coordinator, the node that holds the coordinator lease in the store, replaces
//! primaries. Its attempt on one group is the state machine [`Attempt`], which consumes events,
//! emits commands, and uses neither sockets nor clocks. Its steps:
//!
//! 1. *Record*: write the intent to the store, so that the next coordinator finds an attempt that
//!    its predecessor began, and nodes delay new writes.
//! 2. *Drain* (planned replacements only): give open work time to finish.
//! 3. *Stop*: make replicas reject replication below a new term, until so many are stopped that the
//!    primary cannot acknowledge another commit and at least one stopped replica has every commit
//!    acknowledged so far: all but `synchronous - 1` of them.
//! 4. *Expire* ([`Phase::Lapsing`]): wait until evidence of the old primary has expired
//!    (`primary_evidence`). The wait is skipped if the old primary refuses connections, so that no
//!    client can read there, and shortened if every node has revoked its evidence. Meanwhile the
//!    recorded intent states that a promotion may be sent.
//! 5. *Check*: the replicas confirm again that they are stopped, since a restarted replica is no
//!    longer stopped. The coordinator also reads from the store which of them were restarted and so
//!    have lost their logs, since its own copy of the store may be stale.
//! 6. *Promote*, once no promotion of an earlier coordinator can arrive any more (`open_calls`):
//!    have the platform promote the replica with the highest position, and repeat the request until
//!    the platform shows a new primary.
//! 7. *Settle*: demote the old primary, then release the other replicas, then remove the record.
//!
//! An attempt can be cancelled until the promotion is sent. From then on it has to be completed, by
//! the next coordinator if necessary: another instance may have been primary, so the old primary
//! must not continue.

mod answered_primary;
mod attempt;
mod check_failures;
mod coordination;
mod electorate;
mod ended_processes;
mod known_callers;
mod known_group;
mod known_instances;
mod known_replacements;
mod log_coverage;
mod members;
mod needs;
mod open_calls;
mod own_attempts;
mod own_calls;
mod peer_checks;
mod peer_votes;
mod refill;
mod restart_reports;
mod steps;
mod store_eras;
mod timing;
mod vote_delivery;

pub use answered_primary::{AnsweredPrimary, higher_position};
pub use attempt::{Attempt, MissingLogs};
pub use check_failures::{CheckFailures, StoreCheck};
pub use coordination::{CoordinationView, Coordinator, NodeVotes, Successor, Vote};
pub use electorate::Electorate;
pub use ended_processes::{ProbeResult, ProcessProbes};
pub use known_group::AnsweredPositions;
pub use known_instances::KnownInstances;
pub use known_replacements::{KnownReplacements, NOTIFY_INTERVAL};
pub use members::{Member, Members};
pub use needs::{Need, NeedsEvaluator, NeedsInput};
pub use open_calls::{PROMOTION_SETTLE_TIME, PromotionCaller, UNKNOWN_PROCESS};
pub use own_attempts::OwnAttempts;
pub use own_calls::OwnCalls;
pub use peer_checks::{
    GroupKnowledge, MAX_GROUPS_PER_CHECK, PEER_ANSWER_TIMEOUT, PeerAnswer, PeerCheckOutcome,
    PeerCheckResult, PeerChecks, PeerQuery, nodes_digest,
};
pub use peer_votes::{PEER_VOTE_VALIDITY, PeerVotes};
pub use restart_reports::{
    CombinedReport, LogHolder, ObservedRestart, ReportingNodes, RestartReport, RestartReports,
};
pub use steps::{Command, Event, Phase};
pub use store_eras::{COORDINATOR_LEASE_DURATION, StoreEraTracker};
pub use timing::Timing;
pub use vote_delivery::{
    StoreReason, VOTE_CONFIRMATION_TIMEOUT, VOTE_REPEAT_INTERVAL, VoteDelivery, VoteDeliveryInput,
    VoteDeliveryStep, VoteMessage,
};

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{GroupName, InstanceName, NodeName};
use crate::position::{Position, Term};
use crate::routing::Role;

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Planned: the primary, or its zone, is being taken out of use. The primary works until then.
    Leaving,
    /// Enough nodes suspect the primary.
    Suspected,
    /// No instance reports that it is the primary.
    Missing,
    /// An earlier coordinator began a replacement and did not finish it.
    Unfinished,
}

/// Identifies one replacement. Ids of a group's replacements increase.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplacementId {
    /// The coordinator's fencing token, which increases with each coordinator.
    pub fence: u64,
    /// Number of the attempt under that fencing token.
    pub attempt: u32,
}

/// The record of an attempt in the store, kept until the attempt has finished.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The coordinator that carries out the attempt.
    pub holder: NodeName,
    /// Which replacement this is.
    pub id: ReplacementId,
    /// Why the primary is replaced.
    pub reason: Reason,
    /// The old primary, if it is known.
    pub former: Option<InstanceName>,
    /// Whether the attempt has been cancelled: no instance will be promoted, nodes continue as if
    /// there were no attempt, and the coordinator only releases the stopped replicas.
    #[serde(default)]
    pub called_off: bool,
    /// Whether this coordinator or an earlier one may have sent a promotion. An instance then has
    /// to be promoted, since the old primary may not be the only instance that has been primary.
    #[serde(default)]
    pub promoting: bool,
    /// Whether the attempt waits for the old primary's log, because other instances may lack
    /// acknowledged commits. A coordinator that has no history of the group waits as well.
    #[serde(default)]
    pub awaits_log: bool,
    /// Processes that may have sent promotions of this group which have not ended. Each is recorded
    /// before it sends one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub callers: Vec<PromotionCaller>,
}

impl Intent {
    /// The processes that may have sent promotions which have not ended.
    pub fn open_callers(&self) -> Vec<PromotionCaller> {
        if !self.promoting || !self.callers.is_empty() {
            return self.callers.clone();
        }
        // A node of an earlier version wrote the intent.
        let (node, fence) = (self.holder.clone(), self.id.fence);
        vec![PromotionCaller { node, process: UNKNOWN_PROCESS, fence }]
    }
}

/// The active intents: those of attempts that have not been cancelled.
pub fn active_intents(intents: &BTreeMap<GroupName, Intent>) -> BTreeMap<GroupName, Intent> {
    let active = intents.iter().filter(|(_, intent)| !intent.called_off);
    active.map(|(group, intent)| (group.clone(), intent.clone())).collect()
}

/// What an instance reports of itself when it is queried, stopped or demoted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// Its role.
    pub role: Role,
    /// Term that it follows, or leads as the primary.
    pub term: Term,
    /// Position up to which it has received the log.
    pub received: Position,
    /// Lowest term from which it accepts replication, if it has been stopped.
    pub min_term: Term,
}

/// Log fields contain this text: it keeps the names that operators search for.
impl fmt::Debug for ReplicationStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Standing")
            .field("role", &self.role)
            .field("term", &self.term)
            .field("received", &self.received)
            .field("held", &self.min_term)
            .finish()
    }
}

/// What the platform answered to a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The instance is being promoted, or has been.
    Accepted,
    /// The instance does not run, so it has not been promoted.
    NotRunning,
    /// Nothing of the call was sent: there was no connection, or no time left for the call.
    NotSent,
    /// No answer, or an inconclusive one: the instance may be promoted.
    Unknown,
}

impl PromotionAnswer {
    /// Whether the promotion may take effect after this answer.
    pub fn may_take_effect(self) -> bool {
        match self {
            Self::Accepted | Self::Unknown => true,
            Self::NotRunning | Self::NotSent => false,
        }
    }
}
