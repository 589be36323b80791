//! Messages between the threads of one node: a channel and a waker for each shard.

use std::io;
use std::net::TcpStream;

use crossbeam::channel::{Receiver, Sender, unbounded};
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::ids::NodeName;
use kestrellock_peer::message::{PeerMessage, ToFront, ToGateway};
use mio::{Poll, Waker};

use crate::event::{EventSource, token};

/// What a shard receives from other threads.
#[derive(Debug)]
pub enum ShardMessage {
    /// A caller connected.
    Caller(TcpStream),
    /// Another node connected.
    Peer(TcpStream),
    /// A caller asked to cancel what the session with this key runs.
    Cancel(CancelKey),
    /// For the shard's gateway.
    ToGateway(ToGateway),
    /// For another node, over this shard's connection to it.
    ToPeer {
        /// The node.
        node: NodeName,
        /// The message.
        message: PeerMessage,
    },
    /// For the shard's front.
    ToFront(ToFront),
    /// The node has drained: take leave of the other nodes.
    Goodbye,
    /// A connection to this node closed on another shard.
    PeerLost(NodeName),
}

/// The receiving side of one shard's mailbox.
pub struct Mailbox {
    /// Event loop the waker belongs to.
    pub poll: Poll,
    /// Messages.
    pub messages: Receiver<ShardMessage>,
}

/// The sending sides, by shard number.
#[derive(Debug)]
pub struct Mailboxes {
    shards: Vec<(Sender<ShardMessage>, Waker)>,
}

impl Mailboxes {
    /// Mailboxes for `count` shards, and their receiving sides in order.
    pub fn new(count: u16) -> io::Result<(Self, Vec<Mailbox>)> {
        let mut shards = Vec::new();
        let mut receivers = Vec::new();
        for _ in 0..count {
            let poll = Poll::new()?;
            let waker = Waker::new(poll.registry(), token(EventSource::Mailbox, 0))?;
            let (sender, messages) = unbounded();
            shards.push((sender, waker));
            receivers.push(Mailbox { poll, messages });
        }
        Ok((Self { shards }, receivers))
    }

    /// Number of shards.
    pub fn count(&self) -> usize {
        self.shards.len()
    }

    /// Whether the shards have taken out everything that was sent to them.
    pub fn are_empty(&self) -> bool {
        self.shards.iter().all(|(sender, _)| sender.is_empty())
    }

    /// Sends to a shard and wakes it. A shard that is gone drops the message: its node stops.
    pub fn send(&self, shard: u16, message: ShardMessage) {
        let Some((sender, waker)) = self.shards.get(usize::from(shard)) else { return };
        if sender.send(message).is_ok() {
            // A failed wake delays the message until the next tick.
            let _ = waker.wake();
        }
    }
}
