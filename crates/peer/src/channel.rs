//! An authenticated stream between two nodes.
//!
//! Handshake: each side sends a [`Hello`] with a random nonce, then proves that it has a cluster
//! key by a tag over both hellos. Each direction has its own key, which is derived from the cluster
//! key and both hellos. Every later frame carries a tag over its number and body. An attacker can
//! therefore not change, drop, repeat or reflect frames, or move them to another connection,
//! without being detected.
//!
//! Versions: every hello carries [`PROTOCOL_VERSION`], because older nodes reject any other number.
//! A hello may also carry the highest version that its sender speaks; the connection uses the
//! highest common one. A node that does not know this field drops it and computes its tags without
//! it, so both sides leave it out unless both hellos carry it. An attacker could then remove it
//! from both hellos unnoticed and so force the older version. Therefore a node that sends the field
//! also marks its nonce, which every version authenticates: a marked nonce without the field is an
//! error.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use kestrellock_core::ids::NodeName;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::auth::{ClusterKeys, Key, TAG_BYTES, Tag};
use crate::frame::{self, FrameError, LENGTH_BYTES, MAX_FRAME_BYTES};
use crate::message::PROTOCOL_VERSION;

/// Maximum size of a frame before the peer has proved that it has a cluster key.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
const PURPOSE: &[u8] = b"kestrellock stream";
const PROOF: &[u8] = b"proof";
/// Length of a nonce.
const NONCE_BYTES: usize = 16;
/// Last bytes of the nonce of a node that sends [`Hello::highest_version`]. The nonce of an older
/// node ends with them by chance once in 2^32 connections; that connection is opened again.
const VERSIONED_NONCE_MARK: [u8; 4] = *b"vers";

/// First frame of both sides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender. Nodes of all versions send the same number.
    pub version: u16,
    /// Cluster of the sender.
    pub cluster: String,
    /// Node name of the sender.
    pub node: NodeName,
    /// Incarnation of the sender's process.
    pub incarnation: u64,
    /// Shard of the sender that owns the connection.
    pub shard: u16,
    /// Number of shards of the sender.
    pub shards: u16,
    /// Random bytes that make every connection unique, so that frames cannot be replayed on another
    /// one.
    pub nonce: [u8; NONCE_BYTES],
    /// The opener's nonce of the retired connection that this connection replaces. Only set by the
    /// opener of a connection that replaces another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<[u8; NONCE_BYTES]>,
    /// Highest version that the sender speaks; `None` if it speaks only [`PROTOCOL_VERSION`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub highest_version: Option<u16>,
}

impl Hello {
    /// The highest version that the senders of both hellos speak.
    fn common_version(&self, other: &Self) -> u16 {
        let highest = |hello: &Self| hello.highest_version.unwrap_or(PROTOCOL_VERSION);
        highest(self).min(highest(other)).max(PROTOCOL_VERSION)
    }

    /// Shows in the nonce that the hello carries the highest version.
    fn mark_nonce(&mut self) {
        self.nonce[NONCE_BYTES - VERSIONED_NONCE_MARK.len()..]
            .copy_from_slice(&VERSIONED_NONCE_MARK);
    }

    /// Whether the highest version was removed on the way.
    fn lacks_sent_version(&self) -> bool {
        self.highest_version.is_none() && self.nonce.ends_with(&VERSIONED_NONCE_MARK)
    }
}

/// Role of a node in the setup of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The node opened the connection.
    Opener,
    /// The node accepted the connection.
    Acceptor,
}

impl Side {
    fn other(self) -> Self {
        match self {
            Side::Opener => Side::Acceptor,
            Side::Acceptor => Side::Opener,
        }
    }

    fn label(self) -> &'static [u8] {
        match self {
            Side::Opener => b"opener",
            Side::Acceptor => b"acceptor",
        }
    }
}

