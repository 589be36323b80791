//! A running node: the root of the supervisor tree, which starts the threads of the node and stops
//! them together.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::credential_evidence::RevocationLimit;
use kestrellock_core::planned_stop::StopLimits;
use kestrellock_peer::auth::{ClusterKeys, KeyError};
use kestrellock_protocol::Protocol;
use kestrellock_store::machines::MachineList;
use kestrellock_store::source::{CatalogSource, WatchedCatalog};
use kestrellock_store::store::ConfigStore;
use mio::Waker;
use thiserror::Error;

use crate::admin::Admin;
use crate::agent;
use crate::agent::configuration::Configuration;
use crate::agent::counted_store::CountedStore;
use crate::agent::membership::MembershipConfig;
use crate::agent::promotion::ReplacementServices;
use crate::context::{Identity, NodeContext};
use crate::drain::{Drain, limits_of};
use crate::environment::Environment;
use crate::gateway::queued_log::QueuedLogLimiter;
use crate::metrics::Metrics;
use crate::net::acceptor::Acceptor;
use crate::net::keepalive::CLIENT_KEEPALIVE;
use crate::ownership::OwnershipCache;
use crate::policy::Policy;
use crate::routing_overrides::RoutingOverrides;
use crate::settings::{Backing, Settings};
use crate::shard::mailbox::{Mailboxes, ShardMessage};
use crate::shard::{Shard, event_loop};
use crate::shared::address_occupants::AddressOccupants;
use crate::shared::confirmations::Confirmations;
use crate::shared::event_log_limiters::EventLogLimiters;
use crate::shared::inbox::Inbox;
use crate::shared::isolation::SharedIsolation;
use crate::shared::listed_seeds::ListedSeeds;
use crate::shared::live::Shared;
use crate::shared::membership::SharedMembership;
use crate::shared::peer_versions::PeerVersions;
use crate::shared::peer_votes::SharedPeerVotes;
use crate::shared::promotion_calls::PromotionCalls;
use crate::shared::quotas::SharedQuotas;
use crate::shared::replacement_check_requests::ReplacementCheckRequests;
use crate::shared::replacement_checks::ReplacementChecks;
use crate::shared::replacements::Replacements;
use crate::shared::revisions::Revisions;
use crate::shared::revoked_evidence::RevokedEvidence;
use crate::shared::routine_log_lines::RoutineLogLimiter;
use crate::shared::stage::SharedStage;
use crate::shared::statuses::StatusTable;
use crate::supervisor::{StopFlag, Supervisor};

/// Number of threads that serve the admin port. With several, a request that waits for the store
/// does not block the others.
const ADMIN_THREADS: usize = 3;
/// Largest number of attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 50;

/// Why a node could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The node cannot listen on an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The cluster keys are invalid.
    #[error("cannot authenticate to other nodes: {0}")]
    ClusterKeys(#[from] KeyError),
    /// An event loop or server thread cannot be set up.
    #[error("cannot create an event loop: {0}")]
    EventLoop(io::Error),
}

/// Listening sockets of a node. They are bound before the node starts, so that the settings with
/// which it starts contain the actual ports instead of port 0.
pub struct Listeners {
    clients: TcpListener,
    peers: TcpListener,
    datagrams: UdpSocket,
    admin: TcpListener,
}

impl Listeners {
    /// Binds the addresses of `settings`, and stores the ports that the operating system chose in
    /// `settings`.
    pub fn bind(settings: &mut Settings) -> Result<Self, StartError> {
        let (peers, datagrams) = bind_peers(&mut settings.peer_address)?;
        let clients = bind(&mut settings.caller_address)?;
        let address = settings.caller_address;
        let failed = |source| StartError::Listen { address, source };
        CLIENT_KEEPALIVE.apply_to(&clients).map_err(failed)?;
        Ok(Self { clients, peers, datagrams, admin: bind(&mut settings.admin_address)? })
    }
}

