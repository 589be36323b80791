//! The pool's part in the division of the instance's capacity among owners: its demand, and its
//! allocation.

use std::time::Instant;

use kestrellock_core::capacity::{Allocation, InstanceDemand, SharedCapacity};
use kestrellock_core::catalog::Instance;
use kestrellock_core::ids::{AccountName, NodeName};

use super::{Pool, State};

impl Pool {
    /// What is known of the demands of the other owners.
    pub fn shared_capacity(&mut self) -> &mut SharedCapacity {
        &mut self.shared_capacity
    }

    /// What runs and waits here.
    pub fn demand(&self, instance: &Instance, now: Instant) -> InstanceDemand {
        let connections = self.usable_connections();
        InstanceDemand {
            instance: instance.name.clone(),
            incarnation: instance.incarnation,
            limit: self.scheduler.limit(&connections),
            service: self.scheduler.expected_service(),
            levels: self.scheduler.demand(&connections, now),
        }
    }

    /// Whether exchanges wait although a connection could run them, because all slots are taken.
    pub fn needs_capacity(&self, demand: &InstanceDemand) -> bool {
        demand.waiting() > 0 && !self.scheduler.has_free_slot()
    }

    /// The demand to report to the other owners: while exchanges wait for a slot, and once more
    /// when none does any longer.
    pub fn take_report(&mut self, instance: &Instance, now: Instant) -> Option<InstanceDemand> {
        if self.waiting() == 0 && !self.has_reported_demand() {
            return None;
        }
        let demand = self.demand(instance, now);
        let has_demand = self.needs_capacity(&demand);
        if !self.shared_capacity.needs_report(has_demand) {
            return None;
        }
        self.shared_capacity.on_reported(has_demand);
        Some(if has_demand { demand } else { demand.withdrawn() })
    }

    /// Whether the other owners know of a demand that was not withdrawn.
    pub fn has_reported_demand(&self) -> bool {
        self.shared_capacity.needs_report(false)
    }

    /// Whether the other owners know of a demand, or this one knows of theirs.
    pub fn is_sharing(&self) -> bool {
        let is_known = self.has_reported_demand() || self.has_allocation();
        is_known || self.shared_capacity.known_owners() > 0
    }

    /// Number of connections of each account that can run exchanges, now or after their lease.
    fn usable_connections(&self) -> Vec<(Option<&AccountName>, u32)> {
        let mut usable: Vec<(Option<&AccountName>, u32)> = Vec::new();
        for pooled in self.connections.values() {
            if !matches!(pooled.state, State::Idle { .. } | State::Leased { .. }) {
                continue;
            }
            let account = pooled.account.as_ref();
            match usable.iter_mut().find(|(known, _)| *known == account) {
                Some((_, count)) => *count += 1,
                None => usable.push((account, 1)),
            }
        }
        usable
    }

    /// Records the demand of another owner.
    pub fn on_demand(&mut self, owner: &NodeName, demand: &InstanceDemand, now: Instant) {
        let started = self.shared_capacity.on_demand(owner, demand, now);
        self.scheduler.on_started_elsewhere(started);
    }

    /// Limits the slots of the pool by the demands of all owners; `own` is this node. Returns the
    /// allocation before and after.
    pub fn update_allocation(
        &mut self,
        own: &NodeName,
        instance: &Instance,
        now: Instant,
    ) -> (Option<u32>, Option<u32>) {
        let slots = |allocation: Allocation| allocation.slots;
        let before = self.scheduler.allocation();
        let allocation = match self.shared_capacity.known_owners() {
            0 => None,
            _ => {
                let demand = self.demand(instance, now);
                self.shared_capacity.allocation(own, &demand, self.slots, now)
            }
        };
        self.scheduler.set_allocation(allocation);
        (before.map(slots), allocation.map(slots))
    }

    /// Whether the slots of the pool are limited by the demands of other owners.
    pub fn has_allocation(&self) -> bool {
        self.scheduler.allocation().is_some()
    }

    /// Forgets the demands of the other owners, so that only the pool's own limit applies.
    pub fn stop_sharing(&mut self) {
        self.shared_capacity = SharedCapacity::default();
        self.scheduler.set_allocation(None);
    }
}
