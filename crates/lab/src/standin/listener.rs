//! A listening socket that can refuse connections for a while without losing its port.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use socket2::SockRef;

const LISTEN_BACKLOG: i32 = 1024;
/// Maximum retries when a port that was just free is taken before it is bound by number.
const MAX_BIND_RETRIES: usize = 50;
/// Delay between attempts to accept while the listener is closed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Time within which a thread that waits in `accept` of a closed listener returns from it.
const TRANSFER_DELAY: Duration = Duration::from_millis(20);

/// Number of connections by the address from which they were opened.
pub type Callers = BTreeMap<IpAddr, usize>;

/// A listening socket on loopback that can be closed and reopened on the same port.
#[derive(Clone, Debug)]
pub struct RestartableListener {
    listener: Arc<TcpListener>,
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    callers: Arc<Mutex<Callers>>,
}

impl RestartableListener {
    /// Listens on a port chosen by the operating system.
    pub fn bind() -> io::Result<Self> {
        let (listener, address) = bind_numbered_port()?;
        let listener = Arc::new(listener);
        Ok(Self { listener, address, stopped: Arc::default(), callers: Arc::default() })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, so that the operating system refuses connections.
    pub fn close(&self) {
        // An error means that the socket is not listening anyway.
        let _ = SockRef::from(self.listener.as_ref()).shutdown(Shutdown::Both);
    }

    /// Accepts connections again.
    pub fn reopen(&self) {
        SockRef::from(self.listener.as_ref())
            .listen(LISTEN_BACKLOG)
            .expect("failed to listen again on a bound socket");
    }

    /// Waits for the next connection. Returns `None` once the listener is stopped.
    pub fn accept(&self) -> Option<TcpStream> {
        while !self.stopped.load(Ordering::Acquire) {
            match self.listener.accept() {
                Ok((stream, caller)) => {
                    *self.lock_callers().entry(caller.ip()).or_default() += 1;
                    return Some(stream);
                }
                Err(_) => std::thread::sleep(ACCEPT_RETRY_INTERVAL),
            }
        }
        None
    }

    /// The addresses from which connections were opened so far, also before a transfer.
    pub fn callers(&self) -> Callers {
        self.lock_callers().clone()
    }

    fn lock_callers(&self) -> MutexGuard<'_, Callers> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Transfers the address of a closed listener to another owner: [`Self::accept`] of this
    /// listener returns `None`, and the new listener accepts connections after [`Self::reopen`].
    pub fn transfer(&self) -> Self {
        // Does not call `close` again: if a socket is shut down while it is not listening, its
        // later connections end at once.
        self.stopped.store(true, Ordering::Release);
        // The thread that waits in `accept` must return before new connections arrive.
        std::thread::sleep(TRANSFER_DELAY);
        Self { stopped: Arc::default(), ..self.clone() }
    }

    /// Closes the listener permanently: [`Self::accept`] returns `None`.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.close();
    }
}

/// Binds a free port by its number. A socket whose port was chosen by the operating system would
/// lose the port when it stops listening.
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

/// Sets a connection to be reset, rather than shut down in order, when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    // The connection may already be closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
