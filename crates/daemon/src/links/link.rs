//! One connection to another node: authentication, message framing, queued messages and heartbeat.
//! A message that the link cannot send is returned, so that the front can retry it elsewhere.

use std::time::Instant;

use kestrellock_core::ids::NodeName;
use kestrellock_core::quota::QuotaMessage;
use kestrellock_peer::channel::{Channel, ChannelError, Hello, Side};
use kestrellock_peer::message::{GatewayCall, PeerMessage, ToGateway};
use mio::Registry;

use super::duplicates::LinkInfo;
use super::heartbeat::{Heartbeat, HeartbeatAction};
use crate::event::Io;
use crate::metrics::LoggedEvent;
use crate::net::connection::{Connection, ReadOutcome};

/// Maximum bytes queued for a peer that reads slowly; further messages are rejected.
pub const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// A connection, its authenticated channel, and the messages that wait for it to be established.
#[derive(Debug)]
pub struct Link {
    connection: Connection,
    channel: Channel,
    target: Option<NodeName>,
    /// Messages to send once the link is established.
    waiting: Vec<PeerMessage>,
    opened: Instant,
    last_used: Instant,
    heartbeat: Heartbeat,
    stage: LinkStage,
    /// Whether the other node has said that its gateways run nothing more.
    has_peer_left: bool,
    /// Whether this node sends nothing more, because its process is about to end.
    has_ended: bool,
}

/// Stage of a link from use to removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStage {
    /// It carries messages both ways.
    InUse,
    /// The other node was silent on it: messages that still arrive count, and nothing more is sent.
    Retired,
    /// Another link has replaced it: messages that arrive on it are ignored.
    Replaced {
        /// When it was replaced.
        since: Instant,
    },
}

/// Whether the heartbeat waits for an answer after this message.
fn expects_answer(message: &PeerMessage) -> bool {
    let is_exchange = |call: &ToGateway| matches!(call.call, GatewayCall::Exchange(_));
    match message {
        PeerMessage::Ping => true,
        // These have no answer, so only the answer to a ping shows that they arrived.
        PeerMessage::EvidenceRevoked { .. }
        | PeerMessage::ReplacementInProgress { .. }
        | PeerMessage::ReplacementFinished { .. }
        | PeerMessage::PrimaryVotes { .. }
        | PeerMessage::PromotionCallQuery { .. }
        | PeerMessage::Configuration { .. } => true,
        PeerMessage::Quota(message) => {
            matches!(message, QuotaMessage::Ask { .. } | QuotaMessage::TakeOver { .. })
        }
        PeerMessage::ToGateway(call) => is_exchange(call),
        _ => false,
    }
}

/// Result of reading from a link.
#[derive(Debug, Default)]
pub struct Received {
    /// Messages, in order.
    pub messages: Vec<PeerMessage>,
    /// Whether the other side's hello arrived.
    pub introduced: bool,
    /// Whether the link became established.
    pub established: bool,
    /// Whether the link can no longer be used.
    pub broken: bool,
    /// How the other side violated the protocol, if it did.
    pub violation: Option<ChannelError>,
}

impl Received {
    fn close_on_error(&mut self, error: ChannelError) {
        self.broken = true;
        self.violation = Some(error);
    }
}

/// Counts and logs that a link cannot be used any more because the other side violated the protocol.
pub fn log_closed(error: &ChannelError, io: &Io) {
    io.context.metrics.events.count(LoggedEvent::LinkClosed);
    if io.context.event_log_limiters.closed_links.admits(io.now) {
        log::warn!(event = "link_closed"; "link closed: {error}");
    }
}

impl Link {
    /// Starts the handshake of a link to `target`, or of one that a still unknown node opened.
    pub fn begin(
        mut connection: Connection,
        own: Hello,
        keys: kestrellock_peer::auth::ClusterKeys,
        target: Option<NodeName>,
        now: Instant,
    ) -> Result<Self, ChannelError> {
        let side = if target.is_some() { Side::Opener } else { Side::Acceptor };
        let channel = Channel::begin(side, own, keys, &mut connection.output)?;
        let (opened, last_used, heartbeat) = (now, now, Heartbeat::default());
        let (waiting, stage) = (Vec::new(), LinkStage::InUse);
        let (has_peer_left, has_ended) = (false, false);
        Ok(Self {
            connection,
            channel,
            target,
            waiting,
            opened,
            last_used,
            heartbeat,
            stage,
            has_peer_left,
            has_ended,
        })
    }

    /// Which side of the connection this node is.
    pub fn side(&self) -> Side {
        self.channel.side()
    }

    /// Hello of the other side, if it has arrived. Authenticated only once the link is established.
    pub fn peer(&self) -> Option<&Hello> {
        self.channel.peer()
    }

    /// The authenticated node on the other side, or the node that this link was opened for.
    pub fn node(&self) -> Option<&NodeName> {
        let authenticated = self.channel.peer().filter(|_| self.channel.is_established());
        authenticated.map(|peer| &peer.node).or(self.target.as_ref())
    }

    /// Whether both sides have authenticated.
    pub fn is_established(&self) -> bool {
        self.channel.is_established()
    }

    /// Whether the other side is the node this link was opened for.
    pub fn is_as_expected(&self) -> bool {
        match (&self.target, self.channel.peer()) {
            (Some(target), Some(peer)) => *target == peer.node,
            _ => true,
        }
    }

    /// What both ends know about the link, once the opener's hello is known; `own` is this node.
    pub fn info(&self, own: &NodeName) -> Option<LinkInfo> {
        let opens = self.side() == Side::Opener;
        let hello = if opens { self.channel.own() } else { self.peer()? };
        let opener = if opens { own.clone() } else { hello.node.clone() };
        let (id, replaces) = (hello.nonce, hello.replaces);
        Some(LinkInfo { id, opener, replaces, opened_at: self.opened })
    }

