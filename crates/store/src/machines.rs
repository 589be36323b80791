//! The platform's list of live and leaving machines, which lags.

use std::net::SocketAddr;
use std::time::Duration;

use kestrellock_core::ids::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::store::StoreError;

/// State of a machine as the platform tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Believed to run.
    Live,
    /// About to go.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Node that runs on it.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where the node accepts peers.
    pub peer_address: SocketAddr,
    /// State.
    pub state: MachineState,
    /// What its link carries, in Mbit/s; zero where the list does not tell.
    #[serde(default)]
    pub link_mbps: u32,
}

/// Source of the machine list. Only a seed for membership: it lags and may be wrong.
pub trait MachineList: Send + Sync {
    /// The list as the platform has it now.
    fn machines(&self) -> Result<Vec<Machine>, StoreError>;

    /// Enters this node, where nodes enter themselves.
    fn register(&self, own: &Machine) -> Result<(), StoreError> {
        let _ = own;
        Ok(())
    }

    /// Takes this node's entry back, where nodes enter themselves, as it ends for good.
    fn deregister(&self, own: &Machine) -> Result<(), StoreError> {
        let _ = own;
        Ok(())
    }
}

const CALL_LIMIT: Duration = Duration::from_secs(3);
const MAX_ANSWER_BYTES: u64 = 1024 * 1024;
const TOO_MANY_REQUESTS: u16 = 429;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The list as a JSON array behind a URL.
pub struct HttpMachineList {
    url: String,
    agent: ureq::Agent,
}

impl HttpMachineList {
    /// The list at `url`, such as `http://127.0.0.1:8080/machines`.
    pub fn new(url: impl Into<String>) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_LIMIT))
            .http_status_as_error(false)
            .build();
        Self { url: url.into(), agent: config.into() }
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
