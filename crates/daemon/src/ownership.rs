//! Which node's gateway holds an instance, by the nodes and the catalog now known.
//!
//! Computed when either changes, not when it is asked for. Ownership is an optimisation, never a
//! safety argument: two gateways at once cost connections and nothing else.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam::sync::ShardedLock;
use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::ids::{InstanceName, NodeName};
use kestrellock_core::rendezvous::{Ownership, OwnershipTable};

use crate::context::{LiveNode, Shared};

const POISONED: &str = "a holder of the ownership lock panicked";
/// How long a node to which a connection failed is passed over in favour of the standby, unless
/// membership finds it dead before.
const UNREACHABLE_FOR: Duration = Duration::from_secs(1);

/// Owners and standbys at one moment.
#[derive(Debug, Default)]
pub struct OwnershipSnapshot {
    live: Arc<Vec<LiveNode>>,
    catalog: Arc<IndexedCatalog>,
    table: OwnershipTable,
}

impl OwnershipSnapshot {
    /// Owner and standby of an instance.
    pub fn get(&self, instance: &InstanceName) -> Option<&Ownership> {
        self.table.get(instance)
    }

    /// The catalog it was computed from.
    pub fn catalog(&self) -> &Arc<IndexedCatalog> {
        &self.catalog
    }

    fn is_of(&self, live: &Arc<Vec<LiveNode>>, catalog: &Arc<IndexedCatalog>) -> bool {
        Arc::ptr_eq(&self.live, live) && Arc::ptr_eq(&self.catalog, catalog)
    }
}

/// The newest snapshot, brought up to date by whoever first asks after a change.
#[derive(Debug, Default)]
pub struct Ownerships {
    newest: ShardedLock<Arc<OwnershipSnapshot>>,
}

impl Ownerships {
    /// The snapshot of the nodes and the catalog in force.
    pub fn current(
        &self,
        live: &Shared<Vec<LiveNode>>,
        catalog: &Shared<IndexedCatalog>,
    ) -> Arc<OwnershipSnapshot> {
        let newest = self.newest.read().expect(POISONED).clone();
        let (live, catalog) = (live.load(), catalog.load());
        if newest.is_of(&live, &catalog) {
            return newest;
        }
        self.renew(live, catalog)
    }

    fn renew(
        &self,
        live: Arc<Vec<LiveNode>>,
        catalog: Arc<IndexedCatalog>,
    ) -> Arc<OwnershipSnapshot> {
        let mut newest = self.newest.write().expect(POISONED);
        if newest.is_of(&live, &catalog) {
            return newest.clone();
        }
        let mut table = newest.table.clone();
        let candidates = live.iter().filter(|node| node.accepts_work).map(|node| &node.candidate);
        let instances = catalog.groups.values().flat_map(|group| &group.instances);
        table.update(candidates, instances.map(|instance| (&instance.name, &instance.zone)));
        *newest = Arc::new(OwnershipSnapshot { live, catalog, table });
        newest.clone()
    }
}

/// Nodes to which connections failed lately.
#[derive(Debug, Default)]
pub struct UnreachableNodes {
    count: AtomicUsize,
    until: ShardedLock<HashMap<NodeName, Instant>>,
}

impl UnreachableNodes {
    /// A connection to `node` failed.
    pub fn add(&self, node: &NodeName, now: Instant) {
        let mut until = self.until.write().expect(POISONED);
        until.retain(|_, until| *until > now);
        until.insert(node.clone(), now + UNREACHABLE_FOR);
        self.count.store(until.len(), Ordering::Release);
    }

    /// Whether a connection to `node` failed lately.
    pub fn contains(&self, node: &NodeName, now: Instant) -> bool {
        if self.count.load(Ordering::Acquire) == 0 {
            return false;
        }
        self.until.read().expect(POISONED).get(node).is_some_and(|until| *until > now)
    }

    /// Where to send: to the owner, or to the standby while the owner cannot be reached.
    pub fn choose<'a>(&self, ownership: &'a Ownership, now: Instant) -> &'a NodeName {
        match &ownership.standby {
            Some(standby)
                if self.contains(&ownership.owner, now) && !self.contains(standby, now) =>
            {
                standby
            }
            _ => &ownership.owner,
        }
    }
}
