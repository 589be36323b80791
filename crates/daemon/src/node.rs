//! The root supervisor: starts a node's parts and stops them together.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::credential_evidence::RevocationLimit;
use kestrellock_peer::auth::{ClusterKeys, KeyError};
use kestrellock_protocol::Protocol;
use kestrellock_store::machines::MachineList;
use kestrellock_store::source::{CatalogSource, WatchedCatalog};
use kestrellock_store::store::ConfigStore;
use thiserror::Error;

use crate::admin::Admin;
use crate::agent;
use crate::agent::configuration::Configuration;
use crate::agent::counted_store::CountedStore;
use crate::agent::membership::MembershipConfig;
use crate::agent::promotion::ReplacementServices;
use crate::context::{Identity, NodeContext};
use crate::detours::Detours;
use crate::environment::Environment;
use crate::metrics::Metrics;
use crate::net::acceptor::Acceptor;
use crate::net::liveness::OF_CALLERS;
use crate::ownership::Ownerships;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::shard::mailbox::{Mailboxes, ShardMessage};
use crate::shard::{Shard, event_loop};
use crate::shared::address_occupants::AddressOccupants;
use crate::shared::confirmations::Confirmations;
use crate::shared::inbox::Inbox;
use crate::shared::listed_seeds::ListedSeeds;
use crate::shared::live::Shared;
use crate::shared::membership::SharedMembership;
use crate::shared::quotas::SharedQuotas;
use crate::shared::replacement_check_requests::ReplacementCheckRequests;
use crate::shared::replacements::Replacements;
use crate::shared::revisions::Revisions;
use crate::shared::revoked_evidence::RevokedEvidence;
use crate::shared::routine_log_lines::RoutineLogLimiter;
use crate::shared::stage::SharedStage;
use crate::shared::statuses::StatusTable;
use crate::stopping::{Drain, DrainLimits};
use crate::supervisor::{StopFlag, Supervisor};

/// Threads that serve the admin port, so that one request that waits for the store stops no other.
const ADMIN_THREADS: usize = 3;
/// Attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS: usize = 50;

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// The cluster keys cannot be used.
    #[error("cannot authenticate to other nodes: {0}")]
    ClusterKeys(#[from] KeyError),
    /// The event loops cannot be made.
    #[error("cannot make an event loop: {0}")]
    EventLoop(io::Error),
}

/// Listening sockets of a node, bound before anything runs so that port 0 can be resolved first.
pub struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
    admin: TcpListener,
}

impl Listeners {
    /// Binds the addresses of `settings`, and writes the ports that the system chose back to it.
    pub fn bind(settings: &mut Settings) -> Result<Self, StartError> {
        let (peers, datagrams) = bind_peers(&mut settings.peer_address)?;
        let callers = bind(&mut settings.caller_address)?;
        let address = settings.caller_address;
        let failed = |source| StartError::Listen { address, source };
        OF_CALLERS.set_on(&callers).map_err(failed)?;
        Ok(Self { callers, peers, datagrams, admin: bind(&mut settings.admin_address)? })
    }
}

/// Binds one port for connections and datagrams of other nodes.
fn bind_peers(address: &mut SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let wanted = *address;
    let attempts = if wanted.port() == 0 { PORT_ATTEMPTS } else { 1 };
    let mut failure = None;
    for _ in 0..attempts {
        *address = wanted;
        let listener = bind(address)?;
        match UdpSocket::bind(*address) {
            Ok(socket) => return Ok((listener, socket)),
            Err(source) => failure = Some(source),
        }
    }
    let source = failure.unwrap_or_else(|| io::ErrorKind::AddrInUse.into());
    Err(StartError::Listen { address: *address, source })
}

