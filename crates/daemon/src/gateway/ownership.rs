//! Adopts and releases instances when their ownership changes.
//!
//! The owner of an instance keeps warm connections and accepts exchanges. The standby keeps a few
//! connections, and accepts exchanges from fronts that cannot reach the owner. A previous owner
//! finishes its leases, redirects new exchanges to the new owner, and closes idle connections.

use std::sync::Arc;
use std::time::Instant;

use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_peer::message::{Exchange, LeaseEvent};

use super::pool::{Pool, PoolRole};
use super::server::Purpose;
use super::{Gateway, GroupGateway, notify_front};
use crate::event::Io;
use crate::ownership::OwnershipSnapshot;

/// Informs the front which node owns the instance.
pub fn redirect(exchange: &Exchange, owner: Option<NodeName>, io: &mut Io) {
    notify_front(&exchange.lease, 0, LeaseEvent::NotOwner { owner }, io);
}

/// The role of `node` for an instance.
fn pool_role(snapshot: &OwnershipSnapshot, instance: &Instance, node: &NodeName) -> PoolRole {
    match snapshot.get(&instance.name) {
        Some(ownership) if ownership.owner == *node => PoolRole::Owner,
        Some(ownership) if ownership.standby.as_ref() == Some(node) => PoolRole::Standby,
        _ => PoolRole::Released,
    }
}

impl Gateway {
    /// Adopts and releases instances if the membership or the catalog has changed.
    pub(super) fn apply_ownership(&mut self, io: &mut Io) {
        let snapshot = io.context.ownership_snapshot();
        if self.applied_snapshot.as_ref().is_some_and(|known| Arc::ptr_eq(known, &snapshot)) {
            return;
        }
        for (name, group) in &snapshot.catalog().groups {
            if io.context.shard_of(name) == io.shard {
                self.apply_group_ownership(name, group, &snapshot, io);
            }
        }
        for (name, state) in &mut self.groups {
            let group = snapshot.catalog().groups.get(name);
            state.release_removed(group, io);
        }
        self.zone_drains.apply_catalog(snapshot.catalog(), io.now);
        self.applied_snapshot = Some(snapshot);
    }

    fn apply_group_ownership(
        &mut self,
        name: &GroupName,
        group: &Group,
        snapshot: &OwnershipSnapshot,
        io: &mut Io,
    ) {
        let node = &io.context.identity.node;
        let roles: Vec<(&Instance, PoolRole)> = group
            .instances
            .iter()
            .map(|instance| (instance, pool_role(snapshot, instance, node)))
            .collect();
        let involved = roles.iter().any(|(_, role)| *role != PoolRole::Released);
        if !involved && !self.groups.contains_key(name) {
            return;
        }
        if let Some(requested_at) = io.context.replacements.store_copy_requested_at() {
            let listed = group.instances.iter().map(|instance| instance.name.clone()).collect();
            io.context.statuses.on_instances_listed(name, listed, requested_at);
        }
        let state = self.group_state(name, io.now);
        for (instance, role) in roles {
            if let Some(incarnation) = instance.incarnation {
                io.context.statuses.on_incarnation(name, &instance.name, incarnation);
            }
            state.set_role(group, instance, role, snapshot, io);
        }
        let owns = state.pools.values().any(|pool| pool.role() == PoolRole::Owner);
        state.monitor.set_standby(!owns);
    }

    /// The owner of an instance, as far as this gateway knows; `None` if the instance accepts no
    /// new work.
    pub(super) fn owner_of_instance(&self, instance: &InstanceName) -> Option<NodeName> {
        let snapshot = self.applied_snapshot.as_ref()?;
        let (_, configured) = snapshot.catalog().instance(instance)?;
        if !snapshot.catalog().accepts_work(configured) {
            return None;
        }
        snapshot.get(instance).map(|ownership| ownership.owner.clone())
    }

    /// Closes surplus connections, and drops the state of groups that this node no longer serves.
    pub(super) fn close_surplus(&mut self, io: &mut Io) {
        let pools = self.groups.values_mut().flat_map(|state| state.pools.values_mut());
        let surplus: Vec<usize> =
            pools.flat_map(|pool| pool.connections_to_close(io.now)).collect();
        for key in surplus {
            self.close_idle(key, io);
        }
        self.groups.retain(|_, state| !state.is_done(io.now));
        let unneeded: Vec<usize> = self
            .servers
            .iter()
            .filter(|(_, server)| {
                let is_own = matches!(server.purpose, Purpose::Probe | Purpose::Status);
                let is_orphan = is_own && !self.groups.contains_key(&server.group);
                is_orphan || server.is_unused_status_connection(io.now)
            })
            .map(|(key, _)| key)
            .collect();
        for key in unneeded {
            self.close_idle(key, io);
        }
    }
}

impl GroupGateway {
    fn set_role(
        &mut self,
        group: &Group,
        instance: &Instance,
        role: PoolRole,
        snapshot: &OwnershipSnapshot,
        io: &mut Io,
    ) {
        if role == PoolRole::Released && !self.pools.contains_key(&instance.name) {
            return;
        }
        let share = snapshot.share(&instance.name);
        let pool = self
            .pools
            .entry(instance.name.clone())
            .or_insert_with(|| Pool::new(group, instance, role, share));
        let takes_work = snapshot.catalog().accepts_work(instance);
        pool.configure(group, instance, share);
        pool.set_leaving(!takes_work);
        pool.set_prewarming(io.context.prewarm_connections);
        pool.set_reserves_for_restart(io.context.tolerated_zone_losses > 0);
        if pool.role() != role {
            log::info!("{}: {:?} becomes {role:?}", instance.name, pool.role());
        }
        pool.set_role(role, io.now);
        if !pool.accepts(io.now) {
            let owner = snapshot.get(&instance.name).filter(|_| takes_work);
            let owner = owner.map(|ownership| ownership.owner.clone());
            for exchange in pool.drain_queue() {
                redirect(&exchange, owner.clone(), io);
            }
        }
    }

    /// Releases instances that are no longer in the group.
    fn release_removed(&mut self, group: Option<&Group>, io: &mut Io) {
        for (name, pool) in &mut self.pools {
            if group.is_none_or(|group| group.instance(name).is_none()) {
                pool.set_role(PoolRole::Released, io.now);
                for exchange in pool.drain_queue() {
                    redirect(&exchange, None, io);
                }
            }
        }
    }

    /// Whether the group's state can be dropped: no connections, waiting commits or subscribers.
    fn is_done(&mut self, now: Instant) -> bool {
        self.pools.retain(|_, pool| pool.role() != PoolRole::Released || !pool.is_empty());
        self.pools.is_empty()
            && !self.confirmations.is_waiting()
            && !self.monitor.has_subscribers(now)
    }
}
