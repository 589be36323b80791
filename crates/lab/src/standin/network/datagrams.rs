//! UDP relay to one target address.
//!
//! For each sender, the relay binds a socket on the sender's own IP address and forwards the
//! sender's datagrams to the target from there. Datagrams that the target sends to this socket are
//! forwarded to the sender.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, UdpSocket as StdUdpSocket};
use std::time::Instant;

use mio::Interest;
use mio::net::UdpSocket;
use rand::RngExt;

use super::event_loop::{Due, Endpoint, RelayKey, Shared};
use super::links::ZoneNumber;

const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// A socket from which the relay sends one sender's datagrams to the target.
#[derive(Debug)]
pub struct Session {
    /// Key of the relay.
    pub relay: usize,
    socket: UdpSocket,
    sender: SocketAddr,
}

/// Destination of a datagram in flight.
#[derive(Debug)]
enum Route {
    ToTarget { session: usize },
    ToSender { sender: SocketAddr },
}

#[derive(Debug)]
struct Datagram {
    route: Route,
    bytes: Vec<u8>,
}

/// Arrival time of a datagram. The number keeps datagrams with the same time in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at: Instant,
    number: u64,
}

/// A UDP relay to one target address.
#[derive(Debug)]
pub struct DatagramRelay {
    zone: ZoneNumber,
    socket: UdpSocket,
    target: SocketAddr,
    sessions: HashMap<SocketAddr, usize>,
    in_flight: BTreeMap<Arrival, Datagram>,
    next_number: u64,
}

impl DatagramRelay {
    /// Creates a relay from `socket` to `target`, which is in `zone`.
    pub fn new(zone: ZoneNumber, socket: UdpSocket, target: SocketAddr) -> Self {
        let (sessions, in_flight) = (HashMap::new(), BTreeMap::new());
        Self { zone, socket, target, sessions, in_flight, next_number: 0 }
    }

    /// Receives datagrams from senders.
    pub fn receive(&mut self, key: usize, shared: &mut Shared) {
        let mut buffer = vec![0_u8; MAX_DATAGRAM_BYTES];
        while let Ok((count, sender)) = self.socket.recv_from(&mut buffer) {
            let Some(session) = self.session(key, sender, shared) else { continue };
            let from = shared.links.zone_or(sender.ip(), self.zone);
            let datagram =
                Datagram { route: Route::ToTarget { session }, bytes: buffer[..count].to_vec() };
            self.send(key, from, self.zone, datagram, shared);
        }
        self.deliver(shared);
    }

    /// Receives the target's replies to one sender.
    pub fn receive_replies(&mut self, key: usize, session: usize, shared: &mut Shared) {
        let mut buffer = vec![0_u8; MAX_DATAGRAM_BYTES];
        loop {
            let Some(Endpoint::Session(session_socket)) = shared.endpoints.get(session) else {
                return;
            };
            let Ok(count) = session_socket.socket.recv(&mut buffer) else { break };
            let sender = session_socket.sender;
            let to = shared.links.zone_or(sender.ip(), self.zone);
            let datagram =
                Datagram { route: Route::ToSender { sender }, bytes: buffer[..count].to_vec() };
            self.send(key, self.zone, to, datagram, shared);
        }
        self.deliver(shared);
    }

    fn session(&mut self, relay: usize, sender: SocketAddr, shared: &mut Shared) -> Option<usize> {
        if let Some(known) = self.sessions.get(&sender) {
            return Some(*known);
        }
        let socket = StdUdpSocket::bind((sender.ip(), 0)).ok()?;
        socket.connect(self.target).ok()?;
        socket.set_nonblocking(true).ok()?;
        let mut socket = UdpSocket::from_std(socket);
        let entry = shared.endpoints.vacant_entry();
        let key = entry.key();
        shared.registry.register(&mut socket, Shared::token(key), Interest::READABLE).ok()?;
        entry.insert(Endpoint::Session(Session { relay, socket, sender }));
        self.sessions.insert(sender, key);
        Some(key)
    }

    fn send(
        &mut self,
        key: usize,
        from: ZoneNumber,
        to: ZoneNumber,
        datagram: Datagram,
        shared: &mut Shared,
    ) {
        let link = shared.links.get(from, to);
        if link.cut || (link.loss > 0.0 && shared.random.random::<f64>() < link.loss) {
            return;
        }
        let at = Instant::now() + link.delay;
        self.in_flight.insert(Arrival { at, number: self.next_number }, datagram);
        self.next_number += 1;
        if !link.delay.is_zero() {
            shared.due.push(Reverse(Due { at, relay: RelayKey::Datagrams(key) }));
        }
    }

    /// Forwards the datagrams whose delay has elapsed.
    pub fn deliver(&mut self, shared: &mut Shared) {
        let now = Instant::now();
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().at > now {
                return;
            }
            let datagram = first.remove();
            // UDP may lose datagrams, so a send error is ignored.
            let _ = match datagram.route {
                Route::ToSender { sender } => self.socket.send_to(&datagram.bytes, sender),
                Route::ToTarget { session } => match shared.endpoints.get(session) {
                    Some(Endpoint::Session(session)) => session.socket.send(&datagram.bytes),
                    _ => continue,
                },
            };
        }
    }
}
