//! Dispatches the events of connections to the pool, the monitor, the pending confirmations and the
//! status queries of their group.

use std::time::Instant;

use kestrellock_core::catalog::Group;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{GroupName, InstanceName};

use super::Gateway;
use super::confirmation::{refuse_late, refuse_of_removed_group};
use super::pool::Pool;
use super::server::{Purpose, Server, ServerEvent};
use crate::event::Io;
use crate::metrics::{ConnectionEvent, ProbeEvent};
use crate::net::connection::ReadOutcome;
use crate::shared::statuses::ConnectionOutcome;

/// Records that an instance accepted a connection under its name: any other instance that the
/// platform announces at the same address no longer runs.
fn record_occupant(name: &GroupName, group: &Group, instance: &InstanceName, io: &Io) {
    let Some(configured) = group.instance(instance) else { return };
    let displaced = io.context.address_occupants.on_answered(configured.address, instance);
    if let Some(displaced) = displaced.filter(|name| group.instance(name).is_some()) {
        log::info!(
            event = "instance_displaced",
            group = name.as_str(),
            instance = displaced.as_str(),
            by = instance.as_str();
            "another instance answers at the address of an instance that is still announced"
        );
    }
}

/// Records what an event shows about the process of the instance.
fn record_process(server: &Server, event: &ServerEvent, io: &Io) {
    let answers = matches!(
        event,
        ServerEvent::Started(_)
            | ServerEvent::Answered
            | ServerEvent::InstanceBusy
            | ServerEvent::Probed(_)
    );
    if answers && matches!(server.purpose, Purpose::Pooled | Purpose::Status) {
        let (established, sent) = server.times();
        io.context.statuses.on_process_seen(&server.group, &server.instance, established, sent);
    }
}

impl Gateway {
    /// Handles the readiness of a connection to an instance.
    pub fn on_ready(&mut self, key: usize, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let outcome = server.fill();
        let events = server.take_events(io);
        let flushed = server.flush(io);
        let broken = flushed.is_err() || outcome.is_closed();
        let refused = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        if outcome == ReadOutcome::Refused || flushed.is_err_and(refused) {
            server.mark_instance_down();
        }
        for event in events {
            self.on_server_event(key, event, io);
        }
        if broken {
            self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
    }

    fn on_server_event(&mut self, key: usize, event: ServerEvent, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if matches!(event, ServerEvent::Started(_)) {
            server.on_established();
        }
        let (group, instance) = (server.group.clone(), server.instance.clone());
        record_process(server, &event, io);
        let catalog = io.context.catalog.load();
        let Some(state) = self.groups.get_mut(&group) else { return };
        // The operator may have removed the group while statements run. Their ends still free slots
        // and connections, which would otherwise be lacking once the group is added again.
        let configured = catalog.groups.get(&group);
        match event {
            ServerEvent::Started(position) => {
                let opened_at = server.opened_at();
                let reachability = ConnectionOutcome::Established { position, opened_at };
                io.context.statuses.on_connection(&group, &instance, reachability);
                if let Some(configured) = configured {
                    record_occupant(&group, configured, &instance, io);
                }
                return;
            }
            ServerEvent::Answered | ServerEvent::InstanceBusy => {
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_answer(matches!(event, ServerEvent::Answered), io.now);
                }
                return;
            }
            ServerEvent::Probed(answer) if server.purpose != Purpose::Probe => {
                state.status_queries.on_answer(&group, &instance, key, &answer, io);
                state.evidence_queries.on_answer();
                if let Some(configured) = configured {
                    self.confirm_by_replica_statuses(&group, configured, io);
                    self.retry_placements(&group, configured, io);
                }
                return;
            }
            ServerEvent::Ready if server.purpose == Purpose::Pooled => {
                if state.status_queries.on_connection_ready(&instance, key, io) {
                    state.evidence_queries.on_answer();
                }
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_idle(key, io.now);
                }
            }
            ServerEvent::Ready if server.purpose == Purpose::Status => {
                if state.status_queries.on_connection_ready(&instance, key, io) {
                    state.evidence_queries.on_answer();
                }
            }
            ServerEvent::Ready => state.monitor.on_probe_ready(key, &instance),
            ServerEvent::Unusable => self.on_server_lost(key, Fault::InstanceConnectionLost, io),
            ServerEvent::Refused => {
                io.context.metrics.instance_connections.count(ConnectionEvent::Refused);
                let pool = state.pools.get_mut(&instance);
                if let Some(pool) = pool.filter(|_| server.purpose != Purpose::Status) {
                    pool.on_connection_refused(io.now, rand::random());
                }
                self.on_server_lost(key, Fault::InstanceConnectionLost, io);
            }
            ServerEvent::Displaced => {
                if let Some(server) = self.servers.get_mut(key) {
                    server.mark_instance_down();
                }
                self.on_server_lost(key, Fault::InstanceConnectionLost, io);
                let state = self.groups.get_mut(&group);
                if let Some(pool) = state.and_then(|state| state.pools.get_mut(&instance)) {
                    pool.on_displaced(io.now);
                }
            }
            ServerEvent::Prepared => return self.send_prepared(key, io),
            ServerEvent::TransactionOpen => {
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_paused(key, io.now);
                }
            }
            ServerEvent::LeaseEnded { lease } => {
                self.leases.remove(&lease);
                if let Some(pool) = state.pools.get_mut(&instance) {
                    pool.on_idle(key, io.now);
                }
            }
            ServerEvent::CommitAnswered(commit) => {
                let (answered, now) = (&commit.instance, Instant::now());
                let Some(configured) = configured else {
                    return refuse_of_removed_group(&group, commit, io);
                };
                match io.context.replacements.may_acknowledge_commit(&group, answered, now) {
                    true => state.confirmations.add_commit(commit, &group, configured, io),
                    false => refuse_late(&group, commit, io),
                }
                self.confirm_by_replica_statuses(&group, configured, io);
            }
            ServerEvent::Probed(answer) => {
                io.context.metrics.probes.count(ProbeEvent::Answered);
                let Some(configured) = configured else { return };
                let wait = state.pools.get(&instance).map(Pool::expected_wait);
                let majority = configured.majority();
                let replaced = state.monitor.on_report(&instance, &answer, wait, majority, io);
                state.confirmations.on_report(&instance, &answer, configured, io);
                let requests = &mut state.current_positions;
                requests.on_report(&group, &instance, &answer, configured, io);
                if replaced {
                    self.fence_outdated_primaries(&group, io);
                }
            }
        }
        self.send_status_queries(&group, io);
        self.advance_group(&group, io);
    }
}
