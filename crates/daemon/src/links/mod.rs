//! Connections to other nodes, which carry statements and answers.
//!
//! A shard keeps at most one connection that it uses for sending to a node: the first one opened
//! by either side. A connection that breaks loses what was under way; fronts notice by sequence
//! numbers and deadlines, never by trust in the transport.

use std::collections::HashMap;
use std::net::TcpStream;

use kestrellock_core::ids::NodeName;
use kestrellock_peer::frame;
use kestrellock_peer::message::{Hello, PROTOCOL_VERSION, PeerMessage};
use slab::Slab;

use crate::context::Identity;
use crate::net::connect::connect_from;
use crate::net::connection::{Connection, ReadOutcome};
use crate::shard::{Io, Part, token};

#[derive(Debug)]
struct Link {
    connection: Connection,
    peer: Option<NodeName>,
}

/// The links of one shard.
#[derive(Debug)]
pub struct Links {
    identity: Identity,
    links: Slab<Link>,
    by_node: HashMap<NodeName, usize>,
    unflushed: Vec<usize>,
    lost: Vec<NodeName>,
}

impl Links {
    /// No links yet.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            links: Slab::new(),
            by_node: HashMap::new(),
            unflushed: Vec::new(),
            lost: Vec::new(),
        }
    }

    /// Takes over a connection that another node opened.
    pub fn accept(&mut self, stream: TcpStream, io: &mut Io) {
        if stream.set_nonblocking(true).is_ok() {
            self.add(mio::net::TcpStream::from_std(stream), None, false, io);
        }
    }

    /// Queues a message; gives it back if there is no way to send it.
    pub fn send(
        &mut self,
        node: &NodeName,
        message: PeerMessage,
        io: &mut Io,
    ) -> Option<PeerMessage> {
        let known = self.by_node.get(node).copied();
        let Some(key) = known.or_else(|| self.connect(node, io)) else { return Some(message) };
        let link = &mut self.links[key];
        if frame::encode(&message, &mut link.connection.output).is_err() {
            return Some(message);
        }
        self.unflushed.push(key);
        None
    }

    /// Queues a message on every link.
    pub fn broadcast(&mut self, message: &PeerMessage) {
        for (key, link) in &mut self.links {
            if frame::encode(message, &mut link.connection.output).is_ok() {
                self.unflushed.push(key);
            }
        }
    }

    /// Sends what has been queued.
    pub fn flush(&mut self, io: &mut Io) {
        for key in std::mem::take(&mut self.unflushed) {
            let Some(link) = self.links.get_mut(key) else { continue };
            if link.connection.flush(io.registry).is_err() {
                self.close(key, io);
            }
        }
    }

    /// Nodes whose connection closed since the last call: what was under way with them is lost.
    pub fn take_lost(&mut self) -> Vec<NodeName> {
        std::mem::take(&mut self.lost)
    }

    /// Handles readiness of a link; returns the messages that arrived.
    pub fn on_ready(&mut self, key: usize, io: &mut Io) -> Vec<PeerMessage> {
        let Some(link) = self.links.get_mut(key) else { return Vec::new() };
        let outcome = link.connection.fill();
        let flushed = link.connection.flush(io.registry);
        let mut received = Vec::new();
        let mut healthy = outcome == ReadOutcome::Drained && flushed.is_ok();
        loop {
            match frame::decode::<PeerMessage>(&mut link.connection.input) {
                Ok(Some(message)) => received.push(message),
                Ok(None) => break,
                Err(error) => {
                    log::warn!("link closed: {error}");
                    healthy = false;
                    break;
                }
            }
        }
        for message in &received {
            if let PeerMessage::Hello(hello) = message {
                healthy &= self.introduce(key, hello);
            }
        }
        if !healthy {
            self.close(key, io);
        }
        received
    }

    fn introduce(&mut self, key: usize, hello: &Hello) -> bool {
        if hello.version != PROTOCOL_VERSION {
            log::warn!("link from {} closed: protocol version {}", hello.node, hello.version);
            return false;
        }
        self.links[key].peer = Some(hello.node.clone());
        self.by_node.entry(hello.node.clone()).or_insert(key);
        true
    }

    fn connect(&mut self, node: &NodeName, io: &mut Io) -> Option<usize> {
        let address = io.context.peer_address(node)?;
        let stream = connect_from(io.context.identity.address, address).ok()?;
        let key = self.add(stream, Some(node.clone()), true, io)?;
        self.by_node.insert(node.clone(), key);
        Some(key)
    }

    fn add(
        &mut self,
        stream: mio::net::TcpStream,
        peer: Option<NodeName>,
        connecting: bool,
        io: &mut Io,
    ) -> Option<usize> {
        let entry = self.links.vacant_entry();
        let key = entry.key();
        let mut connection =
            Connection::register(stream, token(Part::Link, key), io.registry, connecting).ok()?;
        let hello = PeerMessage::Hello(Hello {
            version: PROTOCOL_VERSION,
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
        });
        frame::encode(&hello, &mut connection.output).ok()?;
        entry.insert(Link { connection, peer });
        self.unflushed.push(key);
        Some(key)
    }

    fn close(&mut self, key: usize, io: &mut Io) {
        let Some(mut link) = self.links.try_remove(key) else { return };
        link.connection.deregister(io.registry);
        self.lost.extend(link.peer.take());
        self.by_node.retain(|_, used| *used != key);
    }
}
