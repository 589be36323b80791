//! Leases that end, or whose statement is cancelled, from the front's side: nobody waits any more.

use std::collections::HashSet;
use std::time::Duration;

use kestrellock_core::catalog::Group;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{LeaseId, NodeName};
use kestrellock_peer::message::HeldLease;

use super::pool::Pool;
use super::server::Server;
use super::{Gateway, GroupGateway};
use crate::event::Io;

/// Time for which an exchange may arrive that was ruled out: longer than any cut through which bytes
/// of a connection survive (the system gives up sending after a quarter of an hour).
const RULED_OUT_FOR: Duration = Duration::from_secs(1_200);

impl Gateway {
    /// The front of `node` has exactly the leases `held`: its others are over.
    pub fn keep_only(&mut self, node: &NodeName, held: &[HeldLease], io: &mut Io) {
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

    /// Whether an exchange of the lease runs, waits, or has an answer that waits for confirmation.
    pub fn is_under_way(&self, lease: &LeaseId) -> bool {
        let runs = self.leases.get(lease).is_some_and(|key| !self.servers[*key].is_idle());
        let waits = |state: &GroupGateway| {
            let queued = state.pools.values().flat_map(Pool::queued_leases).any(|id| id == lease);
            let held = state.placements.leases().any(|id| id == lease);
            queued || held || state.confirmations.leases().any(|id| id == lease)
        };
        runs || self.groups.values().any(waits)
    }

    /// The front of a lease is told that its exchange has not run: from now on it must not. An older
    /// connection that this node still reads may yet bring it.
    pub fn rule_out(&mut self, lease: &LeaseId, io: &mut Io) {
        self.on_abandon(lease, io);
        self.ruled_out.retain(|_, since| io.now < *since + RULED_OUT_FOR);
        self.ruled_out.insert(lease.clone(), io.now);
    }

    /// Nobody waits for what the lease has under way.
    pub fn on_abandon(&mut self, lease: &LeaseId, io: &mut Io) {
        self.zone_drains.take_ended(lease);
        for state in self.groups.values_mut() {
            state.pools.values_mut().for_each(|pool| pool.forget(lease));
            state.confirmations.forget(lease);
            state.placements.forget(lease);
        }
        if let Some(&key) = self.leases.get(lease) {
            self.release(key, io);
        }
    }

    /// Ends the lease of a connection that nobody waits for. An open transaction is rolled back
    /// before the connection is used again; with an exchange under way it is closed instead.
    pub(super) fn release(&mut self, key: usize, io: &mut Io) {
        let Some(server) = self.servers.get_mut(key) else { return };
        if let Some(lease) = server.lease() {
            self.leases.remove(lease);
        }
        if !server.reset(io) || server.flush(io).is_err() {
            self.on_server_lost(key, Fault::InstanceConnectionLost, io);
        }
    }

    /// Gives up everything on behalf of a node that cannot be reached: its fronts have told their
    /// callers, and no message from them will end what they began.
    pub fn on_peer_lost(&mut self, node: &NodeName, io: &mut Io) {
        for state in self.groups.values_mut() {
            state.pools.values_mut().for_each(|pool| pool.forget_node(node));
            state.confirmations.give_up_node(node, io);
            state.placements.forget_node(node);
        }
        let orphans: Vec<usize> = self
            .leases
            .iter()
            .filter(|(lease, _)| lease.node == *node)
            .map(|(_, key)| *key)
            .collect();
        for key in orphans {
            self.release(key, io);
        }
    }

    /// Asks the back end to cancel what runs on a lease.
    pub(super) fn on_cancel(&mut self, group: &Group, lease: &LeaseId, io: &mut Io) {
        let Some(&key) = self.leases.get(lease) else { return };
        let Some(instance) = group.instance(&self.servers[key].instance) else { return };
        Server::cancel(&mut self.servers, key, instance.address, io);
    }
}
