//! Connections to other nodes, which carry statements and answers.
//!
//! A shard sends to a node on one connection: the one opened or accepted first. When two nodes
//! connect to each other at the same time, the connection opened by the node with the lesser name
//! stays. That node does not authenticate on the other connection, so no message was sent on it. If
//! both connections are established nevertheless, both ends keep the same one ([`duplicates`]).
//!
//! When a connection breaks, the exchanges in progress on it are lost and the front is notified
//! immediately. Messages that were never sent are returned as unsent, so that they can be retried.
//!
//! A connection on which a node is silent ([`heartbeat`]) is retired and a new one opened. If the
//! new one is established, the node runs and only the connection was dead. Both ends then read what
//! has arrived on the old connection, ignore everything that arrives later, and send each other
//! their leases ([`PeerMessage::Reconnected`]). The exchanges in progress are resolved by what has
//! actually arrived.

pub mod duplicates;
mod ending;
pub mod heartbeat;
pub mod link;
mod replacing;

use std::collections::{HashMap, HashSet};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_peer::auth::ClusterKeys;
use kestrellock_peer::channel::{Hello, Side};
use kestrellock_peer::message::{HIGHEST_PROTOCOL_VERSION, PROTOCOL_VERSION, PeerMessage};
use slab::Slab;

use crate::context::NodeContext;
use crate::event::{EventSource, Io, token};
use crate::metrics::{ConnectionEvent, MessageEvent};
use crate::net::connect::connect_from;
use crate::net::connection::{Connection, ReadOutcome};
use crate::shared::live::LiveNode;

use self::duplicates::LinkId;
use self::link::{Link, LinkStage};
use self::replacing::SealReason;

/// Time within which a connection must be established.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long messages wait for the connection that the other node opened at the same time.
const CROSSING_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without messages in either direction after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Messages that wait for a connection that the other node is opening, because this node's own
/// connection yielded to it.
#[derive(Debug)]
struct Crossing {
    messages: Vec<PeerMessage>,
    until: Instant,
}

/// The link that messages came from.
#[derive(Clone, Debug)]
pub struct Origin {
    /// The node at the other end of the link.
    pub node: NodeName,
    /// When the link was opened.
    pub opened: Instant,
}

fn origin_of(link: &Link) -> Option<Origin> {
    Some(Origin { node: link.node()?.clone(), opened: link.opened() })
}

/// A connection that was replaced by another one to the same process.
#[derive(Debug)]
pub struct LinkReplacement {
    /// The old connection.
    pub old: Origin,
    /// Messages that had arrived on the old connection.
    pub received: Vec<PeerMessage>,
}

/// The links of one shard.
#[derive(Debug)]
pub struct Links {
    hello: Hello,
    keys: ClusterKeys,
    links: Slab<Link>,
    /// The link on which messages for a node are sent.
    by_node: HashMap<NodeName, usize>,
    crossings: HashMap<NodeName, Crossing>,
    /// Links with queued messages.
    unflushed: Vec<usize>,
    lost: Vec<NodeName>,
    unsent: Vec<PeerMessage>,
    silent: Vec<NodeName>,
    replacements: Vec<LinkReplacement>,
    live: Arc<Vec<LiveNode>>,
    next_check: Instant,
    next_report: Instant,
}