/// Binds the same port for connections (TCP) and datagrams (UDP) of other nodes.
fn bind_peers(address: &mut SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let requested = *address;
    let attempts = if requested.port() == 0 { MAX_PORT_ATTEMPTS } else { 1 };
    let mut failure = None;
    for _ in 0..attempts {
        *address = requested;
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
    /// State shared by the node's threads.
    pub context: Arc<NodeContext>,
    stop: StopFlag,
    root: Supervisor,
    drain: Drain,
    limits: Mutex<StopLimits>,
}

impl Node {
    /// Starts a node on its listeners, for PostgreSQL groups and the configuration in `store`.
    pub fn start(
        settings: &Settings,
        listeners: Listeners,
        store: Arc<dyn ConfigStore>,
        policy: Policy,
    ) -> Result<Self, StartError> {
        Self::start_in(settings, listeners, Environment::of_postgres(settings, store), policy)
    }

    /// Starts a node on its listeners, in the given environment.
    pub fn start_in(
        settings: &Settings,
        listeners: Listeners,
        environment: Environment,
        policy: Policy,
    ) -> Result<Self, StartError> {
        let Environment { store, catalog, machine_list, replacement, protocol } = environment;
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
        let Listeners { clients, peers, datagrams, admin } = listeners;
        let client_listener_closed = Arc::new(AtomicBool::new(false));
        let client_acceptor = spawn_acceptor(
            &mut root,
            "callers",
            clients,
            mailboxes.clone(),
            AcceptorStop {
                flag: stop.clone(),
                leaving_node: Some(context.clone()),
                closed: client_listener_closed.clone(),
            },
            ShardMessage::Client,
        )?;
        let peer_listener_stop =
            AcceptorStop { flag: stop.clone(), leaving_node: None, closed: Arc::default() };
        spawn_acceptor(
            &mut root,
            "peers",
            peers,
            mailboxes.clone(),
            peer_listener_stop,
            ShardMessage::Peer,
        )?;
        let drain = Drain {
            context: context.clone(),
            shards: shards.clone(),
            mailboxes: mailboxes.clone(),
            client_listener_closed,
            client_acceptor,
        };
        let token = settings.secrets.admin_token.clone();
        let store: Arc<dyn ConfigStore> = Arc::new(CountedStore::new(store, context.clone()));
        let from_store = || Box::new(WatchedCatalog::new(store.clone())) as Box<dyn CatalogSource>;
        let catalog = catalog.unwrap_or_else(from_store);
        let configuration =
            Configuration::new(context.clone(), mailboxes.clone(), machine_list.is_some());
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
        spawn_machine_list_poller(&mut root, settings, machine_list, &context, &stop);
        spawn_membership(&mut root, datagrams, settings, &context, &stop);
        spawn_agent(&mut root, &configuration, catalog, &stop);
        spawn_replacement(&mut root, replacement, &mailboxes, &context, &stop);
        let limits = Mutex::new(limits_of(settings));
        Ok(Self { context, stop, root, drain, limits })
    }

    /// Stops all threads without a drain, like a killed process. Open work is lost.
    pub fn kill(self) {
        self.stop.stop();
        self.root.join();
    }

    /// Pauses or resumes every thread, to simulate a process that the operating system does not
    /// schedule.
    pub fn set_paused(&self, paused: bool) {
        self.stop.set_paused(paused);
    }

    /// Applies those settings that can change while the node runs.
    pub fn reload(&self, settings: &Settings) {
        self.context.accepted_commit_loss.store(settings.accept_commit_loss.clone());
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits_of(settings);
    }

    /// Drains the node, then stops all threads. Statements and transactions that last longer than
    /// the drain limit of the settings are aborted.
    pub fn stop(self) {
        self.set_paused(false);
        log::info!("{} is leaving", self.context.identity.node);
        let limits = *self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.drain.run(limits) {
            log::warn!("{} stops before its open work is finished", self.context.identity.node);
            self.drain.await_late_refusals();
            self.drain.report_unanswered();
        }
        self.kill();
    }

    /// Whether a thread of the node exceeded its restarts.
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
    let incarnation = since_epoch.as_micros() as u64;
    let identity = Identity {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        address: settings.source_address(),
        incarnation,
    };
    Ok(NodeContext {
        identity,
        live: Shared::default(),
        membership: SharedMembership::default(),
        peer_versions: PeerVersions::default(),
        cluster_keys: cluster_keys(settings)?,
        cluster: settings.cluster.clone(),
        catalog: Shared::new(IndexedCatalog::default()),
        ownership_cache: OwnershipCache::new(settings.tolerated_zone_losses),
        intents: Shared::default(),
        accepted_commit_loss: Shared::new(settings.accept_commit_loss.clone()),
        routing_overrides: RoutingOverrides::default(),
        stage: SharedStage::default(),
        stop: Shared::default(),
        statuses: StatusTable::default(),
        address_occupants: AddressOccupants::default(),
        backend_passwords: settings.secrets.backend_passwords.clone(),
        shards: settings.shards,
        protocol,
        policy,
        listed_seeds: ListedSeeds::default(),
        listed_nodes: Shared::default(),
        revoked_evidence: RevokedEvidence::default(),
        promotion_calls: Arc::new(PromotionCalls::new(incarnation)),
        peer_votes: SharedPeerVotes::new(settings.share_store_access),
        replacements: Replacements::default(),
        replacement_check_requests: ReplacementCheckRequests::default(),
        replacement_checks: ReplacementChecks::default(),
        distribution_inbox: Inbox::default(),
        revisions: Revisions::default(),
        revocation_limit: settings.revocation_limit.map(RevocationLimit::new),
        zone_drain_limit: settings.zone_drain_limit,
        isolation: SharedIsolation::new(
            settings.tolerated_zone_losses > 0,
            settings.machine_list.is_some() || settings.backing == Backing::Platform,
        ),
        prewarm_connections: settings.prewarm_connections,
        tolerated_zone_losses: settings.tolerated_zone_losses,
        share_instance_capacity: settings.share_instance_capacity,
        confirmations: Confirmations::default(),
        quotas: SharedQuotas::default(),
        routine_log_limiter: RoutineLogLimiter::new(settings.ordinary_lines_per_second),
        queued_log_limiter: QueuedLogLimiter::new(settings.ordinary_lines_per_second),
        event_log_limiters: EventLogLimiters::new(settings.ordinary_lines_per_second),
        metrics,
    })
}

/// The cluster keys of the settings. Without any, a random key that no other node has.
fn cluster_keys(settings: &Settings) -> Result<ClusterKeys, KeyError> {
    let keys = &settings.secrets.cluster_keys;
    if keys.is_empty() {
        let random_key: [u8; 32] = rand::random();
        return ClusterKeys::new([random_key.as_slice()]);
    }
    ClusterKeys::new(keys.iter().map(|key| key.reveal().as_bytes()))
}

/// Starts the child that polls the machine list, if there is one.
fn spawn_machine_list_poller(
    root: &mut Supervisor,
    settings: &Settings,
    machine_list: Option<Box<dyn MachineList>>,
    context: &Arc<NodeContext>,
    stop: &StopFlag,
) {
    let Some(list) = machine_list else { return };
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
    let config = MembershipConfig::new(settings, process, context.cluster_keys.clone());
    let (context, stop) = (context.clone(), stop.clone());
    root.spawn("membership", move || agent::membership::run(&socket, &config, &context, &stop));
}

/// When an acceptor stops, and how it reports that.
struct AcceptorStop {
    flag: StopFlag,
    /// The node, for a listener that closes when the node starts to leave.
    leaving_node: Option<Arc<NodeContext>>,
    /// Set once the listener is closed and all connections that it accepted were sent to the
    /// shards.
    closed: Arc<AtomicBool>,
}

impl AcceptorStop {
    fn is_requested(&self) -> bool {
        let leaving = self.leaving_node.as_ref().is_some_and(|context| context.is_leaving());
        leaving || self.flag.is_stopping()
    }
}

/// Starts the child that accepts connections and distributes them to the shards in turn. Returns
/// what makes it check its stop condition.
fn spawn_acceptor(
    root: &mut Supervisor,
    name: &str,
    listener: TcpListener,
    mailboxes: Arc<Mailboxes>,
    stop: AcceptorStop,
    wrap: fn(std::net::TcpStream) -> ShardMessage,
) -> Result<Arc<Waker>, StartError> {
    let acceptor = Acceptor::new(listener).map_err(StartError::EventLoop)?;
    let waker = acceptor.waker();
    let mut acceptor = Some(acceptor);
    let mut next = 0;
    root.spawn(format!("accept-{name}"), move || {
        let Some(acceptor) = acceptor.take() else { return };
        let on_accepted = |stream| {
            mailboxes.send(next, wrap(stream));
            next = (next + 1) % mailboxes.count() as u16;
        };
        acceptor.run(|| stop.is_requested(), || stop.flag.wait_while_paused(), on_accepted);
        // From now on, the operating system refuses new connections, and clients try another node.
        stop.closed.store(true, Ordering::Release);
    });
    Ok(waker)
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
    let (watching, flag) = (configuration.clone(), stop.clone());
    root.spawn("configuration-store", move || {
        agent::configuration::watch_source(&watching, catalog.as_mut(), &flag);
    });
    let (distributing, flag) = (configuration.clone(), stop.clone());
    root.spawn("configuration-peers", move || {
        agent::configuration::distribute(&distributing, &flag);
    });
}

/// Starts the child that replaces primaries, if the proxy does so on this platform.
fn spawn_replacement(
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
