//! What fronts and gateways tell each other.

use std::time::Duration;

use bytes::Bytes;
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::catalog::{CatalogSummary, CatalogVersion, Priority, Revision};
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, LeaseId, NodeName, TenantName};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::position::{Position, Term};
use kestrellock_core::promotion::{Intent, ReplacementId, Witness};
use kestrellock_core::quota::QuotaMessage;
use kestrellock_core::routing::{Access, InstanceStatus};
use kestrellock_core::session_state::SessionSetting;
use serde::{Deserialize, Serialize};

use crate::catalog_transfer::{Chunk, TransferId};

/// Version of the protocol between nodes; a peer with another one is refused.
pub const PROTOCOL_VERSION: u16 = 7;

/// A prepared statement that an exchange refers to under a cluster-wide name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// Name derived from text and parameter types, the same on every node.
    pub name: String,
    /// The complete `Parse` message that creates it.
    pub parse: Bytes,
}

/// Which instance of its group runs an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// This one, which the front chose.
    Instance(InstanceName),
    /// Whichever the gateway chooses.
    Any(PlacementRequirements),
}

/// What the choice of an instance depends on, beside [`Exchange::access`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequirements {
    /// Time since the request arrived at the front. Nodes share no clock; the time under way is not
    /// part of it, so the gateway takes the request for younger than it is, which asks for more.
    pub waited: Duration,
    /// How old what it reads may be; `None` if it reads nothing.
    pub staleness: Option<Duration>,
    /// An instance that could not run it a moment ago.
    #[serde(rename = "passed_over")]
    pub excluded_instance: Option<InstanceName>,
}

/// One round trip with a back end on behalf of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Lease it belongs to; the first exchange of a lease opens it.
    pub lease: LeaseId,
    /// Number within the lease, from zero.
    pub number: u32,
    /// The request's id, as far as the callers' protocol has one; for the log.
    pub request: Option<String>,
    /// Where to run it. Only the first exchange of a lease is placed; the others follow it.
    pub placement: Placement,
    /// Tenant charged for it.
    pub tenant: TenantName,
    /// Account on whose behalf it is asked: the only one whose exchanges its connection carries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// What it needs.
    pub access: Access,
    /// Order in the queue.
    pub priority: Priority,
    /// Time left to answer it.
    pub time_left: Duration,
    /// Prepared statements that must exist on the connection.
    pub statements: Vec<PreparedStatement>,
    /// The caller's session settings, to be put in force on the connection.
    pub settings: Vec<SessionSetting>,
    /// Whether it may leave something on the connection beyond its transaction and settings.
    pub taints: bool,
    /// Front-end messages, whole, as the back end is to see them.
    pub frames: Bytes,
    /// How many `ReadyForQuery` messages end the answer.
    pub ready_expected: u32,
    /// Whether the exchange may commit, so that its answer must wait for confirmation.
    pub may_commit: bool,
    /// Whether it commits something that wrote, if it succeeds: where the primary answers commits only
    /// after replicas have them, that shows that no other one leads.
    pub commits_write: bool,
}

/// What a front asks of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayCall {
    /// Run this.
    Exchange(Box<Exchange>),
    /// The caller is gone: roll back, reset, and reuse the connection.
    Abandon(LeaseId),
    /// The caller asked to cancel what runs on the lease.
    Cancel(LeaseId),
    /// Tell the group's position as of now, one that covers every write acknowledged before.
    CurrentPosition {
        /// Shard of the front that asks.
        shard: u16,
        /// Number of the question.
        number: u64,
    },
    /// Send statuses of the group for the next [`SUBSCRIPTION_LIFETIME`].
    Subscribe,
}

/// From a front to a gateway of the node that owns an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToGateway {
    /// Node of the front.
    pub from: NodeName,
    /// Group concerned; decides the shard that holds its gateway.
    pub group: GroupName,
    /// What is asked.
    pub call: GatewayCall,
}

/// How long a status subscription lasts unless renewed.
pub const SUBSCRIPTION_LIFETIME: Duration = Duration::from_secs(10);

/// State of the back-end transaction after an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// None open: the lease is over unless it is pinned.
    Idle,
    /// Open.
    Open,
    /// Open and failed: only a rollback is accepted.
    Failed,
}

/// What a front hears about one lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseEvent {
    /// Part of the answer: whole back-end messages to pass on.
    Part(Bytes),
    /// The end of an exchange's answer.
    Done {
        /// Last back-end messages, ending with `ReadyForQuery`.
        frames: Bytes,
        /// Transaction state after it.
        transaction: TransactionState,
        /// Position that a confirmed write has reached; raises the session bound.
        confirmed: Option<Position>,
        /// The instance that ran it.
        instance: InstanceName,
    },
    /// The gateway does not own the instance and has not run the exchange; the lease is over.
    NotOwner {
        /// The node that does, as far as the gateway knows.
        owner: Option<NodeName>,
    },
    /// The gateway has nothing under way for the exchange and no answer to repeat; the lease is over.
    #[serde(rename = "NotUnderWay")]
    NotInProgress {
        /// Whether it has surely not run: it never reached the gateway's node.
        has_not_run: bool,
    },
    /// The exchange failed in the proxy, and the lease is over.
    Refused(Refusal),
}

