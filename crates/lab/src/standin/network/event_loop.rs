//! Event loop of a network: a single thread that handles ready sockets and delayed deliveries.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Registry, Token};
use rand::SeedableRng;
use rand::rngs::StdRng;
use slab::Slab;

use super::datagrams::{DatagramRelay, Session};
use super::links::{Links, ZoneNumber};
use super::streams::StreamRelay;

/// Token of the waker.
pub const WAKE_TOKEN: Token = Token(0);
const FIRST_ENDPOINT_TOKEN: usize = 1;
const EVENT_CAPACITY: usize = 1024;
/// Longest wait without events. It is short, so that the loop notices when it gets no processor
/// time.
const IDLE_POLL_TIMEOUT: Duration = Duration::from_millis(20);
/// Pauses of the network of at least this length are logged. It is a fraction of the time after
/// which a node suspects a silent peer.
const LOGGED_PAUSE_THRESHOLD: Duration = Duration::from_millis(100);
/// The poll timeout has a resolution of one millisecond; the loop sleeps instead for shorter waits.
const MIN_POLL_TIMEOUT: Duration = Duration::from_millis(2);
/// Longest sleep before a delivery that is almost due, so that new events are handled in time.
const MAX_SLEEP: Duration = Duration::from_micros(60);

/// A relay to add.
pub enum NewRelay {
    /// A TCP relay.
    Tcp {
        /// Zone of the target.
        zone: ZoneNumber,
        /// Listener of the relay.
        listener: TcpListener,
        /// Address of the target.
        target: SocketAddr,
    },
    /// Datagrams.
    Udp {
        /// Zone of the target.
        zone: ZoneNumber,
        /// Socket of the relay.
        socket: UdpSocket,
        /// Address of the target.
        target: SocketAddr,
    },
}

/// The socket that a token identifies, and its role.
#[derive(Debug)]
pub enum Endpoint {
    /// Listener of a TCP relay.
    Listener {
        /// Zone of the target.
        zone: ZoneNumber,
        /// The listening socket.
        listener: TcpListener,
        /// Address of the target.
        target: SocketAddr,
    },
    /// Client side of a stream; the value is the key of the stream relay.
    Client(usize),
    /// Target side of a stream; the value is the key of the stream relay.
    Target(usize),
    /// Socket of a UDP relay; the value is the key of the relay.
    Datagrams(usize),
    /// Socket from which a UDP relay sends one sender's datagrams to the target.
    Session(Session),
}

/// State that all relays use.
pub struct Shared {
    /// State of the links.
    pub links: Arc<Links>,
    /// Registry for socket readiness.
    pub registry: Registry,
    /// The socket of each token.
    pub endpoints: Slab<Endpoint>,
    /// Relays with pending deliveries, ordered by due time.
    pub due: BinaryHeap<Reverse<Due>>,
    /// Random number generator for datagram losses.
    pub random: StdRng,
}

/// A time at which a relay has something to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Due {
    /// When it is due.
    pub at: Instant,
    /// The relay.
    pub relay: RelayKey,
}

/// Key of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayKey {
    /// A stream relay.
    Stream(usize),
    /// A UDP relay.
    Datagrams(usize),
}

impl Shared {
    /// Token of the endpoint with this key.
    pub fn token(key: usize) -> Token {
        Token(key + FIRST_ENDPOINT_TOKEN)
    }
}

/// The event loop of a network.
pub struct EventLoop {
    poll: Poll,
    new_relays: Receiver<NewRelay>,
    shared: Shared,
    streams: Slab<StreamRelay>,
    datagrams: Slab<DatagramRelay>,
}

impl EventLoop {
    /// Creates a loop without relays.
    pub fn new(poll: Poll, new_relays: Receiver<NewRelay>, links: Arc<Links>, seed: u64) -> Self {
        let registry = poll.registry().try_clone().expect("failed to clone the poll registry");
        let shared = Shared {
            links,
            registry,
            endpoints: Slab::new(),
            due: BinaryHeap::new(),
            random: StdRng::seed_from_u64(seed),
        };
        Self { poll, new_relays, shared, streams: Slab::new(), datagrams: Slab::new() }
    }

