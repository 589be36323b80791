//! Messages between fronts, gateways and the agents of nodes.
//!
//! Fields and variants are encoded under their names. A name that differs on the wire has a serde
//! attribute.

use std::time::{Duration, Instant};

use bytes::Bytes;
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::capacity::InstanceDemand;
use kestrellock_core::catalog::{CatalogSummary, CatalogVersion, Priority, Revision};
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, LeaseId, NodeName, TenantName};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::position::{Position, Term};
use kestrellock_core::promotion::{
    Intent, NodeVotes, PromotionCaller, ReplacementId, RestartReport,
};
use kestrellock_core::quota::QuotaMessage;
use kestrellock_core::routing::{Access, InstanceStatus};
use kestrellock_core::session_state::SessionSetting;
use serde::{Deserialize, Serialize};

use crate::catalog_transfer::{Chunk, TransferId};

/// Version that every node speaks, carried in [`Hello::version`](crate::channel::Hello::version). A
/// peer with another one is rejected.
pub const PROTOCOL_VERSION: u16 = 7;

/// Highest version that this build speaks. A connection uses the highest version that both of its
/// nodes speak.
pub const HIGHEST_PROTOCOL_VERSION: u16 = 11;

/// Lowest version in which owners exchange votes on primaries.
pub const PRIMARY_VOTES_VERSION: u16 = 8;

/// Lowest version in which owners exchange demands for capacity.
pub const CAPACITY_DEMAND_VERSION: u16 = 8;

/// Lowest version in which fronts request connections in advance.
pub const PREWARM_VERSION: u16 = 8;

/// Lowest version in which a coordinator asks for the end of earlier promotions.
pub const PROMOTION_CALLS_VERSION: u16 = 9;

/// Lowest version in which fronts withdraw exchanges.
pub const WITHDRAW_VERSION: u16 = 10;

/// Lowest version in which nodes ask each other whether primaries are being replaced.
pub const REPLACEMENT_QUERY_VERSION: u16 = 11;

/// A prepared statement that an exchange refers to by a cluster-wide name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Name derived from the statement's text and parameter types, the same on every node.
    pub name: String,
    /// The complete `Parse` message that creates it.
    pub parse: Bytes,
}

/// Which instance of the group runs an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// The instance that the front chose.
    Instance(InstanceName),
    /// Any instance that meets the requirements; the gateway chooses it.
    Any(PlacementRequirements),
}

/// Inputs to the gateway's choice of an instance, in addition to [`Exchange::access`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequirements {
    /// Time between the request's arrival at the front and the sending of this message. Nodes share
    /// no clock, so the time in transit is not included. The gateway therefore assumes a later
    /// arrival than the real one, which makes its freshness requirement stricter, never weaker.
    pub waited: Duration,
    /// How old the state of the log may be on which the exchange runs. Gateways of earlier versions
    /// require no evidence for a write without this value; fronts always set it.
    pub staleness: Option<Duration>,
    /// An instance that has just failed to run the exchange.
    #[serde(rename = "passed_over")]
    pub excluded_instance: Option<InstanceName>,
}

