//! Exchanges demands for capacity with the other owners of a group, and applies the division.
//!
//! The division itself is decided in `core/capacity`. Capacity is shared only if
//! `share_instance_capacity` is set and every other owner is known to speak a protocol version with
//! demands; otherwise each owner's own limit applies.

use kestrellock_core::capacity::{InstanceDemand, ReportPacer};
use kestrellock_core::catalog::Group;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_peer::message::{GatewayCall, ToGateway};

use super::pool::Pool;
use super::{Gateway, GroupGateway};
use crate::event::{Io, Outgoing};
use crate::metrics::CapacityEvent;

/// State of a group's demand messages.
#[derive(Debug, Default)]
pub(super) struct CapacityReports {
    pacer: ReportPacer,
}

/// Versions of the other owners of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerVersions {
    /// All can receive demands.
    Sufficient,
    /// No link to some of them has been established yet; a demand opens it.
    Unknown,
    /// Some cannot receive demands.
    Insufficient,
}

fn owner_versions(owners: &[NodeName], io: &Io) -> OwnerVersions {
    let required = GatewayCall::CapacityDemand(Vec::new()).required_version();
    let versions: Vec<Option<u16>> =
        owners.iter().map(|owner| io.context.peer_versions.get(owner)).collect();
    if versions.iter().flatten().any(|version| *version < required) {
        return OwnerVersions::Insufficient;
    }
    match versions.contains(&None) {
        true => OwnerVersions::Unknown,
        false => OwnerVersions::Sufficient,
    }
}

/// The other owners of a group; none if this node is not an owner.
fn other_owners(name: &GroupName, io: &Io) -> Vec<NodeName> {
    let own = &io.context.identity.node;
    let snapshot = io.context.ownership_snapshot();
    if !snapshot.is_owner(own, name) {
        return Vec::new();
    }
    let owners = snapshot.owners_of(name).iter().map(|owner| &owner.node);
    owners.filter(|owner| *owner != own).cloned().collect()
}

impl Gateway {
    /// Handles the demands of another owner.
    pub(super) fn on_capacity_demand(
        &mut self,
        name: &GroupName,
        group: &Group,
        from: &NodeName,
        demands: &[InstanceDemand],
        io: &mut Io,
    ) {
        if !io.context.share_instance_capacity || !other_owners(name, io).contains(from) {
            return;
        }
        let Some(state) = self.groups.get_mut(name) else { return };
        for demand in demands {
            if let Some(pool) = state.pools.get_mut(&demand.instance) {
                pool.on_demand(from, demand, io.now);
            }
        }
        self.dispatch_queued(name, group, io);
    }

    /// Forgets the demands of a lost node.
    pub(super) fn forget_demands(&mut self, node: &NodeName) {
        let pools = self.groups.values_mut().flat_map(|state| state.pools.values_mut());
        pools.for_each(|pool| pool.shared_capacity().forget(node));
    }
}

impl GroupGateway {
    /// Divides the capacity of the group's instances by what is known of the other owners.
    pub(super) fn update_allocations(&mut self, name: &GroupName, group: &Group, io: &Io) {
        if !self.pools.values().any(Pool::is_sharing) {
            return;
        }
        let owners = other_owners(name, io);
        let may_share = owner_versions(&owners, io) == OwnerVersions::Sufficient;
        for instance in &group.instances {
            let Some(pool) = self.pools.get_mut(&instance.name) else { continue };
            if !may_share {
                pool.stop_sharing();
                continue;
            }
            let shared = pool.shared_capacity();
            shared.retain(|owner| owners.contains(owner), instance.incarnation);
            for owner in shared.expire(io.now) {
                log_expired(&instance.name, &owner, io);
            }
            let (before, after) =
                pool.update_allocation(&io.context.identity.node, instance, io.now);
            if before != after {
                log_allocation(&instance.name, after, io);
            }
            let gained = after.unwrap_or(0).saturating_sub(before.unwrap_or(0));
            io.context.metrics.capacity.add(CapacityEvent::Granted, gained.into());
        }
    }

    /// Tells the other owners what waits here, or that nothing waits any more.
    pub(super) fn report_demands(&mut self, name: &GroupName, group: &Group, io: &mut Io) {
        if !io.context.share_instance_capacity || !self.capacity_reports.pacer.is_due(io.now) {
            return;
        }
        if !self.pools.values().any(|pool| pool.waiting() > 0 || pool.has_reported_demand()) {
            return;
        }
        let owners = other_owners(name, io);
        if owner_versions(&owners, io) == OwnerVersions::Insufficient {
            return;
        }
        let mut demands = Vec::new();
        for instance in &group.instances {
            let Some(pool) = self.pools.get_mut(&instance.name) else { continue };
            demands.extend(pool.take_report(instance, io.now));
        }
        if demands.is_empty() {
            return;
        }
        self.capacity_reports.pacer.on_sent(io.now);
        for node in owners {
            let call = GatewayCall::CapacityDemand(demands.clone());
            let from = io.context.identity.node.clone();
            let message = ToGateway { from, group: name.clone(), call };
            io.outbox.push_back(Outgoing::Gateway { node, message });
        }
    }
}

fn log_allocation(instance: &InstanceName, allocation: Option<u32>, io: &Io) {
    if io.context.routine_log_limiter.admits(io.now) {
        // -1: no other owner has a demand, and only this node's own limit applies.
        let slots = allocation.map_or(-1, i64::from);
        log::info!(
            event = "capacity",
            instance = instance.as_str(),
            slots = slots;
            "the capacity of an instance was divided among its owners"
        );
    }
}

fn log_expired(instance: &InstanceName, owner: &NodeName, io: &Io) {
    io.context.metrics.capacity.count(CapacityEvent::Expired);
    if io.context.routine_log_limiter.admits(io.now) {
        log::info!(
            event = "capacity_expired",
            instance = instance.as_str(),
            peer = owner.as_str();
            "the demand of another owner expired without news from it"
        );
    }
}
