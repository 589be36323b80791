//! Queries the replication status of instances over pooled connections, or over a connection of the
//! gateway's own if none of the pool is idle.
//!
//! Replicas that still follow their primary are evidence that reads at the primary are current.
//! Each instance has at most one query in flight; requests that arrive meanwhile share the next
//! one. A query that finds no idle connection waits for one as long as statements or commits need
//! its answer.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Group;
use kestrellock_core::confirmation::ProbeNumber;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName};

use super::pool::Pool;
use super::server::{ProbeAnswer, Purpose, Server};
use super::status_connection::{PoolConnections, StatusConnection};
use super::{Gateway, GroupGateway};
use crate::event::Io;
use crate::metrics::{ProbeEvent, StatusConnectionEvent};

/// How long a query waits for a connection after it was last requested. Requests are repeated more
/// often than that while something waits for the answer.
const REQUEST_LIFETIME: Duration = Duration::from_millis(200);

/// Whether a query is to be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Request {
    #[default]
    None,
    /// If a connection is idle.
    IfConnected,
    /// Something waits for the answer.
    Needed,
    /// No connection was idle.
    Waiting { since: Instant, renewed_at: Instant },
}

/// The status query of one instance.
#[derive(Debug, Default)]
struct InstanceQuery {
    request: Request,
    /// The connection that carries the query in flight.
    in_flight: Option<usize>,
    /// Whether the query in flight has returned a row.
    is_answered: bool,
    /// The gateway's own connection.
    connection: StatusConnection,
}

impl InstanceQuery {
    /// Keeps a request that found no idle connection, if something waits for its answer. Returns
    /// whether this is the first attempt to send it.
    fn on_no_idle_connection(&mut self, is_awaited: bool, now: Instant) -> bool {
        let request = self.request;
        self.request = match request {
            Request::Needed => Request::Waiting { since: now, renewed_at: now },
            Request::Waiting { renewed_at, .. }
                if is_awaited && now < renewed_at + REQUEST_LIFETIME =>
            {
                request
            }
            _ => Request::None,
        };
        !matches!(request, Request::Waiting { .. })
    }

    /// Whether to open a connection for the query that waits.
    fn should_connect(&self, pool: PoolConnections, now: Instant) -> bool {
        match self.request {
            Request::Waiting { since, .. } => self.connection.should_open(pool, since, now),
            _ => false,
        }
    }
}

/// Status queries to the instances of one group.
#[derive(Debug, Default)]
pub struct StatusQueries {
    instances: HashMap<InstanceName, InstanceQuery>,
}

impl StatusQueries {
    /// Requests a query of the instance, for whose answer a statement or a commit waits.
    pub fn request(&mut self, instance: InstanceName, now: Instant) {
        let request = &mut self.instances.entry(instance).or_default().request;
        match request {
            Request::Waiting { renewed_at, .. } => *renewed_at = now,
            _ => *request = Request::Needed,
        }
    }

    /// Requests a query of the instance if a connection is idle.
    pub fn request_if_connected(&mut self, instance: InstanceName) {
        let request = &mut self.instances.entry(instance).or_default().request;
        if *request == Request::None {
            *request = Request::IfConnected;
        }
    }

    /// Whether any query waits for a connection.
    fn is_waiting(&self) -> bool {
        self.instances.values().any(|query| matches!(query.request, Request::Waiting { .. }))
    }

    /// Drops the state of instances that are no longer in the group.
    fn retain_configured(&mut self, group: &Group) {
        self.instances.retain(|name, query| {
            let is_in_use = query.in_flight.is_some() || query.connection.is_open();
            is_in_use || group.instance(name).is_some()
        });
    }

    /// Handles a lost connection to the instance. Returns whether it carried a query that was not
    /// answered.
    pub fn on_connection_lost(&mut self, instance: &InstanceName, key: usize, io: &Io) -> bool {
        if let Some(query) = self.instances.get_mut(instance)
            && query.connection.on_lost(key, io.now, rand::random())
        {
            io.context.metrics.status_connections.count(StatusConnectionEvent::Failed);
        }
        self.end_query(instance, key, io)
    }

    /// Handles the end of the gateway's own connection to the instance, which was not needed.
    pub fn on_connection_closed(&mut self, instance: &InstanceName, io: &Io) {
        io.context.metrics.status_connections.count(StatusConnectionEvent::Closed);
        if let Some(query) = self.instances.get_mut(instance) {
            query.connection.on_closed();
        }
    }

    /// Handles a connection that is idle. Returns whether it carried a query that was not answered.
    pub fn on_connection_ready(&mut self, instance: &InstanceName, key: usize, io: &Io) -> bool {
        if let Some(query) = self.instances.get_mut(instance) {
            query.connection.on_ready(key);
        }
        self.end_query(instance, key, io)
    }

    /// Ends the query that a connection carried. Returns whether it carried one that was not
    /// answered.
    fn end_query(&mut self, instance: &InstanceName, key: usize, io: &Io) -> bool {
        let Some(query) = self.instances.get_mut(instance) else { return false };
        if query.in_flight != Some(key) {
            return false;
        }
        query.in_flight = None;
        let failed = !query.is_answered;
        if failed {
            io.context.metrics.probes.count(ProbeEvent::Failed);
        }
        failed
    }

