//! A non-blocking TCP connection with an input and an output buffer.

use std::cell::RefCell;
use std::io::{self, Read, Write};

use bytes::{Buf, BytesMut};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

const READ_CHUNK_BYTES: usize = 16 * 1024;

thread_local! {
    /// Buffer that reads fill before the data is copied to the connection's own buffer. All
    /// connections of a thread share it, so that no read has to allocate or zero memory.
    static READ_CHUNK: RefCell<Box<[u8]>> =
        RefCell::new(vec![0; READ_CHUNK_BYTES].into_boxed_slice());
}

/// State of the connection after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The buffer has reached its limit. More data may be available, and no event will announce it.
    Full,
    /// Everything that the kernel had was read.
    Drained,
    /// The other side closed or the connection broke.
    Closed,
    /// The connection was refused: no process listens at the address.
    Refused,
}

impl ReadOutcome {
    /// Whether the connection can no longer be used.
    pub fn is_closed(self) -> bool {
        matches!(self, Self::Closed | Self::Refused)
    }
}

/// A connection and its buffers. An idle connection holds no buffer memory.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes received and not yet consumed.
    pub input: BytesMut,
    /// Bytes to send.
    pub output: BytesMut,
    token: Token,
    has_write_interest: bool,
}

impl Connection {
    /// Registers `stream` for reading under `token`, and for writing while it connects.
    pub fn register(
        mut stream: TcpStream,
        token: Token,
        registry: &Registry,
        connecting: bool,
    ) -> io::Result<Self> {
        let interest =
            if connecting { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        registry.register(&mut stream, token, interest)?;
        // Statements are small and latency matters; if this fails, only latency suffers.
        let _ = stream.set_nodelay(true);
        let buffer = BytesMut::new();
        Ok(Self {
            stream,
            input: buffer.clone(),
            output: buffer,
            token,
            has_write_interest: connecting,
        })
    }

    /// Reads into `input` until the kernel has no more data. A short read does not mean that:
    /// readiness is edge-triggered, and the other side's close may have arrived with its last
    /// bytes.
    pub fn fill(&mut self) -> ReadOutcome {
        self.fill_up_to(usize::MAX)
    }

    /// Reads until `input` holds at least `limit` bytes or the kernel has no more data.
    pub fn fill_up_to(&mut self, limit: usize) -> ReadOutcome {
        READ_CHUNK.with_borrow_mut(|chunk| self.fill_through(chunk, limit))
    }

    fn fill_through(&mut self, chunk: &mut [u8], limit: usize) -> ReadOutcome {
        loop {
            if self.input.len() >= limit {
                return ReadOutcome::Full;
            }
            match self.stream.read(chunk) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ReadOutcome::Drained;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    return ReadOutcome::Refused;
                }
                Err(_) => return ReadOutcome::Closed,
            }
        }
    }

    /// Sends as much of `output` as the kernel accepts, and registers for write readiness if some
    /// is left.
    pub fn flush(&mut self, registry: &Registry) -> io::Result<()> {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.output.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::NotConnected => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.update_interest(registry)
    }

    fn update_interest(&mut self, registry: &Registry) -> io::Result<()> {
        let wants_write = !self.output.is_empty();
        if wants_write == self.has_write_interest {
            return Ok(());
        }
        self.has_write_interest = wants_write;
        let interest =
            if wants_write { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        registry.reregister(&mut self.stream, self.token, interest)
    }

    /// Frees the memory of empty buffers.
    pub fn release_buffers(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        if self.output.is_empty() {
            self.output = BytesMut::new();
        }
    }

    /// Shuts down the sending side, so that the other side sees the end of the stream.
    pub fn shut_down_sending(&mut self) {
        // Fails only if the other side has disconnected, which the next read reports.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Removes the connection from the event loop; dropping it closes it.
    pub fn deregister(&mut self, registry: &Registry) {
        // Closing the descriptor, which follows, removes it in any case.
        let _ = registry.deregister(&mut self.stream);
    }
}
