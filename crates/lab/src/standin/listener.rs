//! A listening socket that can be made to refuse connections without giving its port up.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use socket2::SockRef;

const LISTEN_BACKLOG: i32 = 1024;
/// Attempts to bind a port that was free a moment before.
const MAX_BIND_RETRIES: usize = 50;
/// Time between two attempts to accept while the door is shut.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Time in which whoever waits in `accept` of a shut door leaves it.
const TRANSFER_DELAY: Duration = Duration::from_millis(20);

/// A listening socket on loopback.
#[derive(Clone, Debug)]
pub struct RestartableListener {
    listener: Arc<TcpListener>,
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl RestartableListener {
    /// Listens on a port that the system chooses.
    pub fn bind() -> io::Result<Self> {
        let (listener, address) = bind_numbered_port()?;
        Ok(Self { listener: Arc::new(listener), address, stopped: Arc::default() })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses connections from now on; the operating system does so itself.
    pub fn close(&self) {
        // An error means that it does not listen, which is what is wanted.
        let _ = SockRef::from(self.listener.as_ref()).shutdown(Shutdown::Both);
    }

    /// Accepts connections again.
    pub fn reopen(&self) {
        SockRef::from(self.listener.as_ref())
            .listen(LISTEN_BACKLOG)
            .expect("a bound socket cannot listen again");
    }

    /// The next connection, or `None` once stopped.
    pub fn accept(&self) -> Option<TcpStream> {
        while !self.stopped.load(Ordering::Acquire) {
            match self.listener.accept() {
                Ok((stream, _)) => return Some(stream),
                Err(_) => std::thread::sleep(ACCEPT_RETRY_INTERVAL),
            }
        }
        None
    }

    /// The same address for another owner: the [`Self::accept`] of this door, which is shut, ends, and the
    /// new one's begins with [`Self::reopen`].
    pub fn transfer(&self) -> Self {
        // Shut once only: connections of a socket that is shut again while it does not listen end at once.
        self.stopped.store(true, Ordering::Release);
        // Whoever waits in `accept` leaves it before connections come again.
        std::thread::sleep(TRANSFER_DELAY);
        Self { listener: self.listener.clone(), address: self.address, stopped: Arc::default() }
    }

    /// Ends [`Self::accept`] for good.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.close();
    }
}

/// Binds a free port by its number: a socket loses a port that it did not ask for by number when
/// it stops listening.
fn bind_numbered_port() -> io::Result<(TcpListener, SocketAddr)> {
    let mut attempts = 0;
    loop {
        let address = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        match TcpListener::bind(address) {
            Ok(listener) => return Ok((listener, address)),
            Err(error) if attempts == MAX_BIND_RETRIES => return Err(error),
            Err(_) => attempts += 1,
        }
    }
}

/// Makes the close of a connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    // The connection may be gone already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
