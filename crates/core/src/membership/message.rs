//! Membership messages. Each fits into one datagram.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::record::{MemberRecord, Update};
use crate::ids::NodeName;

/// Largest size of a datagram in bytes, chosen so that no network on the path fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes reserved in a datagram for its envelope, authentication and the fixed part of a body.
pub const ENVELOPE_BYTES: usize = 200;
/// Number of buckets into which a member table is divided for anti-entropy syncs.
pub const BUCKET_COUNT: usize = 64;
/// Upper bound of the encoded size of the bucket hashes in bytes.
pub const BUCKET_HASHES_BYTES: usize = 5 * BUCKET_COUNT + 16;

/// The body of a message, which determines its type.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an [`Body::Ack`] with the same number.
    #[serde(rename = "p")]
    Ping {
        /// Chosen by the sender.
        #[serde(rename = "n")]
        number: u32,
    },
    /// Asks the receiver to ping `target` and to forward its ack.
    #[serde(rename = "q")]
    PingRequest {
        /// Number of the ack to the sender.
        #[serde(rename = "n")]
        number: u32,
        /// Member to ping.
        #[serde(rename = "t")]
        target: NodeName,
    },
    /// Answers a ping, or answers a ping request on behalf of its target.
    #[serde(rename = "a")]
    Ack {
        /// Number of the ping.
        #[serde(rename = "n")]
        number: u32,
    },
    /// Carries only updates.
    #[serde(rename = "g")]
    Gossip,
    /// Requests the records of buckets whose hashes differ.
    #[serde(rename = "y")]
    SyncRequest {
        /// Hash of each bucket of the sender's table.
        #[serde(rename = "h")]
        hashes: Vec<u32>,
        /// Whether the receiver answers with its own hashes if any differ.
        #[serde(rename = "w")]
        wants_return: bool,
    },
    /// Carries the records of buckets that differ.
    #[serde(rename = "r")]
    SyncRecords {
        /// The records.
        #[serde(rename = "r")]
        records: Vec<MemberRecord>,
    },
}

/// A message, with the sender's own record and its updates about other members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own record.
    #[serde(rename = "s")]
    pub sender: MemberRecord,
    /// Body of the message.
    #[serde(rename = "b")]
    pub body: Body,
    /// Updates about members.
    #[serde(rename = "u")]
    pub updates: Vec<Update>,
}

/// The destination of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name that the receiver must have.
    pub node: NodeName,
    /// Address to which the message is sent.
    pub address: SocketAddr,
    /// Process incarnation that the receiver must have; `None` on first contact.
    pub process: Option<u64>,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination of the message.
    pub to: Contact,
    /// The message.
    pub message: Message,
}
