//! Settings and listeners of the demonstration's nodes.

use std::net::SocketAddr;

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::node::Listeners;
use kestrellock_daemon::settings::{PeerSettings, Secrets, Settings};
use kestrellock_program::secret::Secret;
use miette::IntoDiagnostic;

use super::{ADMIN_TOKEN, ZONES};
use crate::standin::network::Network;

/// Host part of a node's address within its zone.
const NODE_HOST: u16 = 2;
const CLUSTER_KEY: &str = "the demonstration's cluster key, 32 bytes and more";

/// A node that is ready to start.
pub struct PreparedNode {
    /// Settings with the addresses of the listeners.
    pub settings: Settings,
    /// Bound listeners.
    pub listeners: Listeners,
}

/// Binds the listeners of one node per zone, and enters every other node as a peer in each node's
/// settings.
pub fn bind(network: &Network, store: &str) -> miette::Result<Vec<PreparedNode>> {
    let mut prepared = Vec::new();
    for zone in ZONES.map(ZoneName::new) {
        prepared.push(bind_node(network, zone, store)?);
    }
    let peers: Vec<PeerSettings> = prepared.iter().map(peer_settings).collect();
    for node in &mut prepared {
        let own = node.settings.node.clone();
        node.settings.peers = peers.iter().filter(|peer| peer.node != own).cloned().collect();
    }
    Ok(prepared)
}

fn bind_node(network: &Network, zone: ZoneName, store: &str) -> miette::Result<PreparedNode> {
    let any_port = SocketAddr::new(network.address(&zone, NODE_HOST).into(), 0);
    let secrets = Secrets {
        admin_token: Some(Secret::new(ADMIN_TOKEN)),
        cluster_keys: vec![Secret::new(CLUSTER_KEY)],
        ..Secrets::default()
    };
    let name = NodeName::new(format!("node-{zone}"));
    let mut settings = Settings {
        caller_address: any_port,
        peer_address: any_port,
        admin_address: any_port,
        store_endpoints: vec![store.to_owned()],
        secrets,
        ..Settings::loopback(name, zone.clone())
    };
    let listeners = Listeners::bind(&mut settings).into_diagnostic()?;
    let exposed = network.expose(&zone, settings.peer_address).into_diagnostic()?;
    settings.advertised_peer_address = Some(exposed);
    Ok(PreparedNode { settings, listeners })
}

fn peer_settings(node: &PreparedNode) -> PeerSettings {
    let settings = &node.settings;
    PeerSettings {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        address: settings.advertised_peer_address.unwrap_or(settings.peer_address),
    }
}
