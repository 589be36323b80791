//! Which node's gateway holds an instance, by the nodes and the catalog now known.
//!
//! Computed when either changes, not when it is asked for. Ownership is an optimisation, never a
//! safety argument: two gateways at once cost connections and nothing else.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam::sync::ShardedLock;
use kestrellock_core::catalog::{Elector, IndexedCatalog, Instance};
use kestrellock_core::connection_shares::{Arrangement, Share, YOUNG_FOR, arrange, sharers};
use kestrellock_core::ids::{InstanceName, NodeName};
use kestrellock_core::rendezvous::{Candidate, Ownership, OwnershipTable};

use crate::shared::live::{LiveNode, Shared};

const POISONED: &str = "a holder of the ownership lock panicked";
/// How long a detour lasts: membership is to know better by then.
const DETOUR_PERIOD: Duration = Duration::from_secs(1);

/// Owners and standbys at one moment.
#[derive(Debug, Default)]
pub struct OwnershipSnapshot {
    live: Arc<Vec<LiveNode>>,
    catalog: Arc<IndexedCatalog>,
    without: Option<NodeName>,
    /// Nodes that the machine list named while this node was young; `None` afterwards.
    listed: Option<usize>,
    table: OwnershipTable,
    /// Connections that this node may hold to each instance that every node holds some to.
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

    /// Connections that this node may hold to an instance that every node holds some to.
    pub fn share(&self, instance: &InstanceName) -> Option<Share> {
        self.shares.get(instance).copied()
    }

    /// The catalog it was computed from.
    pub fn catalog(&self) -> &Arc<IndexedCatalog> {
        &self.catalog
    }

    fn is_of(&self, sources: &Sources) -> bool {
        Arc::ptr_eq(&self.live, &sources.live)
            && Arc::ptr_eq(&self.catalog, &sources.catalog)
            && self.without.as_ref() == sources.without
            && self.listed == sources.listed
    }
}

/// What a snapshot is computed from.
struct Sources<'a> {
    live: Arc<Vec<LiveNode>>,
    catalog: Arc<IndexedCatalog>,
    own: &'a NodeName,
    without: Option<&'a NodeName>,
    listed: Option<usize>,
}

impl Sources<'_> {
    /// This node's share of each instance's connections, where every node has one: groups whose
    /// primary the proxy replaces come from a platform that tells limits for all nodes together.
    fn shares(&self) -> HashMap<InstanceName, Share> {
        let nodes = sharers(self.live.len(), self.listed.unwrap_or(0), self.listed.is_some());
        let groups = self.catalog.groups.values();
        let shared = groups.filter(|group| group.elector == Elector::Proxy);
        let instances = shared.flat_map(|group| &group.instances);
        let share = |instance: &Instance| match arrange(instance.connections, nodes) {
            Arrangement::Shared(share) => {
                let share = if self.listed.is_some() { share.of_a_young_node() } else { share };
                Some((instance.name.clone(), share))
            }
            Arrangement::Owned => None,
        };
        instances.filter_map(share).collect()
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
        listed: &Shared<Vec<NodeName>>,
    ) -> Arc<OwnershipSnapshot> {
        let newest = self.newest.read().expect(POISONED).clone();
        let listed = self.is_young().then(|| listed.load().len());
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
        let young = self.started.elapsed() < YOUNG_FOR;
        self.grown.store(!young, Ordering::Release);
        young
    }

    fn renew(&self, sources: Sources) -> Arc<OwnershipSnapshot> {
        let mut newest = self.newest.write().expect(POISONED);
        if newest.is_of(&sources) {
            return newest.clone();
        }
        let mut table = newest.table.clone();
        let shares = sources.shares();
        let instances = sources.catalog.groups.values().flat_map(|group| &group.instances);
        let owned = instances.filter(|instance| !shares.contains_key(&instance.name));
        let placed = owned.map(|instance| (&instance.name, &instance.zone));
        table.update(sources.candidates(), placed);
        let without = sources.without.cloned();
        let own = Some(Ownership { owner: sources.own.clone(), standby: None });
        let Sources { live, catalog, listed, .. } = sources;
        *newest =
            Arc::new(OwnershipSnapshot { live, catalog, without, listed, table, shares, own });
        newest.clone()
    }
}

/// Where work goes for a while other than to the owner that this node knows of.
#[derive(Debug, Default)]
pub struct Detours {
    /// Number of entries, so that the usual case takes no lock.
    count: AtomicUsize,
    entries: ShardedLock<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    /// Nodes to which connections failed, until when they are passed over.
    unreachable: HashMap<NodeName, Instant>,
    /// Instances whose gateway named another node as the owner.
    referrals: HashMap<InstanceName, Referral>,
}

#[derive(Debug)]
struct Referral {
    owner: NodeName,
    until: Instant,
}

impl Detours {
    /// A connection to `node` failed.
    pub fn add_unreachable(&self, node: &NodeName, now: Instant) {
        self.change(now, |entries| {
            entries.unreachable.insert(node.clone(), now + DETOUR_PERIOD);
        });
    }

    /// A gateway named `owner` as the owner of an instance, or knows of none.
    pub fn set_referral(&self, instance: &InstanceName, owner: Option<NodeName>, now: Instant) {
        self.change(now, |entries| {
            entries.referrals.remove(instance);
            let referral = owner.map(|owner| Referral { owner, until: now + DETOUR_PERIOD });
            entries.referrals.extend(referral.map(|referral| (instance.clone(), referral)));
        });
    }

    fn change(&self, now: Instant, change: impl FnOnce(&mut Entries)) {
        let mut entries = self.entries.write().expect(POISONED);
        entries.unreachable.retain(|_, until| *until > now);
        entries.referrals.retain(|_, referral| referral.until > now);
        change(&mut entries);
        let count = entries.unreachable.len() + entries.referrals.len();
        self.count.store(count, Ordering::Release);
    }

    /// Where to send: to the node that a gateway named, else to the owner; to the standby while
    /// that node cannot be reached.
    pub fn choose(&self, instance: &InstanceName, known: &Ownership, now: Instant) -> NodeName {
        if self.count.load(Ordering::Acquire) == 0 {
            return known.owner.clone();
        }
        let entries = self.entries.read().expect(POISONED);
        let reachable =
            |node: &NodeName| entries.unreachable.get(node).is_none_or(|until| *until <= now);
        let referral = entries.referrals.get(instance).filter(|referral| referral.until > now);
        let candidates = [referral.map(|referral| &referral.owner), Some(&known.owner)];
        let candidates = candidates.into_iter().chain([known.standby.as_ref()]).flatten();
        candidates.into_iter().find(|node| reachable(node)).unwrap_or(&known.owner).clone()
    }
}
