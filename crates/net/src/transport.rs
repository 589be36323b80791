//! A connection of the HTTP client, over a TCP stream that its connector has opened.

use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, LazyBuffers, NextTimeout, Transport,
};
use ureq::{Error, Timeout};

/// Decides whether a connection may write.
pub trait WriteGate: Send + Sync + 'static {
    /// Called right before bytes are written. They are not written if it fails.
    fn begin_write(&self) -> Result<(), Error>;
}

/// A connection may write at any time.
impl WriteGate for () {
    fn begin_write(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Without a gate, a connection may write at any time.
impl<G: WriteGate> WriteGate for Option<G> {
    fn begin_write(&self) -> Result<(), Error> {
        self.as_ref().map_or(Ok(()), G::begin_write)
    }
}

/// A connection of the HTTP client.
pub struct StreamTransport<G> {
    stream: TcpStream,
    buffers: LazyBuffers,
    gate: G,
}

impl<G> StreamTransport<G> {
    /// A transport on an open connection, which writes what `gate` permits.
    pub fn new(stream: TcpStream, details: &ConnectionDetails, gate: G) -> Self {
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Self { stream, buffers, gate }
    }
}

impl<G: WriteGate> Transport for StreamTransport<G> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let limit = IoLimit::of(timeout.for_write());
        let mut output = &self.buffers.output()[..amount];
        while !output.is_empty() {
            self.stream.set_write_timeout(limit.remaining()?)?;
            self.gate.begin_write()?;
            match (&self.stream).write(output) {
                Ok(count) => output = &output[count..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(limit.error(error)),
            }
        }
        Ok(())
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let limit = IoLimit::of(timeout.for_read());
        loop {
            self.stream.set_read_timeout(limit.remaining()?)?;
            match self.stream.read(self.buffers.input_append_buf()) {
                Ok(count) => {
                    self.buffers.input_appended(count);
                    return Ok(count > 0);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(limit.error(error)),
            }
        }
    }

    fn is_open(&mut self) -> bool {
        // A connection that carries no call has nothing to read unless the service has closed it.
        let is_idle = || -> io::Result<bool> {
            self.stream.set_nonblocking(true)?;
            let peeked = self.stream.peek(&mut [0]);
            self.stream.set_nonblocking(false)?;
            Ok(peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock))
        };
        is_idle().unwrap_or(false)
    }
}

impl<G> fmt::Debug for StreamTransport<G> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("StreamTransport").field("stream", &self.stream).finish()
    }
}

/// The end of a read or write.
struct IoLimit {
    end: Option<Instant>,
    reason: Timeout,
}

impl IoLimit {
    fn of(timeout: NextTimeout) -> Self {
        let end = duration_of(timeout).map(|limit| Instant::now() + limit);
        Self { end, reason: timeout.reason }
    }

    /// The time that is left, if it is limited. Fails if none is left.
    fn remaining(&self) -> Result<Option<Duration>, Error> {
        let remaining = self.end.map(|end| end.saturating_duration_since(Instant::now()));
        match remaining.is_some_and(|remaining| remaining.is_zero()) {
            true => Err(Error::Timeout(self.reason)),
            false => Ok(remaining),
        }
    }

    /// The error of a call whose connection failed after it was established. Its kind differs from
    /// those of a failed connect, which show that the request was not sent.
    fn error(&self, error: io::Error) -> Error {
        match error.kind() {
            ErrorKind::WouldBlock => Error::Timeout(self.reason),
            _ => Error::Io(io::Error::new(ErrorKind::ConnectionAborted, error)),
        }
    }
}

/// The duration until a timeout, if there is one.
pub fn duration_of(timeout: NextTimeout) -> Option<Duration> {
    match timeout.after.is_not_happening() {
        true => None,
        false => Some(*timeout.after),
    }
}

/// The error of a call whose connection was not established.
pub fn connect_error(error: io::Error) -> Error {
    match error.kind() {
        ErrorKind::TimedOut => Error::Timeout(Timeout::Connect),
        _ => Error::Io(error),
    }
}
