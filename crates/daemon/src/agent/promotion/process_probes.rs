//! Probes whether a process listens at the address of a node.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use kestrellock_core::promotion::ProbeResult;

/// Timeout for a connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Tries to connect to a node.
pub fn probe(address: SocketAddr) -> ProbeResult {
    match TcpStream::connect_timeout(&address, PROBE_TIMEOUT) {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        _ => ProbeResult::Inconclusive,
    }
}
