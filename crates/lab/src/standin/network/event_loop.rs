//! The one thread of a network: readiness of sockets, and deliveries that fall due.

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
/// Longest wait without events; short, so that a loop that gets no processor time is found out.
const IDLE_POLL_TIMEOUT: Duration = Duration::from_millis(20);
/// A pause of the network that the log tells: a fraction of what a node waits for a sign of life.
const LOGGED_PAUSE_THRESHOLD: Duration = Duration::from_millis(100);
/// Readiness waits count whole milliseconds; shorter ones are slept.
const MIN_POLL_TIMEOUT: Duration = Duration::from_millis(2);
/// Longest sleep while a delivery is near, so that new events are seen in time.
const MAX_SLEEP: Duration = Duration::from_micros(60);

/// A relay to be added.
pub enum NewRelay {
    /// Streams.
    Tcp {
        /// Zone of the target.
        zone: ZoneNumber,
        /// Where callers come in.
        listener: TcpListener,
        /// Where they are led to.
        target: SocketAddr,
    },
    /// Datagrams.
    Udp {
        /// Zone of the target.
        zone: ZoneNumber,
        /// Where they come in.
        socket: UdpSocket,
        /// Where they are led to.
        target: SocketAddr,
    },
}

/// What a token stands for.
#[derive(Debug)]
pub enum Endpoint {
    /// A listener of streams.
    Listener {
        /// Zone of the target.
        zone: ZoneNumber,
        /// The socket.
        listener: TcpListener,
        /// Where streams are led to.
        target: SocketAddr,
    },
    /// The caller's end of a stream; the value is the key of the relay.
    Client(usize),
    /// The target's end of a stream.
    Target(usize),
    /// A socket at which datagrams come in; the value is the key of the relay.
    Datagrams(usize),
    /// A socket that stands for one sender towards the target.
    Session(Session),
}

/// What every relay works with.
pub struct Shared {
    /// State of the links.
    pub links: Arc<Links>,
    /// Where sockets are registered.
    pub registry: Registry,
    /// Meaning of tokens.
    pub endpoints: Slab<Endpoint>,
    /// When something falls due, and for which part.
    pub due: BinaryHeap<Reverse<Due>>,
    /// Source of losses.
    pub random: StdRng,
}

/// Something that falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Due {
    /// When.
    pub at: Instant,
    /// Which relay it is for.
    pub relay: RelayKey,
}

/// A relay of either kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayKey {
    /// Of a stream.
    Stream(usize),
    /// Of datagrams.
    Datagrams(usize),
}

impl Shared {
    /// Token of a part.
    pub fn token(key: usize) -> Token {
        Token(key + FIRST_ENDPOINT_TOKEN)
    }
}

/// The event loop.
pub struct EventLoop {
    poll: Poll,
    new_relays: Receiver<NewRelay>,
    shared: Shared,
    streams: Slab<StreamRelay>,
    datagrams: Slab<DatagramRelay>,
}

impl EventLoop {
    /// A loop without relays.
    pub fn new(poll: Poll, new_relays: Receiver<NewRelay>, links: Arc<Links>, seed: u64) -> Self {
        let registry = poll.registry().try_clone().expect("the readiness queue cannot be shared");
        let shared = Shared {
            links,
            registry,
            endpoints: Slab::new(),
            due: BinaryHeap::new(),
            random: StdRng::seed_from_u64(seed),
        };
        Self { poll, new_relays, shared, streams: Slab::new(), datagrams: Slab::new() }
    }

    /// Works until the network is dropped.
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

    /// Notes time in which nothing was carried that might have been: the processor was not to be had.
    fn record_pause(&self, pause: Duration) {
        self.shared.links.record_pause(pause);
        if pause >= LOGGED_PAUSE_THRESHOLD {
            let paused_ms = pause.as_millis() as u64;
            log::warn!(event = "network_paused", paused_ms = paused_ms; "the network carried nothing");
        }
    }

    fn wait_time(&self) -> Duration {
        let Some(Reverse(next)) = self.shared.due.peek() else { return IDLE_POLL_TIMEOUT };
        let left = next.at.saturating_duration_since(Instant::now());
        match left.checked_sub(MIN_POLL_TIMEOUT) {
            Some(rest) => Duration::from_millis(rest.as_millis() as u64).min(IDLE_POLL_TIMEOUT),
            None => Duration::ZERO,
        }
    }

    fn sleep_until_due(&self) {
        let Some(Reverse(next)) = self.shared.due.peek() else { return };
        let left = next.at.saturating_duration_since(Instant::now());
        if left > MAX_SLEEP {
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

    /// Moves what a relay can move now, and forgets it if it is over.
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

    /// Takes new relays in, and moves what a healed link lets pass.
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
                    .expect("a listener cannot be registered");
                entry.insert(Endpoint::Listener { zone, listener, target });
            }
            NewRelay::Udp { zone, mut socket, target } => {
                registry
                    .register(&mut socket, token, Interest::READABLE)
                    .expect("a socket cannot be registered");
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
