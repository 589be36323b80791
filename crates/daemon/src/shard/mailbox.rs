//! Messages between the threads of one node. Each shard has a channel and a waker for its event
//! loop.

use std::io;
use std::net::TcpStream;

use crossbeam::channel::{Receiver, Sender, unbounded};
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::ids::NodeName;
use kestrellock_peer::message::{PeerMessage, ToFront, ToGateway};
use mio::{Poll, Waker};

use crate::event::{EventSource, token};

/// A message that a shard receives from another thread.
#[derive(Debug)]
pub enum ShardMessage {
    /// A client connected.
    Client(TcpStream),
    /// Another node connected.
    Peer(TcpStream),
    /// A client asked to cancel the running request of the session with this key.
    Cancel(CancelKey),
    /// A message for the shard's gateway.
    ToGateway(ToGateway),
    /// A message for another node, to be sent over this shard's link to it.
    ToPeer {
        /// The node.
        node: NodeName,
        /// The message.
        message: PeerMessage,
    },
    /// A message for the shard's front.
    ToFront(ToFront),
    /// The node is closed: end the work of fronts that is left.
    EndWork,
    /// The node has drained: send leave messages to the other nodes.
    Leave,
    /// The process is about to end: end the links to the other nodes.
    EndLinks,
    /// Another shard's link to this node closed.
    PeerLost(NodeName),
}

/// The receiving side of one shard's mailbox.
pub struct Mailbox {
    /// Poller of the shard's event loop, which the waker wakes.
    pub poll: Poll,
    /// Messages sent to the shard.
    pub messages: Receiver<ShardMessage>,
}

/// The sending sides of all mailboxes, by shard number.
#[derive(Debug)]
pub struct Mailboxes {
    shards: Vec<(Sender<ShardMessage>, Waker)>,
}

impl Mailboxes {
    /// Creates the mailboxes of `count` shards and returns their receiving sides in order.
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

    /// Whether the shards have received everything that was sent to them.
    pub fn are_empty(&self) -> bool {
        self.shards.iter().all(|(sender, _)| sender.is_empty())
    }

    /// Sends a message to a shard and wakes it. The message is dropped if the shard has ended,
    /// which it only does when the node stops.
    pub fn send(&self, shard: u16, message: ShardMessage) {
        let Some((sender, waker)) = self.shards.get(usize::from(shard)) else { return };
        if sender.send(message).is_ok() {
            // A failed wake delays the message until the next tick.
            let _ = waker.wake();
        }
    }
}
