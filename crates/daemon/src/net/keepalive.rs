//! When the system ends a connection whose other side is not heard any more: a machine that lost power
//! or is cut off, or a connection that carries nothing while new ones work, says nothing by itself.
//!
//! Connections between nodes have a heartbeat of their own (`links::heartbeat`), which notices sooner
//! and tells a dead connection from a dead node.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Limits after which the system ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keepalive {
    /// Time for which data that was sent may stay unacknowledged; `None` for the system's own limit.
    pub unacknowledged: Option<Duration>,
    /// Time without traffic after which the other side is asked.
    pub idle: Duration,
    /// Time between two questions; the connection ends when one has no answer.
    pub interval: Duration,
}

/// Connections to instances. A statement on a dead one costs its caller this long instead of the
/// statement's whole time limit, and an idle one is found out before a statement rides on it. Data that
/// is lost twice in a row (the system sends again after 200 ms and 600 ms) is still delivered.
pub const INSTANCE_KEEPALIVE: Keepalive = Keepalive {
    unacknowledged: Some(Duration::from_millis(700)),
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
};

/// Connections of callers: idle sessions of callers that are gone hold descriptors. Callers rest for
/// minutes, and a question each minute costs nothing.
pub const CLIENT_KEEPALIVE: Keepalive = Keepalive {
    unacknowledged: None,
    idle: Duration::from_secs(60),
    interval: Duration::from_secs(20),
};

/// Questions without an answer after which a connection ends.
const PROBES: u32 = 1;

impl Keepalive {
    /// Puts the limits in force on a socket. Connections accepted from a listener have its limits.
    pub fn apply_to<'a>(&self, socket: impl Into<SockRef<'a>>) -> io::Result<()> {
        let socket = socket.into();
        let keepalive = TcpKeepalive::new()
            .with_time(self.idle)
            .with_interval(self.interval)
            .with_retries(PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        match self.unacknowledged {
            Some(limit) => socket.set_tcp_user_timeout(Some(limit)),
            None => Ok(()),
        }
    }
}
