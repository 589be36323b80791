//! Which instance answers at an address, by its own word.
//!
//! An instance that crashed is told for seconds after another one has started at its address. Each is
//! spoken to under its own name, so whoever accepts a connection under that name is there, and every other
//! one told there has ended.

use std::collections::HashMap;
use std::net::SocketAddr;

use crossbeam::sync::ShardedLock;
use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::InstanceName;

const POISONED: &str = "a holder of the lock on addresses panicked";
/// Most addresses that are remembered. Beyond it all are forgotten: each is learnt again with the next
/// connection that is made there.
const MAX_ADDRESSES: usize = 16_384;

/// Who was last heard at each address.
#[derive(Debug, Default)]
pub struct AddressOccupants {
    by_address: ShardedLock<HashMap<SocketAddr, InstanceName>>,
}

impl AddressOccupants {
    /// `instance` has accepted a connection under its name. Returns the instance that was heard there
    /// before, if that was another one.
    pub fn on_answered(
        &self,
        address: SocketAddr,
        instance: &InstanceName,
    ) -> Option<InstanceName> {
        let is_known = {
            let known = self.by_address.read().expect(POISONED);
            known.get(&address) == Some(instance)
        };
        if is_known {
            return None;
        }
        let mut known = self.by_address.write().expect(POISONED);
        if known.len() >= MAX_ADDRESSES {
            known.clear();
        }
        known.insert(address, instance.clone())
    }

    /// Whether another instance of its group stands at the address of `instance`.
    pub fn is_displaced(&self, group: &Group, instance: &Instance) -> bool {
        let is_other =
            |other: &Instance| other.address == instance.address && other.name != instance.name;
        if !group.instances.iter().any(is_other) {
            return false;
        }
        let known = self.by_address.read().expect(POISONED);
        let occupant = known.get(&instance.address);
        // One that is not told any more says nothing of those that are.
        occupant.is_some_and(|name| *name != instance.name && group.instance(name).is_some())
    }
}
