//! Which node's gateway holds an instance, by the nodes and the catalog now known.
//!
//! Computed when either changes, not when it is asked for. Ownership is an optimisation, never a
//! safety argument: two gateways at once cost connections and nothing else.

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

const POISONED: &str = "a holder of the ownership lock panicked";

/// What `own`, one of the `owners` of a group, may hold to a replica; `sharers` nodes share its connections,
/// some of which may not accept work.
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

/// Owners and standbys at one moment.
#[derive(Debug, Default)]
pub struct OwnershipSnapshot {
    live: Arc<Vec<LiveNode>>,
    catalog: Arc<IndexedCatalog>,
    without: Option<NodeName>,
    /// Nodes that the machine list named while this node was young; `None` afterwards.
    listed: Option<Arc<Vec<LiveNode>>>,
    table: OwnershipTable,
    /// Owners of the groups that have several.
    group_owners: GroupOwnerTable,
    /// Connections that this node may hold to each instance of those that it owns.
    shares: HashMap<InstanceName, Share>,
    /// This node, where it was told.
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

    /// Whether `node` is one of several owners of a group.
    pub fn is_owner(&self, node: &NodeName, group: &GroupName) -> bool {
        self.owners_of(group).iter().any(|owner| owner.node == *node)
    }

    /// Connections that this node may hold to an instance whose group has several owners.
    pub fn share(&self, instance: &InstanceName) -> Option<Share> {
        self.shares.get(instance).copied()
    }

    /// The groups that `node` is one of several owners of.
    pub fn owned_by<'a>(&'a self, node: &'a NodeName) -> impl Iterator<Item = &'a GroupName> {
        self.group_owners.owned_by(node).map(|(group, _)| group)
    }

    /// The catalog it was computed from.
    pub fn catalog(&self) -> &Arc<IndexedCatalog> {
        &self.catalog
    }

    fn is_of(&self, sources: &Sources) -> bool {
        Arc::ptr_eq(&self.live, &sources.live)
            && Arc::ptr_eq(&self.catalog, &sources.catalog)
            && self.without.as_ref() == sources.without
            && same_list(self.listed.as_ref(), sources.listed.as_ref())
    }
}

fn same_list(one: Option<&Arc<Vec<LiveNode>>>, other: Option<&Arc<Vec<LiveNode>>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => Arc::ptr_eq(one, other),
        (None, None) => true,
        _ => false,
    }
}

/// What a snapshot is computed from.
struct Sources<'a> {
    live: Arc<Vec<LiveNode>>,
    catalog: Arc<IndexedCatalog>,
    own: &'a NodeName,
    without: Option<&'a NodeName>,
    listed: Option<Arc<Vec<LiveNode>>>,
}

