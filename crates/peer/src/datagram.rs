//! Datagrams between nodes: version, cluster, authentication tag, then one CBOR value.
//!
//! A datagram names its receiver, and also the receiver's process if the sender knows it, so that
//! it can be replayed neither to another node nor to a later process of the same node. Every
//! invalid datagram is rejected with a reason, which the membership agent counts. No input makes
//! this module panic.

use std::time::Duration;

use kestrellock_core::ids::NodeName;
use kestrellock_core::membership::message::{MAX_DATAGRAM_BYTES, Message, Outgoing};
use kestrellock_core::membership::record::MemberRecord;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::auth::{ClusterKeys, TAG_BYTES};
use crate::replay::{ReplayError, ReplayGuard};

/// Version of the datagram format. Datagrams with another version are rejected.
pub const DATAGRAM_VERSION: u8 = 1;
/// Maximum length of a cluster's name and of a node's name.
pub const MAX_NAME_BYTES: usize = 64;
const CLUSTER_BYTES: usize = 4;
const TAG_START: usize = 1 + CLUSTER_BYTES;
const BODY_START: usize = TAG_START + TAG_BYTES;
const PURPOSE: &[u8] = b"kestrellock datagram";

/// Why a datagram is rejected, or cannot be sent.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// The datagram is too short to have a body.
    #[error("datagram of {0} bytes is too short")]
    Short(usize),
    /// The datagram has another version.
    #[error("datagram has version {0}, not {DATAGRAM_VERSION}")]
    Version(u8),
    /// The datagram belongs to another cluster.
    #[error("datagram of another cluster")]
    OtherCluster,
    /// The tag was not made with any accepted key.
    #[error("datagram with an invalid authentication tag")]
    Tag,
    /// The body cannot be decoded, or the message cannot be encoded.
    #[error("datagram with a malformed body")]
    Malformed,
    /// The datagram is addressed to another node or to another process of this node.
    #[error("datagram for another receiver")]
    OtherReceiver,
    /// The datagram is a duplicate.
    #[error("datagram received before")]
    Repeated,
    /// The datagram was sent by a process that is older than the newest known process of its node.
    /// Holds the sender's record.
    #[error("datagram from an older process of its node")]
    OldProcess(Box<MemberRecord>),
    /// The datagram is too large to cross every network unfragmented.
    #[error("datagram of {0} bytes is larger than {MAX_DATAGRAM_BYTES}")]
    TooLarge(usize),
}

#[derive(Serialize)]
struct EnvelopeRef<'a> {
    #[serde(rename = "t")]
    to: &'a NodeName,
    #[serde(rename = "p")]
    process: Option<u64>,
    #[serde(rename = "q")]
    sequence: u64,
    #[serde(rename = "m")]
    message: &'a Message,
}

#[derive(Deserialize)]
struct Envelope {
    #[serde(rename = "t")]
    to: NodeName,
    #[serde(rename = "p")]
    process: Option<u64>,
    #[serde(rename = "q")]
    sequence: u64,
    #[serde(rename = "m")]
    message: Message,
}

/// Signs the datagrams that a node sends, and checks those that it receives.
#[derive(Debug)]
pub struct DatagramCodec {
    keys: ClusterKeys,
    cluster: [u8; CLUSTER_BYTES],
    node: NodeName,
    sequence: u64,
    replay_guard: ReplayGuard,
}

impl DatagramCodec {
    /// A codec for `node` in `cluster`.
    pub fn new(keys: ClusterKeys, cluster: &str, node: NodeName) -> Self {
        let cluster = cluster_hash(cluster);
        Self { keys, cluster, node, sequence: 0, replay_guard: ReplayGuard::default() }
    }

    /// Encodes and signs a message.
    pub fn seal(&mut self, outgoing: &Outgoing) -> Result<Vec<u8>, DatagramError> {
        self.sequence += 1;
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        bytes.push(DATAGRAM_VERSION);
        bytes.extend_from_slice(&self.cluster);
        bytes.extend_from_slice(&[0; TAG_BYTES]);
        let envelope = EnvelopeRef {
            to: &outgoing.to.node,
            process: outgoing.to.process,
            sequence: self.sequence,
            message: &outgoing.message,
        };
        ciborium::into_writer(&envelope, &mut bytes).map_err(|_| DatagramError::Malformed)?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge(bytes.len()));
        }
        let tag = self.keys.signing().sign(&[PURPOSE, &bytes[..TAG_START], &bytes[BODY_START..]]);
        bytes[TAG_START..BODY_START].copy_from_slice(&tag);
        Ok(bytes)
    }

    /// Checks and decodes a datagram that process `process` of this node received.
    pub fn open(
        &mut self,
        bytes: &[u8],
        process: u64,
        now: Duration,
    ) -> Result<Message, DatagramError> {
        let body = self.authenticate(bytes)?;
        let envelope: Envelope =
            ciborium::from_reader(body).map_err(|_| DatagramError::Malformed)?;
        let is_other_process = envelope.process.is_some_and(|addressee| addressee != process);
        if envelope.to != self.node || is_other_process {
            return Err(DatagramError::OtherReceiver);
        }
        let sender = &envelope.message.sender;
        if sender.node == self.node {
            return Err(DatagramError::OtherReceiver);
        }
        let sender_process = sender.incarnation.process;
        match self.replay_guard.check(&sender.node, sender_process, envelope.sequence, now) {
            Ok(()) => Ok(envelope.message),
            Err(ReplayError::Repeated) => Err(DatagramError::Repeated),
            Err(ReplayError::OldProcess) => {
                Err(DatagramError::OldProcess(Box::new(envelope.message.sender)))
            }
        }
    }

    fn authenticate<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        if bytes.len() <= BODY_START {
            return Err(DatagramError::Short(bytes.len()));
        }
        if bytes[0] != DATAGRAM_VERSION {
            return Err(DatagramError::Version(bytes[0]));
        }
        if bytes[1..TAG_START] != self.cluster {
            return Err(DatagramError::OtherCluster);
        }
        let (header, body) = (&bytes[..TAG_START], &bytes[BODY_START..]);
        let tag = &bytes[TAG_START..BODY_START];
        let is_authentic =
            self.keys.accepted().iter().any(|key| key.verify(&[PURPOSE, header, body], tag));
        if is_authentic { Ok(body) } else { Err(DatagramError::Tag) }
    }
}

/// The first bytes of the SHA-256 hash of a cluster's name.
fn cluster_hash(cluster: &str) -> [u8; CLUSTER_BYTES] {
    let hash = Sha256::digest(cluster.as_bytes());
    [hash[0], hash[1], hash[2], hash[3]]
}
