//! TCP relay between a client and a server that can be partitioned.
//!
//! During a partition the relay holds back the bytes of both directions and passes them on, in
//! order, when the partition ends. Held bytes are lost only if their sender resets the connection:
//! bytes of a sender that closes its connection normally, is killed or is suspended still arrive.
//! A connection that is opened during a partition carries nothing while it lasts, and never does
//! if its client closes it before the end.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use super::listener::reset_on_close;
use super::relay_listener::RelayListener;

const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which a connection with held bytes checks for the end of the partition.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A partition that affects all relays that share it.
#[derive(Debug, Default)]
pub struct Partition {
    active: Mutex<bool>,
    changed: Condvar,
}

impl Partition {
    fn active(&self) -> MutexGuard<'_, bool> {
        self.active.lock().expect("a holder of the partition's lock panicked")
    }

    /// Begins the partition.
    pub fn begin(&self) {
        *self.active() = true;
    }

    /// Ends the partition.
    pub fn end(&self) {
        *self.active() = false;
        self.changed.notify_all();
    }

    /// Whether the partition is active.
    pub fn is_active(&self) -> bool {
        *self.active()
    }

    fn wait_until_over(&self) {
        let active = self.changed.wait_while(self.active(), |active| *active);
        drop(active.expect("a holder of the partition's lock panicked"));
    }
}

/// What happens to the bytes of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEvent<'a> {
    /// The client has sent these bytes. They are not passed on yet.
    Received(&'a [u8]),
    /// The partition is over, and this many held bytes are passed on.
    PassedOn(usize),
    /// The client closed its connection normally; this many of its bytes are held.
    ClosedWithHeldBytes(usize),
    /// The client reset its connection; this many held bytes are lost.
    Lost(usize),
}

/// Observes the bytes of clients.
pub type RelayObserver = dyn Fn(RelayEvent<'_>) + Send + Sync;

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    listener: RelayListener,
}

impl Relay {
    /// Starts a relay to `target` on a port chosen by the operating system.
    pub fn start(
        target: SocketAddr,
        partition: Arc<Partition>,
        observer: Arc<RelayObserver>,
    ) -> io::Result<Self> {
        let relay = move |client| relay(client, target, &partition, observer.clone());
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
    partition: &Arc<Partition>,
    observer: Arc<RelayObserver>,
) -> io::Result<()> {
    let Some(held) = read_until_connected(&client, partition)? else { return Ok(()) };
    let server = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    server.set_nodelay(true)?;
    client.set_nodelay(true)?;
    let outward = Direction {
        source: client.try_clone()?,
        target: server.try_clone()?,
        partition: partition.clone(),
        observer,
        held,
    };
    let inward = Direction {
        source: server,
        target: client,
        partition: partition.clone(),
        observer: Arc::new(|_| {}),
        held: Vec::new(),
    };
    thread::spawn(move || outward.run());
    inward.run();
    Ok(())
}

/// Waits until no partition is active and returns what the client has sent by then. Returns `None`
/// if the client closes its connection during the partition.
fn read_until_connected(
    mut client: &TcpStream,
    partition: &Partition,
) -> io::Result<Option<Vec<u8>>> {
    let mut held = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    client.set_read_timeout(Some(HELD_CHECK_INTERVAL))?;
    while partition.is_active() {
        match client.read(&mut chunk) {
            Ok(0) => return Ok(None),
            Ok(count) => held.extend_from_slice(&chunk[..count]),
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(Some(held))
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// One direction of a connection.
struct Direction {
    source: TcpStream,
    target: TcpStream,
    partition: Arc<Partition>,
    observer: Arc<RelayObserver>,
    /// Bytes that have been received and not passed on.
    held: Vec<u8>,
}

impl Direction {
    /// Relays until the source is closed. An error of either side resets both.
    fn run(mut self) {
        if self.relay().is_err() {
            if !self.held.is_empty() {
                (self.observer)(RelayEvent::Lost(self.held.len()));
            }
            for stream in [&self.source, &self.target] {
                reset_on_close(stream);
                // An error means that the connection is already closed.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn relay(&mut self) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut was_partitioned = !self.held.is_empty();
        loop {
            // Without held bytes there is nothing to do at the end of a partition.
            let wait = (!self.held.is_empty()).then_some(HELD_CHECK_INTERVAL);
            self.source.set_read_timeout(wait)?;
            match self.source.read(&mut chunk) {
                Ok(0) => return self.close(),
                Ok(count) => {
                    self.held.extend_from_slice(&chunk[..count]);
                    (self.observer)(RelayEvent::Received(&chunk[..count]));
                }
                Err(error) if is_timeout(&error) => {}
                Err(error) => return Err(error),
            }
            if self.partition.is_active() {
                was_partitioned = true;
            } else {
                self.pass_on(was_partitioned)?;
                was_partitioned = false;
            }
        }
    }

    /// Passes on the held bytes and the end of the stream, after the partition if there is one.
    fn close(&mut self) -> io::Result<()> {
        let is_partitioned = self.partition.is_active();
        if is_partitioned && !self.held.is_empty() {
            (self.observer)(RelayEvent::ClosedWithHeldBytes(self.held.len()));
        }
        self.partition.wait_until_over();
        self.pass_on(is_partitioned)?;
        self.target.shutdown(Shutdown::Write)
    }

    fn pass_on(&mut self, was_partitioned: bool) -> io::Result<()> {
        if self.held.is_empty() {
            return Ok(());
        }
        if was_partitioned {
            (self.observer)(RelayEvent::PassedOn(self.held.len()));
        }
        self.target.write_all(&self.held)?;
        self.held.clear();
        Ok(())
    }
}
