//! An HTTP client whose connections come from the node's address.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    ConnectProxyConnector, ConnectionDetails, Connector, Either, NextTimeout, Transport,
};
use ureq::{Agent, Error, Timeout};

use crate::source::{SourceAddress, is_connect_error};
use crate::transport::{StreamTransport, connect_error, duration_of};

/// Time to connect to one address, if the call has no timeout.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP client whose connections come from `source`.
pub fn agent(config: Config, source: SourceAddress) -> Agent {
    let connector = ().chain(ConnectProxyConnector::default()).chain(SourceConnector { source });
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Opens connections for an HTTP client.
#[derive(Debug)]
struct SourceConnector {
    source: SourceAddress,
}

impl SourceConnector {
    /// Connects to the first of a host's addresses that accepts. Each gets an equal part of the
    /// time that is left, so that one that does not respond leaves time for the others.
    fn connect_to_any(
        &self,
        addresses: &[SocketAddr],
        timeout: NextTimeout,
    ) -> Result<TcpStream, Error> {
        let end = duration_of(timeout).map(|limit| Instant::now() + limit);
        let mut last_error = Error::HostNotFound;
        for (index, address) in addresses.iter().enumerate() {
            let remaining = end.map(|end| end.saturating_duration_since(Instant::now()));
            let share = remaining.map(|remaining| remaining / (addresses.len() - index) as u32);
            match self.source.connect(*address, share.unwrap_or(DEFAULT_CONNECT_TIMEOUT)) {
                Ok(stream) => return Ok(stream),
                Err(error) => {
                    let may_try_next = is_connect_error(&error);
                    last_error = connect_error(error);
                    if !may_try_next && !matches!(last_error, Error::Timeout(Timeout::Connect)) {
                        break;
                    }
                }
            }
        }
        Err(last_error)
    }
}

impl<In: Transport> Connector<In> for SourceConnector {
    type Out = Either<In, StreamTransport<()>>;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        if let Some(through_proxy) = chained {
            return Ok(Some(Either::A(through_proxy)));
        }
        let stream = self.connect_to_any(&details.addrs, details.timeout)?;
        stream.set_nodelay(details.config.no_delay())?;
        Ok(Some(Either::B(StreamTransport::new(stream, details, ()))))
    }
}
