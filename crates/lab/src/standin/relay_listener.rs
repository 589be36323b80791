//! The listening side of a relay: accepts clients until it is dropped, and relays each of them on a
//! thread of its own.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;

use super::listener::RestartableListener;

/// A listener whose clients are relayed.
#[derive(Debug)]
pub struct RelayListener(RestartableListener);

impl RelayListener {
    /// Listens on a port chosen by the operating system, and calls `relay` with each client.
    pub fn start(
        relay: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = RestartableListener::bind()?;
        let accepting = listener.clone();
        let relay = Arc::new(relay);
        thread::spawn(move || {
            while let Some(client) = accepting.accept() {
                let relay = relay.clone();
                // The client sees an error of its connection as a closed connection.
                thread::spawn(move || relay(client));
            }
        });
        Ok(Self(listener))
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }
}

impl Drop for RelayListener {
    fn drop(&mut self) {
        self.0.stop();
    }
}
