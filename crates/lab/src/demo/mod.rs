//! The demonstration: store, two database groups and three nodes in one process on loopback.

pub mod check;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kestrellock_core::ids::{InstanceName, NodeName, ZoneName};
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::{PeerSettings, Settings};
use kestrellock_platform::etcd::EtcdStore;
use kestrellock_platform::store::ConfigStore;
use miette::{IntoDiagnostic, miette};
use serde_json::json;

use crate::logins::verifier_of;
use crate::standin::group::DatabaseGroup;
use crate::standin::group::lag::Lag;
use crate::standin::group::options::GroupOptions;
use crate::standin::store::PlatformStore;

const ZONES: [&str; 3] = ["casa-ain", "casa-sidi", "casa-bouskoura"];
const REPLICA_LAG: Duration = Duration::from_millis(100);

/// Everything the demonstration runs.
pub struct Demo {
    _store: PlatformStore,
    _groups: Vec<DatabaseGroup>,
    nodes: Vec<Node>,
    /// Where callers connect, one address a node.
    pub caller_addresses: Vec<SocketAddr>,
    /// Where operators connect, one address a node.
    pub admin_addresses: Vec<SocketAddr>,
}

impl Demo {
    /// Starts everything.
    pub fn start() -> miette::Result<Self> {
        let store = PlatformStore::start().into_diagnostic()?;
        let client = Arc::new(EtcdStore::new(vec![store.endpoint()]));
        let mut groups = Vec::new();
        for (name, database) in [("yearbook-orders", "orders"), ("resale-tickets", "tickets")] {
            let group = DatabaseGroup::start(GroupOptions {
                zones: ZONES.map(ZoneName::new).into(),
                replica_lag: Lag::Fixed(REPLICA_LAG),
                ..GroupOptions::default()
            })
            .into_diagnostic()?;
            write_group(client.as_ref(), name, database, &group.addresses)?;
            groups.push(group);
        }
        write_tenants(client.as_ref())?;
        let (settings, listeners) = bind_nodes(&store.endpoint())?;
        let caller_addresses = settings.iter().map(|node| node.caller_address).collect();
        let admin_addresses = settings.iter().map(|node| node.admin_address).collect();
        let mut nodes = Vec::new();
        for (settings, listeners) in settings.iter().zip(listeners) {
            nodes.push(
                Node::start(settings, listeners, client.clone(), Policy::Standard)
                    .into_diagnostic()?,
            );
        }
        Ok(Self { _store: store, _groups: groups, nodes, caller_addresses, admin_addresses })
    }

    /// Stops the nodes.
    pub fn stop(self) {
        self.nodes.into_iter().for_each(Node::stop);
    }
}

fn bind_nodes(store: &str) -> miette::Result<(Vec<Settings>, Vec<Listeners>)> {
    let mut all = Vec::new();
    let mut listeners = Vec::new();
    for zone in ZONES {
        let node = NodeName::new(format!("node-{zone}"));
        let mut settings = Settings {
            store_endpoints: vec![store.to_owned()],
            ..Settings::loopback(node, ZoneName::new(zone))
        };
        listeners.push(Listeners::bind(&mut settings).into_diagnostic()?);
        all.push(settings);
    }
    let peers: Vec<PeerSettings> = all
        .iter()
        .map(|node| PeerSettings {
            node: node.node.clone(),
            zone: node.zone.clone(),
            address: node.peer_address,
        })
        .collect();
    for settings in &mut all {
        let own = settings.node.clone();
        settings.peers = peers.iter().filter(|peer| peer.node != own).cloned().collect();
    }
    Ok((all, listeners))
}

fn write(store: &dyn ConfigStore, key: &str, value: &serde_json::Value) -> miette::Result<()> {
    let swap = store.compare_and_swap(key, 0, value.to_string().as_bytes()).into_diagnostic()?;
    match swap {
        kestrellock_platform::store::Swap::Written(_) => Ok(()),
        kestrellock_platform::store::Swap::Conflict => Err(miette!("{key} exists already")),
    }
}

fn write_group(
    store: &dyn ConfigStore,
    name: &str,
    database: &str,
    addresses: &[SocketAddr],
) -> miette::Result<()> {
    let instances: Vec<serde_json::Value> = addresses
        .iter()
        .zip(ZONES)
        .map(|(address, zone)| {
            let instance = InstanceName::new(format!("{name}-{zone}"));
            json!({ "name": instance, "zone": zone, "address": address, "slots": 5, "connections": 35 })
        })
        .collect();
    let group = json!({ "database": database, "user": "kestrellock", "instances": instances });
    write(store, &format!("{}{name}", kestrellock_platform::catalog::GROUPS), &group)
}

fn write_tenants(store: &dyn ConfigStore) -> miette::Result<()> {
    for (tenant, group) in [("atlas", "yearbook-orders"), ("gidanmu", "resale-tickets")] {
        let template = json!({
            "groups": [group], "max_staleness_ms": 1000, "capacity": 10, "deadline_ms": 5000,
        });
        let value = json!({ "template": tenant, "logins": { tenant: verifier_of(tenant) } });
        write(store, &format!("{}{tenant}", kestrellock_platform::catalog::TEMPLATES), &template)?;
        write(store, &format!("{}{tenant}", kestrellock_platform::catalog::TENANTS), &value)?;
    }
    Ok(())
}