/// One round trip with an instance on behalf of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Server lease of the exchange; the first exchange of a lease opens the lease.
    pub lease: LeaseId,
    /// Number of the exchange within the lease, from zero.
    pub number: u32,
    /// Id of the request for the log, if the client's protocol has request ids.
    pub request: Option<String>,
    /// Where to run the exchange. Only the first exchange of a lease is placed; later exchanges run
    /// on the same instance.
    pub placement: Placement,
    /// Tenant that is charged for the exchange.
    pub tenant: TenantName,
    /// Account of the client. A server connection carries only exchanges of a single account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// Access that the exchange needs.
    pub access: Access,
    /// Priority in the gateway's queue.
    pub priority: Priority,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Prepared statements that must exist on the server connection.
    pub statements: Vec<PreparedStatement>,
    /// Session settings of the client, which the gateway applies to the server connection.
    pub settings: Vec<SessionSetting>,
    /// Whether the exchange may leave state on the server connection other than its transaction and
    /// settings.
    pub taints: bool,
    /// Complete frontend messages, as they are sent to the instance.
    pub frames: Bytes,
    /// Number of `ReadyForQuery` messages in the answer; the last one ends it.
    pub ready_expected: u32,
    /// Whether the exchange may commit, so that its answer must wait for confirmation.
    pub may_commit: bool,
    /// Whether the exchange, if it succeeds, commits a transaction that wrote. If the primary
    /// acknowledges commits only after replicas have received them, success is evidence that no
    /// other instance is primary.
    pub commits_write: bool,
    /// Set by the gateway that chose the primary for it on evidence; checked again when the exchange
    /// is sent.
    #[serde(skip)]
    pub required_lead: Option<RequiredLead>,
}

/// What a gateway relied on when it chose the primary for an exchange on evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredLead {
    /// The term that the instance's process led.
    pub term: Term,
    /// Commits acknowledged before this time must be visible to the exchange.
    pub must_cover: Instant,
    /// When the instance was chosen.
    pub chosen_at: Instant,
}

/// A request of a front to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayCall {
    /// Run an exchange.
    Exchange(Box<Exchange>),
    /// The client has disconnected: roll back, reset the server connection, and reuse it.
    Abandon(LeaseId),
    /// The front must soon answer its client: an exchange of the lease that still waits at the
    /// gateway must not run. The gateway answers [`LeaseEvent::NotInProgress`] if it has dropped one.
    /// Otherwise the call has no effect and no answer.
    Withdraw(LeaseId),
    /// The client has requested to cancel the statement that runs on the lease.
    Cancel(LeaseId),
    /// Report a current position of the group that covers every write acknowledged before this
    /// request.
    CurrentPosition {
        /// Shard of the requesting front.
        shard: u16,
        /// Number of the request.
        number: u64,
    },
    /// Send instance statuses of the group for the next [`SUBSCRIPTION_LIFETIME`].
    Subscribe,
    /// What waits for instances of the group at the sender, which is another owner of the group.
    CapacityDemand(Vec<InstanceDemand>),
    /// A client of the account has logged in and its first statement is likely to be urgent: open a
    /// connection of the account in advance. Best effort, without an answer.
    Prewarm {
        /// The account.
        account: AccountName,
        /// Whether its statements run at the primary.
        at_primary: bool,
    },
}

impl GatewayCall {
    /// Lowest protocol version of a link that may carry the call. An older node cannot decode the
    /// variant and would close the link.
    pub fn required_version(&self) -> u16 {
        match self {
            Self::Exchange(_)
            | Self::Abandon(_)
            | Self::Cancel(_)
            | Self::CurrentPosition { .. }
            | Self::Subscribe => PROTOCOL_VERSION,
            Self::CapacityDemand(_) => CAPACITY_DEMAND_VERSION,
            Self::Prewarm { .. } => PREWARM_VERSION,
            Self::Withdraw(_) => WITHDRAW_VERSION,
        }
    }
}

/// Message from a front to a gateway of the node that owns an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToGateway {
    /// Node of the front.
    pub from: NodeName,
    /// Database group of the request. It determines the shard of the gateway.
    pub group: GroupName,
    /// The request.
    pub call: GatewayCall,
}

/// Time after which a status subscription expires unless it is renewed.
pub const SUBSCRIPTION_LIFETIME: Duration = Duration::from_secs(10);

/// State of the transaction on the instance after an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// No transaction is open. The lease ends unless it is pinned.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed; the instance only accepts a rollback.
    Failed,
}

