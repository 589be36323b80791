//! Memory that idle callers cost a node.

use std::net::{SocketAddr, TcpStream};

use miette::{IntoDiagnostic, WrapErr};

use crate::bench::login::{self, Credentials};
use crate::bench::process::resident_bytes;

const MEGABYTE: f64 = 1024.0 * 1024.0;

/// Growth of this process's resident memory, in megabytes, while `count` idle callers are
/// connected.
///
/// The callers live in the same process, so that their sockets and handles count too; each is a
/// plain socket without buffers of its own.
pub fn growth_megabytes(
    address: SocketAddr,
    credentials: &Credentials,
    count: usize,
) -> miette::Result<f64> {
    let before = resident_bytes().into_diagnostic()?;
    let mut callers: Vec<TcpStream> = Vec::with_capacity(count);
    for number in 0..count {
        let caller = login::open(address, credentials)
            .into_diagnostic()
            .wrap_err_with(|| format!("caller {number} of {count} could not log in"))?;
        callers.push(caller);
    }
    let after = resident_bytes().into_diagnostic()?;
    Ok(after.saturating_sub(before) as f64 / MEGABYTE)
}
