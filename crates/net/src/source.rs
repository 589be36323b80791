//! The address from which a node opens its connections.
//!
//! Instances, services and the network in between identify a node by the source address of its
//! connections: they attribute statements, filter and route by it. Where several nodes share a
//! machine, the address that the system would choose belongs to none or to another of them.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

const EINPROGRESS: i32 = 115;

/// The local address of connections that a node opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceAddress(IpAddr);

impl SourceAddress {
    /// Leaves the choice to the system, for programs that have no address of their own.
    pub const ANY: Self = Self(IpAddr::V4(Ipv4Addr::UNSPECIFIED));

    /// Connections come from `address`. If it is unspecified, the system chooses.
    pub const fn new(address: IpAddr) -> Self {
        Self(address)
    }

    /// A socket for a connection to `target`, bound to this address. The system chooses the address
    /// if `target` is of the other address family, which a node with one address cannot reach from
    /// it.
    ///
    /// If this machine no longer has the address, this fails with
    /// [`io::ErrorKind::AddrNotAvailable`]; the connection is not opened from another one.
    fn socket(self, target: SocketAddr) -> io::Result<Socket> {
        let socket = Socket::new(Domain::for_address(target), Type::STREAM, None)?;
        if self.0.is_ipv4() == target.is_ipv4() && !self.0.is_unspecified() {
            // The system may pick a port that a node on this machine listens on after its restart.
            // Without this flag that node could not bind the port.
            socket.set_reuse_address(true)?;
            socket.bind(&SocketAddr::new(self.0, 0).into())?;
        }
        Ok(socket)
    }

    /// Connects to `target`. Fails with [`io::ErrorKind::TimedOut`] if that takes longer than
    /// `timeout`.
    pub fn connect(self, target: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        let socket = self.socket(target)?;
        socket.connect_timeout(&target.into(), timeout)?;
        Ok(socket.into())
    }

    /// Starts to connect to `target` without blocking. `prepare` sets options before the connection
    /// is opened.
    pub fn start_connecting(
        self,
        target: SocketAddr,
        prepare: impl FnOnce(&Socket) -> io::Result<()>,
    ) -> io::Result<TcpStream> {
        let socket = self.socket(target)?;
        socket.set_nonblocking(true)?;
        prepare(&socket)?;
        match socket.connect(&target.into()) {
            Err(error) if !is_in_progress(&error) => Err(error),
            _ => Ok(socket.into()),
        }
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}

/// Whether a failed attempt to connect shows that nothing was sent, because there was no
/// connection.
pub fn is_connect_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            // The source address is not this machine's, has no free port, or cannot reach the target
            // (a loopback address and another machine).
            | io::ErrorKind::AddrNotAvailable
            | io::ErrorKind::AddrInUse
            | io::ErrorKind::InvalidInput
    )
}
