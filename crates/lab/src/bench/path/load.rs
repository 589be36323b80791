//! Closed-loop load: each connection sends its next statement as soon as the last is answered.
//!
//! One thread drives every connection of a slice over an event loop with messages encoded
//! beforehand, so that the generator's own cost stays small beside that of the proxy.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};

use super::messages::{Protocol, ROWS};
use crate::bench::login::{self, Credentials, message_length};
use crate::bench::statistics::Latencies;

const READ_CHUNK_BYTES: usize = 16 * 1024;
const EVENTS_AT_ONCE: usize = 256;
/// Longest wait for any answer; a bench that sees it exceeded is broken off.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// What one slice of load saw.
#[derive(Clone, Debug, Default)]
pub struct SliceOutcome {
    /// Latency of each statement.
    pub latencies: Latencies,
    /// Time from the first statement to the last answer.
    pub elapsed: Duration,
}

struct LoadConnection {
    stream: TcpStream,
    unread: Vec<u8>,
    request: Bytes,
    sent: Option<Instant>,
}

/// Logged-in connections to one target, all using one protocol.
pub struct LoadConnections {
    poll: Poll,
    connections: Vec<LoadConnection>,
}

impl LoadConnections {
    /// Opens `count` connections, dealt out over `addresses`, and prepares their statements.
    pub fn open(
        addresses: &[SocketAddr],
        count: usize,
        credentials: &Credentials,
        protocol: Protocol,
    ) -> io::Result<Self> {
        let poll = Poll::new()?;
        let mut connections = Vec::with_capacity(count);
        for index in 0..count {
            let mut stream = login::open(addresses[index % addresses.len()], credentials)?;
            prepare(&mut stream, protocol)?;
            stream.set_nonblocking(true)?;
            let mut stream = TcpStream::from_std(stream);
            poll.registry().register(&mut stream, Token(index), Interest::READABLE)?;
            let request = protocol.read(index as u64 % ROWS)?;
            connections.push(LoadConnection { stream, unread: Vec::new(), request, sent: None });
        }
        Ok(Self { poll, connections })
    }

    /// Keeps the first `active` connections busy for `length`, then waits for the last answers.
    pub fn run(&mut self, active: usize, length: Duration) -> io::Result<SliceOutcome> {
        let mut outcome = SliceOutcome::default();
        let mut events = Events::with_capacity(EVENTS_AT_ONCE);
        let started = Instant::now();
        let end = started + length;
        let mut pending = active.min(self.connections.len());
        for connection in &mut self.connections[..pending] {
            connection.send()?;
        }
        while pending > 0 {
            self.poll.poll(&mut events, Some(ANSWER_LIMIT))?;
            if Instant::now() > end + ANSWER_LIMIT {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "a statement went unanswered"));
            }
            for event in &events {
                let connection = &mut self.connections[event.token().0];
                let Some(latency) = connection.receive()? else { continue };
                outcome.latencies.record(latency);
                if Instant::now() < end {
                    connection.send()?;
                } else {
                    pending -= 1;
                }
            }
        }
        outcome.elapsed = started.elapsed();
        Ok(outcome)
    }
}

impl LoadConnection {
    fn send(&mut self) -> io::Result<()> {
        self.sent = Some(Instant::now());
        // A request of a few bytes on a connection with nothing under way always fits.
        let count = self.stream.write(&self.request)?;
        if count < self.request.len() {
            return Err(io::ErrorKind::WriteZero.into());
        }
        Ok(())
    }

    /// Reads what is there; the latency once the answer is whole.
    fn receive(&mut self) -> io::Result<Option<Duration>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.unread.extend_from_slice(&chunk[..count]);
                    // A short read has emptied the socket: no need to ask again.
                    if count < chunk.len() {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        if !take_answer(&mut self.unread)? {
            return Ok(None);
        }
        Ok(self.sent.take().map(|sent| sent.elapsed()))
    }
}

/// Takes whole messages off `unread`; true once `ReadyForQuery` was among them.
fn take_answer(unread: &mut Vec<u8>) -> io::Result<bool> {
    let mut start = 0;
    let mut ready = false;
    while let Some(length) = message_length(&unread[start..]) {
        let Some(message) = unread.get(start..start + length) else { break };
        match message[0] {
            b'E' => return Err(io::Error::other(String::from_utf8_lossy(message))),
            b'Z' => ready = true,
            _ => {}
        }
        start += length;
    }
    unread.drain(..start);
    Ok(ready)
}

/// Sends the protocol's preparation and waits for its answer.
fn prepare(stream: &mut std::net::TcpStream, protocol: Protocol) -> io::Result<()> {
    let preparation = protocol.preparation()?;
    if preparation.is_empty() {
        return Ok(());
    }
    stream.write_all(&preparation)?;
    login::read_answer(stream)
}
