//! TCP keepalive settings: when the system drops a connection whose other side no longer responds.
//! A machine that lost power or is partitioned does not close its connections. Neither does a
//! network that drops the packets of one connection while new connections work.
//!
//! Links between nodes have their own heartbeat (`links::heartbeat`), which detects failures sooner
//! and distinguishes a dead connection from a dead node.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Limits after which the system drops a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keepalive {
    /// How long sent data may stay unacknowledged; `None` for the system's default.
    pub unacknowledged: Option<Duration>,
    /// Time without traffic after which the system sends a keepalive probe.
    pub idle: Duration,
    /// Time after a probe within which it must be answered.
    pub interval: Duration,
}

/// Keepalive of connections to instances. A statement on a dead connection fails after 700 ms
/// instead of its full deadline, and a dead idle connection is usually detected before a statement
/// uses it. The limit still allows for data that is lost twice in a row: the system retransmits
/// after 200 ms and 600 ms.
pub const INSTANCE_KEEPALIVE: Keepalive = Keepalive {
    unacknowledged: Some(Duration::from_millis(700)),
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
};

/// Keepalive of client connections. Without it, sessions of clients that have disappeared would
/// keep their file descriptors. Clients are often idle for minutes, and a probe per minute is
/// cheap.
pub const CLIENT_KEEPALIVE: Keepalive = Keepalive {
    unacknowledged: None,
    idle: Duration::from_secs(60),
    interval: Duration::from_secs(20),
};

/// Unanswered probes after which the system drops a connection.
const PROBES: u32 = 1;

impl Keepalive {
    /// Applies the limits to a socket. Connections accepted from a listener inherit its limits.
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
