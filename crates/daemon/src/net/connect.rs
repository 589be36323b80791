//! Opens non-blocking connections from this node's own address.

use std::io;
use std::net::{IpAddr, SocketAddr};

use socket2::{Domain, Socket, Type};

use super::keepalive::Keepalive;

/// Starts to connect to `address` with `source` as the local address, so that the other side and
/// the network in between can identify this node. `keepalive` sets when the system drops a
/// connection that no longer responds.
pub fn connect_from(
    source: IpAddr,
    address: SocketAddr,
    keepalive: Option<&Keepalive>,
) -> io::Result<mio::net::TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    if let Some(keepalive) = keepalive {
        keepalive.apply_to(&socket)?;
    }
    if source.is_ipv4() == address.is_ipv4() && !source.is_unspecified() {
        // The system may pick a port that a node on this machine listens on after its restart.
        // Without this flag that node could not bind the port.
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if in_progress(&error) => {}
        Err(error) => return Err(error),
    }
    Ok(mio::net::TcpStream::from_std(socket.into()))
}

fn in_progress(error: &io::Error) -> bool {
    const EINPROGRESS: i32 = 115;
    error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}
