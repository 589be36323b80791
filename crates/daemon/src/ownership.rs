//! Owners of instances: the nodes whose gateways hold the connections to them.
//!
//! Each node computes the owners from the live nodes and the catalog that it knows, and caches the
//! result until one of them changes. Nodes may therefore disagree for a while. Ownership is an
//! optimisation and no safety property depends on it: two gateways that both consider themselves
//! owners only use more connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use crossbeam::sync::ShardedLock;
use kestrellock_core::catalog::{Elector, IndexedCatalog, Instance};
use kestrellock_core::connection_shares::{
    STARTUP_PERIOD, Share, replica_share, share, sharing_nodes,
};
use kestrellock_core::group_owners::GroupOwnerTable;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::rendezvous::{Candidate, Ownership, OwnershipTable};
use kestrellock_core::routing::Role;

use crate::shared::live::{LiveNode, Shared, listed_but_unknown};

const POISONED: &str = "a thread panicked while it held the ownership lock";

/// The share of a replica's connections for `own`, one of the `owners` of the group. `sharers` is
/// the number of nodes that share the connections, including nodes that do not accept work.
fn own_share_of_replica(
    replica: &Instance,
    owners: &[Candidate],
    sharers: usize,
    own: &NodeName,
) -> Share {
    let is_near = |owner: &&Candidate| owner.zone == replica.zone;
    let near = owners.iter().filter(is_near).count();
    let far = sharers.saturating_sub(near);
    let own_is_near = owners.iter().filter(is_near).any(|owner| owner.node == *own);
    replica_share(replica.connections, near, far, own_is_near)
}

/// Owners and standbys for one set of live nodes and one catalog.
#[derive(Debug, Default)]
pub struct OwnershipSnapshot {
    live: Arc<Vec<LiveNode>>,
    catalog: Arc<IndexedCatalog>,
    /// This node, if it was leaving and so could not own anything.
    excluded: Option<NodeName>,
    /// Nodes in the machine list during this node's startup period; `None` afterwards.
    listed: Option<Arc<Vec<LiveNode>>>,
    table: OwnershipTable,
    /// Owners of the groups that have several.
    group_owners: GroupOwnerTable,
    /// This node's share of the connections to each instance of the groups in `group_owners` that
    /// it owns.
    shares: HashMap<InstanceName, Share>,
    /// This node as the owner of the instances in `shares`; `None` in the initial snapshot.
    own: Option<Ownership>,
}

impl OwnershipSnapshot {
    /// Owner and standby of an instance.
    pub fn get(&self, instance: &InstanceName) -> Option<&Ownership> {
        match self.shares.contains_key(instance) {
            true => self.own.as_ref(),
            false => self.table.get(instance),
        }
    }

    /// The owners of a group that has several.
    pub fn owners_of(&self, group: &GroupName) -> &[Candidate] {
        self.group_owners.owners_of(group)
    }

    /// Whether `node` is an owner of a group that has several.
    pub fn is_owner(&self, node: &NodeName, group: &GroupName) -> bool {
        self.owners_of(group).iter().any(|owner| owner.node == *node)
    }

    /// This node's share of the connections to an instance whose group has several owners, if it is
    /// one of them.
    pub fn share(&self, instance: &InstanceName) -> Option<Share> {
        self.shares.get(instance).copied()
    }

    /// The groups with several owners of which `node` is one.
    pub fn owned_by<'a>(&'a self, node: &'a NodeName) -> impl Iterator<Item = &'a GroupName> {
        self.group_owners.owned_by(node).map(|(group, _)| group)
    }

    /// The catalog from which the snapshot was computed.
    pub fn catalog(&self) -> &Arc<IndexedCatalog> {
        &self.catalog
    }

    fn is_computed_from(&self, inputs: &Inputs) -> bool {
        Arc::ptr_eq(&self.live, &inputs.live)
            && Arc::ptr_eq(&self.catalog, &inputs.catalog)
            && self.excluded.as_ref() == inputs.excluded
            && is_same_list(self.listed.as_ref(), inputs.listed.as_ref())
    }
}

fn is_same_list(left: Option<&Arc<Vec<LiveNode>>>, right: Option<&Arc<Vec<LiveNode>>>) -> bool {
    match (left, right) {
        (Some(left), Some(right)) => Arc::ptr_eq(left, right),
        (None, None) => true,
        _ => false,
    }
}

/// Inputs of a snapshot.
struct Inputs<'a> {
    live: Arc<Vec<LiveNode>>,
    catalog: Arc<IndexedCatalog>,
    own: &'a NodeName,
    excluded: Option<&'a NodeName>,
    listed: Option<Arc<Vec<LiveNode>>>,
    /// Number of zones without which the deployment must be able to serve.
    tolerated_zone_losses: u32,
}

