//! Accepting connections as they come, without sleeping between looks at the listener.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use std::os::fd::AsRawFd;

/// Longest wait before the caller gets a chance to see that it is to stop. Much shorter than a drain,
/// and long enough that a node at rest is not kept busy by looking.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// Wait after the listener failed, such as for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A listener and the means to wait for it.
pub struct Acceptor {
    listener: TcpListener,
    poll: Poll,
    events: Events,
}

impl Acceptor {
    /// Waits on a listener that is non-blocking already.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let poll = Poll::new()?;
        let descriptor = listener.as_raw_fd();
        poll.registry().register(&mut SourceFd(&descriptor), Token(0), Interest::READABLE)?;
        Ok(Self { listener, poll, events: Events::with_capacity(1) })
    }

    /// Hands connections to `take` until `is_over`, and then those that the system has taken in by then:
    /// closing the listener cuts them off, and their callers may have sent a request already. Calls
    /// `pause` before each look, which may keep it up.
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

    /// Returns when a connection may be waiting, or after a short time.
    fn wait(&mut self) {
        // Whatever ended the wait, the listener is asked next and tells what matters.
        let _ = self.poll.poll(&mut self.events, Some(POLL_TIMEOUT));
    }

    /// Hands every waiting connection to `take`.
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
