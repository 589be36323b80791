//! Opens non-blocking connections from this node's own address.

use std::io;
use std::net::SocketAddr;

use kestrellock_net::source::SourceAddress;

use super::keepalive::Keepalive;

/// Starts to connect to `address` from `source`, so that the other side and the network in between
/// can identify this node. `keepalive` sets when the system drops a connection that no longer
/// responds.
pub fn connect_from(
    source: SourceAddress,
    address: SocketAddr,
    keepalive: Option<&Keepalive>,
) -> io::Result<mio::net::TcpStream> {
    let stream = source.start_connecting(address, |socket| {
        keepalive.map_or(Ok(()), |keepalive| keepalive.apply_to(socket))
    })?;
    Ok(mio::net::TcpStream::from_std(stream))
}
