//! A message of a newer protocol version must not reach a node of an older build, which cannot
//! decode it and would close the link together with the exchanges in progress on it.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

use bytes::BytesMut;
use kestrellock_core::ids::{AccountName, GroupName, NodeName};
use kestrellock_core::position::Term;
use kestrellock_daemon::links::link::Link;
use kestrellock_daemon::net::connection::Connection;
use kestrellock_peer::auth::ClusterKeys;
use kestrellock_peer::channel::{Channel, Hello, Side};
use kestrellock_peer::message::{
    GatewayCall, HIGHEST_PROTOCOL_VERSION, PROTOCOL_VERSION, PeerMessage,
    REPLACEMENT_QUERY_VERSION, ToGateway,
};
use mio::{Poll, Token};

fn keys() -> ClusterKeys {
    ClusterKeys::new([&b"a key that both nodes have"[..]]).expect("the key is valid")
}

fn hello(node: &str, highest_version: Option<u16>) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        cluster: "c".into(),
        node: NodeName::new(node),
        incarnation: 1,
        shard: 0,
        shards: 1,
        nonce: [1; 16],
        replaces: None,
        highest_version,
    }
}

fn new_message() -> PeerMessage {
    message_with(GatewayCall::CapacityDemand(Vec::new()))
}

fn message_with(call: GatewayCall) -> PeerMessage {
    let (from, group) = (NodeName::new("a"), GroupName::new("g"));
    PeerMessage::ToGateway(ToGateway { from, group, call })
}

/// A link of this build, and the node at its other end.
struct LinkToPeer {
    poll: Poll,
    link: Link,
    channel: Channel,
    stream: TcpStream,
    input: BytesMut,
}

impl LinkToPeer {
    fn open(peer_version: Option<u16>) -> Self {
        let poll = Poll::new().expect("a poll");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let own = TcpStream::connect(address).expect("the listener accepts");
        own.set_nonblocking(true).expect("non-blocking");
        let (stream, _) = listener.accept().expect("a connection");
        let own = mio::net::TcpStream::from_std(own);
        let connection =
            Connection::register(own, Token(0), poll.registry(), false).expect("registered");
        let target = Some(NodeName::new("b"));
        let own = hello("a", Some(HIGHEST_PROTOCOL_VERSION));
        let link = Link::begin(connection, own, keys(), target, Instant::now()).expect("a link");
        let mut output = BytesMut::new();
        let peer = hello("b", peer_version);
        let channel = Channel::begin(Side::Acceptor, peer, keys(), &mut output).expect("a channel");
        let mut pair = Self { poll, link, channel, stream, input: BytesMut::new() };
        pair.stream.write_all(&output).expect("sent");
        pair
    }

    /// Sends what the link has queued, and reads it at the other end.
    fn transfer(&mut self) {
        self.link.flush(self.poll.registry()).expect("sent");
        let mut buffer = [0; 4096];
        let length = self.stream.read(&mut buffer).expect("received");
        self.input.extend_from_slice(&buffer[..length]);
    }

    fn establish(&mut self) {
        while !self.link.is_established() {
            self.transfer();
            let mut output = BytesMut::new();
            self.channel.advance(&mut self.input, &mut output).expect("a valid handshake");
            self.stream.write_all(&output).expect("sent");
            let before = self.link.peer().is_some();
            while self.link.peer().is_some() == before && !self.link.is_established() {
                let _ = self.link.fill();
                self.link.advance(Instant::now());
            }
        }
        while !self.channel.is_established() {
            self.transfer();
            self.channel.advance(&mut self.input, &mut BytesMut::new()).expect("a valid handshake");
        }
    }

    /// The next message that arrives at the other end.
    fn receive(&mut self) -> PeerMessage {
        loop {
            let received = self.channel.receive(&mut self.input).expect("an authentic frame");
            if let Some(message) = received {
                return message;
            }
            self.transfer();
        }
    }
}

#[test]
fn a_new_message_is_refused_on_a_link_to_an_older_node() {
    let mut pair = LinkToPeer::open(None);
    pair.establish();
    assert_eq!(pair.link.version(), Some(PROTOCOL_VERSION));
    let refused = pair.link.send(new_message(), Instant::now());
    assert_eq!(refused.expect_err("refused"), Box::new(new_message()));
    pair.link.send(PeerMessage::Pong, Instant::now()).expect("an old message is sent");
    assert_eq!(pair.receive(), PeerMessage::Pong, "nothing was sent before it");
}

#[test]
fn a_new_message_is_sent_on_a_link_to_a_node_of_the_same_build() {
    let mut pair = LinkToPeer::open(Some(HIGHEST_PROTOCOL_VERSION));
    pair.establish();
    pair.link.send(new_message(), Instant::now()).expect("the node speaks the version");
    assert_eq!(pair.receive(), new_message());
}

/// The version is unknown until the handshake is complete, so a message that was queued before must
/// be checked again.
#[test]
fn a_new_message_that_waits_for_the_handshake_is_checked_afterwards() {
    let mut pair = LinkToPeer::open(None);
    pair.link.send(new_message(), Instant::now()).expect("queued until the version is known");
    pair.establish();
    let mut waiting = pair.link.take_waiting();
    assert_eq!(waiting.len(), 1);
    let message = waiting.remove(0);
    pair.link.send(message, Instant::now()).expect_err("refused after the handshake");
}

/// Guards against an older owner that closes the link, with the exchanges on it, because a client
/// logged in.
#[test]
fn a_request_for_a_connection_in_advance_is_refused_on_a_link_to_an_older_node() {
    let mut pair = LinkToPeer::open(None);
    pair.establish();
    let call = GatewayCall::Prewarm { account: AccountName::new("a"), at_primary: true };
    let refused = pair.link.send(message_with(call.clone()), Instant::now());
    assert_eq!(refused.expect_err("refused"), Box::new(message_with(call)));
}

/// Guards against an older node that closes the link, with the exchanges on it, because the store
/// does not answer another node.
#[test]
fn a_replacement_query_is_refused_on_a_link_to_an_older_node() {
    let query = || PeerMessage::ReplacementQuery {
        number: 1,
        groups: vec![(GroupName::new("g"), Term(1))],
        nodes_digest: 7,
    };
    let answer = || PeerMessage::ReplacementQueryAnswer { number: 1, unreplaced: Vec::new() };
    for (version, messages) in [
        (REPLACEMENT_QUERY_VERSION - 1, [query(), answer()]),
        (PROTOCOL_VERSION, [query(), answer()]),
    ] {
        let mut pair = LinkToPeer::open(Some(version));
        pair.establish();
        assert_eq!(pair.link.version(), Some(version));
        for message in messages {
            let refused = pair.link.send(message.clone(), Instant::now());
            assert_eq!(refused.expect_err("refused"), Box::new(message));
        }
    }
    let mut pair = LinkToPeer::open(Some(REPLACEMENT_QUERY_VERSION));
    pair.establish();
    for message in [query(), answer()] {
        pair.link.send(message.clone(), Instant::now()).expect("the node speaks the version");
        assert_eq!(pair.receive(), message);
    }
}
