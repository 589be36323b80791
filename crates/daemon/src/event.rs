//! Interface between a shard and its event handlers (front, gateway, links): the input of a handler
//! and the messages that it may send. The handlers depend on this module and not on the shard that
//! hosts them.

use std::collections::VecDeque;
use std::time::Instant;

use kestrellock_core::cancel::CancelKey;
use kestrellock_core::ids::NodeName;
use kestrellock_peer::message::{ToFront, ToGateway};
use mio::{Registry, Token};

use crate::context::NodeContext;

/// What an event comes from. Stored in the low bits of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The shard's mailbox.
    Mailbox,
    /// A client connection.
    Client,
    /// A connection to an instance.
    Server,
    /// A link to another node.
    Link,
}

const SOURCE_BITS: usize = 2;

/// The token of connection `key` of the kind `source`.
pub fn token(source: EventSource, key: usize) -> Token {
    Token(key << SOURCE_BITS | source as usize)
}

/// Source and connection key of a token.
pub fn event_source(token: Token) -> (EventSource, usize) {
    let source = match token.0 & ((1 << SOURCE_BITS) - 1) {
        0 => EventSource::Mailbox,
        1 => EventSource::Client,
        2 => EventSource::Server,
        _ => EventSource::Link,
    };
    (source, token.0 >> SOURCE_BITS)
}

/// A message that the shard delivers for an event handler.
#[derive(Debug)]
pub enum Outgoing {
    /// To the gateway of a group on a node.
    Gateway {
        /// Node that owns the instance.
        node: NodeName,
        /// The message.
        message: ToGateway,
    },
    /// To a front; `shard` is `None` for a message to all shards of the node.
    Front {
        /// Node of the front.
        node: NodeName,
        /// Its shard.
        shard: Option<u16>,
        /// The message.
        message: ToFront,
    },
    /// To the session with this key, on whichever node it is.
    Cancel(CancelKey),
}

/// Context of an event handler while it handles one event.
pub struct Io<'a> {
    /// Event registrations.
    pub registry: &'a Registry,
    /// Time at which the shard started to handle the event.
    pub now: Instant,
    /// Messages to deliver after the event.
    pub outbox: &'a mut VecDeque<Outgoing>,
    /// The node's shared state.
    pub context: &'a NodeContext,
    /// Number of this shard.
    pub shard: u16,
}