/// Why a stream cannot continue.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// A frame is malformed or too large.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer uses another protocol version.
    #[error("peer has protocol version {0}, not {PROTOCOL_VERSION}")]
    Version(u16),
    /// The peer's hello lost its highest version on the way.
    #[error("the highest protocol version was removed from the peer's hello")]
    VersionRemoved,
    /// The peer belongs to another cluster.
    #[error("peer is a member of another cluster")]
    OtherCluster,
    /// An authentication tag is invalid.
    #[error("invalid authentication tag")]
    Tag,
    /// A message was to be sent or received before the handshake was complete.
    #[error("the handshake is not complete")]
    NotEstablished,
}

/// Key and frame counter of one direction after the handshake.
#[derive(Debug)]
struct Direction {
    key: Key,
    frames: u64,
}

#[derive(Debug)]
enum State {
    AwaitsHello,
    AwaitsProof { transcript: Vec<u8> },
    Established { receiving: Direction },
}

/// One side of an authenticated stream.
#[derive(Debug)]
pub struct Channel {
    side: Side,
    own: Hello,
    keys: ClusterKeys,
    peer: Option<Hello>,
    sending: Option<Direction>,
    state: State,
}

impl Channel {
    /// Starts the handshake: appends this side's hello to `output`. The last bytes of its nonce are
    /// overwritten if it carries a highest version.
    pub fn begin(
        side: Side,
        mut own: Hello,
        keys: ClusterKeys,
        output: &mut BytesMut,
    ) -> Result<Self, ChannelError> {
        if own.highest_version.is_some() {
            own.mark_nonce();
        }
        frame::encode(&own, output)?;
        Ok(Self { side, own, keys, peer: None, sending: None, state: State::AwaitsHello })
    }

    /// Role of this node.
    pub fn side(&self) -> Side {
        self.side
    }

    /// This node's hello.
    pub fn own(&self) -> &Hello {
        &self.own
    }

    /// The peer's hello, once it has been received.
    pub fn peer(&self) -> Option<&Hello> {
        self.peer.as_ref()
    }

    /// The version that both sides speak, once the stream is established.
    pub fn version(&self) -> Option<u16> {
        let peer = self.peer.as_ref().filter(|_| self.is_established())?;
        Some(self.own.common_version(peer))
    }

    /// Whether the peer has proved that it has a cluster key.
    pub fn is_established(&self) -> bool {
        matches!(self.state, State::Established { .. })
    }

    /// Continues the handshake as far as `input` allows. Returns whether the stream is established
    /// afterwards.
    pub fn advance(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
    ) -> Result<bool, ChannelError> {
        while !self.is_established() {
            let Some(body) = next_body(input, MAX_HANDSHAKE_BYTES)? else { return Ok(false) };
            match std::mem::replace(&mut self.state, State::AwaitsHello) {
                State::AwaitsHello => self.on_hello(&body, output)?,
                State::AwaitsProof { transcript } => self.on_proof(&body, &transcript)?,
                established @ State::Established { .. } => self.state = established,
            }
        }
        Ok(true)
    }

    fn on_hello(&mut self, body: &Bytes, output: &mut BytesMut) -> Result<(), ChannelError> {
        let hello: Hello = decode_body(body)?;
        if hello.version != PROTOCOL_VERSION {
            return Err(ChannelError::Version(hello.version));
        }
        if hello.cluster != self.own.cluster {
            return Err(ChannelError::OtherCluster);
        }
        if self.own.highest_version.is_some() && hello.lacks_sent_version() {
            return Err(ChannelError::VersionRemoved);
        }
        let transcript = self.transcript(&hello)?;
        let key = direction_key(self.keys.signing(), &transcript, self.side);
        frame::encode(&key.sign(&[PROOF]), output)?;
        self.sending = Some(Direction { key, frames: 0 });
        self.peer = Some(hello);
        self.state = State::AwaitsProof { transcript };
        Ok(())
    }

