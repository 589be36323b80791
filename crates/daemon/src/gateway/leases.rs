//! Ends leases that their fronts have abandoned or that belong to lost nodes, and forwards cancel
//! requests. Remembers the exchanges that it has reported as not run, so that one that arrives late
//! is not run after its front has retried it.

use std::collections::HashSet;
use std::time::Duration;

use kestrellock_core::catalog::Group;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{LeaseId, NodeName};
use kestrellock_peer::message::{HeldLease, LeaseEvent};

use super::pool::Pool;
use super::server::Server;
use super::{Gateway, GroupGateway, notify_front};
use crate::event::Io;

/// How long to remember a lease whose exchange was reported to its front as not run. The exchange
/// may still arrive late. This is longer than the longest network outage that a TCP connection
/// survives: the kernel stops retransmitting after about 15 minutes.
const NOT_RUN_RETENTION: Duration = Duration::from_secs(1_200);

impl GroupGateway {
    /// Drops the waiting exchange of a lease. Returns whether there was one.
    fn drop_waiting(&mut self, lease: &LeaseId) -> bool {
        let is_dropped = self.pools.values_mut().any(|pool| pool.forget(lease));
        is_dropped || self.placements.forget(lease)
    }
}

impl Gateway {
    /// Ends all leases of the front of `node` except `held`, which are those that it still has.
    pub fn retain_leases(&mut self, node: &NodeName, held: &[HeldLease], io: &mut Io) {
        let held: HashSet<&LeaseId> = held.iter().map(|held| &held.lease).collect();
        let mut known: Vec<LeaseId> = self.leases.keys().cloned().collect();
        for state in self.groups.values() {
            known.extend(state.pools.values().flat_map(Pool::queued_leases).cloned());
            known.extend(state.placements.leases().cloned());
            known.extend(state.confirmations.leases().cloned());
        }
        for lease in known {
            if lease.node == *node && !held.contains(&lease) {
                self.on_abandon(&lease, io);
            }
        }
    }

    /// Whether an exchange of the lease runs, is queued, or has an answer that awaits confirmation.
    pub fn is_lease_active(&self, lease: &LeaseId) -> bool {
        let runs = self.leases.get(lease).is_some_and(|key| !self.servers[*key].is_idle());
        let waits = |state: &GroupGateway| {
            let queued = state.pools.values().flat_map(Pool::queued_leases).any(|id| id == lease);
            let held = state.placements.leases().any(|id| id == lease);
            queued || held || state.confirmations.leases().any(|id| id == lease)
        };
        runs || self.groups.values().any(waits)
    }

    /// Records that the exchange of a lease is reported to its front as not run, so the exchange
    /// must not run later either. It may still arrive on an older link that this node has not read
    /// to its end; it is then dropped.
    pub fn mark_not_run(&mut self, lease: &LeaseId, io: &mut Io) {
        self.on_abandon(lease, io);
        self.reported_not_run.retain(|_, since| io.now < *since + NOT_RUN_RETENTION);
        self.reported_not_run.insert(lease.clone(), io.now);
    }

    /// Drops the lease's queued exchange or waiting commit, and ends its use of a connection: the
    /// front no longer waits for an answer.
    pub fn on_abandon(&mut self, lease: &LeaseId, io: &mut Io) {
        self.ended_transactions.forget(lease);
        for state in self.groups.values_mut() {
            state.drop_waiting(lease);
            state.confirmations.forget(lease);
        }
        if let Some(&key) = self.leases.get(lease) {
            self.terminate_lease(key, io);
        }
    }

    /// Drops the exchange of the lease that waits for an instance or a connection, and reports that
    /// it has not run. An exchange that has reached an instance goes on.
    pub(super) fn on_withdraw(&mut self, lease: &LeaseId, io: &mut Io) {
        let has_dropped = self.groups.values_mut().any(|state| state.drop_waiting(lease));
        if has_dropped {
            notify_front(lease, 0, LeaseEvent::NotInProgress { has_not_run: true }, io);
        }
    }

    /// Ends the lease of a connection after its exchange was abandoned or refused. An open
    /// transaction is rolled back before the connection is reused; if an exchange is running, the
    /// connection is closed.
    pub(super) fn terminate_lease(&mut self, key: usize, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if let Some(lease) = server.lease() {
            self.leases.remove(lease);
        }
        if !server.roll_back(io) || server.flush(io).is_err() {
            self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
    }

    /// Ends all work for the fronts of an unreachable node. These fronts have already answered
    /// their clients, and no further message from them will end their leases.
    pub fn on_peer_lost(&mut self, node: &NodeName, io: &mut Io) {
        self.forget_demands(node);
        for state in self.groups.values_mut() {
            state.pools.values_mut().for_each(|pool| pool.forget_node(node));
            state.confirmations.fail_commits_of_node(node, io);
            state.placements.forget_node(node);
        }
        let orphans: Vec<usize> = self
            .leases
            .iter()
            .filter(|(lease, _)| lease.node == *node)
            .map(|(_, key)| *key)
            .collect();
        for key in orphans {
            self.terminate_lease(key, io);
        }
    }

    /// Asks the instance to cancel the statement that runs on a lease.
    pub(super) fn on_cancel(&mut self, group: &Group, lease: &LeaseId, io: &mut Io) {
        let Some(&key) = self.leases.get(lease) else { return };
        let Some(instance) = group.instance(&self.servers[key].instance) else { return };
        Server::cancel(&mut self.servers, key, instance.address, io);
    }
}
