//! Messages of membership, each of which fits into one datagram.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::record::{MemberRecord, Update};
use crate::ids::NodeName;

/// Most bytes of one datagram, so that no network on the way splits it.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes kept free in a datagram for its envelope, authentication and the fixed part of a body.
pub const ENVELOPE_BYTES: usize = 200;
/// Buckets into which a table is divided for comparison.
pub const BUCKET_COUNT: usize = 64;
/// Most bytes that the bucket hashes take when encoded.
pub const BUCKET_HASHES_BYTES: usize = 5 * BUCKET_COUNT + 16;

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same number.
    #[serde(rename = "p")]
    Ping {
        /// Chosen by the sender.
        #[serde(rename = "n")]
        number: u32,
    },
    /// Asks the receiver to ping `target` and to pass on its answer.
    #[serde(rename = "q")]
    PingRequest {
        /// Number for the answer to the sender.
        #[serde(rename = "n")]
        number: u32,
        /// Member to ping.
        #[serde(rename = "t")]
        target: NodeName,
    },
    /// Answers a ping, or a ping request in the name of its target.
    #[serde(rename = "a")]
    Ack {
        /// Number of the ping.
        #[serde(rename = "n")]
        number: u32,
    },
    /// Carries news only.
    #[serde(rename = "g")]
    Gossip,
    /// Asks for records of the buckets whose hashes differ.
    #[serde(rename = "y")]
    SyncRequest {
        /// Hash of each bucket of the sender's table.
        #[serde(rename = "h")]
        hashes: Vec<u32>,
        /// Whether the receiver sends its own hashes back if any differ.
        #[serde(rename = "w")]
        wants_return: bool,
    },
    /// Records of buckets that differ.
    #[serde(rename = "r")]
    SyncRecords {
        /// The records.
        #[serde(rename = "r")]
        records: Vec<MemberRecord>,
    },
}

/// A message, with what the sender says of itself and its news of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own record.
    #[serde(rename = "s")]
    pub sender: MemberRecord,
    /// What the message is for.
    #[serde(rename = "b")]
    pub body: Body,
    /// News.
    #[serde(rename = "u")]
    pub updates: Vec<Update>,
}

/// Whom a message goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Name the receiver must have.
    pub node: NodeName,
    /// Where it is sent.
    pub address: SocketAddr,
    /// Process incarnation the receiver must have; `None` on first contact.
    pub process: Option<u64>,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver.
    pub to: Contact,
    /// The message.
    pub message: Message,
}
