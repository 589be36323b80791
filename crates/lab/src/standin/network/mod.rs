//! Simulated network between zones: TCP and UDP relays on loopback with delay, loss and partitions.
//!
//! Zone k owns 127.(10+k).0.0/16. A relay derives a client's zone from its source address. It
//! connects to its target from the same address, so that the target can derive the zone too. A cut
//! link drops datagrams and holds back streams: no connection is reset, and bytes in flight are
//! delivered when the link heals.

mod datagrams;
mod event_loop;
pub mod links;
mod streams;

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, unbounded};
use kestrellock_core::ids::ZoneName;
use mio::{Poll, Waker};

use self::event_loop::{EventLoop, NewRelay, WAKE_TOKEN};
use self::links::{LineDirection, Links, Silence, SilencedDirection, ZoneNumber};

/// Second octet of the first zone's addresses.
const FIRST_ZONE_OCTET: usize = 10;
/// Host number on which the relays of a zone listen.
const RELAY_HOST_NUMBER: u16 = 1;
/// Maximum attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 50;

/// Zones on loopback and the links between them.
#[derive(Debug)]
pub struct Network {
    zones: Vec<ZoneName>,
    links: Arc<Links>,
    relays: Sender<NewRelay>,
    waker: Arc<Waker>,
    event_loop: Option<JoinHandle<()>>,
}

