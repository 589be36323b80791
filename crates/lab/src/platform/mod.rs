//! The users' platform in one process on loopback: the store, the instances, the promotion service
//! and the proxy's nodes, and a client that speaks the platform's line protocol.

mod addresses;
pub mod check;
pub mod client;
pub mod client_record;
mod configuration;
pub mod judged;
pub mod partition;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::environment::Environment;
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::{AdminPages, Backing, Settings};
use miette::{IntoDiagnostic, miette};

pub use self::addresses::node_address;
use self::client_record::ClientRecord;
use crate::standin::instances::{InstanceGroup, InstanceOptions, PromotionService};
use crate::standin::network::Network;
use crate::standin::store::{Dialect, PlatformStore, StoreSnapshot};

/// Names of the zones. Each zone has one instance of each group; nodes are placed in the zones in
/// turn.
pub const ZONES: [&str; 3] = ["casa-ain", "casa-sidi", "casa-bouskoura"];
/// Names of the database groups.
pub const GROUPS: [&str; 2] = ["orders", "tickets"];
/// Time after which [`wait`] fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_STALENESS_MS: u64 = 1_500;
/// Seed of the relays' random losses. The value is irrelevant, because these relays lose nothing at
/// random.
const RELAY_SEED: u64 = 1;
const TIMEOUT_MS: u64 = 3_000;

/// Options of a platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Number of nodes. They are placed in the zones in turn.
    pub nodes: usize,
    /// Delay between receiving and applying a commit on a replica.
    pub replica_lag: Duration,
    /// Duration of a promotion.
    pub promotion_delay: Duration,
    /// Maximum number of connections to an instance.
    pub max_connections: usize,
    /// Number of replicas that must have received a commit before the primary acknowledges it.
    pub synchronous_replicas: usize,
    /// Whether the store has a configuration from the start.
    pub configured: bool,
    /// Whether nodes reach each other and the store through relays, which can inject network
    /// faults.
    pub relayed: bool,
    /// Whether nodes also reach instances and the promotion service through relays, so that
    /// [`Platform::partition`] can separate them. Needs relays; each node has an address of its own.
    pub partitionable: bool,
    /// Whether each node has an address of its own, [`node_address`], instead of 127.0.0.1. The check
    /// of statements then allows no other.
    pub own_addresses: bool,
    /// Time within which every node must stop accepting a revoked key.
    pub revocation_limit: Option<Duration>,
    /// Time within which statements must stop reaching the instances of a drained zone.
    pub zone_drain_limit: Option<Duration>,
    /// Whether nodes open connections of accounts in advance.
    pub prewarm_connections: bool,
    /// Number of zones without which the nodes must be able to serve.
    pub tolerated_zone_losses: u32,
    /// Whether owners exchange their votes directly, by node; nodes that are missing do not.
    pub share_store_access: Vec<bool>,
    /// Duration of a planned stop, after which a node ends with work that is unfinished.
    pub drain_limit: Duration,
    /// Time from the start of a planned stop after which open transactions are ended.
    pub drain_transactions: Duration,
}

/// A customer of the platform.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name of the customer's account.
    pub name: String,
    /// Keys with which the customer's clients authenticate.
    pub keys: Vec<String>,
    /// Operations per second, and burst size of the token bucket.
    pub quota: (f64, f64),
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            nodes: 3,
            replica_lag: Duration::from_millis(5),
            promotion_delay: Duration::from_millis(120),
            max_connections: 40,
            synchronous_replicas: 1,
            configured: true,
            relayed: false,
            partitionable: false,
            own_addresses: false,
            revocation_limit: None,
            zone_drain_limit: None,
            prewarm_connections: false,
            tolerated_zone_losses: 0,
            share_store_access: Vec::new(),
            drain_limit: Duration::from_secs(3),
            drain_transactions: Duration::from_millis(1_500),
        }
    }
}

