//! Messages from fronts and other owners to gateways: the exchanges to run, and what else is asked of
//! a gateway.

use std::time::{Duration, Instant};

use bytes::Bytes;
use kestrellock_core::capacity::InstanceDemand;
use kestrellock_core::catalog::Priority;
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, LeaseId, NodeName, TenantName};
use kestrellock_core::position::Term;
use kestrellock_core::routing::Access;
use kestrellock_core::session_state::SessionSetting;
use serde::{Deserialize, Serialize};

use super::versions::{
    CAPACITY_DEMAND_VERSION, PREWARM_VERSION, PROTOCOL_VERSION, WITHDRAW_VERSION,
};

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
    /// gateway must not run. The gateway answers [`LeaseEvent::NotInProgress`](super::LeaseEvent::NotInProgress) if it has dropped one.
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
