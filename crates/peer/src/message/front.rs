//! Messages from gateways to fronts, and the leases that a front reports on a new link.

use std::time::Duration;

use bytes::Bytes;
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId, NodeName};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::position::Position;
use kestrellock_core::routing::InstanceStatus;
use serde::{Deserialize, Serialize};

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
    /// The answer to [`GatewayCall::CurrentPosition`](super::GatewayCall::CurrentPosition).
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
