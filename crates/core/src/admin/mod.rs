//! JSON messages between a node's admin port and the operators' command line.

pub mod configuration;

use serde::{Deserialize, Serialize};

use self::configuration::Entry;
use crate::catalog::Revision;
use crate::ids::{NodeName, ZoneName};
use crate::outcome::ResultCode;

/// Answer to `/healthz`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Whether clients should be sent to this node.
    pub ready: bool,
    /// Why the node is not ready; empty if it is.
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
    /// Revision of the active configuration.
    pub revision: Revision,
    /// Number of connected clients.
    #[serde(rename = "callers")]
    pub clients: usize,
    /// Number of open connections to instances.
    #[serde(rename = "backend_connections")]
    pub instance_connections: usize,
    /// Number of nodes that this node considers live, including itself.
    pub live_nodes: usize,
    /// Number of threads restarted after a panic.
    pub restarts: u64,
}

/// Body of all answers other than success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminError {
    /// Result code as text, such as `KL2101`.
    pub code: String,
    /// What is wrong.
    pub message: String,
    /// Path of the invalid configuration field, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Current state of the entries that another author has changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicting: Vec<Entry>,
}

impl AdminError {
    /// Creates an error without a field.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code: code.to_string(),
            message: message.into(),
            field: None,
            conflicting: Vec::new(),
        }
    }
}