    /// Stage of the link from use to removal.
    pub fn stage(&self) -> LinkStage {
        self.stage
    }

    /// Moves the link to a later stage.
    pub fn set_stage(&mut self, stage: LinkStage) {
        self.stage = stage;
    }

    /// When the connection was opened or accepted.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// When a message was last sent or received.
    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// The protocol version of the link, once it is established.
    pub fn version(&self) -> Option<u16> {
        self.channel.version()
    }

    /// Queues a message. Returns the message if the link's version is too low for it, too much is
    /// queued, it cannot be encoded, the other node's gateways have left, or this node has ended the
    /// link.
    pub fn send(&mut self, message: PeerMessage, now: Instant) -> Result<(), Box<PeerMessage>> {
        let Some(version) = self.channel.version() else {
            self.waiting.push(message);
            return Ok(());
        };
        if message.required_version() > version {
            return Err(Box::new(message));
        }
        let is_for_gateway = matches!(message, PeerMessage::ToGateway(_));
        if self.has_ended || self.has_peer_left && is_for_gateway {
            return Err(Box::new(message));
        }
        if self.connection.output.len() > MAX_QUEUED_BYTES {
            return Err(Box::new(message));
        }
        self.last_used = now;
        if expects_answer(&message) {
            self.heartbeat.on_sent(now);
        }
        self.channel.send(&message, &mut self.connection.output).map_err(|error| {
            log::warn!("cannot encode a message to another node: {error}");
            Box::new(message)
        })
    }

    /// The heartbeat action that is due, if the link is established and in use.
    pub fn on_tick(&mut self, now: Instant) -> HeartbeatAction {
        match self.is_established() && self.stage == LinkStage::InUse {
            true => self.heartbeat.on_tick(now),
            false => HeartbeatAction::Nothing,
        }
    }

    /// Logs how long a silent node has been unresponsive and how often this node polled meanwhile.
    pub fn log_silence(&self, now: Instant) {
        let poll_stats = self.heartbeat.poll_stats();
        let peer = self.node().map(NodeName::as_str).unwrap_or_default();
        let unanswered_ms = self.heartbeat.unanswered_for(now).as_millis() as u64;
        let longest_step_ms = poll_stats.longest_gap.as_millis() as u64;
        log::info!(event = "link_unheard", peer = peer, unanswered_ms = unanswered_ms, looks = poll_stats.polls, longest_step_ms = longest_step_ms; "nothing has arrived from a node on a connection");
    }

    /// Pings the other node unless an answer is outstanding already. Returns whether there is
    /// something to flush.
    pub fn ping_if_quiet(&mut self, now: Instant) -> bool {
        let is_ping_sent = !self.is_established() || self.heartbeat.is_awaiting_answer();
        // A link whose queue is full has traffic of its own and needs no ping.
        !is_ping_sent && self.stage == LinkStage::InUse && self.send(PeerMessage::Ping, now).is_ok()
    }

    /// Queues messages that waited for another link.
    pub fn queue_waiting(&mut self, messages: Vec<PeerMessage>) {
        self.waiting.extend(messages);
    }

    /// Takes the messages that wait for the link to be established.
    pub fn take_waiting(&mut self) -> Vec<PeerMessage> {
        std::mem::take(&mut self.waiting)
    }

    /// Reads the available data into the input buffer without processing it.
    pub fn fill(&mut self) -> ReadOutcome {
        let before = self.connection.input.len();
        let outcome = self.connection.fill();
        // A part of a message also shows that the node runs: on a slow network a long message takes
        // longer to arrive than the heartbeat waits.
        if self.connection.input.len() > before {
            self.heartbeat.on_received();
        }
        outcome
    }

    /// Discards the buffered input.
    pub fn discard_input(&mut self) {
        self.connection.input.clear();
    }

    /// Advances the handshake with the buffered input, then decodes messages from it.
    pub fn advance(&mut self, now: Instant) -> Received {
        let mut received = Received::default();
        if !self.channel.is_established() {
            let was_introduced = self.channel.peer().is_some();
            let Connection { input, output, .. } = &mut self.connection;
            match self.channel.advance(input, output) {
                Ok(established) => received.established = established,
                Err(error) => received.close_on_error(error),
            }
            received.introduced = !was_introduced && self.channel.peer().is_some();
        }
        while self.channel.is_established() && !received.broken {
            match self.channel.receive(&mut self.connection.input) {
                Ok(Some(message)) => received.messages.push(message),
                Ok(None) => break,
                Err(error) => received.close_on_error(error),
            }
        }
        if !received.messages.is_empty() {
            self.last_used = now;
        }
        received
    }

    /// Sends as much as the kernel takes.
    pub fn flush(&mut self, registry: &Registry) -> std::io::Result<()> {
        self.connection.flush(registry)?;
        self.connection.release_buffers();
        Ok(())
    }

    /// Records that the other node's gateways run nothing more.
    pub fn on_peer_left(&mut self) {
        self.has_peer_left = true;
    }

    /// Whether the kernel has taken everything that was queued.
    pub fn is_flushed(&self) -> bool {
        self.connection.output.is_empty()
    }

    /// Ends the stream to the other node, so that it reads all that was sent and closes the link.
    pub fn end(&mut self) {
        self.has_ended = true;
        self.connection.shut_down_sending();
    }

    /// Takes the link out of the event loop.
    pub fn deregister(&mut self, registry: &Registry) {
        self.connection.deregister(registry);
    }
}