/// An event of a server lease, sent to its front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseEvent {
    /// Part of the answer: complete backend messages to forward to the client.
    Part(Bytes),
    /// The end of an exchange's answer.
    Done {
        /// Last backend messages, ending with `ReadyForQuery`.
        frames: Bytes,
        /// Transaction state after the exchange.
        transaction: TransactionState,
        /// Position of a confirmed write. It raises the session's bound: later reads must not be
        /// older.
        confirmed: Option<Position>,
        /// Instance that ran the exchange.
        instance: InstanceName,
    },
    /// The gateway's node does not own the instance and has not run the exchange. The lease has
    /// ended.
    NotOwner {
        /// Owner of the instance, if the gateway knows it.
        owner: Option<NodeName>,
    },
    /// The gateway is not running the exchange and has no answer to send again. The lease has
    /// ended.
    #[serde(rename = "NotUnderWay")]
    NotInProgress {
        /// Whether the exchange has certainly not run and will not: it never reached the gateway's
        /// node, or the front has withdrawn it while it waited there.
        has_not_run: bool,
    },
    /// The exchange failed in the proxy. The lease has ended.
    Refused(Refusal),
}

/// Message from a gateway to a front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToFront {
    /// An event of a lease.
    Lease {
        /// The lease.
        lease: LeaseId,
        /// Number of this message within the lease, from zero. A gap means that a message was lost.
        sequence: u32,
        /// The event.
        event: LeaseEvent,
    },
    /// An event of a lease that is sent again after a link was replaced. The front may or may not
    /// have received it on the old link.
    #[serde(rename = "Again")]
    Resent {
        /// The lease.
        lease: LeaseId,
        /// Number of the original message within the lease.
        sequence: u32,
        /// The event.
        event: LeaseEvent,
    },
    /// The answer to [`GatewayCall::CurrentPosition`].
    CurrentPosition {
        /// The group.
        group: GroupName,
        /// Number of the request.
        number: u64,
        /// The position.
        position: Position,
    },
    /// The newest statuses of instances of a group that the sender has.
    Statuses {
        /// The group.
        group: GroupName,
        /// Statuses. The status of an instance that is missing here has not changed.
        statuses: Vec<InstanceStatus>,
    },
}

/// A lease that a front has at a gateway when a new link replaces one that went silent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseId,
    /// Number of the first message of the lease that the front has not received.
    pub next_sequence: u32,
    /// Time since the front sent the exchange that has not been answered; `None` if the lease has
    /// no exchange in progress.
    pub sent_ago: Option<Duration>,
}

/// A message of the configuration distribution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Reports the sender's active revision and requests the receiver's.
    Request {
        /// Active revision of the sender.
        have: Revision,
    },
    /// Reports the sender's active revision.
    #[serde(rename = "InForce")]
    Active {
        /// The revision.
        revision: Revision,
    },
    /// Requests the difference between the receiver's and the sender's configuration, if the
    /// receiver's is newer.
    Fetch {
        /// Summary of the sender's configuration.
        have: CatalogSummary,
    },
    /// The sender will answer the receiver's fetch after it has served other nodes.
    Queued,
    /// The next chunk of the configuration that the receiver fetches.
    #[serde(rename = "Part")]
    Chunk(Chunk),
    /// The sender has received all bytes before `offset` and requests the next chunk. An `offset`
    /// at the end of the transfer acknowledges it as complete.
    Next {
        /// The transfer.
        transfer: TransferId,
        /// Offset of the next chunk.
        offset: u32,
    },
    /// The sender cancels its fetch from the receiver.
    #[serde(rename = "Enough")]
    StopTransfer,
    /// Asks for the last moment at which the receiver knows its configuration to have been the
    /// newest.
    Confirm {
        /// Number of the request.
        number: u64,
    },
    /// The answer to [`ConfigurationMessage::Confirm`].
    Confirmed {
        /// Number of the request.
        number: u64,
        /// Version that was confirmed to be the newest, and the age of the confirmation when the
        /// answer was sent; `None` if the sender has no confirmation.
        newest: Option<(CatalogVersion, Duration)>,
    },
}

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
