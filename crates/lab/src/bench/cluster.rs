//! Nodes of a bench: a store that holds a catalog, and nodes in this process that follow it.

use std::net::SocketAddr;
use std::sync::Arc;

use kestrellock_core::catalog::Catalog;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::{PeerSettings, Settings};
use kestrellock_net::source::SourceAddress;
use kestrellock_store::catalog::{GROUPS_PREFIX, TEMPLATES_PREFIX, TENANTS_PREFIX};
use kestrellock_store::etcd::EtcdStore;
use kestrellock_store::store::{ConfigStore, TransactionOutcome};
use miette::{IntoDiagnostic, ensure};
use serde::Serialize;

use crate::standin::store::PlatformStore;

/// A node to start.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Its name.
    pub name: NodeName,
    /// Its zone.
    pub zone: ZoneName,
}

/// A started node.
pub struct RunningNode {
    /// The node.
    pub node: Node,
    /// Where callers connect.
    pub caller_address: SocketAddr,
}

/// A store and nodes.
pub struct Cluster {
    _store: PlatformStore,
    /// The nodes, in the order of their plans.
    pub nodes: Vec<RunningNode>,
}

impl Cluster {
    /// Writes `catalog` to a new store and starts the nodes.
    pub fn start(catalog: &Catalog, plans: &[NodePlan], policy: Policy) -> miette::Result<Self> {
        let store = PlatformStore::start().into_diagnostic()?;
        let client = Arc::new(EtcdStore::new(vec![store.endpoint()], SourceAddress::ANY));
        write_catalog(client.as_ref(), catalog)?;
        let mut bound = Vec::new();
        for plan in plans {
            bound.push(bind(plan, &store.endpoint())?);
        }
        let peers: Vec<PeerSettings> = bound.iter().map(|node| node.as_peer()).collect();
        let mut nodes = Vec::new();
        for mut node in bound {
            let own = node.settings.node.clone();
            node.settings.peers = peers.iter().filter(|peer| peer.node != own).cloned().collect();
            nodes.push(start_node(node, client.clone(), policy)?);
        }
        Ok(Self { _store: store, nodes })
    }

    /// Stops every node.
    pub fn stop(self) {
        self.nodes.into_iter().for_each(|running| running.node.kill());
    }
}

struct BoundNode {
    settings: Settings,
    listeners: Listeners,
}

impl BoundNode {
    fn as_peer(&self) -> PeerSettings {
        PeerSettings {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.peer_address,
        }
    }
}

fn bind(plan: &NodePlan, store: &str) -> miette::Result<BoundNode> {
    let mut settings = Settings {
        store_endpoints: vec![store.to_owned()],
        ..Settings::loopback(plan.name.clone(), plan.zone.clone())
    };
    let listeners = Listeners::bind(&mut settings).into_diagnostic()?;
    Ok(BoundNode { settings, listeners })
}

fn start_node(
    bound: BoundNode,
    store: Arc<EtcdStore>,
    policy: Policy,
) -> miette::Result<RunningNode> {
    let caller_address = bound.settings.caller_address;
    let node = Node::start(&bound.settings, bound.listeners, store, policy).into_diagnostic()?;
    Ok(RunningNode { node, caller_address })
}

fn write_catalog(store: &dyn ConfigStore, catalog: &Catalog) -> miette::Result<()> {
    for (name, group) in &catalog.groups {
        write(store, &format!("{GROUPS_PREFIX}{name}"), group)?;
    }
    for (name, template) in &catalog.templates {
        write(store, &format!("{TEMPLATES_PREFIX}{name}"), template)?;
    }
    for (name, tenant) in &catalog.tenants {
        write(store, &format!("{TENANTS_PREFIX}{name}"), tenant)?;
    }
    Ok(())
}

fn write(store: &dyn ConfigStore, key: &str, value: &impl Serialize) -> miette::Result<()> {
    let text = serde_json::to_vec(value).into_diagnostic()?;
    let swap = store.compare_and_swap(key, 0, &text).into_diagnostic()?;
    ensure!(matches!(swap, TransactionOutcome::Written(_)), "{key} exists already");
    Ok(())
}

/// Instances of a group in a catalog's JSON form, named by `prefix` and their place.
pub fn instances_json(
    prefix: &str,
    zone: &str,
    (slots, connections): (u32, u32),
    addresses: &[SocketAddr],
) -> Vec<serde_json::Value> {
    let instance = |(index, address): (usize, &SocketAddr)| {
        serde_json::json!({
            "name": format!("{prefix}-{index}"), "zone": zone, "address": address,
            "slots": slots, "connections": connections,
        })
    };
    addresses.iter().enumerate().map(instance).collect()
}
