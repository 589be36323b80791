//! The users' platform with nodes that are processes of `kestrellockd`.
//!
//! The store, the instances of the groups and the promotion service are stand-ins in this process.
//! Each node reaches the store and the promotion service through relays, so that it can be
//! partitioned from the platform, and can be killed, suspended and started again.

pub mod journal;
pub mod late_promotion;
pub mod link;
pub mod node;
pub mod rules;
pub mod writers;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_platform::standin::entries::{
    CONFIGURATION_KEY, GroupEntry, RouteEntry, configuration,
};
use miette::IntoDiagnostic;
use tempfile::TempDir;

use self::journal::Journal;
use self::link::{LinkFault, LinkRelay};
use self::node::{NodeProcess, PlatformAddresses};
use crate::check::statements::record::RouteKind;
use crate::platform::client::LineSession;
use crate::platform::client_record::ClientRecord;
use crate::platform::{ZONES, wait};
use crate::standin::instances::{InstanceGroup, InstanceOptions, PromotionService};
use crate::standin::relay::{RelayEvent, RelayObserver};
use crate::standin::store::{Dialect, PlatformStore};

/// Names of the groups that a platform may have; it has the first ones.
pub const GROUPS: [&str; 2] = ["orders", "tickets"];
/// Environment variable with the path of a folder that keeps the logs of the nodes.
pub const KEEP_LOGS: &str = "KEEP_LOGS";

const STATEMENT_TIMEOUT_MS: u64 = 800;
const REPLICA_LAG: Duration = Duration::from_millis(5);
const PROMOTION_DURATION: Duration = Duration::from_millis(300);
const MAX_CONNECTIONS: usize = 40;
const SYNCHRONOUS_REPLICAS: usize = 1;
const SLOTS: u32 = 3;

