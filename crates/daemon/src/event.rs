//! What a handler of events is given, and what it may ask for: below the handlers (front, gateway,
//! links), which know nothing of the shard that hosts them.

use std::collections::VecDeque;
use std::time::Instant;

use kestrellock_core::cancel::CancelKey;
use kestrellock_core::ids::NodeName;
use kestrellock_peer::message::{ToFront, ToGateway};
use mio::{Registry, Token};

use crate::context::NodeContext;

/// Which part of a shard a connection belongs to; the low bits of its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The shard's mailbox.
    Mailbox,
    /// A caller.
    Client,
    /// A back end.
    Server,
    /// Another node.
    Link,
}

const PART_BITS: usize = 2;

/// The token of connection `key` of `part`.
pub fn token(part: EventSource, key: usize) -> Token {
    Token(key << PART_BITS | part as usize)
}

/// Part and key of a token.
pub fn event_source(token: Token) -> (EventSource, usize) {
    let part = match token.0 & ((1 << PART_BITS) - 1) {
        0 => EventSource::Mailbox,
        1 => EventSource::Client,
        2 => EventSource::Server,
        _ => EventSource::Link,
    };
    (part, token.0 >> PART_BITS)
}

/// A message that a part of the shard wants delivered.
#[derive(Debug)]
pub enum Outgoing {
    /// To the gateway of a group on a node.
    Gateway {
        /// Node that owns the instance.
        node: NodeName,
        /// The message.
        message: ToGateway,
    },
    /// To a front; `shard` is `None` for news that concerns the whole node.
    Front {
        /// Node of the front.
        node: NodeName,
        /// Its shard.
        shard: Option<u16>,
        /// The message.
        message: ToFront,
    },
    /// To the session with this key, wherever it is.
    Cancel(CancelKey),
}

/// What a part of the shard works with while it handles an event.
pub struct Io<'a> {
    /// Event registrations.
    pub registry: &'a Registry,
    /// Time at which the event was taken up.
    pub now: Instant,
    /// Messages to deliver after the event.
    pub outbox: &'a mut VecDeque<Outgoing>,
    /// The node's shared state.
    pub context: &'a NodeContext,
    /// Number of this shard.
    pub shard: u16,
}
