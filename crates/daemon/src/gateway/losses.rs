//! Connections that end: lost, closed as idle, or given up because the back end is late.

use kestrellock_core::exchange_state::Fault;

use super::Gateway;
use super::pool::PoolRole;
use super::server::{Server, Use};
use crate::event::Io;
use crate::metrics::ConnectionEvent;
use crate::shared::statuses::Reachability;

impl Gateway {
    /// Handles the loss of a connection: whoever used it is told what that means.
    pub(super) fn on_server_lost(&mut self, key: usize, fault: Fault, io: &mut Io) {
        let Some(mut server) = self.servers.try_remove(key) else { return };
        io.context.metrics.backends.count(ConnectionEvent::Closed);
        server.deregister(io);
        let reachability = reachability(&server, fault, io);
        if let Some(lease) = server.fail_exchange(fault, io) {
            self.leases.remove(&lease);
        }
        let Some(state) = self.groups.get_mut(&server.group) else { return };
        match server.purpose {
            Use::Pooled => {
                state.monitor.on_connection_lost(&server.instance, io.now);
                if fault == Fault::InstanceConnectionLost {
                    io.context.statuses.forget_evidence(&server.group);
                }
                if state.standings.on_ready(&server.instance, key, io) {
                    state.questions.on_answer();
                }
                if let Some(reachability) = reachability {
                    let statuses = &io.context.statuses;
                    statuses.on_connection(&server.group, &server.instance, reachability);
                }
                if let Some(pool) = state.pools.get_mut(&server.instance) {
                    pool.on_lost(key, io.now, rand::random());
                }
            }
            Use::Probe => {
                let pool = state.pools.get(&server.instance);
                let owned = pool.is_some_and(|pool| pool.role() == PoolRole::Owner);
                state.monitor.on_probe_lost(&server.instance, owned, io);
            }
            Use::Cancel => {}
        }
    }

    /// Closes a connection that has nothing under way. That tells nothing of its instance.
    pub(super) fn close_idle(&mut self, key: usize, io: &mut Io) {
        let pooled = self.servers.get(key).is_some_and(|server| server.purpose == Use::Pooled);
        if !pooled {
            return self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
        let mut server = self.servers.remove(key);
        io.context.metrics.backends.count(ConnectionEvent::Closed);
        server.deregister(io);
        let state = self.groups.get_mut(&server.group);
        if let Some(pool) = state.and_then(|state| state.pools.get_mut(&server.instance)) {
            pool.on_lost(key, io.now, rand::random());
        }
    }

    /// Closes connections whose back end has not answered in time.
    pub(super) fn give_up_overdue(&mut self, io: &mut Io) {
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

/// What the loss of a connection tells of its instance, where answers are what is known of it.
fn reachability(server: &Server, fault: Fault, io: &Io) -> Option<Reachability> {
    if !io.context.protocol.traits().positions_in_answers || server.is_idle() {
        return None;
    }
    match (server.was_refused(), fault) {
        (true, Fault::InstanceConnectionLost) => Some(Reachability::Refused),
        _ => Some(Reachability::Broken),
    }
}
