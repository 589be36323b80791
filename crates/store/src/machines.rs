//! The platform's list of live and leaving machines. The list lags behind the real state.

use std::net::SocketAddr;
use std::time::Duration;

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_net::http::agent;
use kestrellock_net::source::SourceAddress;
use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// State of a machine as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The platform believes that the machine runs.
    Live,
    /// The machine will be removed soon.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Node that runs on the machine.
    pub node: NodeName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Address on which the node accepts connections from peers.
    pub peer_address: SocketAddr,
    /// Whether the machine is live or leaving.
    pub state: MachineState,
    /// Bandwidth of the machine's network link in Mbit/s; zero if the list does not contain it.
    #[serde(default)]
    pub link_mbps: u32,
}

/// Source of the machine list. The list lags and may be wrong, so it only seeds the membership.
pub trait MachineList: Send + Sync {
    /// Fetches the current list.
    fn machines(&self) -> Result<Vec<Machine>, StoreError>;

    /// Adds this node to the list, on platforms where nodes register themselves.
    fn register(&self, own: &Machine) -> Result<(), StoreError> {
        let _ = own;
        Ok(())
    }

    /// Removes this node from the list when it ends for good, on platforms where nodes register
    /// themselves.
    fn deregister(&self, own: &Machine) -> Result<(), StoreError> {
        let _ = own;
        Ok(())
    }
}

const CALL_LIMIT: Duration = Duration::from_secs(3);
const MAX_ANSWER_BYTES: u64 = 1024 * 1024;
const TOO_MANY_REQUESTS: u16 = 429;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The machine list as a JSON array served at a URL.
pub struct HttpMachineList {
    url: String,
    agent: ureq::Agent,
}

impl HttpMachineList {
    /// The list at `url`, such as `http://127.0.0.1:8080/machines`. Connections to it come from
    /// `source`.
    pub fn new(url: impl Into<String>, source: SourceAddress) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_LIMIT))
            .http_status_as_error(false)
            .build();
        Self { url: url.into(), agent: agent(config, source) }
    }
}

impl MachineList for HttpMachineList {
    fn machines(&self) -> Result<Vec<Machine>, StoreError> {
        let mut response = self
            .agent
            .get(&self.url)
            .call()
            .map_err(|error| StoreError::Unanswered(error.to_string()))?;
        match response.status().as_u16() {
            200..=299 => {}
            TOO_MANY_REQUESTS => return Err(StoreError::RateLimited { retry_after: RETRY_AFTER }),
            _ => return Err(StoreError::Unanswered(response.status().to_string())),
        }
        response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_json()
            .map_err(|error| StoreError::Protocol(error.to_string()))
    }
}