fn bind(address: &mut SocketAddr) -> Result<TcpListener, StartError> {
    let failed = |source| StartError::Listen { address: *address, source };
    let listener = TcpListener::bind(*address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}

/// A running node.
pub struct Node {
    /// What its threads share.
    pub context: Arc<NodeContext>,
    stop: StopFlag,
    root: Supervisor,
    drain: Drain,
    limits: Mutex<DrainLimits>,
}

impl Node {
    /// Starts a node on its listeners that speaks PostgreSQL.
    pub fn start(
        settings: &Settings,
        listeners: Listeners,
        store: Arc<dyn ConfigStore>,
        policy: Policy,
    ) -> Result<Self, StartError> {
        Self::start_on(settings, listeners, Environment::of_postgres(settings, store), policy)
    }

    /// Starts a node on its listeners, in the given environment.
    pub fn start_on(
        settings: &Settings,
        listeners: Listeners,
        environment: Environment,
        policy: Policy,
    ) -> Result<Self, StartError> {
        let Environment { store, catalog, machines, succession, protocol } = environment;
        let stop = StopFlag::default();
        let context = new_context(settings, protocol, policy, Metrics::new(stop.restarts()))?;
        let context = Arc::new(context);
        let (mailboxes, receivers) =
            Mailboxes::new(settings.shards).map_err(StartError::EventLoop)?;
        let mailboxes = Arc::new(mailboxes);
        let mut root = Supervisor::new("node", stop.clone());
        let mut shards = Vec::new();
        for (number, mut mailbox) in receivers.into_iter().enumerate() {
            let shard = Shard::new(number as u16, context.clone(), mailboxes.clone());
            let shard = Arc::new(Mutex::new(shard));
            shards.push(shard.clone());
            let stop = stop.clone();
            root.spawn(format!("shard-{number}"), move || {
                event_loop::run(&shard, &mut mailbox, &stop);
            });
        }
        let Listeners { callers, peers, datagrams, admin } = listeners;
        let callers_closed = Arc::new(AtomicBool::new(false));
        spawn_acceptor(
            &mut root,
            "callers",
            callers,
            mailboxes.clone(),
            Acceptance {
                stop: stop.clone(),
                until_leaving: Some(context.clone()),
                closed: callers_closed.clone(),
            },
            ShardMessage::Caller,
        )?;
        let always = Acceptance { stop: stop.clone(), until_leaving: None, closed: Arc::default() };
        spawn_acceptor(&mut root, "peers", peers, mailboxes.clone(), always, ShardMessage::Peer)?;
        let drain = Drain {
            context: context.clone(),
            shards: shards.clone(),
            mailboxes: mailboxes.clone(),
            callers_closed,
        };
        let token = settings.secrets.admin_token.clone();
        let store: Arc<dyn ConfigStore> = Arc::new(CountedStore::new(store, context.clone()));
        let in_store = || Box::new(WatchedCatalog::new(store.clone())) as Box<dyn CatalogSource>;
        let catalog = catalog.unwrap_or_else(in_store);
        let configuration =
            Configuration::new(context.clone(), mailboxes.clone(), machines.is_some());
        let configuration = Arc::new(configuration);
        let pages = Admin {
            context: context.clone(),
            shards,
            stop: stop.clone(),
            store: store.clone(),
            configuration: configuration.clone(),
            pages: settings.admin_pages,
            token,
        };
        spawn_admin(&mut root, admin, pages)?;
        spawn_machines(&mut root, settings, machines, &context, &stop);
        spawn_membership(&mut root, datagrams, settings, &context, &stop);
        spawn_agent(&mut root, &configuration, catalog, &stop);
        spawn_succession(&mut root, succession, &mailboxes, &context, &stop);
        let limits = Mutex::new(DrainLimits::of(settings));
        Ok(Self { context, stop, root, drain, limits })
    }

    /// Stops every part at once, as a killed process would: whatever was under way is lost.
    pub fn kill(self) {
        self.stop.stop();
        self.root.join();
    }

    /// Freezes or thaws every thread, as an operating system that does not run the process.
    pub fn set_paused(&self, paused: bool) {
        self.stop.set_paused(paused);
    }

    /// Puts those settings in force that can change while the node runs.
    pub fn reload(&self, settings: &Settings) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = DrainLimits::of(settings);
    }

    /// Stops taking work, finishes what is under way, then stops every part. Statements and
    /// transactions that outlast the drain limit of the settings are cut.
    pub fn stop(self) {
        self.set_paused(false);
        log::info!("{} is leaving", self.context.identity.node);
        let limits = *self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.drain.run(limits) {
            log::warn!("{} stops with work under way", self.context.identity.node);
        }
        self.kill();
    }

    /// Whether a part of the node gave up.
    pub fn has_failed(&self) -> bool {
        self.stop.has_failed()
    }
}

fn new_context(
    settings: &Settings,
    protocol: Arc<dyn Protocol>,
    policy: Policy,
    metrics: Metrics,
) -> Result<NodeContext, StartError> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let identity = Identity {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        address: settings.peer_address.ip(),
        incarnation: since_epoch.as_micros() as u64,
    };
    Ok(NodeContext {
        identity,
        live: Shared::default(),
        membership: SharedMembership::default(),
        cluster_keys: cluster_keys(settings)?,
        cluster: settings.cluster.clone(),
        catalog: Shared::new(IndexedCatalog::default()),
        owners: Ownerships::default(),
        intents: Shared::default(),
        detours: Detours::default(),
        stage: SharedStage::default(),
        transactions_until: Shared::default(),
        statuses: StatusTable::default(),
        occupants: AddressOccupants::default(),
        backend_passwords: settings.secrets.backend_passwords.clone(),
        shards: settings.shards,
        protocol,
        policy,
        listed_seeds: ListedSeeds::default(),
        listed_nodes: Shared::default(),
        given_up: RevokedEvidence::default(),
        replacements: Replacements::default(),
        store_looks: ReplacementCheckRequests::default(),
        configuration: Inbox::default(),
        revisions: Revisions::default(),
        revocation_limit: settings.revocation_limit.map(RevocationLimit::new),
        zone_drain_limit: settings.zone_drain_limit,
        confirmations: Confirmations::default(),
        quotas: SharedQuotas::default(),
        ordinary_lines: RoutineLogLimiter::new(settings.ordinary_lines_per_second),
        metrics,
    })
}