/// Observes what a node sends to the promotion service. The first argument is the number of the
/// node.
pub type PromotionObserver = dyn Fn(usize, RelayEvent<'_>) + Send + Sync;

/// A running platform.
pub struct ProcessPlatform {
    /// The nodes. Declared first, so that they end before the stand-ins.
    pub nodes: Vec<NodeProcess>,
    /// For each node, the fault of its links to the store and the promotion service.
    pub links: Vec<LinkFault>,
    /// The service that promotes instances.
    pub promotions: PromotionService,
    /// The instances of each group, in the order of [`GROUPS`].
    pub groups: Vec<InstanceGroup>,
    /// What the clients sent.
    pub clients: Arc<ClientRecord>,
    /// The record of the run.
    pub journal: Arc<Journal>,
    /// The platform's store.
    pub store: PlatformStore,
    relays: Vec<LinkRelay>,
    folder: TempDir,
}

impl ProcessPlatform {
    /// Starts the stand-ins of as many groups, and a node for each of `links`. The nodes are called
    /// `name` and a number.
    pub fn start(
        name: &str,
        groups: usize,
        links: Vec<LinkFault>,
        journal: Arc<Journal>,
        observer: &Arc<PromotionObserver>,
    ) -> miette::Result<Self> {
        let store = PlatformStore::start_as(Dialect::Platform).into_diagnostic()?;
        let groups: io::Result<Vec<InstanceGroup>> = GROUPS[..groups]
            .iter()
            .map(|group| InstanceGroup::start(instance_options(group), store.writer()))
            .collect();
        let groups = groups.into_diagnostic()?;
        let promotions = PromotionService::start(&groups, PROMOTION_DURATION).into_diagnostic()?;
        store
            .put(CONFIGURATION_KEY, &configuration_value(1, groups.len(), &GROUPS[..groups.len()]));
        let mut platform = Self {
            nodes: Vec::new(),
            links,
            promotions,
            groups,
            clients: Arc::default(),
            journal,
            relays: Vec::new(),
            store,
            folder: tempfile::tempdir().into_diagnostic()?,
        };
        for number in 0..platform.links.len() {
            platform.start_node(name, number, observer.clone())?;
        }
        Ok(platform)
    }

    fn start_node(
        &mut self,
        name: &str,
        number: usize,
        observer: Arc<PromotionObserver>,
    ) -> miette::Result<()> {
        let link = &self.links[number];
        let store = link.relay(self.store.address, Arc::new(|_| {})).into_diagnostic()?;
        let observer: Arc<RelayObserver> = Arc::new(move |event| observer(number, event));
        let promotions = link.relay(self.promotions.address(), observer).into_diagnostic()?;
        let addresses =
            PlatformAddresses { store: store.address(), promotions: promotions.address() };
        let cluster_key = format!("cluster-of-{}", self.store.address);
        let node = NodeProcess::start(
            self.folder.path(),
            &format!("{name}-{number}"),
            ZONES[number % ZONES.len()],
            addresses,
            &cluster_key,
        )?;
        self.relays.extend([store, promotions]);
        self.nodes.push(node);
        Ok(())
    }

    /// Waits until every node is ready and has a write acknowledged.
    pub fn wait_until_ready(&mut self) -> miette::Result<()> {
        for number in 0..self.nodes.len() {
            let mut outcome = Ok(false);
            wait("the node is ready", || {
                outcome = self.nodes[number].is_ready();
                !matches!(outcome, Ok(false))
            })?;
            outcome?;
            self.wait_until_served(number)?;
        }
        Ok(())
    }

    /// Waits until a write to each group through a node is acknowledged.
    pub fn wait_until_served(&self, number: usize) -> miette::Result<()> {
        self.wait_until_served_with(number, || {})
    }

    /// Like [`Self::wait_until_served`]; calls `step` between the attempts.
    pub fn wait_until_served_with(
        &self,
        number: usize,
        mut step: impl FnMut(),
    ) -> miette::Result<()> {
        let node = &self.nodes[number];
        for group in &self.groups {
            let database = database_of(&group.name());
            wait(&format!("a write to {database} through {} is acknowledged", node.name), || {
                step();
                let session = LineSession::open(node.client_address, &database, "probe");
                session
                    .map(|session| {
                        session.recorded_by(self.clients.session("probe", RouteKind::Primary))
                    })
                    .and_then(|mut session| session.run("WRITE probe 1"))
                    .is_ok_and(|answer| answer.is_success())
            })?;
        }
        Ok(())
    }

    /// Writes the operator's configuration of the given version, with all groups and a route to
    /// each of the first `routes` groups.
    pub fn configure(&self, version: u64, routes: usize) {
        let groups = &GROUPS[..self.groups.len()];
        self.store.put(CONFIGURATION_KEY, &configuration_value(version, routes, groups));
    }

    /// The databases whose statements run at the primaries of the groups.
    pub fn databases(&self) -> Vec<String> {
        self.groups.iter().map(|group| database_of(&group.name())).collect()
    }

    /// Addresses of the nodes for clients.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.client_address).collect()
    }

    /// Copies the journal and the nodes' logs to a folder of the given name in the folder that the
    /// environment variable [`KEEP_LOGS`] names, if it is set.
    pub fn keep_logs(&self, name: &str) -> miette::Result<()> {
        let Some(folder) = std::env::var_os(KEEP_LOGS) else { return Ok(()) };
        let folder = Path::new(&folder).join(name);
        std::fs::create_dir_all(&folder).into_diagnostic()?;
        for node in &self.nodes {
            let log = folder.join(format!("{}.log", node.name));
            std::fs::write(log, node.log()).into_diagnostic()?;
        }
        std::fs::write(folder.join("journal.txt"), self.journal.text()).into_diagnostic()
    }
}

/// Name of the database whose statements run at the primary of a group.
pub fn database_of(group: &str) -> String {
    format!("{group}-primary")
}

fn instance_options(group: &str) -> InstanceOptions {
    InstanceOptions {
        group: group.to_owned(),
        zones: ZONES.map(str::to_owned).into(),
        synchronous: SYNCHRONOUS_REPLICAS,
        lag: REPLICA_LAG,
        connections: MAX_CONNECTIONS,
        slots: SLOTS,
    }
}

fn configuration_value(version: u64, routes: usize, groups: &[&str]) -> Vec<u8> {
    let databases: Vec<String> = groups.iter().map(|group| database_of(group)).collect();
    let routes = groups.iter().zip(&databases).take(routes).map(|(group, database)| RouteEntry {
        name: database,
        database,
        group,
        consistency: Consistency::Primary,
        max_staleness_ms: 0,
        timeout_ms: STATEMENT_TIMEOUT_MS,
    });
    let entries = groups.iter().map(|name| GroupEntry {
        name,
        connections: MAX_CONNECTIONS as u32,
        synchronous: SYNCHRONOUS_REPLICAS as u32,
    });
    configuration(version, &routes.collect::<Vec<_>>(), &entries.collect::<Vec<_>>())
}
