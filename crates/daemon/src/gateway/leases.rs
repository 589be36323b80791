//! Leases that end, or whose statement is cancelled, from the front's side: nobody waits any more.

use kestrellock_core::catalog::Group;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{LeaseId, NodeName};

use super::Gateway;
use super::server::Server;
use crate::event::Io;

impl Gateway {
    pub(super) fn on_abandon(&mut self, lease: &LeaseId, io: &mut Io) {
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
            self.on_server_lost(key, Fault::BackendLost, io);
        }
    }

    /// Gives up everything on behalf of a node that cannot be reached: its fronts have told their
    /// callers, and no message from them will end what they began.
    pub fn on_peer_lost(&mut self, node: &NodeName, io: &mut Io) {
        for state in self.groups.values_mut() {
            state.pools.values_mut().for_each(|pool| pool.forget_node(node));
            state.confirmations.forget_node(node);
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
