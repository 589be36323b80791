//! What a node's admin port and the operators' command line tell each other, as JSON.

pub mod configuration;

use serde::{Deserialize, Serialize};

use self::configuration::Entry;
use crate::catalog::Revision;
use crate::ids::{NodeName, ZoneName};
use crate::outcome::ResultCode;

/// Answer to `/healthz`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether callers should be sent here.
    pub ready: bool,
    /// Why not; empty if ready.
    pub reasons: Vec<String>,
}

/// Answer to `/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Version of its program.
    pub version: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Connected callers.
    pub callers: usize,
    /// Open back-end connections.
    pub backend_connections: usize,
    /// Nodes it believes to live, itself among them.
    pub live_nodes: usize,
    /// Threads restarted after a panic.
    pub restarts: u64,
}

/// Body of every answer that is not a success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminError {
    /// Numbered code as text, such as `KL2101`.
    pub code: String,
    /// What is wrong.
    pub message: String,
    /// Path of the faulty field of the configuration, where there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Entries that somebody else changed, as they stand now.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicting: Vec<Entry>,
}

impl AdminError {
    /// An error without a field.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code: code.to_string(),
            message: message.into(),
            field: None,
            conflicting: Vec::new(),
        }
    }
}
