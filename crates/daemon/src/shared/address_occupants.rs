//! Which instance runs at an address, as shown by the connections that it has accepted.
//!
//! The configuration lists an instance that crashed for seconds after another one has started at
//! its address. Each connection names the instance that it is for. So the instance that accepts a
//! connection under its name runs at the address, and every other one that is listed there has
//! ended.

use std::collections::HashMap;
use std::net::SocketAddr;

use crossbeam::sync::ShardedLock;
use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::InstanceName;

const POISONED: &str = "a thread panicked while it held the address lock";
/// Most addresses that are kept. When the limit is reached, all are dropped: each is learned again
/// with the next connection to it.
const MAX_ADDRESSES: usize = 16_384;

/// The instance that last accepted a connection at each address.
#[derive(Debug, Default)]
pub struct AddressOccupants {
    by_address: ShardedLock<HashMap<SocketAddr, InstanceName>>,
}

impl AddressOccupants {
    /// Records that `instance` has accepted a connection under its name. Returns the instance that
    /// was known at the address before, if it was a different one.
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

    /// Whether another instance of its group runs at the address of `instance`.
    pub fn is_displaced(&self, group: &Group, instance: &Instance) -> bool {
        let is_other =
            |other: &Instance| other.address == instance.address && other.name != instance.name;
        if !group.instances.iter().any(is_other) {
            return false;
        }
        let known = self.by_address.read().expect(POISONED);
        let occupant = known.get(&instance.address);
        // An instance that is no longer listed in the group shows nothing about the listed ones.
        occupant.is_some_and(|name| *name != instance.name && group.instance(name).is_some())
    }
}
