//! Queue of configuration messages from peers, from the shards to the agent.

use crossbeam::channel::{Receiver, Sender, bounded};
use kestrellock_core::ids::NodeName;
use kestrellock_peer::message::ConfigurationMessage;

/// Most messages that are queued. Further ones are dropped, and their senders retry.
const CAPACITY: usize = 1024;

/// A message and its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Sender.
    pub from: NodeName,
    /// Shard whose connection it arrived on; an answer uses the same one.
    pub shard: u16,
    /// The message.
    pub message: ConfigurationMessage,
}

/// A bounded queue.
#[derive(Debug)]
pub struct Inbox {
    sender: Sender<Received>,
    /// The agent's side.
    pub receiver: Receiver<Received>,
}

impl Default for Inbox {
    fn default() -> Self {
        let (sender, receiver) = bounded(CAPACITY);
        Self { sender, receiver }
    }
}

impl Inbox {
    /// Passes a message to the agent, unless the queue is full.
    pub fn deliver(&self, received: Received) {
        // A message that is dropped here has the same effect as one lost in the network.
        let _ = self.sender.try_send(received);
    }
}
