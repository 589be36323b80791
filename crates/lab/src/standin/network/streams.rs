//! Relay of one TCP connection.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use kestrellock_net::source::SourceAddress;
use mio::Interest;
use mio::net::TcpStream;
use socket2::SockRef;

use super::event_loop::{Due, Endpoint, RelayKey, Shared};
use super::links::{LineDirection, ZoneNumber};

const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes in flight in one direction. The relay leaves further bytes unread, so
/// that the sender blocks.
const IN_FLIGHT_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of bytes in flight in one direction on a line with limited bandwidth. It is
/// small, like the window of a system with small buffers: each connection queues at most this much
/// at a saturated line, and the rest waits at its sender.
const RATE_LIMITED_IN_FLIGHT_BYTES: usize = 64 * 1024;

/// Data or end of stream in flight.
#[derive(Debug)]
enum Segment {
    Bytes {
        bytes: Vec<u8>,
        written: usize,
    },
    /// The sender has closed its half.
    End,
}

#[derive(Debug)]
struct InFlight {
    due: Instant,
    segment: Segment,
}

/// One direction of a connection.
#[derive(Debug)]
struct Direction {
    from: ZoneNumber,
    to: ZoneNumber,
    /// Zone of the connection's target.
    target: ZoneNumber,
    /// Whether this is the direction from the client to the target.
    to_target: bool,
    opened: Instant,
    in_flight: VecDeque<InFlight>,
    bytes: usize,
    /// The sender has closed its half.
    sender_closed: bool,
    /// The receiver has been notified of that.
    receiver_closed: bool,
}

/// An I/O error on one side, after which the relay resets the connection.
struct BrokenConnection;

impl Direction {
    /// Creates both directions of a connection that opens now.
    fn pair(from: ZoneNumber, to: ZoneNumber) -> (Self, Self) {
        let opened = Instant::now();
        let direction = |from, to, target, to_target| Self {
            from,
            to,
            target,
            to_target,
            opened,
            in_flight: VecDeque::new(),
            bytes: 0,
            sender_closed: false,
            receiver_closed: false,
        };
        (direction(from, to, to, true), direction(to, from, to, false))
    }

    /// Reads what the sender has sent, unless the link is cut.
    fn collect(
        &mut self,
        source: &mut TcpStream,
        key: usize,
        shared: &mut Shared,
    ) -> Result<(), BrokenConnection> {
        let link = shared.links.get(self.from, self.to);
        let is_silenced = shared.links.discards(self.target, self.to_target, self.opened);
        let line = LineDirection { zone: self.target, to_target: self.to_target };
        let limited = shared.links.is_limited(line);
        let window = if limited { RATE_LIMITED_IN_FLIGHT_BYTES } else { IN_FLIGHT_LIMIT_BYTES };
        let mut chunk = [0_u8; CHUNK_BYTES];
        while !link.cut && !self.sender_closed && self.bytes < window {
            let segment = match source.read(&mut chunk) {
                Ok(0) => {
                    self.sender_closed = true;
                    Segment::End
                }
                Ok(count) => {
                    self.bytes += count;
                    Segment::Bytes { bytes: chunk[..count].to_vec(), written: 0 }
                }
                Err(error) if is_not_ready(&error) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return Err(BrokenConnection),
            };
            if is_silenced {
                if let Segment::Bytes { bytes, .. } = segment {
                    self.bytes -= bytes.len();
                }
                continue;
            }
            let bytes = match &segment {
                Segment::Bytes { bytes, .. } => bytes.len(),
                Segment::End => 0,
            };
            let due = shared.links.transmit(line, bytes, Instant::now()) + link.delay;
            self.in_flight.push_back(InFlight { due, segment });
            if limited || !link.delay.is_zero() {
                shared.due.push(Reverse(Due { at: due, relay: RelayKey::Stream(key) }));
            }
        }
        Ok(())
    }

    /// Writes the data whose delay has elapsed to the receiver, unless the link is cut.
    fn deliver(&mut self, sink: &mut TcpStream, shared: &Shared) -> Result<(), BrokenConnection> {
        if shared.links.get(self.from, self.to).cut {
            return Ok(());
        }
        let now = Instant::now();
        while let Some(first) = self.in_flight.front_mut().filter(|first| first.due <= now) {
            match &mut first.segment {
                Segment::End => {
                    // The receiver may have closed the connection.
                    let _ = sink.shutdown(Shutdown::Write);
                    self.receiver_closed = true;
                    self.in_flight.pop_front();
                }
                Segment::Bytes { bytes, written } => match sink.write(&bytes[*written..]) {
                    Ok(count) => {
                        *written += count;
                        self.bytes -= count;
                        if *written == bytes.len() {
                            self.in_flight.pop_front();
                        }
                    }
                    Err(error) if is_not_ready(&error) => return Ok(()),
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    Err(_) => return Err(BrokenConnection),
                },
            }
        }
        Ok(())
    }
}

fn is_not_ready(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}

