//! Probes whether a process listens at the address of a node.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use kestrellock_core::promotion::ProbeResult;
use kestrellock_net::source::SourceAddress;

/// Timeout for a connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Tries to connect to a node from `source`.
pub fn probe(source: SourceAddress, address: SocketAddr) -> ProbeResult {
    match source.connect(address, PROBE_TIMEOUT) {
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        _ => ProbeResult::Inconclusive,
    }
}
