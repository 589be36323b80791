//! Temporary exceptions to sending an instance's work to the owner that this node computes.
//!
//! Three events cause an exception: a node is unreachable, silent or refuses work; a gateway
//! answers that another node owns the instance; or several nodes of a zone are silent. Exceptions
//! expire after a second, by which time membership should have updated the computed owner. Those of
//! a zone end when something in it answers, or when no silence is reported any more
//! (`core::isolation::silent_zones`).

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam::sync::ShardedLock;
use kestrellock_core::ids::{InstanceName, NodeName, ZoneName};
use kestrellock_core::isolation::silent_zones::SilentZones;
use kestrellock_core::rendezvous::{Candidate, Ownership};

const POISONED: &str = "a thread panicked while it held the lock of the overrides";
/// Lifetime of an override. Membership should have noticed the change by then.
const OVERRIDE_PERIOD: Duration = Duration::from_secs(1);

/// Nodes to avoid, and owners that gateways have named.
#[derive(Debug, Default)]
pub struct RoutingOverrides {
    /// Number of entries, so that the usual case of none needs no lock.
    count: AtomicUsize,
    /// Whether any zone has silent nodes, so that an answer usually needs no lock.
    has_silent_zones: AtomicBool,
    entries: ShardedLock<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    /// Nodes to avoid, and until when.
    avoided: HashMap<NodeName, Instant>,
    /// Instances for which a gateway named another node as the owner.
    referrals: HashMap<InstanceName, Referral>,
    silent_zones: SilentZones,
}

#[derive(Debug)]
struct Referral {
    owner: NodeName,
    until: Instant,
}

impl RoutingOverrides {
    /// Avoids `node` for a second, because it is unreachable, silent or refuses work.
    pub fn avoid(&self, node: &NodeName, now: Instant) {
        self.change(now, |entries| {
            entries.avoided.insert(node.clone(), now + OVERRIDE_PERIOD);
        });
    }

    /// Records that `node` is silent. Once a second node of its zone is, all owners in the zone are
    /// avoided.
    pub fn on_silent_node(&self, node: &NodeName, zone: &ZoneName, now: Instant) {
        self.change(now, |entries| entries.silent_zones.on_silent(node, zone, now));
        self.has_silent_zones.store(true, Ordering::Release);
    }

    /// Records that something in `zone` has answered this node.
    pub fn on_zone_answer(&self, zone: &ZoneName) {
        if self.has_silent_zones.load(Ordering::Acquire) {
            let mut entries = self.entries.write().expect(POISONED);
            entries.silent_zones.on_answer(zone);
            self.has_silent_zones.store(!entries.silent_zones.is_empty(), Ordering::Release);
        }
    }

    /// Whether `node` has to be avoided.
    pub fn is_avoided(&self, node: &NodeName, now: Instant) -> bool {
        self.count.load(Ordering::Acquire) > 0
            && self
                .entries
                .read()
                .expect(POISONED)
                .avoided
                .get(node)
                .is_some_and(|until| *until > now)
    }

    /// Sends the work of an instance to `owner`, which a gateway named, for a second. `None`: the
    /// gateway knows no owner, and an earlier referral is removed.
    pub fn set_referral(&self, instance: &InstanceName, owner: Option<NodeName>, now: Instant) {
        self.change(now, |entries| {
            entries.referrals.remove(instance);
            let referral = owner.map(|owner| Referral { owner, until: now + OVERRIDE_PERIOD });
            entries.referrals.extend(referral.map(|referral| (instance.clone(), referral)));
        });
    }

    fn change(&self, now: Instant, change: impl FnOnce(&mut Entries)) {
        let mut entries = self.entries.write().expect(POISONED);
        entries.avoided.retain(|_, until| *until > now);
        entries.referrals.retain(|_, referral| referral.until > now);
        change(&mut entries);
        let count = entries.avoided.len() + entries.referrals.len();
        self.count.store(count, Ordering::Release);
    }

    /// Chooses the node for an instance's work: the first that need not be avoided of the owner
    /// that a gateway named, the computed owner and the standby; the computed owner if all of them
    /// must be avoided.
    pub fn choose(&self, instance: &InstanceName, known: &Ownership, now: Instant) -> NodeName {
        if self.count.load(Ordering::Acquire) == 0 {
            return known.owner.clone();
        }
        let entries = self.entries.read().expect(POISONED);
        let reachable =
            |node: &NodeName| entries.avoided.get(node).is_none_or(|until| *until <= now);
        let referral = entries.referrals.get(instance).filter(|referral| referral.until > now);
        let candidates = [referral.map(|referral| &referral.owner), Some(&known.owner)];
        let candidates = candidates.into_iter().chain([known.standby.as_ref()]).flatten();
        candidates.into_iter().find(|node| reachable(node)).unwrap_or(&known.owner).clone()
    }

    /// Chooses one of the [nearest](Self::nearest) of `owners`. `random` spreads the work over
    /// them.
    pub fn choose_among<'a>(
        &self,
        owners: &'a [Candidate],
        zone: &ZoneName,
        random: u64,
        now: Instant,
    ) -> Option<&'a NodeName> {
        let nearest = self.nearest(owners, zone, now);
        let chosen = random.checked_rem(nearest.len() as u64)?;
        nearest.get(chosen as usize).copied()
    }

    /// The preferred `owners` for work from `zone`: those in `zone`, else all, among the owners
    /// that need not be avoided, or among all owners if every one must be avoided.
    pub fn nearest<'a>(
        &self,
        owners: &'a [Candidate],
        zone: &ZoneName,
        now: Instant,
    ) -> Vec<&'a NodeName> {
        let entries = self.entries.read().expect(POISONED);
        let distance = |owner: &Candidate| {
            let is_silent = entries.silent_zones.is_avoided(&owner.zone, now);
            let avoided = entries.avoided.get(&owner.node).is_some_and(|until| *until > now);
            (avoided || is_silent, owner.zone != *zone)
        };
        let Some(least) = owners.iter().map(distance).min() else { return Vec::new() };
        let nearest = owners.iter().filter(|owner| distance(owner) == least);
        nearest.map(|owner| &owner.node).collect()
    }
}