/// One side of a relayed connection.
#[derive(Debug)]
struct End {
    endpoint: usize,
    stream: TcpStream,
}

/// A relayed connection.
#[derive(Debug)]
pub struct StreamRelay {
    client: End,
    client_address: IpAddr,
    target_address: SocketAddr,
    /// `None` until the connection to the target is opened.
    target: Option<End>,
    to_target: Direction,
    from_target: Direction,
    /// When an error on one side reaches the other.
    broken_at: Option<Instant>,
    connects_at: Option<Instant>,
}

fn register(mut stream: TcpStream, endpoint: Endpoint, shared: &mut Shared) -> End {
    // Without the option, only latency suffers.
    let _ = stream.set_nodelay(true);
    let key = shared.endpoints.insert(endpoint);
    shared
        .registry
        .register(&mut stream, Shared::token(key), Interest::READABLE | Interest::WRITABLE)
        .expect("failed to register a connection");
    End { endpoint: key, stream }
}

fn connect(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let stream = SourceAddress::new(source).start_connecting(target, |_| Ok(()))?;
    Ok(TcpStream::from_std(stream))
}

impl StreamRelay {
    /// Creates a relay for a client connection that was just accepted.
    pub fn new(
        key: usize,
        client: TcpStream,
        client_address: IpAddr,
        from: ZoneNumber,
        to: ZoneNumber,
        target_address: SocketAddr,
        shared: &mut Shared,
    ) -> Self {
        let (to_target, from_target) = Direction::pair(from, to);
        Self {
            client: register(client, Endpoint::Client(key), shared),
            client_address,
            target_address,
            target: None,
            to_target,
            from_target,
            broken_at: None,
            connects_at: None,
        }
    }

    /// Moves data as far as possible in both directions. Returns true once the relay is to be
    /// closed.
    pub fn advance(&mut self, key: usize, shared: &mut Shared) -> bool {
        if let Some(at) = self.broken_at {
            return self.is_uncut(shared) && Instant::now() >= at;
        }
        if self.target.is_none() && !self.open(key, shared) {
            return false;
        }
        if self.transfer(key, shared).is_err() {
            return self.schedule_reset(key, shared);
        }
        self.to_target.receiver_closed && self.from_target.receiver_closed
    }

    fn is_uncut(&self, shared: &Shared) -> bool {
        let link = |direction: &Direction| shared.links.get(direction.from, direction.to);
        !link(&self.to_target).cut && !link(&self.from_target).cut
    }

    fn delay(&self, shared: &Shared) -> Duration {
        shared.links.get(self.to_target.from, self.to_target.to).delay
    }

    /// Connects to the target once the link permits it. Returns false until then.
    fn open(&mut self, key: usize, shared: &mut Shared) -> bool {
        if !self.is_uncut(shared) {
            return false;
        }
        let now = Instant::now();
        // The relay's listener completed the client's TCP handshake at once, so the round trip of
        // the handshake over the link is added here.
        let round_trip = self.delay(shared) * 2;
        let at = *self.connects_at.get_or_insert(now + round_trip);
        if at > now {
            shared.due.push(Reverse(Due { at, relay: RelayKey::Stream(key) }));
            return false;
        }
        match connect(self.client_address, self.target_address) {
            Ok(stream) => {
                self.target = Some(register(stream, Endpoint::Target(key), shared));
                true
            }
            Err(_) => {
                self.broken_at = Some(now);
                shared.due.push(Reverse(Due { at: now, relay: RelayKey::Stream(key) }));
                false
            }
        }
    }

    fn transfer(&mut self, key: usize, shared: &mut Shared) -> Result<(), BrokenConnection> {
        let Some(target) = &mut self.target else { return Ok(()) };
        let client = &mut self.client.stream;
        self.to_target.collect(client, key, shared)?;
        self.to_target.deliver(&mut target.stream, shared)?;
        self.from_target.collect(&mut target.stream, key, shared)?;
        self.from_target.deliver(client, shared)
    }

    /// After an error on one side, schedules the reset of the other side for the end of the link's
    /// delay. Returns true if the relay is to be closed now.
    fn schedule_reset(&mut self, key: usize, shared: &mut Shared) -> bool {
        let delay = self.delay(shared);
        let at = Instant::now() + delay;
        self.broken_at = Some(at);
        shared.due.push(Reverse(Due { at, relay: RelayKey::Stream(key) }));
        delay.is_zero() && self.is_uncut(shared)
    }

    /// Closes both sides, with a reset after an error.
    pub fn close(self, shared: &mut Shared) {
        let broken = self.broken_at.is_some();
        for mut end in [Some(self.client), self.target].into_iter().flatten() {
            // A socket that is already closed needs no deregistration.
            let _ = shared.registry.deregister(&mut end.stream);
            if broken {
                let _ = SockRef::from(&end.stream).set_linger(Some(Duration::ZERO));
            }
            shared.endpoints.remove(end.endpoint);
        }
    }
}
