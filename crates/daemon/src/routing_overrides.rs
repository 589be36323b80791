//! Where work goes for a while other than to the owner that this node knows of.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam::sync::ShardedLock;
use kestrellock_core::ids::{InstanceName, NodeName, ZoneName};
use kestrellock_core::rendezvous::{Candidate, Ownership};

const POISONED: &str = "a holder of the detours' lock panicked";
/// How long a detour lasts: membership is to know better by then.
const DETOUR_PERIOD: Duration = Duration::from_secs(1);

/// Nodes that work passes over, and owners that gateways named.
#[derive(Debug, Default)]
pub struct RoutingOverrides {
    /// Number of entries, so that the usual case takes no lock.
    count: AtomicUsize,
    entries: ShardedLock<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    /// Nodes that work passes over, and until when.
    passed_over: HashMap<NodeName, Instant>,
    /// Instances whose gateway named another node as the owner.
    referrals: HashMap<InstanceName, Referral>,
}

#[derive(Debug)]
struct Referral {
    owner: NodeName,
    until: Instant,
}

impl RoutingOverrides {
    /// Work passes over `node` for a while: it cannot be reached, is silent, or does not take it.
    pub fn avoid(&self, node: &NodeName, now: Instant) {
        self.change(now, |entries| {
            entries.passed_over.insert(node.clone(), now + DETOUR_PERIOD);
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
        entries.passed_over.retain(|_, until| *until > now);
        entries.referrals.retain(|_, referral| referral.until > now);
        change(&mut entries);
        let count = entries.passed_over.len() + entries.referrals.len();
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
            |node: &NodeName| entries.passed_over.get(node).is_none_or(|until| *until <= now);
        let referral = entries.referrals.get(instance).filter(|referral| referral.until > now);
        let candidates = [referral.map(|referral| &referral.owner), Some(&known.owner)];
        let candidates = candidates.into_iter().chain([known.standby.as_ref()]).flatten();
        candidates.into_iter().find(|node| reachable(node)).unwrap_or(&known.owner).clone()
    }

    /// One of `owners` to send to from `zone`, of the nearest. `random` spreads the work.
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

    /// The nearest of `owners` to send to from `zone`: those of the zone that can be reached, else all that
    /// can be, else all.
    pub fn nearest<'a>(
        &self,
        owners: &'a [Candidate],
        zone: &ZoneName,
        now: Instant,
    ) -> Vec<&'a NodeName> {
        let entries = self.entries.read().expect(POISONED);
        let distance = |owner: &Candidate| {
            let passed_over =
                entries.passed_over.get(&owner.node).is_some_and(|until| *until > now);
            (passed_over, owner.zone != *zone)
        };
        let Some(least) = owners.iter().map(distance).min() else { return Vec::new() };
        let nearest = owners.iter().filter(|owner| distance(owner) == least);
        nearest.map(|owner| &owner.node).collect()
    }
}