    /// Runs until the network is dropped.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        let mut last_iteration = Instant::now();
        while !self.shared.links.is_stopping() {
            let wait = self.wait_time();
            if self.poll.poll(&mut events, Some(wait)).is_err() {
                continue;
            }
            for event in &events {
                match event.token() {
                    WAKE_TOKEN => self.on_wake(),
                    token => self.on_ready(token.0 - FIRST_ENDPOINT_TOKEN),
                }
            }
            self.deliver_due();
            if events.is_empty() && wait.is_zero() {
                self.sleep_until_due();
            }
            let now = Instant::now();
            self.record_pause(now.saturating_duration_since(last_iteration).saturating_sub(wait));
            last_iteration = now;
        }
    }

    /// Records time beyond the requested wait, in which the thread got no processor time, and logs
    /// long pauses.
    fn record_pause(&self, pause: Duration) {
        self.shared.links.record_pause(pause);
        if pause >= LOGGED_PAUSE_THRESHOLD {
            let paused_ms = pause.as_millis() as u64;
            log::warn!(event = "network_paused", paused_ms = paused_ms; "the network thread got no processor time");
        }
    }

    fn wait_time(&self) -> Duration {
        let Some(Reverse(next)) = self.shared.due.peek() else { return IDLE_POLL_TIMEOUT };
        let remaining = next.at.saturating_duration_since(Instant::now());
        match remaining.checked_sub(MIN_POLL_TIMEOUT) {
            Some(rest) => Duration::from_millis(rest.as_millis() as u64).min(IDLE_POLL_TIMEOUT),
            None => Duration::ZERO,
        }
    }

    fn sleep_until_due(&self) {
        let Some(Reverse(next)) = self.shared.due.peek() else { return };
        let remaining = next.at.saturating_duration_since(Instant::now());
        if remaining > MAX_SLEEP {
            thread::sleep(MAX_SLEEP);
        }
    }

    fn deliver_due(&mut self) {
        let now = Instant::now();
        while let Some(Reverse(next)) = self.shared.due.peek().copied() {
            if next.at > now {
                return;
            }
            self.shared.due.pop();
            self.advance(next.relay);
        }
    }

    /// Lets a relay make progress, and removes it once it is closed.
    fn advance(&mut self, relay: RelayKey) {
        match relay {
            RelayKey::Stream(key) => {
                let Some(stream) = self.streams.get_mut(key) else { return };
                if stream.advance(key, &mut self.shared) {
                    let stream = self.streams.remove(key);
                    stream.close(&mut self.shared);
                }
            }
            RelayKey::Datagrams(key) => {
                if let Some(relay) = self.datagrams.get_mut(key) {
                    relay.deliver(&mut self.shared);
                }
            }
        }
    }

    /// Adds new relays, and lets all streams make progress in case a link has healed.
    fn on_wake(&mut self) {
        while let Ok(relay) = self.new_relays.try_recv() {
            self.add(relay);
        }
        let keys: Vec<usize> = self.streams.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.advance(RelayKey::Stream(key));
        }
    }

    fn add(&mut self, relay: NewRelay) {
        let entry = self.shared.endpoints.vacant_entry();
        let token = Shared::token(entry.key());
        let registry = &self.shared.registry;
        match relay {
            NewRelay::Tcp { zone, mut listener, target } => {
                registry
                    .register(&mut listener, token, Interest::READABLE)
                    .expect("failed to register a listener");
                entry.insert(Endpoint::Listener { zone, listener, target });
            }
            NewRelay::Udp { zone, mut socket, target } => {
                registry
                    .register(&mut socket, token, Interest::READABLE)
                    .expect("failed to register a socket");
                let relay = self.datagrams.insert(DatagramRelay::new(zone, socket, target));
                entry.insert(Endpoint::Datagrams(relay));
            }
        }
    }

    fn on_ready(&mut self, key: usize) {
        match self.shared.endpoints.get(key) {
            Some(Endpoint::Listener { .. }) => self.accept(key),
            Some(Endpoint::Client(relay) | Endpoint::Target(relay)) => {
                let relay = *relay;
                self.advance(RelayKey::Stream(relay));
            }
            Some(Endpoint::Datagrams(relay)) => {
                let relay = *relay;
                self.datagrams[relay].receive(relay, &mut self.shared);
            }
            Some(Endpoint::Session(session)) => {
                let relay = session.relay;
                self.datagrams[relay].receive_replies(relay, key, &mut self.shared);
            }
            None => {}
        }
    }

    fn accept(&mut self, key: usize) {
        loop {
            let Some(Endpoint::Listener { zone, listener, target }) =
                self.shared.endpoints.get(key)
            else {
                return;
            };
            let Ok((client, peer)) = listener.accept() else { return };
            let (zone, target) = (*zone, *target);
            let from = self.shared.links.zone_or(peer.ip(), zone);
            let relay = self.streams.vacant_key();
            let stream =
                StreamRelay::new(relay, client, peer.ip(), from, zone, target, &mut self.shared);
            self.streams.insert(stream);
            self.advance(RelayKey::Stream(relay));
        }
    }
}
