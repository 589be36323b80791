//! The users' platform with nodes that are processes of `kestrellockd`.
//!
//! The store, the instances of one group and the promotion service are stand-ins in this process.
//! Each node reaches the store and the promotion service through relays, so that it can be
//! partitioned from the platform, and can be killed, suspended and started again.

pub mod journal;
pub mod late_promotion;
pub mod node;
pub mod rules;
pub mod writers;

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
use self::node::{NodeProcess, PlatformAddresses};
use crate::platform::client::LineSession;
use crate::platform::{ZONES, wait};
use crate::standin::instances::{InstanceGroup, InstanceOptions, PromotionService};
use crate::standin::relay::{Partition, Relay, RelayEvent, RelayObserver};
use crate::standin::store::{Dialect, PlatformStore};

/// Name of the group.
pub const GROUP: &str = "orders";
/// Database whose statements run at the primary of the group.
pub const DATABASE: &str = "orders-primary";
/// Number of nodes; one in each zone.
pub const NODES: usize = ZONES.len();
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
    /// For each node, its partition from the store and the promotion service.
    pub partitions: Vec<Arc<Partition>>,
    /// The service that promotes instances.
    pub promotions: PromotionService,
    /// The instances of the group.
    pub group: InstanceGroup,
    /// The record of the run.
    pub journal: Arc<Journal>,
    relays: Vec<Relay>,
    store: PlatformStore,
    folder: TempDir,
}

impl ProcessPlatform {
    /// Starts the stand-ins and the nodes, which are called `name` and a number.
    pub fn start(
        name: &str,
        partitions: Vec<Arc<Partition>>,
        journal: Arc<Journal>,
        observer: &Arc<PromotionObserver>,
    ) -> miette::Result<Self> {
        let store = PlatformStore::start_as(Dialect::Platform).into_diagnostic()?;
        let options = InstanceOptions {
            group: GROUP.to_owned(),
            zones: ZONES.map(str::to_owned).into(),
            synchronous: SYNCHRONOUS_REPLICAS,
            lag: REPLICA_LAG,
            connections: MAX_CONNECTIONS,
            slots: SLOTS,
        };
        let group = InstanceGroup::start(options, store.writer()).into_diagnostic()?;
        let promotions = PromotionService::start(std::slice::from_ref(&group), PROMOTION_DURATION);
        let promotions = promotions.into_diagnostic()?;
        store.put(CONFIGURATION_KEY, &configuration_value());
        let mut platform = Self {
            nodes: Vec::new(),
            partitions,
            promotions,
            group,
            journal,
            relays: Vec::new(),
            store,
            folder: tempfile::tempdir().into_diagnostic()?,
        };
        for number in 0..NODES {
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
        let partition = &self.partitions[number];
        let relay = |target: SocketAddr, observer: Arc<RelayObserver>| {
            Relay::start(target, partition.clone(), observer).into_diagnostic()
        };
        let store = relay(self.store.address, Arc::new(|_| {}))?;
        let promotions = relay(
            self.promotions.address(),
            Arc::new(move |event: RelayEvent<'_>| observer(number, event)),
        )?;
        let addresses =
            PlatformAddresses { store: store.address(), promotions: promotions.address() };
        let cluster_key = format!("cluster-of-{}", self.store.address);
        let node = NodeProcess::start(
            self.folder.path(),
            &format!("{name}-{number}"),
            ZONES[number],
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

    /// Waits until a write through a node is acknowledged.
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
        wait(&format!("a write through {} is acknowledged", node.name), || {
            step();
            let session = LineSession::open(node.client_address, DATABASE, "probe");
            session
                .and_then(|mut session| session.run("WRITE probe 1"))
                .is_ok_and(|answer| answer.is_success())
        })
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

fn configuration_value() -> Vec<u8> {
    let route = RouteEntry {
        name: DATABASE,
        database: DATABASE,
        group: GROUP,
        consistency: Consistency::Primary,
        max_staleness_ms: 0,
        timeout_ms: STATEMENT_TIMEOUT_MS,
    };
    let group = GroupEntry {
        name: GROUP,
        connections: MAX_CONNECTIONS as u32,
        synchronous: SYNCHRONOUS_REPLICAS as u32,
    };
    configuration(1, &[route], &[group])
}