    /// Both encoded hellos, the opener's first; without highest versions if one side sent none.
    fn transcript(&self, peer: &Hello) -> Result<Vec<u8>, ChannelError> {
        let (mut own, mut peer) = (self.own.clone(), peer.clone());
        if own.highest_version.is_none() || peer.highest_version.is_none() {
            (own.highest_version, peer.highest_version) = (None, None);
        }
        let (opener, acceptor) = match self.side {
            Side::Opener => (own, peer),
            Side::Acceptor => (peer, own),
        };
        let mut bytes = BytesMut::new();
        frame::encode(&opener, &mut bytes)?;
        frame::encode(&acceptor, &mut bytes)?;
        Ok(bytes.to_vec())
    }

    fn on_proof(&mut self, body: &Bytes, transcript: &[u8]) -> Result<(), ChannelError> {
        let proof: Tag = decode_body(body)?;
        let from = self.side.other();
        let candidates = self.keys.accepted().iter();
        let key = candidates
            .map(|key| direction_key(key, transcript, from))
            .find(|key| key.verify(&[PROOF], &proof))
            .ok_or(ChannelError::Tag)?;
        self.state = State::Established { receiving: Direction { key, frames: 0 } };
        Ok(())
    }

    /// Appends a message to `output` as one frame.
    pub fn send<M: Serialize>(
        &mut self,
        message: &M,
        output: &mut BytesMut,
    ) -> Result<(), ChannelError> {
        if !self.is_established() {
            return Err(ChannelError::NotEstablished);
        }
        let Some(sending) = &mut self.sending else { return Err(ChannelError::NotEstablished) };
        let start = output.len();
        output.put_u32(0);
        output.put_bytes(0, TAG_BYTES);
        if let Err(error) = ciborium::into_writer(message, (&mut *output).writer()) {
            output.truncate(start);
            return Err(FrameError::Malformed(error.to_string()).into());
        }
        let length = output.len() - start - LENGTH_BYTES;
        if length > MAX_FRAME_BYTES {
            output.truncate(start);
            return Err(FrameError::TooLarge(length).into());
        }
        output[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
        let tag_start = start + LENGTH_BYTES;
        let body_start = tag_start + TAG_BYTES;
        let number = sending.frames.to_be_bytes();
        let tag = sending.key.sign(&[&number, &output[body_start..]]);
        output[tag_start..body_start].copy_from_slice(&tag);
        sending.frames += 1;
        Ok(())
    }

    /// Removes one message from the start of `input`; `None` while its frame is incomplete.
    pub fn receive<M: DeserializeOwned>(
        &mut self,
        input: &mut BytesMut,
    ) -> Result<Option<M>, ChannelError> {
        let State::Established { receiving } = &mut self.state else {
            return Err(ChannelError::NotEstablished);
        };
        let Some(mut body) = next_body(input, MAX_FRAME_BYTES)? else { return Ok(None) };
        if body.len() < TAG_BYTES {
            return Err(ChannelError::Tag);
        }
        let tag = body.split_to(TAG_BYTES);
        let number = receiving.frames.to_be_bytes();
        if !receiving.key.verify(&[&number, &body], &tag) {
            return Err(ChannelError::Tag);
        }
        receiving.frames += 1;
        decode_body(&body).map(Some)
    }
}

fn direction_key(key: &Key, transcript: &[u8], from: Side) -> Key {
    key.derive(&[PURPOSE, from.label(), transcript])
}

/// Removes one frame from the start of `input` and returns its body; `None` while it is incomplete.
fn next_body(input: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, FrameError> {
    let Some(head) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > limit {
        return Err(FrameError::TooLarge(length));
    }
    if input.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    Ok(Some(input.split_to(length).freeze()))
}

fn decode_body<M: DeserializeOwned>(body: &Bytes) -> Result<M, ChannelError> {
    ciborium::from_reader(body.as_ref())
        .map_err(|error| FrameError::Malformed(error.to_string()).into())
}