impl Sources<'_> {
    /// Brings the owners up to date of the groups that have several: those whose primary the proxy replaces
    /// come from a platform that tells limits for all nodes together.
    fn follow_group_owners(&self, table: &mut GroupOwnerTable) {
        let nodes = self.nodes();
        let owned = self.catalog.groups.iter().filter(|(_, group)| group.elector == Elector::Proxy);
        let counted = owned.map(|(name, group)| (name, group.owner_count(nodes)));
        table.update(self.expected(), counted);
    }

    /// This node's share of the connections to each instance of the groups that it owns.
    fn shares(&self, group_owners: &GroupOwnerTable) -> HashMap<InstanceName, Share> {
        let shares = group_owners.owned_by(self.own).flat_map(|(name, owners)| {
            let sharers = group_owners.owner_count_of(name).unwrap_or(owners.len());
            let instances = self.catalog.groups.get(name).map(|group| group.instances.as_slice());
            let instances = instances.unwrap_or_default().iter();
            instances.map(move |instance| (instance, owners, sharers))
        });
        let young = self.listed.is_some();
        let has_accounts = !self.catalog.accounts.is_empty();
        let shares = shares.map(|(instance, owners, sharers)| {
            let share = match instance.announced_role {
                Some(Role::Replica) if has_accounts => {
                    own_share_of_replica(instance, owners, sharers, self.own)
                }
                _ => share(instance.connections, sharers),
            };
            let share = if young { share.during_startup() } else { share };
            (instance.name.clone(), share)
        });
        shares.collect()
    }

    /// Nodes among which connections are divided.
    fn nodes(&self) -> usize {
        let listed = self.listed.as_ref().map_or(0, |listed| listed.len());
        sharing_nodes(self.live.len(), listed, self.listed.is_some())
    }

    /// Nodes that may own groups. A node that has just started may know few of the others yet, and
    /// must not take their places: for it those of the machine list count as well, unless most of
    /// them are known to live.
    fn expected(&self) -> Vec<&Candidate> {
        let mut expected = self.candidates();
        let listed = self.listed.as_deref().map(Vec::as_slice).unwrap_or_default();
        let missing = listed_but_unknown(&self.live, listed);
        expected.extend(missing.filter(|missing| Some(&missing.node) != self.without));
        expected
    }

    /// Nodes that may own instances: those that accept work, or all if none does, because
    /// somebody has to finish what is under way.
    fn candidates(&self) -> Vec<&Candidate> {
        let accepts =
            |node: &&LiveNode| node.accepts_work && Some(&node.candidate.node) != self.without;
        let accepting: Vec<&Candidate> =
            self.live.iter().filter(accepts).map(|node| &node.candidate).collect();
        match accepting.is_empty() {
            true => self.live.iter().map(|node| &node.candidate).collect(),
            false => accepting,
        }
    }
}

/// The newest snapshot, brought up to date by whoever first asks after a change.
#[derive(Debug)]
pub struct Ownerships {
    newest: ShardedLock<Arc<OwnershipSnapshot>>,
    started: Instant,
    /// Whether the node was no longer young when that was last looked at.
    grown: AtomicBool,
}

impl Default for Ownerships {
    fn default() -> Self {
        Self {
            newest: ShardedLock::default(),
            started: Instant::now(),
            grown: AtomicBool::new(false),
        }
    }
}

impl Ownerships {
    /// The snapshot of the nodes and the catalog in force. `leaving` is this node once it may own
    /// nothing any more, whatever the list of live nodes says of it.
    pub fn current(
        &self,
        live: &Shared<Vec<LiveNode>>,
        catalog: &Shared<IndexedCatalog>,
        own: &NodeName,
        leaving: Option<&NodeName>,
        listed: &Shared<Vec<LiveNode>>,
    ) -> Arc<OwnershipSnapshot> {
        let newest = self.newest.read().expect(POISONED).clone();
        let listed = self.is_young().then(|| listed.load());
        let (live, catalog) = (live.load(), catalog.load());
        let sources = Sources { live, catalog, own, without: leaving, listed };
        if newest.is_of(&sources) {
            return newest;
        }
        self.renew(sources)
    }

    fn is_young(&self) -> bool {
        if self.grown.load(Ordering::Acquire) {
            return false;
        }
        let young = self.started.elapsed() < STARTUP_PERIOD;
        self.grown.store(!young, Ordering::Release);
        young
    }

    fn renew(&self, sources: Sources) -> Arc<OwnershipSnapshot> {
        let mut newest = self.newest.write().expect(POISONED);
        if newest.is_of(&sources) {
            return newest.clone();
        }
        let mut table = newest.table.clone();
        let mut group_owners = newest.group_owners.clone();
        sources.follow_group_owners(&mut group_owners);
        let shares = sources.shares(&group_owners);
        let single = sources.catalog.groups.iter();
        let single = single.filter(|(name, _)| group_owners.owner_count_of(name).is_none());
        let instances = single.flat_map(|(_, group)| &group.instances);
        let placed = instances.map(|instance| (&instance.name, &instance.zone));
        table.update(sources.candidates(), placed);
        let without = sources.without.cloned();
        let own = Some(Ownership { owner: sources.own.clone(), standby: None });
        let Sources { live, catalog, listed, .. } = sources;
        *newest = Arc::new(OwnershipSnapshot {
            live,
            catalog,
            without,
            listed,
            table,
            group_owners,
            shares,
            own,
        });
        newest.clone()
    }
}
