//! What a scenario runs on: a network of zones, the store, database groups and nodes.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::node::{Listeners, Node, StartError};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::{PeerSettings, Settings};
use kestrellock_net::source::SourceAddress;
use kestrellock_store::etcd::EtcdStore;
use miette::IntoDiagnostic;

use super::catalog;
use super::definition::{Deployment, Scenario};
use crate::check::history::{GroupId, InstanceId, NodeId};
use crate::standin::group::DatabaseGroup;
use crate::standin::group::lag::Lag;
use crate::standin::group::options::GroupOptions;
use crate::standin::group::service::{ServiceTime, ServiceTimes};
use crate::standin::network::Network;
use crate::standin::store::PlatformStore;

/// Host number of the first node of a zone.
const FIRST_NODE_HOST: u16 = 2;
/// Name of the zone of callers that are away from every node.
const CALLER_ZONE: &str = "callers";
/// Host number that callers of a zone come from.
const CALLER_HOST: u16 = 250;
/// Longest wait for a port to become free after a node has ended.
const REBIND_LIMIT: Duration = Duration::from_secs(5);
const REBIND_WAIT: Duration = Duration::from_millis(5);

/// A database group and its names.
pub struct Group {
    /// Its name; its database has the same.
    pub id: GroupId,
    /// The instances.
    pub servers: DatabaseGroup,
}

impl Group {
    /// Name of the instance at `index`.
    pub fn instance(&self, index: usize) -> InstanceId {
        InstanceId::new(catalog::instance_name(&self.id.0, index))
    }
}

/// A node, running or not.
pub struct NodeSlot {
    /// Its name.
    pub id: NodeId,
    /// Number of its zone.
    pub zone: usize,
    /// Where callers of every zone reach it.
    pub address: SocketAddr,
    settings: Settings,
    /// Sockets of its first start, held so that nobody else takes the ports meanwhile.
    first_listeners: Mutex<Option<Listeners>>,
    running: Mutex<Option<Node>>,
}

impl NodeSlot {
    /// The node, if it runs.
    pub fn running(&self) -> MutexGuard<'_, Option<Node>> {
        self.running.lock().expect("a holder of the node lock panicked")
    }

    fn first_listeners(&self) -> MutexGuard<'_, Option<Listeners>> {
        self.first_listeners.lock().expect("a holder of the listeners lock panicked")
    }
}

/// Everything that runs.
pub struct Cluster {
    /// Names of the zones.
    pub zones: Vec<ZoneName>,
    /// Links between the zones.
    pub network: Arc<Network>,
    /// Database groups.
    pub groups: Vec<Group>,
    /// Nodes.
    pub nodes: Vec<NodeSlot>,
    /// Client of the store.
    pub store: Arc<EtcdStore>,
    /// The store.
    pub platform: PlatformStore,
    policy: Policy,
}

impl Cluster {
    /// Starts everything.
    pub fn start(scenario: &Scenario, seed: u64, policy: Policy) -> miette::Result<Self> {
        let deployment = &scenario.deployment;
        let zones: Vec<ZoneName> = deployment.zones.iter().map(ZoneName::new).collect();
        let network = connect_zones(deployment, &zones, seed)?;
        let platform = PlatformStore::start().into_diagnostic()?;
        let store = Arc::new(EtcdStore::new(vec![platform.endpoint()], SourceAddress::ANY));
        let mut groups = Vec::new();
        for (number, database) in deployment.databases.iter().enumerate() {
            let seed = seed.wrapping_add(number as u64);
            let options = group_options(deployment, number, &zones, &network, seed);
            let servers = DatabaseGroup::start(options).into_diagnostic()?;
            servers.record_arrivals();
            groups.push(Group { id: GroupId::new(database), servers });
        }
        catalog::write(store.as_ref(), deployment, &groups)?;
        let nodes = prepare_nodes(deployment, &zones, &network, &platform)?;
        let cluster = Self { zones, network, groups, nodes, store, platform, policy };
        for node in 0..cluster.nodes.len() {
            cluster.start_node(node)?;
        }
        Ok(cluster)
    }

    /// Starts a node that does not run, at its old addresses.
    pub fn start_node(&self, node: usize) -> miette::Result<()> {
        let slot = &self.nodes[node];
        let mut settings = slot.settings.clone();
        let listeners = match slot.first_listeners().take() {
            Some(listeners) => listeners,
            None => bind(&mut settings).into_diagnostic()?,
        };
        let started = Node::start(&settings, listeners, self.store.clone(), self.policy);
        *slot.running() = Some(started.into_diagnostic()?);
        Ok(())
    }

    /// The group of a database.
    pub fn group(&self, database: &str) -> &Group {
        let found = self.groups.iter().find(|group| group.id.0 == database);
        found.expect("the scenario's databases were checked when it was read")
    }