/// A running platform.
pub struct Platform {
    /// The configuration store.
    pub store: PlatformStore,
    /// The groups, in the order of [`GROUPS`].
    pub groups: Vec<InstanceGroup>,
    /// The service that promotes replicas.
    pub promotions: PromotionService,
    /// The relays, if [`PlatformOptions::relayed`]. Each node and the store has a zone of its own
    /// in this network.
    pub network: Option<Arc<Network>>,
    /// What the sessions of [`Platform::open_session`] sent.
    pub clients: Arc<ClientRecord>,
    options: PlatformOptions,
    /// Edition of the configuration that was written last.
    version: u64,
    /// Customers whose clients authenticate with keys; `None` for a configuration without accounts.
    customers: Option<Vec<Customer>>,
    /// The database whose routes lead to another group than its own, and that group.
    moved: Option<(String, &'static str)>,
    store_address: String,
    promotion_address: SocketAddr,
    /// Running nodes by number; `None` for a stopped one.
    nodes: Vec<Option<Node>>,
    /// Addresses for clients, by node.
    pub client_addresses: Vec<SocketAddr>,
    /// Addresses of the admin pages, by node.
    pub admin_addresses: Vec<SocketAddr>,
}

/// Name of a group's database with the given consistency.
pub fn database(group: &str, consistency: Consistency) -> String {
    let kind = match consistency {
        Consistency::Primary => "primary",
        Consistency::Bounded => "bounded",
        Consistency::Session => "session",
    };
    format!("{group}-{kind}")
}

/// Database name of an extra route. The names look random and share no text with each other, like
/// the names that operators choose.
pub fn extra_database(number: usize) -> String {
    let mixed = (number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    format!("d{:013x}", mixed >> 12)
}

/// Zone of the relay in front of a node.
pub fn node_relay_zone(number: usize) -> ZoneName {
    ZoneName::new(format!("node-{number}"))
}

/// Zone of the relay in front of the store.
pub fn store_relay_zone() -> ZoneName {
    ZoneName::new("store")
}

fn relays(options: &PlatformOptions) -> io::Result<Arc<Network>> {
    let mut zones: Vec<ZoneName> =
        (0..options.nodes).map(node_relay_zone).chain([store_relay_zone()]).collect();
    if options.partitionable {
        zones.extend(partition::zones());
    }
    Network::new(&zones, RELAY_SEED)
}

impl Platform {
    /// Starts the store, the instances, the promotion service and the nodes.
    pub fn start(options: PlatformOptions) -> miette::Result<Self> {
        let store = PlatformStore::start_as(Dialect::Platform).into_diagnostic()?;
        let network = options.relayed.then(|| relays(&options)).transpose().into_diagnostic()?;
        let partitions = network.as_ref().filter(|_| options.partitionable);
        let mut groups = Vec::new();
        for name in GROUPS {
            let group = InstanceOptions {
                group: name.to_owned(),
                zones: ZONES.map(str::to_owned).into(),
                synchronous: options.synchronous_replicas,
                lag: options.replica_lag,
                connections: options.max_connections,
                slots: 3,
            };
            let expose = |number, address| partition::expose(partitions, number, address);
            let group = InstanceGroup::start_behind(group, store.writer(), expose);
            groups.push(group.into_diagnostic()?);
        }
        let promotions =
            PromotionService::start(&groups, options.promotion_delay).into_diagnostic()?;
        let store_address = match &network {
            Some(network) => {
                let zone = store_relay_zone();
                let exposed = network.expose_tcp(&zone, store.address).into_diagnostic()?;
                format!("http://{exposed}")
            }
            None => store.endpoint(),
        };
        let mut platform = Self {
            promotion_address: partition::expose_promotions(partitions, promotions.address())
                .into_diagnostic()?,
            network,
            store_address,
            store,
            groups,
            promotions,
            clients: Arc::default(),
            version: 0,
            customers: None,
            moved: None,
            nodes: Vec::new(),
            client_addresses: Vec::new(),
            admin_addresses: Vec::new(),
            options,
        };
        platform.tell_node_addresses();
        if platform.options.configured {
            platform.configure(&[]);
        }
        for number in 0..platform.options.nodes {
            platform.add_node(number).into_diagnostic()?;
        }
        Ok(platform)
    }

    /// Makes the store unavailable for `away` and then restores it from `copy`. The instances then
    /// write their entries again.
    pub fn restore_store(&self, copy: &StoreSnapshot, away: Duration) {
        self.store.set_outage(true);
        std::thread::sleep(away);
        self.store.restore(copy);
        self.store.set_outage(false);
        self.groups.iter().for_each(InstanceGroup::republish_entries);
    }

    fn settings(&self, number: usize) -> Settings {
        let zone = ZoneName::new(ZONES[number % ZONES.len()]);
        let mut settings = Settings::loopback(NodeName::new(format!("node-{number}")), zone);
        if let Some(address) = self.own_address(number) {
            let address = SocketAddr::new(address, 0);
            settings.caller_address = address;
            settings.peer_address = address;
            settings.admin_address = address;
        }
        Settings {
            backing: Backing::Platform,
            admin_pages: AdminPages::Health,
            store_endpoints: vec![self.store_address.clone()],
            promotion_endpoint: Some(format!("http://{}", self.promotion_address)),
            drain_limit: self.options.drain_limit,
            drain_transactions: Some(self.options.drain_transactions),
            revocation_limit: self.options.revocation_limit,
            zone_drain_limit: self.options.zone_drain_limit,
            prewarm_connections: self.options.prewarm_connections,
            tolerated_zone_losses: self.options.tolerated_zone_losses,
            share_store_access: self.options.share_store_access.get(number) == Some(&true),
            ..settings
        }
    }

    fn add_node(&mut self, number: usize) -> io::Result<()> {
        let mut settings = self.settings(number);
        let listeners = Listeners::bind(&mut settings).map_err(io::Error::other)?;
        if let Some(network) = &self.network {
            let exposed = network.expose(&node_relay_zone(number), settings.peer_address)?;
            settings.advertised_peer_address = Some(exposed);
        }
        let node = start_node(&settings, listeners)?;
        self.client_addresses.push(settings.caller_address);
        self.admin_addresses.push(settings.admin_address);
        self.nodes.push(Some(node));
        Ok(())
    }

    /// Restarts a node under the same name on other ports. Does not support nodes behind relays.
    pub fn restart_node(&mut self, number: usize) -> miette::Result<()> {
        let mut settings = self.settings(number);
        let listeners =
            Listeners::bind(&mut settings).map_err(io::Error::other).into_diagnostic()?;
        let node = start_node(&settings, listeners).into_diagnostic()?;
        self.client_addresses[number] = settings.caller_address;
        self.admin_addresses[number] = settings.admin_address;
        self.nodes[number] = Some(node);
        Ok(())
    }

    /// The running nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    /// Drains and stops a node.
    pub fn stop_node(&mut self, number: usize) {
        if let Some(node) = self.nodes[number].take() {
            node.stop();
        }
    }

    /// Drains and stops several nodes at the same time.
    pub fn stop_nodes(&mut self, numbers: &[usize]) {
        let stopped = numbers.iter().filter_map(|number| self.nodes[*number].take());
        let stopped: Vec<Node> = stopped.collect();
        std::thread::scope(|scope| {
            for node in stopped {
                scope.spawn(move || node.stop());
            }
        });
    }

    /// Kills a node without draining it.
    pub fn kill_node(&mut self, number: usize) {
        if let Some(node) = self.nodes[number].take() {
            node.kill();
        }
    }

    /// Pauses or resumes a node.
    pub fn set_paused(&self, number: usize, paused: bool) {
        if let Some(node) = &self.nodes[number] {
            node.set_paused(paused);
        }
    }

    /// Waits until every node has a configuration and sees all running nodes as listed and live.
    pub fn wait_until_ready(&self) -> miette::Result<()> {
        wait("every node is ready", || {
            let count = self.nodes().count();
            self.nodes().all(|node| {
                let context = &node.context;
                let configured = !context.catalog.load().tenants.is_empty();
                let listed = context.listed_nodes.load().len() >= count;
                configured && listed && context.live.load().len() >= count
            })
        })
        .map_err(|error| miette!("{error}: {}", self.describe_nodes()))
    }

    /// Describes each node's configuration and membership, for the error of a wait.
    fn describe_nodes(&self) -> String {
        let nodes = self.nodes().map(|node| {
            let context = &node.context;
            format!(
                "{} has revision {}, {} tenants, {} listed nodes, {} live ones",
                context.identity.node,
                context.catalog.load().revision.0,
                context.catalog.load().tenants.len(),
                context.listed_nodes.load().len(),
                context.live.load().len()
            )
        });
        nodes.collect::<Vec<_>>().join("; ")
    }
}

fn start_node(settings: &Settings, listeners: Listeners) -> io::Result<Node> {
    let environment = Environment::of_platform(settings)?;
    let node = Node::start_in(settings, listeners, environment, Policy::Standard);
    node.map_err(io::Error::other)
}

impl Drop for Platform {
    fn drop(&mut self) {
        for node in self.nodes.iter_mut().filter_map(Option::take) {
            node.kill();
        }
    }
}

/// Polls until `condition` holds. `what` describes it in the error.
pub fn wait(what: &str, mut condition: impl FnMut() -> bool) -> miette::Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() >= deadline {
            return Err(miette!("timed out waiting: {what}"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