    /// Records the replication status that an instance reported on a connection.
    pub fn on_answer(
        &mut self,
        group: &GroupName,
        instance: &InstanceName,
        key: usize,
        answer: &ProbeAnswer,
        io: &Io,
    ) {
        io.context.metrics.probes.count(ProbeEvent::Answered);
        if let Some(query) = self.instances.get_mut(instance) {
            query.is_answered = true;
            query.connection.on_answer(key);
        }
        io.context.statuses.on_replication_status(
            group,
            instance,
            &answer.report,
            answer.queried_at,
        );
        io.context.renew_claim(group);
    }
}

impl Gateway {
    /// Queries unresponsive instances that have open connections. An answer shows that the instance
    /// responds again.
    pub(super) fn query_unresponsive_instances(&mut self, name: &GroupName, io: &mut Io) {
        let targets = io.context.statuses.take_due_status_queries(name, io.now);
        let Some(state) = self.groups.get_mut(name).filter(|_| !targets.is_empty()) else { return };
        for instance in targets {
            let is_open =
                state.pools.get(&instance).is_some_and(|pool| pool.open_connections() > 0);
            if is_open {
                state.status_queries.request_if_connected(instance);
            }
        }
        self.send_status_queries(name, io);
    }

    /// Resolves commits that wait for replication statuses of replicas, and queries the replicas if
    /// some commits still wait.
    pub(super) fn confirm_by_replica_statuses(
        &mut self,
        name: &GroupName,
        group: &Group,
        io: &mut Io,
    ) {
        let Some(state) = self.groups.get_mut(name) else { return };
        state.confirmations.resolve_by_replica_statuses(name, group, io);
        if !state.confirmations.should_query_replicas(io.now) {
            return;
        }
        let leader = io.context.leader(name, group).map(|leader| &leader.name);
        let replicas = group.instances.iter().filter(|instance| leader != Some(&instance.name));
        replicas.for_each(|replica| state.status_queries.request(replica.name.clone(), io.now));
        self.send_status_queries(name, io);
    }

    /// Sends queries that wait for a connection, and drops the state of removed instances.
    pub(super) fn send_waiting_status_queries(&mut self, name: &GroupName, io: &mut Io) {
        let catalog = io.context.catalog.load();
        let Some(state) = self.groups.get_mut(name) else { return };
        if let Some(group) = catalog.groups.get(name) {
            state.status_queries.retain_configured(group);
        }
        if state.status_queries.is_waiting() {
            self.send_status_queries(name, io);
        }
    }

    /// Sends the requested queries over idle connections, and opens connections for those that wait.
    pub(super) fn send_status_queries(&mut self, name: &GroupName, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        let is_awaited = state.placements.is_waiting() || state.confirmations.is_waiting();
        let mut broken = Vec::new();
        let mut to_connect = Vec::new();
        for (instance, query) in &mut state.status_queries.instances {
            if query.request == Request::None || query.in_flight.is_some() {
                continue;
            }
            let pool = state.pools.get_mut(instance);
            let pooled = pool.and_then(Pool::borrow_idle);
            let Some(key) = pooled.or_else(|| query.connection.take_idle()) else {
                if query.on_no_idle_connection(is_awaited, io.now) {
                    // End the round so that another instance can be queried.
                    state.evidence_queries.on_answer();
                }
                let pool = state.pools.get(instance);
                let in_pool = pool
                    .map_or(PoolConnections::NotKept, |pool| pool.connections_for_query(io.now));
                if query.should_connect(in_pool, io.now) {
                    to_connect.push((instance.clone(), in_pool));
                }
                continue;
            };
            let Some(server) = self.servers.get_mut(key) else { continue };
            query.request = Request::None;
            query.in_flight = Some(key);
            query.is_answered = false;
            io.context.metrics.probes.count(ProbeEvent::Sent);
            if pooled.is_none() {
                io.context.metrics.status_connections.count(StatusConnectionEvent::Queried);
            }
            server.query_position(ProbeNumber::default());
            if server.flush(io).is_err() {
                broken.push(key);
            }
        }
        for key in broken {
            self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
        for (instance, in_pool) in to_connect {
            self.open_status_connection(name, &instance, in_pool, io);
        }
    }

    fn open_status_connection(
        &mut self,
        name: &GroupName,
        instance: &InstanceName,
        in_pool: PoolConnections,
        io: &mut Io,
    ) {
        let catalog = io.context.catalog.load();
        let Some(group) = catalog.groups.get(name) else { return };
        let Some(configured) = group.instance(instance) else { return };
        if io.context.address_occupants.is_displaced(group, configured) {
            return;
        }
        let purpose = Purpose::Status;
        let opened = Server::connect(&mut self.servers, name, group, configured, None, purpose, io);
        let Some(state) = self.groups.get_mut(name) else { return };
        state.on_status_connection(name, instance, in_pool, opened.ok(), io);
    }
}

impl GroupGateway {
    /// Records the attempt to open a connection for status queries; `key` is `None` if it has
    /// failed.
    fn on_status_connection(
        &mut self,
        name: &GroupName,
        instance: &InstanceName,
        in_pool: PoolConnections,
        key: Option<usize>,
        io: &Io,
    ) {
        let Some(query) = self.status_queries.instances.get_mut(instance) else { return };
        let event = match key {
            Some(key) => {
                query.connection.on_opening(key);
                StatusConnectionEvent::Opened
            }
            None => {
                query.connection.on_failed(io.now, rand::random());
                StatusConnectionEvent::Failed
            }
        };
        io.context.metrics.status_connections.count(event);
        if io.context.routine_log_limiter.admits(io.now) {
            log::info!(
                event = "status_connection",
                group = name.as_str(),
                instance = instance.as_str(),
                in_pool:? = in_pool,
                outcome:? = event;
                "a status query waits, and no connection of the pool is idle"
            );
        }
    }
}
