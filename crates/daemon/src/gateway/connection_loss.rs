//! Handles the end of connections: lost, closed while idle, or closed because the instance did not
//! answer in time. Fails the exchange that ran on the connection, and drops evidence that the
//! instance's process gave, because that process may have terminated.

use kestrellock_core::exchange_state::Fault;

use super::Gateway;
use super::pool::PoolRole;
use super::server::{Purpose, Server};
use crate::event::Io;
use crate::metrics::ConnectionEvent;
use crate::shared::statuses::ConnectionOutcome;

impl Gateway {
    /// Handles the loss of a connection: informs the front of its lease, the group's monitor and
    /// the pool.
    pub(super) fn on_server_lost(&mut self, key: usize, fault: Fault, io: &mut Io) {
        let Some(mut server) = self.servers.try_remove(key) else { return };
        io.context.metrics.instance_connections.count(ConnectionEvent::Closed);
        server.deregister(io);
        let reachability = reachability(&server, fault, io);
        let has_ended = server.shows_end_of_process();
        let shows_change = shows_change(&server, io);
        io.context.isolation.report_trouble();
        if let Some(lease) = server.fail_exchange(fault, io) {
            self.leases.remove(&lease);
        }
        let Some(state) = self.groups.get_mut(&server.group) else { return };
        match server.purpose {
            Purpose::Pooled => {
                state.monitor.on_connection_lost(&server.instance, io.now);
                if fault == Fault::InstanceConnectionLost && shows_change {
                    io.context.statuses.forget_evidence(&server.group);
                }
                if has_ended {
                    io.context.statuses.on_process_ended(&server.group, &server.instance);
                }
                if state.status_queries.on_connection_lost(&server.instance, key, io) {
                    state.evidence_queries.on_answer();
                }
                if let Some(reachability) = reachability {
                    let statuses = &io.context.statuses;
                    statuses.on_connection(&server.group, &server.instance, reachability);
                }
                if let Some(pool) = state.pools.get_mut(&server.instance) {
                    pool.on_lost(key, io.now, rand::random());
                }
            }
            Purpose::Status => {
                if has_ended {
                    io.context.statuses.forget_evidence(&server.group);
                    io.context.statuses.on_process_ended(&server.group, &server.instance);
                }
                if state.status_queries.on_connection_lost(&server.instance, key, io) {
                    state.evidence_queries.on_answer();
                }
            }
            Purpose::Probe => {
                let pool = state.pools.get(&server.instance);
                let owned = pool.is_some_and(|pool| pool.role() == PoolRole::Owner);
                state.monitor.on_probe_lost(&server.instance, owned, io);
            }
            Purpose::Cancel => {}
        }
    }

    /// Closes a connection that runs nothing. This says nothing about the state of its instance.
    pub(super) fn close_idle(&mut self, key: usize, io: &mut Io) {
        let purpose = self.servers.get(key).map(|server| server.purpose);
        if !matches!(purpose, Some(Purpose::Pooled | Purpose::Status)) {
            return self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
        let mut server = self.servers.remove(key);
        io.context.metrics.instance_connections.count(ConnectionEvent::Closed);
        server.deregister(io);
        let Some(state) = self.groups.get_mut(&server.group) else { return };
        if server.purpose == Purpose::Status {
            state.status_queries.on_connection_closed(&server.instance, io);
        } else if let Some(pool) = state.pools.get_mut(&server.instance) {
            pool.on_lost(key, io.now, rand::random());
        }
    }

    /// Closes connections whose instance has not answered in time.
    pub(super) fn close_overdue(&mut self, io: &mut Io) {
        let overdue: Vec<usize> = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_overdue(io.now))
            .map(|(key, _)| key)
            .collect();
        for key in overdue {
            self.on_server_lost(key, Fault::Deadline, io);
        }
    }
}

/// Whether the loss of a connection shows that a process may have ended since evidence was gathered:
/// an established connection broke, or the instance has begun to refuse connections. An instance that
/// goes on to refuse them shows nothing new, and a dead replica must not end the evidence of its group
/// with each attempt to reach it. Nor does a connection that this node closes, as it does after a
/// client has abandoned its transaction.
fn shows_change(server: &Server, io: &Io) -> bool {
    server.shows_end_of_process()
        || (server.is_instance_down()
            && !io.context.statuses.is_known_to_refuse(&server.group, &server.instance))
}

/// What the loss of a connection shows about the reachability of its instance. `None` if nothing
/// ran on the connection, or if instances are probed instead of being judged by their answers.
fn reachability(server: &Server, fault: Fault, io: &Io) -> Option<ConnectionOutcome> {
    if !io.context.protocol.traits().positions_in_answers || server.is_idle() {
        return None;
    }
    match (server.is_instance_down(), fault) {
        (true, Fault::InstanceConnectionLost) => Some(ConnectionOutcome::Refused),
        _ => Some(ConnectionOutcome::Broken),
    }
}
