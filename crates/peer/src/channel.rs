//! An authenticated stream between two nodes.
//!
//! Both sides introduce themselves with a nonce, then prove that they hold a cluster key by a tag
//! over both introductions. Each direction gets its own key, derived from the same bytes, and
//! every later frame carries a tag over its number and body: nothing can be changed, left out,
//! repeated, reflected or moved to another connection.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use kestrellock_core::ids::NodeName;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::auth::{ClusterKeys, Key, TAG_BYTES, Tag};
use crate::frame::{self, FrameError, LENGTH_BYTES, MAX_FRAME_BYTES};
use crate::message::PROTOCOL_VERSION;

/// Largest frame accepted before the other side has proved that it holds a key, in bytes.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
const PURPOSE: &[u8] = b"kestrellock stream";
const PROOF: &[u8] = b"proof";

/// First frame of both sides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u16,
    /// Cluster the sender belongs to.
    pub cluster: String,
    /// Sender.
    pub node: NodeName,
    /// Incarnation of the sender's process.
    pub incarnation: u64,
    /// Shard of the sender that holds the connection.
    pub shard: u16,
    /// Number of the sender's shards.
    pub shards: u16,
    /// Random bytes, so that no connection is like another.
    pub nonce: [u8; 16],
    /// Nonce of the opener of the connection that the sender, if it opens this one, has retired for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<[u8; 16]>,
}

/// Which side of a connection a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It opened the connection.
    Opener,
    /// It accepted it.
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

/// Why a stream cannot go on.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// A frame is malformed or too large.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The other side speaks another version.
    #[error("protocol version {0}, not {PROTOCOL_VERSION}")]
    Version(u16),
    /// The other side belongs to another cluster.
    #[error("member of another cluster")]
    OtherCluster,
    /// A tag does not fit.
    #[error("wrong tag")]
    Tag,
    /// Something was to be sent before the other side had proved itself.
    #[error("not established")]
    NotEstablished,
}

/// One direction after the handshake.
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
    /// Begins a stream: appends this side's introduction to `output`.
    pub fn begin(
        side: Side,
        own: Hello,
        keys: ClusterKeys,
        output: &mut BytesMut,
    ) -> Result<Self, ChannelError> {
        frame::encode(&own, output)?;
        Ok(Self { side, own, keys, peer: None, sending: None, state: State::AwaitsHello })
    }

    /// Which side this is.
    pub fn side(&self) -> Side {
        self.side
    }

    /// This side's introduction.
    pub fn own(&self) -> &Hello {
        &self.own
    }

    /// The other side, once it has introduced itself.
    pub fn peer(&self) -> Option<&Hello> {
        self.peer.as_ref()
    }

    /// Whether the other side has proved that it holds a key.
    pub fn is_established(&self) -> bool {
        matches!(self.state, State::Established { .. })
    }

    /// Takes the handshake as far as `input` allows; whether the stream is established after it.
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
        let transcript = self.transcript(&hello)?;
        let key = direction_key(self.keys.signing(), &transcript, self.side);
        frame::encode(&key.sign(&[PROOF]), output)?;
        self.sending = Some(Direction { key, frames: 0 });
        self.peer = Some(hello);
        self.state = State::AwaitsProof { transcript };
        Ok(())
    }

    /// Both introductions, the opener's first.
    fn transcript(&self, peer: &Hello) -> Result<Vec<u8>, ChannelError> {
        let (opener, acceptor) = match self.side {
            Side::Opener => (&self.own, peer),
            Side::Acceptor => (peer, &self.own),
        };
        let mut bytes = BytesMut::new();
        frame::encode(opener, &mut bytes)?;
        frame::encode(acceptor, &mut bytes)?;
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

    /// Appends one message to `output`.
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

    /// Takes one message off the head of `input`; `None` while it is incomplete.
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

/// The body of the frame at the head of `input`, taken off it; `None` while it is incomplete.
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
