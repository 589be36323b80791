//! TCP relay on a link that delays bytes and loses none.
//!
//! Bytes, the end of a stream and a reset arrive in the order in which they were sent, each after
//! the delay that the link had at that time. So a reset does not stop the bytes before it. A
//! connection that is opened while the link delays carries nothing before its handshake, two
//! delays, is over, and nothing at all if its client resets it by then.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use super::listener::reset_on_close;
use super::relay::{RelayEvent, RelayObserver};
use super::relay_listener::RelayListener;

const CHUNK_BYTES: usize = 16 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delays that a handshake takes before a client may send bytes.
const HANDSHAKE_DELAYS: u32 = 2;

/// The delay of a link, which all relays of the link share.
#[derive(Debug)]
pub struct LinkDelay {
    delay: Duration,
    is_active: AtomicBool,
}

impl LinkDelay {
    /// A link that delays bytes by `delay` from [`Self::begin`] to [`Self::end`], and not otherwise.
    pub fn new(delay: Duration) -> Self {
        Self { delay, is_active: AtomicBool::new(false) }
    }

    /// From now on, what is sent is delayed.
    pub fn begin(&self) {
        self.is_active.store(true, Ordering::Release);
    }

    /// From now on, what is sent is not delayed. It does not overtake what was sent before.
    pub fn end(&self) {
        self.is_active.store(false, Ordering::Release);
    }

    /// Whether the link delays what is sent now.
    pub fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Acquire)
    }

    fn current(&self) -> Duration {
        if self.is_active() { self.delay } else { Duration::ZERO }
    }
}

/// A running relay.
#[derive(Debug)]
pub struct DelayingRelay {
    listener: RelayListener,
}

impl DelayingRelay {
    /// Starts a relay to `target` on a port chosen by the operating system. The observer is told of
    /// bytes before their delay is chosen.
    pub fn start(
        target: SocketAddr,
        delay: Arc<LinkDelay>,
        observer: Arc<RelayObserver>,
    ) -> io::Result<Self> {
        let relay = move |client| relay(client, target, &delay, observer.clone());
        Ok(Self { listener: RelayListener::start(relay)? })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

fn relay(
    client: TcpStream,
    target: SocketAddr,
    delay: &Arc<LinkDelay>,
    observer: Arc<RelayObserver>,
) -> io::Result<()> {
    thread::sleep(delay.current() * HANDSHAKE_DELAYS);
    if let Some(error) = client.take_error()? {
        return Err(error);
    }
    let server = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    server.set_nodelay(true)?;
    client.set_nodelay(true)?;
    let (outward, inward) = ((client.try_clone()?, server.try_clone()?), (server, client));
    let outward_delay = delay.clone();
    thread::spawn(move || run_direction(outward, &outward_delay, &observer));
    run_direction(inward, delay, &(Arc::new(|_: RelayEvent<'_>| {}) as Arc<RelayObserver>));
    Ok(())
}

/// What travels in one direction of a connection.
enum Piece {
    Bytes(Vec<u8>),
    End,
    Reset,
}

/// Relays one direction until its source is closed or reset.
fn run_direction(
    (source, target): (TcpStream, TcpStream),
    delay: &LinkDelay,
    observer: &Arc<RelayObserver>,
) {
    let (sender, receiver) = channel();
    let passing_on = observer.clone();
    thread::spawn(move || pass_on(&target, &receiver, &passing_on));
    read_pieces(source, delay, observer, &sender);
}

/// Reads what the source sends and determines when each piece arrives.
fn read_pieces(
    mut source: TcpStream,
    delay: &LinkDelay,
    observer: &Arc<RelayObserver>,
    sender: &Sender<(Instant, Piece)>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut last_arrival = Instant::now();
    loop {
        let piece = match source.read(&mut chunk) {
            Ok(0) => Piece::End,
            Ok(count) => {
                observer(RelayEvent::Received(&chunk[..count]));
                Piece::Bytes(chunk[..count].to_vec())
            }
            Err(_) => Piece::Reset,
        };
        let is_last = !matches!(piece, Piece::Bytes(_));
        last_arrival = last_arrival.max(Instant::now() + delay.current());
        let is_closed = sender.send((last_arrival, piece)).is_err();
        if is_last || is_closed {
            return;
        }
    }
}

/// Passes pieces on to the target when they arrive. The other direction reports an error of the
/// target to the source.
fn pass_on(
    mut target: &TcpStream,
    pieces: &Receiver<(Instant, Piece)>,
    observer: &Arc<RelayObserver>,
) {
    for (arrival, piece) in pieces {
        let wait = arrival.saturating_duration_since(Instant::now());
        thread::sleep(wait);
        let passed_on = match piece {
            Piece::Bytes(bytes) => {
                if !wait.is_zero() {
                    observer(RelayEvent::PassedOn(bytes.len()));
                }
                target.write_all(&bytes)
            }
            Piece::End => target.shutdown(Shutdown::Write),
            Piece::Reset => {
                reset_on_close(target);
                target.shutdown(Shutdown::Both)
            }
        };
        if passed_on.is_err() {
            return;
        }
    }
}