/// The keys of the settings; without any, one that no other node has.
fn cluster_keys(settings: &Settings) -> Result<ClusterKeys, KeyError> {
    let keys = &settings.secrets.cluster_keys;
    if keys.is_empty() {
        let own_only: [u8; 32] = rand::random();
        return ClusterKeys::new([own_only.as_slice()]);
    }
    ClusterKeys::new(keys.iter().map(|key| key.reveal().as_bytes()))
}

/// Starts the child that looks at the machine list, if there is one.
fn spawn_machines(
    root: &mut Supervisor,
    settings: &Settings,
    machines: Option<Box<dyn MachineList>>,
    context: &Arc<NodeContext>,
    stop: &StopFlag,
) {
    let Some(list) = machines else { return };
    let peers = agent::membership::configured_seeds(settings);
    let own = agent::membership::own_machine(settings);
    let (context, stop) = (context.clone(), stop.clone());
    root.spawn("machines", move || {
        agent::machines::poll(list.as_ref(), &own, &peers, &context, &stop);
    });
}

fn spawn_membership(
    root: &mut Supervisor,
    socket: UdpSocket,
    settings: &Settings,
    context: &Arc<NodeContext>,
    stop: &StopFlag,
) {
    let process = context.identity.incarnation;
    let joining = MembershipConfig::new(settings, process, context.cluster_keys.clone());
    let (context, stop) = (context.clone(), stop.clone());
    root.spawn("membership", move || agent::membership::run(&socket, &joining, &context, &stop));
}

/// How long a listener accepts.
struct Acceptance {
    stop: StopFlag,
    /// Set for a listener that closes when the node begins to leave.
    until_leaving: Option<Arc<NodeContext>>,
    /// Told once it is closed, and all that it has accepted is with the shards.
    closed: Arc<AtomicBool>,
}

impl Acceptance {
    fn is_over(&self) -> bool {
        let leaving = self.until_leaving.as_ref().is_some_and(|context| context.is_leaving());
        leaving || self.stop.is_stopping()
    }
}

/// Starts the child that accepts connections and deals them out to the shards in turn.
fn spawn_acceptor(
    root: &mut Supervisor,
    name: &str,
    listener: TcpListener,
    mailboxes: Arc<Mailboxes>,
    acceptance: Acceptance,
    wrap: fn(std::net::TcpStream) -> ShardMessage,
) -> Result<(), StartError> {
    let mut acceptor = Some(Acceptor::new(listener).map_err(StartError::EventLoop)?);
    let mut next = 0;
    root.spawn(format!("accept-{name}"), move || {
        let Some(acceptor) = acceptor.take() else { return };
        let take = |stream| {
            mailboxes.send(next, wrap(stream));
            next = (next + 1) % mailboxes.count() as u16;
        };
        acceptor.run(|| acceptance.is_over(), || acceptance.stop.wait_while_paused(), take);
        // Callers that come now are refused by the operating system and go elsewhere.
        acceptance.closed.store(true, Ordering::Release);
    });
    Ok(())
}

fn spawn_admin(
    root: &mut Supervisor,
    listener: TcpListener,
    pages: Admin,
) -> Result<(), StartError> {
    listener.set_nonblocking(false).map_err(StartError::EventLoop)?;
    let server = tiny_http::Server::from_listener(listener, None)
        .map_err(|error| StartError::EventLoop(io::Error::other(error)))?;
    let (server, pages) = (Arc::new(server), Arc::new(pages));
    for number in 0..ADMIN_THREADS {
        let (server, pages) = (server.clone(), pages.clone());
        root.spawn(format!("admin-{number}"), move || pages.serve(&server));
    }
    Ok(())
}

fn spawn_agent(
    root: &mut Supervisor,
    configuration: &Arc<Configuration>,
    mut catalog: Box<dyn CatalogSource>,
    stop: &StopFlag,
) {
    let (following, flag) = (configuration.clone(), stop.clone());
    root.spawn("configuration-store", move || {
        agent::configuration::watch_source(&following, catalog.as_mut(), &flag);
    });
    let (exchanging, flag) = (configuration.clone(), stop.clone());
    root.spawn("configuration-peers", move || {
        agent::configuration::distribute(&exchanging, &flag);
    });
}

/// Starts the child that replaces primaries, where that is the proxy's part.
fn spawn_succession(
    root: &mut Supervisor,
    services: Option<ReplacementServices>,
    mailboxes: &Arc<Mailboxes>,
    context: &Arc<NodeContext>,
    stop: &StopFlag,
) {
    let Some(services) = services else { return };
    let (context, mailboxes, stop) = (context.clone(), mailboxes.clone(), stop.clone());
    root.spawn("succession", move || agent::promotion::run(&context, &mailboxes, &services, &stop));
}