/// From a gateway to a front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToFront {
    /// News of a lease.
    Lease {
        /// The lease.
        lease: LeaseId,
        /// Number of this message within the lease, from zero: a gap means that a message was lost.
        sequence: u32,
        /// What happened.
        event: LeaseEvent,
    },
    /// News of a lease that the front may have missed on a connection that was replaced, or may have
    /// received.
    #[serde(rename = "Again")]
    Resent {
        /// The lease.
        lease: LeaseId,
        /// Its number within the lease.
        sequence: u32,
        /// What happened.
        event: LeaseEvent,
    },
    /// The answer to [`GatewayCall::CurrentPosition`].
    CurrentPosition {
        /// The group.
        group: GroupName,
        /// Number of the question.
        number: u64,
        /// The position.
        position: Position,
    },
    /// Statuses of instances of one group, newest known to the sender.
    Statuses {
        /// The group.
        group: GroupName,
        /// Statuses; instances missing from it are unchanged.
        statuses: Vec<InstanceStatus>,
    },
}

/// One lease that a front has at a gateway, when a new connection replaces one that went silent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseId,
    /// Number of the first of its messages that the front has not received.
    pub next_sequence: u32,
    /// Time since the front sent the exchange that it has no answer to; `None` while the lease rests.
    pub sent_ago: Option<Duration>,
}

/// What nodes tell each other of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// The sender has this revision in force and asks for the receiver's.
    Request {
        /// Revision of the sender.
        have: Revision,
    },
    /// The sender has this revision in force.
    #[serde(rename = "InForce")]
    Active {
        /// The revision.
        revision: Revision,
    },
    /// The sender wants what the receiver has other than it, if that is newer.
    Fetch {
        /// What the sender has.
        have: CatalogSummary,
    },
    /// The sender will send what the receiver wants to fetch, after it has served others.
    Queued,
    /// The next part of what the receiver fetches.
    #[serde(rename = "Part")]
    Chunk(Chunk),
    /// The sender has received what comes before `offset`; the whole, if nothing follows it.
    Next {
        /// What it fetches.
        transfer: TransferId,
        /// Where the next part begins.
        offset: u32,
    },
    /// The sender wants no more of what the receiver sends.
    #[serde(rename = "Enough")]
    StopTransfer,
    /// The sender asks since when no newer configuration than the receiver's is known to stand.
    Confirm {
        /// Number of the question.
        number: u64,
    },
    /// The answer: at some moment that configuration was the newest.
    Confirmed {
        /// Number of the question.
        number: u64,
        /// Which one, and how long ago the moment was when the answer was sent; `None` if the sender
        /// knows nothing.
        newest: Option<(CatalogVersion, Duration)>,
    },
}

/// Everything that travels between nodes over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// For the agent that keeps the receiver's configuration.
    Configuration {
        /// Sender.
        from: NodeName,
        /// The message.
        message: ConfigurationMessage,
    },
    /// The sender has drained and ends: what it has not answered on this connection has not run
    /// and never will.
    #[serde(rename = "Goodbye")]
    Leave {
        /// The sender.
        node: NodeName,
    },
    /// The first message on a connection that replaces another one to the same process: nothing that
    /// arrives on the old one counts from here on.
    Reconnected {
        /// Node of the front.
        node: NodeName,
        /// Every lease that its front has at gateways of the receiver: all others are over.
        leases: Vec<HeldLease>,
    },
    /// The sender has given its evidence of a group's primary up, for the replacement that the
    /// receiver carries out.
    #[serde(rename = "EvidenceGivenUp")]
    EvidenceRevoked {
        /// The sender.
        node: NodeName,
        /// The group.
        group: GroupName,
        /// Which replacement it is.
        id: ReplacementId,
        /// What it knows of instances that have started again.
        #[serde(default)]
        witness: Witness,
    },
    /// The sender has a group's primary replaced.
    #[serde(rename = "ReplacementUnderWay")]
    ReplacementInProgress {
        /// The group.
        group: GroupName,
        /// What it has recorded in the store.
        intent: Intent,
        /// How long the sender has known it to be recorded.
        age: Duration,
    },
    /// A replacement of the sender is over.
    #[serde(rename = "ReplacementOver")]
    ReplacementFinished {
        /// The group.
        group: GroupName,
        /// Which replacement it is.
        id: ReplacementId,
        /// Term that the new primary leads, if there is one.
        led: Option<Term>,
    },
    /// About how much accounts may ask.
    Quota(QuotaMessage),
    /// The receiver owes the sender an answer and is to say that it runs.
    Ping,
    /// The sender runs.
    Pong,
    /// For a gateway of the receiver.
    ToGateway(ToGateway),
    /// A caller asked to cancel what the session with this key, of the receiver, runs.
    Cancel(CancelKey),
    /// For the front at this shard of the receiver.
    ToFront {
        /// Shard of the front; `None` for news that concerns the whole node.
        shard: Option<u16>,
        /// The message.
        message: ToFront,
    },
}
