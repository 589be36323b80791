//! Opening non-blocking connections from this machine's own address.

use std::io;
use std::net::{IpAddr, SocketAddr};

use socket2::{Domain, Socket, Type};

use super::keepalive::Keepalive;

/// Begins to connect to `address` with `source` as the local address, so that the other side and
/// the network between see which machine calls. `liveness` tells when the other side counts as gone.
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
        // The port that the system picks may be one that a node of this machine listens on when it
        // is started again: without this flag it could not.
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
