//! Relay of one TCP connection.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use mio::Interest;
use mio::net::TcpStream;
use socket2::{Domain, SockRef, Socket, Type};

use super::event_loop::{Due, Part, RelayKey, Shared};
use super::links::{LineEnd, ZoneNumber};

const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes that may be on their way in one direction; more are left with the sender.
const IN_FLIGHT_BYTES: usize = 4 * 1024 * 1024;
/// The same where the line is limited, as of a system with small windows: what waits at a full line is
/// this for each connection, and the rest waits with its sender.
const IN_FLIGHT_BYTES_LIMITED: usize = 64 * 1024;
const IN_PROGRESS: i32 = 115;

/// Something on its way.
#[derive(Debug)]
enum Load {
    Bytes {
        bytes: Vec<u8>,
        written: usize,
    },
    /// The sender closes its half.
    End,
}

#[derive(Debug)]
struct InFlight {
    due: Instant,
    load: Load,
}

/// One direction of a connection.
#[derive(Debug)]
struct Direction {
    from: ZoneNumber,
    to: ZoneNumber,
    /// Zone of the connection's target.
    target: ZoneNumber,
    /// Whether it leads to the target.
    is_there: bool,
    opened: Instant,
    in_flight: VecDeque<InFlight>,
    bytes: usize,
    /// The sender has closed its half.
    ended: bool,
    /// The receiver was told so.
    finished: bool,
}

/// Why a relay ends at once.
struct Broken;

impl Direction {
    /// Both directions of a connection that is opened now.
    fn pair(from: ZoneNumber, to: ZoneNumber) -> (Self, Self) {
        let opened = Instant::now();
        let direction = |from, to, target, is_there| Self {
            from,
            to,
            target,
            is_there,
            opened,
            in_flight: VecDeque::new(),
            bytes: 0,
            ended: false,
            finished: false,
        };
        (direction(from, to, to, true), direction(to, from, to, false))
    }

    /// Takes in what the sender has to say, unless the way is cut.
    fn collect(
        &mut self,
        source: &mut TcpStream,
        key: usize,
        shared: &mut Shared,
    ) -> Result<(), Broken> {
        let link = shared.links.get(self.from, self.to);
        let swallows = shared.links.swallows(self.target, self.is_there, self.opened);
        let line = LineEnd { zone: self.target, is_there: self.is_there };
        let limited = shared.links.is_limited(line);
        let window = if limited { IN_FLIGHT_BYTES_LIMITED } else { IN_FLIGHT_BYTES };
        let mut chunk = [0_u8; CHUNK_BYTES];
        while !link.cut && !self.ended && self.bytes < window {
            let load = match source.read(&mut chunk) {
                Ok(0) => {
                    self.ended = true;
                    Load::End
                }
                Ok(count) => {
                    self.bytes += count;
                    Load::Bytes { bytes: chunk[..count].to_vec(), written: 0 }
                }
                Err(error) if is_later(&error) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return Err(Broken),
            };
            if swallows {
                if let Load::Bytes { bytes, .. } = load {
                    self.bytes -= bytes.len();
                }
                continue;
            }
            let bytes = match &load {
                Load::Bytes { bytes, .. } => bytes.len(),
                Load::End => 0,
            };
            let due = shared.links.pass(line, bytes, Instant::now()) + link.delay;
            self.in_flight.push_back(InFlight { due, load });
            if limited || !link.delay.is_zero() {
                shared.due.push(Reverse(Due { at: due, relay: RelayKey::Stream(key) }));
            }
        }
        Ok(())
    }

    /// Hands over what has arrived, unless the way is cut.
    fn deliver(&mut self, sink: &mut TcpStream, shared: &Shared) -> Result<(), Broken> {
        if shared.links.get(self.from, self.to).cut {
            return Ok(());
        }
        let now = Instant::now();
        while let Some(first) = self.in_flight.front_mut().filter(|first| first.due <= now) {
            match &mut first.load {
                Load::End => {
                    // The receiver may be gone already.
                    let _ = sink.shutdown(Shutdown::Write);
                    self.finished = true;
                    self.in_flight.pop_front();
                }
                Load::Bytes { bytes, written } => match sink.write(&bytes[*written..]) {
                    Ok(count) => {
                        *written += count;
                        self.bytes -= count;
                        if *written == bytes.len() {
                            self.in_flight.pop_front();
                        }
                    }
                    Err(error) if is_later(&error) => return Ok(()),
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    Err(_) => return Err(Broken),
                },
            }
        }
        Ok(())
    }
}

fn is_later(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}

/// One end of a relayed connection.
#[derive(Debug)]
struct End {
    part: usize,
    stream: TcpStream,
}

