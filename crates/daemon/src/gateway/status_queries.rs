//! Queries the replication status of instances over pooled connections.
//!
//! Replicas that still follow their primary are evidence that reads at the primary are current.
//! Each instance has at most one query in flight; requests that arrive meanwhile share the next
//! one.

use std::collections::HashMap;

use kestrellock_core::catalog::Group;
use kestrellock_core::confirmation::ProbeNumber;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName};

use super::Gateway;
use super::pool::Pool;
use super::server::ProbeAnswer;
use crate::event::Io;
use crate::metrics::ProbeEvent;

/// The status query of one instance.
#[derive(Debug, Default)]
struct InstanceQuery {
    /// Whether a query is to be sent.
    is_requested: bool,
    /// The pooled connection that carries the query in flight.
    in_flight: Option<usize>,
    /// Whether the query in flight has returned a row.
    is_answered: bool,
}

/// Status queries to the instances of one group.
#[derive(Debug, Default)]
pub struct StatusQueries {
    instances: HashMap<InstanceName, InstanceQuery>,
}

impl StatusQueries {
    /// Requests a query of the instance.
    pub fn request(&mut self, instance: InstanceName) {
        self.instances.entry(instance).or_default().is_requested = true;
    }

    /// Handles a pooled connection that is idle again, or closed. Returns whether it carried a
    /// query that was not answered.
    pub fn on_connection_ready(&mut self, instance: &InstanceName, key: usize, io: &Io) -> bool {
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

    /// Records the replication status that an instance reported.
    pub fn on_answer(
        &mut self,
        group: &GroupName,
        instance: &InstanceName,
        answer: &ProbeAnswer,
        io: &Io,
    ) {
        io.context.metrics.probes.count(ProbeEvent::Answered);
        if let Some(query) = self.instances.get_mut(instance) {
            query.is_answered = true;
        }
        io.context.statuses.on_replication_status(group, instance, &answer.report, answer.asked);
    }
}

impl Gateway {
    /// Queries instances that are in doubt and have open connections. An answer clears the doubt.
    pub(super) fn query_instances_in_doubt(&mut self, name: &GroupName, io: &mut Io) {
        let targets = io.context.statuses.take_due_status_queries(name, io.now);
        let Some(state) = self.groups.get_mut(name).filter(|_| !targets.is_empty()) else { return };
        for instance in targets {
            let is_open =
                state.pools.get(&instance).is_some_and(|pool| pool.open_connections() > 0);
            if is_open {
                state.status_queries.request(instance);
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
        replicas.for_each(|replica| state.status_queries.request(replica.name.clone()));
        self.send_status_queries(name, io);
    }

    /// Sends the requested queries over idle connections of the instances' pools.
    pub(super) fn send_status_queries(&mut self, name: &GroupName, io: &mut Io) {
        let Some(state) = self.groups.get_mut(name) else { return };
        let mut broken = Vec::new();
        for (instance, query) in &mut state.status_queries.instances {
            if !query.is_requested || query.in_flight.is_some() {
                continue;
            }
            query.is_requested = false;
            let Some(key) = state.pools.get_mut(instance).and_then(Pool::borrow_idle) else {
                // No connection is idle: end the round so that another instance can be queried.
                state.evidence_queries.on_answer();
                continue;
            };
            let Some(server) = self.servers.get_mut(key) else { continue };
            query.in_flight = Some(key);
            query.is_answered = false;
            io.context.metrics.probes.count(ProbeEvent::Sent);
            server.query_position(ProbeNumber::default());
            if server.flush(io).is_err() {
                broken.push(key);
            }
        }
        for key in broken {
            self.on_server_lost(key, Fault::BackendLost, io);
        }
    }
}
