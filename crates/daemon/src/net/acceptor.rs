//! Accepts connections from a listener as they arrive, without polling it at intervals.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};
use std::os::fd::AsRawFd;

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
/// Interval at which the stop condition is checked while nothing wakes the acceptor. Much shorter
/// than a drain, and long enough to keep an idle node idle.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay after an accept error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A listener with a poller that waits for connections.
pub struct Acceptor {
    listener: TcpListener,
    poll: Poll,
    events: Events,
    waker: Arc<Waker>,
}

impl Acceptor {
    /// Creates an acceptor for a listener, which must be in non-blocking mode.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let poll = Poll::new()?;
        let descriptor = listener.as_raw_fd();
        poll.registry().register(&mut SourceFd(&descriptor), LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        Ok(Self { listener, poll, events: Events::with_capacity(2), waker })
    }

    /// Makes the acceptor check its stop condition at once.
    pub fn waker(&self) -> Arc<Waker> {
        self.waker.clone()
    }

    /// Passes connections to `take` until `is_stopping` returns true, and finally those that the
    /// system has accepted by then: closing the listener would reset them, and their clients may
    /// already have sent a request. Calls `pause` before each accept; it may block.
    pub fn run(
        mut self,
        is_stopping: impl Fn() -> bool,
        pause: impl Fn(),
        mut take: impl FnMut(TcpStream),
    ) {
        while !is_stopping() {
            self.wait();
            pause();
            self.accept_pending(&mut take);
        }
        self.accept_pending(&mut take);
    }

    /// Returns when a connection may be waiting, or after the timeout.
    fn wait(&mut self) {
        // An error is irrelevant: the listener is tried next in any case.
        let _ = self.poll.poll(&mut self.events, Some(POLL_TIMEOUT));
    }

    /// Passes every waiting connection to `take`.
    fn accept_pending(&mut self, take: &mut impl FnMut(TcpStream)) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => take(stream),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return std::thread::sleep(ACCEPT_RETRY_DELAY),
            }
        }
    }
}
