//! Messages between fronts, gateways and the agents of nodes.
//!
//! Fields and variants are encoded under their names. A name that differs on the wire has a serde
//! attribute.

mod configuration;
mod front;
mod gateway;
mod versions;

use std::time::Duration;

use kestrellock_core::cancel::CancelKey;
use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{
    Intent, NodeVotes, PromotionCaller, ReplacementId, RestartReport,
};
use kestrellock_core::quota::QuotaMessage;
use serde::{Deserialize, Serialize};

pub use configuration::ConfigurationMessage;
pub use front::{HeldLease, LeaseEvent, ToFront, TransactionState};
pub use gateway::{
    Exchange, GatewayCall, Placement, PlacementRequirements, PreparedStatement, RequiredLead,
    SUBSCRIPTION_LIFETIME, ToGateway,
};
pub use versions::{
    CAPACITY_DEMAND_VERSION, HIGHEST_PROTOCOL_VERSION, PREWARM_VERSION, PRIMARY_VOTES_VERSION,
    PROMOTION_CALLS_VERSION, PROTOCOL_VERSION, REPLACEMENT_QUERY_VERSION, WITHDRAW_VERSION,
};

/// A message between nodes over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message to the agent that maintains the receiver's configuration.
    Configuration {
        /// Sender.
        from: NodeName,
        /// The message.
        message: ConfigurationMessage,
    },
    /// The sender has drained and leaves the cluster. Exchanges that it has not answered on this
    /// connection have not run and will not run.
    #[serde(rename = "Goodbye")]
    Leave {
        /// The sender.
        node: NodeName,
    },
    /// The first message on a connection that replaces another one to the same process. Messages
    /// that arrive on the old connection from now on are ignored.
    Reconnected {
        /// Node of the front.
        node: NodeName,
        /// All leases that the node's front has at gateways of the receiver. The receiver ends
        /// every other lease of that front.
        leases: Vec<HeldLease>,
    },
    /// The sender has revoked its evidence for a group's primary, because the receiver is replacing
    /// that primary.
    #[serde(rename = "EvidenceGivenUp")]
    EvidenceRevoked {
        /// The sender.
        node: NodeName,
        /// The group.
        group: GroupName,
        /// The replacement.
        id: ReplacementId,
        /// What the sender knows about restarted instances.
        #[serde(default)]
        witness: RestartReport,
    },
    /// The sender is the coordinator and is replacing a group's primary.
    #[serde(rename = "ReplacementUnderWay")]
    ReplacementInProgress {
        /// The group.
        group: GroupName,
        /// The intent that the sender has recorded in the store.
        intent: Intent,
        /// Time since the sender learned that the intent is recorded.
        age: Duration,
    },
    /// A replacement that the sender coordinated has finished.
    #[serde(rename = "ReplacementOver")]
    ReplacementFinished {
        /// The group.
        group: GroupName,
        /// The replacement.
        id: ReplacementId,
        /// Term that the new primary leads; `None` if no instance was promoted.
        led: Option<Term>,
    },
    /// The sender is the coordinator and asks whether the promotions that `caller`, a process of the
    /// receiver's node, has sent have ended. The receiver sends no more of them.
    PromotionCallQuery {
        /// The group.
        group: GroupName,
        /// The process, and the highest fencing token that the query refers to.
        caller: PromotionCaller,
    },
    /// The promotions have ended: each has taken effect, or never will. Not sent before.
    PromotionCallsEnded {
        /// The group.
        group: GroupName,
        /// The process of the sender's node, as it was queried.
        caller: PromotionCaller,
    },
    /// The sender cannot ask the store whether the primaries of groups are being replaced, and asks
    /// every listed node.
    ReplacementQuery {
        /// Number of the query.
        number: u64,
        /// The groups, and the highest term of each that the sender knows to have been led.
        groups: Vec<(GroupName, Term)>,
        /// Digest of the listed nodes that the sender knows
        /// ([`nodes_digest`](kestrellock_core::promotion::nodes_digest)).
        nodes_digest: u64,
    },
    /// The answer to [`PeerMessage::ReplacementQuery`].
    ReplacementQueryAnswer {
        /// Number of the query.
        number: u64,
        /// The groups of which the sender knows no replacement.
        unreplaced: Vec<GroupName>,
    },
    /// The sender's votes on the primaries of groups that the sender and the receiver own. They
    /// replace its earlier ones.
    PrimaryVotes {
        /// Number that the receiver confirms with [`PeerMessage::PrimaryVotesReceived`].
        round: u64,
        /// The votes; empty if the sender withdraws them.
        votes: NodeVotes,
    },
    /// The sender uses the receiver's votes with this number.
    PrimaryVotesReceived {
        /// The number.
        round: u64,
    },
    /// A message about the quotas of accounts.
    Quota(QuotaMessage),
    /// Heartbeat request, sent while an answer of the receiver is outstanding. The receiver must
    /// show that it is alive.
    Ping,
    /// Heartbeat response.
    Pong,
    /// A message to a gateway of the receiver.
    ToGateway(ToGateway),
    /// A client has requested to cancel the statement that runs in the receiver's session with this
    /// key.
    Cancel(CancelKey),
    /// A message to a front of the receiver.
    ToFront {
        /// Shard of the front; `None` if the message concerns the whole node.
        shard: Option<u16>,
        /// The message.
        message: ToFront,
    },
}

impl PeerMessage {
    /// Lowest protocol version of a link that may carry the message. An older node cannot decode
    /// the variant and would close the link.
    pub fn required_version(&self) -> u16 {
        match self {
            Self::ToGateway(message) => message.call.required_version(),
            Self::PrimaryVotes { .. } | Self::PrimaryVotesReceived { .. } => PRIMARY_VOTES_VERSION,
            Self::PromotionCallQuery { .. } | Self::PromotionCallsEnded { .. } => {
                PROMOTION_CALLS_VERSION
            }
            Self::ReplacementQuery { .. } | Self::ReplacementQueryAnswer { .. } => {
                REPLACEMENT_QUERY_VERSION
            }
            Self::Configuration { .. }
            | Self::Leave { .. }
            | Self::Reconnected { .. }
            | Self::EvidenceRevoked { .. }
            | Self::ReplacementInProgress { .. }
            | Self::ReplacementFinished { .. }
            | Self::Quota(_)
            | Self::Ping
            | Self::Pong
            | Self::Cancel(_)
            | Self::ToFront { .. } => PROTOCOL_VERSION,
        }
    }
}