impl Network {
    /// Creates a network whose links have no delay, no loss and no cuts. Losses are drawn
    /// reproducibly from `seed`.
    pub fn new(zones: &[ZoneName], seed: u64) -> io::Result<Arc<Self>> {
        let links = Arc::new(Links::new(zones.len()));
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE_TOKEN)?);
        let (relays, new_relays) = unbounded();
        let event_loop = EventLoop::new(poll, new_relays, links.clone(), seed);
        let event_loop =
            thread::Builder::new().name("network".into()).spawn(move || event_loop.run())?;
        Ok(Arc::new(Self {
            zones: zones.to_vec(),
            links,
            relays,
            waker,
            event_loop: Some(event_loop),
        }))
    }

    /// Names of the zones.
    pub fn zones(&self) -> &[ZoneName] {
        &self.zones
    }

    fn number(&self, zone: &ZoneName) -> ZoneNumber {
        let found = self.zones.iter().position(|known| known == zone);
        ZoneNumber(found.unwrap_or_else(|| panic!("unknown zone {zone}")))
    }

    /// The address of a host in a zone. Host numbers start at 2; lower ones belong to the relays.
    pub fn address(&self, zone: &ZoneName, host: u16) -> Ipv4Addr {
        let octet = (FIRST_ZONE_OCTET + self.number(zone).0) as u8;
        let [high, low] = host.to_be_bytes();
        Ipv4Addr::new(127, octet, high, low)
    }

    /// The zone that owns an address, if there is one.
    pub fn zone_of(&self, address: IpAddr) -> Option<ZoneName> {
        let number = links::zone_of(address, self.zones.len())?;
        Some(self.zones[number.0].clone())
    }

    /// Makes a TCP address reachable from other zones. Returns the address of the relay.
    pub fn expose_tcp(&self, zone: &ZoneName, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.address(zone, RELAY_HOST_NUMBER), 0))?;
        let address = listener.local_addr()?;
        self.add_listener(zone, listener, target)?;
        Ok(address)
    }

    /// Makes a UDP address reachable from other zones. Returns the address of the relay.
    pub fn expose_udp(&self, zone: &ZoneName, target: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind((self.address(zone, RELAY_HOST_NUMBER), 0))?;
        let address = socket.local_addr()?;
        self.add_socket(zone, socket, target)?;
        Ok(address)
    }

    /// Makes an address reachable from other zones over both TCP and UDP. Returns the address of
    /// the relay, which uses the same port for both.
    pub fn expose(&self, zone: &ZoneName, target: SocketAddr) -> io::Result<SocketAddr> {
        let host = self.address(zone, RELAY_HOST_NUMBER);
        for _ in 0..MAX_PORT_ATTEMPTS {
            let listener = TcpListener::bind((host, 0))?;
            let address = listener.local_addr()?;
            if let Ok(socket) = UdpSocket::bind(address) {
                self.add_listener(zone, listener, target)?;
                self.add_socket(zone, socket, target)?;
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn add_listener(
        &self,
        zone: &ZoneName,
        listener: TcpListener,
        target: SocketAddr,
    ) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = mio::net::TcpListener::from_std(listener);
        self.add(NewRelay::Tcp { zone: self.number(zone), listener, target })
    }

    fn add_socket(&self, zone: &ZoneName, socket: UdpSocket, target: SocketAddr) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        let socket = mio::net::UdpSocket::from_std(socket);
        self.add(NewRelay::Udp { zone: self.number(zone), socket, target })
    }

    fn add(&self, relay: NewRelay) -> io::Result<()> {
        self.relays.send(relay).map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        self.waker.wake()
    }

    /// Notifies the event loop of changed links.
    fn links_changed(&self) {
        self.waker.wake().expect("failed to wake the event loop of the network");
    }

    /// Sets the one-way delay from one zone to another.
    pub fn set_delay(&self, from: &ZoneName, to: &ZoneName, delay: Duration) {
        self.links.change(self.number(from), self.number(to), |link| link.delay = delay);
        self.links_changed();
    }

    /// Sets the one-way delay between all zones, in both directions.
    pub fn set_delay_everywhere(&self, delay: Duration) {
        for from in &self.zones {
            for to in self.zones.iter().filter(|to| *to != from) {
                self.set_delay(from, to, delay);
            }
        }
    }

    /// Sets the fraction of datagrams that are lost from one zone to another.
    pub fn set_loss(&self, from: &ZoneName, to: &ZoneName, loss: f64) {
        self.links.change(self.number(from), self.number(to), |link| link.loss = loss);
        self.links_changed();
    }

    /// Limits the total bandwidth of all streams to the exposed targets of a zone, separately for
    /// each direction, in bytes per second.
    pub fn limit_streams(&self, zone: &ZoneName, rate: f64) {
        for to_target in [true, false] {
            self.links.set_rate(LineDirection { zone: self.number(zone), to_target }, rate);
        }
    }

    /// Number of bytes that streams have carried to and from the exposed targets of a zone.
    pub fn stream_bytes(&self, zone: &ZoneName) -> u64 {
        let directions =
            [true, false].map(|to_target| LineDirection { zone: self.number(zone), to_target });
        directions.into_iter().map(|direction| self.links.bytes(direction)).sum()
    }

    /// Cuts the link from one zone to another, but not the opposite direction.
    pub fn cut_one_way(&self, from: &ZoneName, to: &ZoneName) {
        self.set_cut(from, to, true);
    }

    /// Cuts the link between two zones in both directions.
    pub fn cut(&self, first: &ZoneName, second: &ZoneName) {
        self.set_cut(first, second, true);
        self.set_cut(second, first, true);
    }

    /// Heals the link between two zones in both directions.
    pub fn heal(&self, first: &ZoneName, second: &ZoneName) {
        self.set_cut(first, second, false);
        self.set_cut(second, first, false);
    }

    /// Cuts the links between a zone and all others.
    pub fn cut_zone(&self, zone: &ZoneName) {
        self.zones.iter().filter(|other| *other != zone).for_each(|other| self.cut(zone, other));
    }

    /// Heals the links between a zone and all others.
    pub fn heal_zone(&self, zone: &ZoneName) {
        self.zones.iter().filter(|other| *other != zone).for_each(|other| self.heal(zone, other));
    }

    /// Silences the open connections to exposed targets in `zone` permanently: their bytes are
    /// discarded without a reset. New connections work.
    pub fn silence_open_connections(&self, zone: &ZoneName, direction: SilencedDirection) {
        let opened_before = Instant::now();
        self.links.silence(Silence { zone: self.number(zone), direction, opened_before });
    }

    /// The longest time for which the network has carried nothing because its thread got no
    /// processor time. A node that suspects another one during such a pause is not at fault.
    pub fn longest_pause(&self) -> Duration {
        self.links.longest_pause()
    }

    fn set_cut(&self, from: &ZoneName, to: &ZoneName, cut: bool) {
        self.links.change(self.number(from), self.number(to), |link| link.cut = cut);
        self.links_changed();
    }

    /// One-way delay from one zone to another, or `None` if this direction is cut.
    pub fn delay(&self, from: &ZoneName, to: &ZoneName) -> Option<Duration> {
        let link = self.links.get(self.number(from), self.number(to));
        (!link.cut).then_some(link.delay)
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.links.stop();
        // If the loop cannot be woken, it still ends at its next timeout.
        let _ = self.waker.wake();
        if let Some(event_loop) = self.event_loop.take() {
            // The panic hook has already reported a panic of this thread.
            let _ = event_loop.join();
        }
    }
}