impl Inputs<'_> {
    /// Updates the owners of the groups that have several. These are the groups whose primary the
    /// proxy replaces: their platform reports connection limits that apply to all nodes together.
    fn update_group_owners(&self, table: &mut GroupOwnerTable) {
        let nodes = self.node_count();
        let owned = self.catalog.groups.iter().filter(|(_, group)| group.elector == Elector::Proxy);
        let counted = owned.map(|(name, group)| (name, group.owner_count(nodes)));
        table.update(self.group_owner_candidates(), counted);
    }

    /// This node's share of the connections to each instance of the groups that it owns.
    fn shares(&self, group_owners: &GroupOwnerTable) -> HashMap<InstanceName, Share> {
        let shares = group_owners.owned_by(self.own).flat_map(|(name, owners)| {
            let sharers = group_owners.owner_count_of(name).unwrap_or(owners.len());
            let instances = self.catalog.groups.get(name).map(|group| group.instances.as_slice());
            let instances = instances.unwrap_or_default().iter();
            instances.map(move |instance| (instance, owners, sharers))
        });
        let starting_up = self.listed.is_some();
        let has_accounts = !self.catalog.accounts.is_empty();
        let shares = shares.map(|(instance, owners, sharers)| {
            let share = match instance.announced_role {
                Some(Role::Replica) if has_accounts => {
                    own_share_of_replica(instance, owners, sharers, self.own)
                }
                _ => share(instance.connections, sharers),
            };
            let share = share.available(starting_up, self.tolerated_zone_losses);
            (instance.name.clone(), share)
        });
        shares.collect()
    }

    /// Number of nodes among which connections are divided.
    fn node_count(&self) -> usize {
        let listed = self.listed.as_ref().map_or(0, |listed| listed.len());
        sharing_nodes(self.live.len(), listed, self.listed.is_some())
    }

    /// Nodes that may own groups. A node that has just started may know few other nodes and must
    /// not become owner in their place. During its startup period, nodes in the machine list are
    /// therefore candidates as well, unless most of them are known to be alive.
    fn group_owner_candidates(&self) -> Vec<&Candidate> {
        let mut candidates = self.candidates();
        let listed = self.listed.as_deref().map(Vec::as_slice).unwrap_or_default();
        let missing = listed_but_unknown(&self.live, listed);
        candidates.extend(missing.filter(|missing| Some(&missing.node) != self.excluded));
        candidates
    }

    /// Nodes that may own instances: the nodes that accept work, or all live nodes if none does,
    /// because open work must still be finished.
    fn candidates(&self) -> Vec<&Candidate> {
        let accepts =
            |node: &&LiveNode| node.accepts_work && Some(&node.candidate.node) != self.excluded;
        let accepting: Vec<&Candidate> =
            self.live.iter().filter(accepts).map(|node| &node.candidate).collect();
        match accepting.is_empty() {
            true => self.live.iter().map(|node| &node.candidate).collect(),
            false => accepting,
        }
    }
}

/// The newest snapshot. The first thread that needs it after a change of its inputs computes it
/// again.
#[derive(Debug)]
pub struct OwnershipCache {
    newest: ShardedLock<Arc<OwnershipSnapshot>>,
    started: Instant,
    /// Whether the node's startup period was found to be over.
    startup_over: AtomicBool,
    /// Number of zones without which the deployment must be able to serve.
    tolerated_zone_losses: u32,
}

impl Default for OwnershipCache {
    fn default() -> Self {
        Self {
            newest: ShardedLock::default(),
            started: Instant::now(),
            startup_over: AtomicBool::new(false),
            tolerated_zone_losses: 0,
        }
    }
}

impl OwnershipCache {
    /// A cache of a node whose deployment must do without `tolerated_zone_losses` zones.
    pub fn new(tolerated_zone_losses: u32) -> Self {
        Self { tolerated_zone_losses, ..Self::default() }
    }

    /// The snapshot for the live nodes and the active catalog. `leaving` is this node once it must
    /// not own anything, even if the list of live nodes still says that it accepts work.
    pub fn current(
        &self,
        live: &Shared<Vec<LiveNode>>,
        catalog: &Shared<IndexedCatalog>,
        own: &NodeName,
        leaving: Option<&NodeName>,
        listed: &Shared<Vec<LiveNode>>,
    ) -> Arc<OwnershipSnapshot> {
        let newest = self.newest.read().expect(POISONED).clone();
        let listed = self.is_starting_up().then(|| listed.load());
        let (live, catalog) = (live.load(), catalog.load());
        let tolerated_zone_losses = self.tolerated_zone_losses;
        let inputs =
            Inputs { live, catalog, own, excluded: leaving, listed, tolerated_zone_losses };
        if newest.is_computed_from(&inputs) {
            return newest;
        }
        self.recompute(inputs)
    }

    fn is_starting_up(&self) -> bool {
        if self.startup_over.load(Ordering::Acquire) {
            return false;
        }
        let starting_up = self.started.elapsed() < STARTUP_PERIOD;
        self.startup_over.store(!starting_up, Ordering::Release);
        starting_up
    }

    fn recompute(&self, inputs: Inputs) -> Arc<OwnershipSnapshot> {
        let mut newest = self.newest.write().expect(POISONED);
        if newest.is_computed_from(&inputs) {
            return newest.clone();
        }
        let mut table = newest.table.clone();
        let mut group_owners = newest.group_owners.clone();
        inputs.update_group_owners(&mut group_owners);
        let shares = inputs.shares(&group_owners);
        let single_owner = inputs.catalog.groups.iter();
        let single_owner =
            single_owner.filter(|(name, _)| group_owners.owner_count_of(name).is_none());
        let instances = single_owner.flat_map(|(_, group)| &group.instances);
        let zones = instances.map(|instance| (&instance.name, &instance.zone));
        table.update(inputs.candidates(), zones);
        let excluded = inputs.excluded.cloned();
        let own = Some(Ownership { owner: inputs.own.clone(), standby: None });
        let Inputs { live, catalog, listed, .. } = inputs;
        *newest = Arc::new(OwnershipSnapshot {
            live,
            catalog,
            excluded,
            listed,
            table,
            group_owners,
            shares,
            own,
        });
        newest.clone()
    }
}
