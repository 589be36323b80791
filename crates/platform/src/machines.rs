//! The platform's list of live and leaving machines, which lags.

use std::net::SocketAddr;

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
}

/// Source of the machine list. Only a seed for membership: it lags and may be wrong.
pub trait MachineList: Send + Sync {
    /// The list as the platform has it now.
    fn machines(&self) -> Result<Vec<Machine>, StoreError>;
}