impl Links {
    /// Creates the shard's state without links.
    pub fn new(context: &NodeContext, shard: u16) -> Self {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            cluster: context.cluster.clone(),
            node: context.identity.node.clone(),
            incarnation: context.identity.incarnation,
            shard,
            shards: context.shards,
            nonce: [0; 16],
            replaces: None,
            highest_version: Some(HIGHEST_PROTOCOL_VERSION),
        };
        Self {
            hello,
            keys: context.cluster_keys.clone(),
            links: Slab::new(),
            by_node: HashMap::new(),
            crossings: HashMap::new(),
            unflushed: Vec::new(),
            lost: Vec::new(),
            unsent: Vec::new(),
            silent: Vec::new(),
            replacements: Vec::new(),
            live: Arc::default(),
            next_check: Instant::now(),
            next_report: Instant::now(),
        }
    }

    /// The origin of messages that arrive on a link.
    pub fn origin(&self, key: usize) -> Option<Origin> {
        origin_of(self.links.get(key)?)
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.links.len()
    }

    /// Accepts a connection that another node opened.
    pub fn accept(&mut self, stream: TcpStream, io: &mut Io) {
        if stream.set_nonblocking(true).is_ok() {
            self.add(mio::net::TcpStream::from_std(stream), None, io);
        }
    }

    /// Queues a message, connecting to the node if necessary. Returns the message if it cannot be
    /// sent, for example because the node does not speak the version that the message requires. A
    /// message that turns out so only after the handshake is returned by [`Links::take_unsent`].
    pub fn send(
        &mut self,
        node: &NodeName,
        message: PeerMessage,
        io: &mut Io,
    ) -> Option<PeerMessage> {
        if let Some(crossing) = self.crossings.get_mut(node) {
            crossing.messages.push(message);
            return None;
        }
        let known = self.by_node.get(node).copied();
        let Some(key) = known.or_else(|| self.connect(node, io)) else { return Some(message) };
        self.unflushed.push(key);
        let refused = self.links[key].send(message, io.now).err();
        let event = if refused.is_none() { MessageEvent::Sent } else { MessageEvent::Refused };
        io.context.metrics.messages.count(event);
        refused.map(|message| *message)
    }

    /// Queues a message on every established link in use.
    pub fn broadcast(&mut self, message: &PeerMessage, now: Instant) {
        let in_use = |link: &Link| link.is_established() && link.stage() == LinkStage::InUse;
        for (key, link) in self.links.iter_mut().filter(|(_, link)| in_use(link)) {
            // A link whose queue is full misses the message; it is closed when this node stops.
            let _ = link.send(message.clone(), now);
            self.unflushed.push(key);
        }
    }

    /// Sends the queued messages.
    pub fn flush(&mut self, io: &mut Io) {
        for key in std::mem::take(&mut self.unflushed) {
            let Some(link) = self.links.get_mut(key) else { continue };
            if link.flush(io.registry).is_err() {
                self.close(key, io);
            }
        }
    }

    /// Nodes whose connection closed since the last call: exchanges in progress with them are lost.
    pub fn take_lost(&mut self) -> Vec<NodeName> {
        std::mem::take(&mut self.lost)
    }

    /// Nodes that were found silent since the last call.
    pub fn take_silent(&mut self) -> Vec<NodeName> {
        std::mem::take(&mut self.silent)
    }

    /// Connections that were replaced since the last call.
    pub fn take_link_replacements(&mut self) -> Vec<LinkReplacement> {
        std::mem::take(&mut self.replacements)
    }

    /// Messages accepted by [`Links::send`] that were never sent.
    pub fn take_unsent(&mut self) -> Vec<PeerMessage> {
        std::mem::take(&mut self.unsent)
    }

    /// Handles readiness of a link; returns the messages that arrived.
    pub fn on_ready(&mut self, key: usize, io: &mut Io) -> Vec<PeerMessage> {
        let Some(link) = self.links.get_mut(key) else { return Vec::new() };
        let outcome = link.fill();
        if matches!(link.stage(), LinkStage::Replaced { .. }) {
            link.discard_input();
            if outcome.is_closed() {
                self.remove(key, io);
            }
            return Vec::new();
        }
        let received = link.advance(io.now);
        let metrics = &io.context.metrics;
        metrics.messages.add(MessageEvent::Received, received.messages.len() as u64);
        if let Some(error) = &received.violation {
            link::log_closed(error, io);
            metrics.messages.count(MessageEvent::Refused);
        }
        if received.introduced && self.yields_to_own_link(key) {
            // This node has not authenticated yet, so the other side has sent nothing that could be
            // lost.
            self.links.remove(key).deregister(io.registry);
            return Vec::new();
        }
        if received.established && !self.establish(key, io) {
            self.close(key, io);
            return Vec::new();
        }
        let broken = received.broken || outcome == ReadOutcome::Closed;
        let flushed = self.links[key].flush(io.registry).is_ok();
        if broken || !flushed {
            self.close(key, io);
        }
        received.messages
    }

    /// Whether a link that another node opens must yield to the one that this node is opening to
    /// it. Only between single-shard nodes are both links certain to connect the same two shards.
    fn yields_to_own_link(&self, key: usize) -> bool {
        let link = &self.links[key];
        let Some(peer) = link.peer().filter(|_| link.side() == Side::Acceptor) else {
            return false;
        };
        let own = self.by_node.get(&peer.node).map(|own| &self.links[*own]);
        let opening = own.is_some_and(|own| own.side() == Side::Opener && !own.is_established());
        opening && peer.shards == 1 && self.hello.shards == 1 && self.hello.node < peer.node
    }

    /// Starts using a link whose other side has authenticated. Returns false if the link must be
    /// closed.
    fn establish(&mut self, key: usize, io: &mut Io) -> bool {
        let link = &self.links[key];
        let Some(peer) = link.peer().cloned().filter(|_| link.is_as_expected()) else {
            return false;
        };
        io.context.metrics.link_connections.count(ConnectionEvent::Opened);
        if let Some(version) = link.version() {
            io.context.peer_versions.record(&peer.node, version);
        }
        if let Some(&other) = self.by_node.get(&peer.node)
            && other != key
        {
            self.replace(other, key, &peer, io);
        }
        if matches!(self.links[key].stage(), LinkStage::Replaced { .. }) {
            return true;
        }
        self.seal_retired_links(&peer, io);
        self.by_node.entry(peer.node.clone()).or_insert(key);
        let crossing = self.crossings.remove(&peer.node);
        let link = &mut self.links[key];
        let mut waiting = crossing.map(|crossing| crossing.messages).unwrap_or_default();
        waiting.extend(link.take_waiting());
        for message in waiting {
            if let Err(message) = link.send(message, io.now) {
                self.unsent.push(*message);
            }
        }
        self.unflushed.push(key);
        true
    }

    /// Handles a new link to a node that is established while `other` is in use.
    fn replace(&mut self, other: usize, key: usize, peer: &Hello, io: &mut Io) {
        let old = &mut self.links[other];
        if !old.is_established() {
            let waiting = old.take_waiting();
            self.links[key].queue_waiting(waiting);
            self.close(other, io);
            return;
        }
        let restarted = old.peer().is_some_and(|known| known.incarnation != peer.incarnation);
        let both_single_shard = peer.shards == 1 && self.hello.shards == 1;
        // A node opens a second link to the same shard only if it cannot use the first.
        match (restarted, both_single_shard) {
            (true, _) => self.close(other, io),
            (false, true) => self.resolve_duplicate_links(other, key, peer, io),
            (false, false) => {}
        }
    }

    /// Keeps one of two established connections to the same process and seals the other one. Both
    /// ends keep the same one.
    fn resolve_duplicate_links(&mut self, older: usize, newer: usize, peer: &Hello, io: &mut Io) {
        let own = &self.hello.node;
        let infos = (self.links[newer].info(own), self.links[older].info(own));
        let (Some(newer_info), Some(older_info)) = infos else { return };
        let resolution = newer_info.resolve_duplicate(&older_info, HANDSHAKE_TIMEOUT);
        let reason = match resolution.replaces_silent() {
            true => SealReason::Silent,
            false => SealReason::Duplicate,
        };
        if resolution.keeps_newer() {
            return self.seal(older, peer, reason, io);
        }
        let waiting = self.links[newer].take_waiting();
        self.seal(newer, peer, reason, io);
        for message in waiting {
            if let Err(message) = self.links[older].send(message, io.now) {
                self.unsent.push(*message);
            }
        }
        self.unflushed.push(older);
    }

    fn connect(&mut self, node: &NodeName, io: &mut Io) -> Option<usize> {
        let address = io.context.peer_address(node)?;
        let stream = connect_from(io.context.identity.address, address, None).ok()?;
        let replaces = self.retired_link(node);
        let key = self.add(stream, Some((node.clone(), replaces)), io)?;
        self.by_node.insert(node.clone(), key);
        Some(key)
    }

    fn add(
        &mut self,
        stream: mio::net::TcpStream,
        target: Option<(NodeName, Option<LinkId>)>,
        io: &mut Io,
    ) -> Option<usize> {
        let (target, replaces) = target.unzip();
        let entry = self.links.vacant_entry();
        let key = entry.key();
        let (token, connecting) = (token(EventSource::Link, key), target.is_some());
        let connection = Connection::register(stream, token, io.registry, connecting).ok()?;
        let replaces = replaces.flatten();
        let hello = Hello { nonce: rand::random(), replaces, ..self.hello.clone() };
        let link = Link::begin(connection, hello, self.keys.clone(), target, io.now).ok()?;
        entry.insert(link);
        self.unflushed.push(key);
        Some(key)
    }

    /// Checks heartbeats, and closes links that are idle, were not established in time, or lead to
    /// nodes that are no longer live.
    pub fn on_tick(&mut self, io: &mut Io) {
        self.check_heartbeats(io);
        if io.now < self.next_check {
            return;
        }
        self.next_check = io.now + CHECK_INTERVAL;
        for key in self.due_for_closing(io.now) {
            self.close(key, io);
        }
        self.close_links_to_dead_nodes(io);
        self.check_retired_links(io);
        self.expire_crossings(io.now);
        self.remove_expired_replaced(io);
    }

    fn due_for_closing(&self, now: Instant) -> Vec<usize> {
        let due = |link: &Link| match link.is_established() {
            true => now.duration_since(link.last_used()) > IDLE_TIMEOUT,
            false => now.duration_since(link.opened()) > HANDSHAKE_TIMEOUT,
        };
        self.links.iter().filter(|(_, link)| due(link)).map(|(key, _)| key).collect()
    }

    fn close_links_to_dead_nodes(&mut self, io: &mut Io) {
        let live = io.context.live.load();
        if Arc::ptr_eq(&live, &self.live) {
            return;
        }
        let live_now: HashSet<&NodeName> = live.iter().map(|peer| &peer.candidate.node).collect();
        let were_live: HashSet<&NodeName> =
            self.live.iter().map(|peer| &peer.candidate.node).collect();
        let gone: HashSet<&NodeName> = were_live.difference(&live_now).copied().collect();
        gone.iter().for_each(|node| io.context.peer_versions.forget(node));
        let gone = |link: &Link| link.node().is_some_and(|node| gone.contains(node));
        let dead: Vec<usize> =
            self.links.iter().filter(|(_, link)| gone(link)).map(|(key, _)| key).collect();
        self.live = live.clone();
        for key in dead {
            self.close(key, io);
        }
    }

    /// Returns messages as unsent whose awaited connection was not established in time.
    fn expire_crossings(&mut self, now: Instant) {
        let unsent = &mut self.unsent;
        self.crossings.retain(|_, crossing| {
            let is_pending = now < crossing.until;
            if !is_pending {
                unsent.append(&mut crossing.messages);
            }
            is_pending
        });
    }

    /// Closes a link. Exchanges in progress on it are lost; messages that waited for it to be
    /// established were never sent.
    fn close(&mut self, key: usize, io: &mut Io) {
        if self
            .links
            .get(key)
            .is_some_and(|link| matches!(link.stage(), LinkStage::Replaced { .. }))
        {
            return self.remove(key, io);
        }
        let Some(mut link) = self.links.try_remove(key) else { return };
        link.deregister(io.registry);
        self.by_node.retain(|_, used| *used != key);
        let Some(node) = link.node().cloned() else { return };
        let idle = io.now.duration_since(link.last_used()) > IDLE_TIMEOUT / 2;
        if link.is_established() {
            io.context.metrics.link_connections.count(ConnectionEvent::Closed);
            if !idle {
                self.lost.push(node);
            }
            return;
        }
        let messages = link.take_waiting();
        let crossed = link.peer().is_some() && node < self.hello.node;
        if crossed && !messages.is_empty() {
            let until = io.now + CROSSING_TIMEOUT;
            self.crossings.insert(node, Crossing { messages, until });
        } else {
            io.context.metrics.link_connections.count(ConnectionEvent::Refused);
            self.unsent.extend(messages);
        }
    }
}
