//! Settings of one node: addresses, zone, peers and store, from a TOML file.
//!
//! Nothing operators change at run time stands here; that is the catalog's part.

use std::net::SocketAddr;

use kestrellock_core::ids::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

/// One other node, known before membership has run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Name of the node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it accepts peers.
    pub address: SocketAddr,
}

/// The settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this node, unique in the cluster.
    pub node: NodeName,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// Where other nodes reach `peer_address`, if that is not the address itself.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// Event-loop threads.
    #[serde(default = "default_shards")]
    pub shards: u16,
    /// Other nodes to join through.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Endpoints of the configuration store, such as `http://127.0.0.1:2379`.
    pub store_endpoints: Vec<String>,
}

fn default_shards() -> u16 {
    1
}
