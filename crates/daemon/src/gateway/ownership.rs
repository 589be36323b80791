//! Adopting and releasing instances as ownership moves.
//!
//! An owner keeps connections warm and takes work. A standby keeps a few, and takes work from a
//! front that cannot reach the owner. A gateway that was the owner finishes its leases, sends new
//! work on to its successor, and closes what is idle.

use std::sync::Arc;
use std::time::Instant;

use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_peer::message::{Exchange, LeaseEvent};

use super::pool::{Pool, PoolRole};
use super::server::Use;
use super::{Gateway, GroupGateway, notify};
use crate::event::Io;
use crate::ownership::OwnershipSnapshot;

/// Tells the front which node to go to.
pub fn refer(exchange: &Exchange, owner: Option<NodeName>, io: &mut Io) {
    notify(&exchange.lease, 0, LeaseEvent::NotOwner { owner }, io);
}

/// What `node` is to an instance.
fn role_of(snapshot: &OwnershipSnapshot, instance: &Instance, node: &NodeName) -> PoolRole {
    match snapshot.get(&instance.name) {
        Some(ownership) if ownership.owner == *node => PoolRole::Owner,
        Some(ownership) if ownership.standby.as_ref() == Some(node) => PoolRole::Standby,
        _ => PoolRole::Released,
    }
}

impl Gateway {
    /// Adopts and releases instances if nodes or catalog have changed.
    pub(super) fn follow_ownership(&mut self, io: &mut Io) {
        let snapshot = io.context.ownerships();
        if self.followed.as_ref().is_some_and(|known| Arc::ptr_eq(known, &snapshot)) {
            return;
        }
        for (name, group) in &snapshot.catalog().groups {
            if io.context.shard_of(name) == io.shard {
                self.follow_group(name, group, &snapshot, io);
            }
        }
        for (name, state) in &mut self.groups {
            let group = snapshot.catalog().groups.get(name);
            state.release_removed(group, io);
        }
        self.zone_drains.follow(snapshot.catalog(), io.now);
        self.followed = Some(snapshot);
    }

    fn follow_group(
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
            .map(|instance| (instance, role_of(snapshot, instance, node)))
            .collect();
        let involved = roles.iter().any(|(_, role)| *role != PoolRole::Released);
        if !involved && !self.groups.contains_key(name) {
            return;
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

    /// The owner of an instance, as far as this gateway knows; `None` if no gateway gives the
    /// instance new work.
    pub(super) fn owner_of_instance(&self, instance: &InstanceName) -> Option<NodeName> {
        let snapshot = self.followed.as_ref()?;
        let (_, configured) = snapshot.catalog().instance(instance)?;
        if !snapshot.catalog().accepts_work(configured) {
            return None;
        }
        snapshot.get(instance).map(|ownership| ownership.owner.clone())
    }

    /// Closes connections that nothing needs any more, and forgets groups that are done with.
    pub(super) fn close_surplus(&mut self, io: &mut Io) {
        let pools = self.groups.values_mut().flat_map(|state| state.pools.values_mut());
        let surplus: Vec<usize> =
            pools.flat_map(|pool| pool.connections_to_close(io.now)).collect();
        for key in surplus {
            self.close_idle(key, io);
        }
        self.groups.retain(|_, state| !state.is_done(io.now));
        let orphans: Vec<usize> = self
            .servers
            .iter()
            .filter(|(_, server)| server.purpose == Use::Probe)
            .filter(|(_, server)| !self.groups.contains_key(&server.group))
            .map(|(key, _)| key)
            .collect();
        for key in orphans {
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
        if pool.role() != role {
            log::info!("{}: {:?} becomes {role:?}", instance.name, pool.role());
        }
        pool.set_role(role, io.now);
        if !pool.accepts(io.now) {
            let owner = snapshot.get(&instance.name).filter(|_| takes_work);
            let owner = owner.map(|ownership| ownership.owner.clone());
            for exchange in pool.drain_queue() {
                refer(&exchange, owner.clone(), io);
            }
        }
    }

    /// Releases instances that the group no longer has.
    fn release_removed(&mut self, group: Option<&Group>, io: &mut Io) {
        for (name, pool) in &mut self.pools {
            if group.is_none_or(|group| group.instance(name).is_none()) {
                pool.set_role(PoolRole::Released, io.now);
                for exchange in pool.drain_queue() {
                    refer(&exchange, None, io);
                }
            }
        }
    }

    /// Whether nothing is left to do for the group.
    fn is_done(&mut self, now: Instant) -> bool {
        self.pools.retain(|_, pool| pool.role() != PoolRole::Released || !pool.is_empty());
        self.pools.is_empty()
            && !self.confirmations.is_waiting()
            && !self.monitor.has_subscribers(now)
    }
}