    /// Address that callers of a zone come from.
    pub fn caller_address(&self, zone: usize) -> IpAddr {
        // A zone of the callers' own is the last of the network.
        let has_caller_zone = self.network.zones().len() > self.zones.len();
        let zone = if has_caller_zone { self.zones.len() } else { zone };
        self.network.address(&self.network.zones()[zone], CALLER_HOST).into()
    }

    /// Stops every node that runs.
    pub fn stop(&self) {
        thread::scope(|scope| {
            for slot in &self.nodes {
                if let Some(node) = slot.running().take() {
                    scope.spawn(move || node.kill());
                }
            }
        });
    }
}

/// Makes the links between the zones, and a zone for callers where they are away from all others.
fn connect_zones(
    deployment: &Deployment,
    zones: &[ZoneName],
    seed: u64,
) -> miette::Result<Arc<Network>> {
    let delay = |milliseconds: f64| Duration::from_secs_f64(milliseconds / 1000.0);
    let mut connected = zones.to_vec();
    if deployment.caller_delay_ms > 0.0 {
        connected.push(ZoneName::new(CALLER_ZONE));
    }
    let network = Network::new(&connected, seed).into_diagnostic()?;
    network.set_delay_everywhere(delay(deployment.zone_delay_ms));
    if let Some(callers) = connected.get(zones.len()) {
        for zone in zones {
            network.set_delay(callers, zone, delay(deployment.caller_delay_ms));
            network.set_delay(zone, callers, delay(deployment.caller_delay_ms));
        }
    }
    Ok(network)
}

/// Binds a node's addresses, waiting for those that its last life still holds. The port of the
/// operators is chosen anew, since nobody else is told of it.
fn bind(settings: &mut Settings) -> Result<Listeners, StartError> {
    settings.admin_address.set_port(0);
    let limit = Instant::now() + REBIND_LIMIT;
    loop {
        match Listeners::bind(settings) {
            Err(_) if Instant::now() < limit => thread::sleep(REBIND_WAIT),
            bound => return bound,
        }
    }
}

fn group_options(
    deployment: &Deployment,
    number: usize,
    zones: &[ZoneName],
    network: &Arc<Network>,
    seed: u64,
) -> GroupOptions {
    let zone_of = |index: usize| zones[(number + index) % zones.len()].clone();
    let service = match deployment.service_ms {
        0.0 => ServiceTime::None,
        mean => ServiceTime::Exponential { mean: Duration::from_secs_f64(mean / 1000.0) },
    };
    GroupOptions {
        zones: (0..deployment.instances).map(zone_of).collect(),
        slots: deployment.slots as usize,
        service_times: ServiceTimes { read: service, write: service, ..ServiceTimes::default() },
        connections: deployment.connections as usize,
        connection_setup: Duration::from_millis(deployment.connect_ms),
        replica_lag: Lag::Fixed(Duration::from_millis(deployment.replica_lag_ms)),
        election_timeout: Duration::from_millis(deployment.election_ms),
        seed,
        network: Some(network.clone()),
        ..GroupOptions::default()
    }
}

/// Settings of every node, with ports chosen and made reachable for other zones.
fn prepare_nodes(
    deployment: &Deployment,
    zones: &[ZoneName],
    network: &Network,
    platform: &PlatformStore,
) -> miette::Result<Vec<NodeSlot>> {
    let mut slots = Vec::new();
    for (zone, zone_name) in zones.iter().enumerate() {
        for number in 0..deployment.nodes_per_zone {
            let name = format!("node-{zone_name}-{number}");
            let host = network.address(zone_name, FIRST_NODE_HOST + number as u16);
            let mut settings = Settings {
                caller_address: (host, 0).into(),
                peer_address: (host, 0).into(),
                shards: deployment.shards,
                tolerated_zone_losses: deployment.tolerated_zone_losses,
                store_endpoints: vec![platform.endpoint()],
                ..Settings::loopback(NodeName::new(&name), zone_name.clone())
            };
            let listeners = Listeners::bind(&mut settings).into_diagnostic()?;
            let exposed = network.expose(zone_name, settings.peer_address).into_diagnostic()?;
            settings.advertised_peer_address = Some(exposed);
            let address =
                network.expose_tcp(zone_name, settings.caller_address).into_diagnostic()?;
            slots.push(NodeSlot {
                id: NodeId(name),
                zone,
                address,
                settings,
                first_listeners: Mutex::new(Some(listeners)),
                running: Mutex::new(None),
            });
        }
    }
    let peers: Vec<PeerSettings> = slots.iter().map(|slot| peer_of(&slot.settings)).collect();
    for slot in &mut slots {
        let own = &slot.settings.node;
        slot.settings.peers = peers.iter().filter(|peer| peer.node != *own).cloned().collect();
    }
    Ok(slots)
}

fn peer_of(settings: &Settings) -> PeerSettings {
    PeerSettings {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        address: settings.advertised_peer_address.unwrap_or(settings.peer_address),
    }
}