/// A relayed connection.
#[derive(Debug)]
pub struct StreamRelay {
    caller: End,
    caller_address: IpAddr,
    target_address: SocketAddr,
    /// Absent until the link lets the connection through.
    target: Option<End>,
    there: Direction,
    back: Direction,
    /// When a break of one end reaches the other.
    broken_at: Option<Instant>,
    opens_at: Option<Instant>,
}

fn register(mut stream: TcpStream, part: Part, shared: &mut Shared) -> End {
    // Only latency suffers if the option cannot be set.
    let _ = stream.set_nodelay(true);
    let key = shared.parts.insert(part);
    shared
        .registry
        .register(&mut stream, Shared::token(key), Interest::READABLE | Interest::WRITABLE)
        .expect("a connection cannot be registered");
    End { part: key, stream }
}

fn connect(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(target), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    if source.is_ipv4() == target.is_ipv4() {
        // A node that is started again may need the port that the system picks here.
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    match socket.connect(&target.into()) {
        Err(error) if error.raw_os_error() != Some(IN_PROGRESS) => return Err(error),
        _ => {}
    }
    Ok(TcpStream::from_std(socket.into()))
}

impl StreamRelay {
    /// A relay for a caller that has just come in.
    pub fn new(
        key: usize,
        caller: TcpStream,
        caller_address: IpAddr,
        from: ZoneNumber,
        to: ZoneNumber,
        target_address: SocketAddr,
        shared: &mut Shared,
    ) -> Self {
        let (there, back) = Direction::pair(from, to);
        Self {
            caller: register(caller, Part::Caller(key), shared),
            caller_address,
            target_address,
            target: None,
            there,
            back,
            broken_at: None,
            opens_at: None,
        }
    }

    /// Moves what can be moved. True once the relay is over.
    pub fn advance(&mut self, key: usize, shared: &mut Shared) -> bool {
        if let Some(at) = self.broken_at {
            return self.is_free(shared) && Instant::now() >= at;
        }
        if self.target.is_none() && !self.open(key, shared) {
            return false;
        }
        if self.move_all(key, shared).is_err() {
            return self.break_off(key, shared);
        }
        self.there.finished && self.back.finished
    }

    fn is_free(&self, shared: &Shared) -> bool {
        let link = |direction: &Direction| shared.links.get(direction.from, direction.to);
        !link(&self.there).cut && !link(&self.back).cut
    }

    fn delay(&self, shared: &Shared) -> Duration {
        shared.links.get(self.there.from, self.there.to).delay
    }

    /// Connects to the target once the link lets it; false while it does not.
    fn open(&mut self, key: usize, shared: &mut Shared) -> bool {
        if !self.is_free(shared) {
            return false;
        }
        let now = Instant::now();
        // The caller's kernel was answered at once: the round trip of the handshake comes here.
        let round_trip = self.delay(shared) * 2;
        let at = *self.opens_at.get_or_insert(now + round_trip);
        if at > now {
            shared.due.push(Reverse(Due { at, relay: RelayKey::Stream(key) }));
            return false;
        }
        match connect(self.caller_address, self.target_address) {
            Ok(stream) => {
                self.target = Some(register(stream, Part::Target(key), shared));
                true
            }
            Err(_) => {
                self.broken_at = Some(now);
                shared.due.push(Reverse(Due { at: now, relay: RelayKey::Stream(key) }));
                false
            }
        }
    }

    fn move_all(&mut self, key: usize, shared: &mut Shared) -> Result<(), Broken> {
        let Some(target) = &mut self.target else { return Ok(()) };
        let caller = &mut self.caller.stream;
        self.there.collect(caller, key, shared)?;
        self.there.deliver(&mut target.stream, shared)?;
        self.back.collect(&mut target.stream, key, shared)?;
        self.back.deliver(caller, shared)
    }

    /// One end broke: the other learns of it after the delay.
    fn break_off(&mut self, key: usize, shared: &mut Shared) -> bool {
        let delay = self.delay(shared);
        let at = Instant::now() + delay;
        self.broken_at = Some(at);
        shared.due.push(Reverse(Due { at, relay: RelayKey::Stream(key) }));
        delay.is_zero() && self.is_free(shared)
    }

    /// Closes both ends; with a reset if one broke.
    pub fn close(self, shared: &mut Shared) {
        let broken = self.broken_at.is_some();
        for mut end in [Some(self.caller), self.target].into_iter().flatten() {
            // A socket that is gone needs no deregistration.
            let _ = shared.registry.deregister(&mut end.stream);
            if broken {
                let _ = SockRef::from(&end.stream).set_linger(Some(Duration::ZERO));
            }
            shared.parts.remove(end.part);
        }
    }
}
