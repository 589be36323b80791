//! The instances of each group, those among them that vanished a moment ago.
//!
//! An instance that can no longer tell the platform that it is there may still run, and hold the
//! only copy of an answered commit. It counts for a while; one that said before that it leaves counts until it
//! refuses connections, since then it has ended.
//!
//! A catalog is followed once, when it comes. What changes with time alone is looked at for the few groups
//! in which something vanished or started again: a look at all instances of 1,000 groups, twenty times a
//! second, is work at rest that grows with the groups.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::refill::Refill;
use super::{Member, Members, SeenStart, Standing, Witness};
use crate::catalog::{Elector, Group, IndexedCatalog, Instance};
use crate::ids::{GroupName, InstanceName};
use crate::incarnation::has_restarted;
use crate::position::Position;
use crate::routing::Role;

/// How long an instance counts that vanished.
const VANISHED_FOR: Duration = Duration::from_secs(10);

/// How long a node has watched a group before it acts: it has not seen what started again before that. An instance
/// that has lost its log has it again within that time unless it receives nothing, and then the primary, which
/// holds everything, is rarely away for longer.
const WATCHED_FOR: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Known {
    instance: Instance,
    /// Whether it may lead for long: it does not leave, nor is its zone drained.
    stays: bool,
    /// When it was first missing from the catalog.
    vanished: Option<Instant>,
    /// What it has yet to receive, if it was seen to have started again.
    refill: Option<Refill>,
    /// Whether it was seen to have started again.
    has_started_again: bool,
}

impl Known {
    /// What is known once `instance` is told at `now`.
    fn following(before: Option<&Self>, instance: &Instance, stays: bool, now: Instant) -> Self {
        let has_started_again = before
            .is_some_and(|before| has_restarted(before.instance.incarnation, instance.incarnation));
        let refill = match has_started_again {
            true => Some(Refill::since(now)),
            false => before.and_then(|before| before.refill),
        };
        // One that leads was promoted: nobody can fill it.
        let leads = instance.announced_role == Some(Role::Primary);
        Self {
            instance: instance.clone(),
            stays,
            vanished: None,
            refill: refill.filter(|_| !leads),
            has_started_again: has_started_again
                || before.is_some_and(|before| before.has_started_again),
        }
    }

    /// Its start, if it was seen to have started again.
    fn seen_start(&self) -> Option<SeenStart> {
        let start = self.instance.incarnation.filter(|_| self.has_started_again)?;
        Some(SeenStart { instance: self.instance.name.clone(), start })
    }

    /// An instance of its group said how it stands.
    fn on_standing(&mut self, instance: &InstanceName, standing: &Standing, asked: Instant) {
        let Some(refill) = &mut self.refill else { return };
        if self.instance.name != *instance {
            refill.on_primary(standing, asked);
        } else if refill.is_complete(standing, asked) {
            self.refill = None;
        }
    }
}

/// Instances by group.
#[derive(Clone, Debug, Default)]
pub struct KnownInstances {
    groups: BTreeMap<GroupName, KnownGroup>,
    /// Groups whose members change with time alone.
    unsettled: BTreeSet<GroupName>,
}

#[derive(Clone, Debug)]
struct KnownGroup {
    synchronous: u32,
    /// When it was first followed: starts from before that are not known.
    watched_since: Instant,
    /// When it was last brought up to date.
    looked: Instant,
    instances: HashMap<InstanceName, Known>,
}

impl KnownInstances {
    /// Takes in a catalog that is in force since `now`.
    pub fn follow(&mut self, catalog: &IndexedCatalog, now: Instant) {
        let groups = catalog.groups.iter();
        let led = groups.filter(|(_, group)| group.elector == Elector::Proxy);
        for (name, group) in led {
            let known = self.groups.entry(name.clone());
            let known = known.or_insert_with(|| KnownGroup::watched_from(now));
            known.follow(group, catalog, now);
        }
        self.groups.retain(|name, _| catalog.groups.contains_key(name));
        let unsettled = self.groups.iter().filter(|(_, group)| group.is_unsettled(now));
        self.unsettled = unsettled.map(|(name, _)| name.clone()).collect();
    }

    /// Time has passed since the catalog was taken in. Returns how many groups were looked at.
    pub fn pass_time(&mut self, now: Instant) -> usize {
        let looked_at = self.unsettled.len();
        self.unsettled.retain(|name| {
            self.groups.get_mut(name).is_some_and(|group| {
                group.forget_vanished(now);
                group.is_unsettled(now)
            })
        });
        looked_at
    }

    /// What is known of some groups.
    pub fn part<'a>(&self, groups: impl IntoIterator<Item = &'a GroupName>) -> Self {
        let known = groups
            .into_iter()
            .filter_map(|name| Some((name.clone(), self.groups.get(name)?.clone())));
        Self { groups: known.collect(), unsettled: BTreeSet::new() }
    }

    /// The groups of which something is known.
    pub fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.groups.keys()
    }

    /// The members of a group.
    pub fn members(&self, group: &GroupName) -> Members {
        let Some(known_group) = self.groups.get(group) else { return Members::default() };
        let shares_address = |known: &Known| {
            let other = known.instance.name.clone();
            let mut others = known_group.instances.values();
            others.any(|one| {
                one.instance.address == known.instance.address && one.instance.name != other
            })
        };
        let member = |known: &Known| Member {
            name: known.instance.name.clone(),
            leaving: !known.stays,
            has_left: known.instance.leaving && known.vanished.is_some(),
            leads: known.instance.announced_role == Some(Role::Primary),
            shares_address: shares_address(known),
            incarnation: known.instance.incarnation,
            is_refilling: known.refill.is_some(),
        };
        let mut all: Vec<Member> = known_group.instances.values().map(member).collect();
        all.sort_by(|one, other| one.name.cmp(&other.name));
        let knows_starts = known_group.knows_starts(known_group.looked);
        Members { all, synchronous: known_group.synchronous, knows_starts }
    }

    /// Whether this node knows which instances of a group have started again a moment ago: it has watched
    /// them for long enough, or the platform tells no starts. A node that does not know must not compare
    /// what they hold.
    pub fn knows_starts(&self, group: &GroupName, now: Instant) -> bool {
        self.groups.get(group).is_some_and(|known| known.knows_starts(now))
    }

    /// An instance, asked at `asked`, said how it stands.
    pub fn on_standing(
        &mut self,
        group: &GroupName,
        instance: &InstanceName,
        standing: &Standing,
        asked: Instant,
    ) {
        let Some(known) = self.groups.get_mut(group) else { return };
        known.instances.values_mut().for_each(|one| one.on_standing(instance, standing, asked));
    }

    /// The instances to ask how they stand, so that those that have started again show when they hold
    /// everything: they, and the instance that leads. None where nothing has started again.
    pub fn to_ask_for_refills(&self, group: &GroupName) -> Vec<InstanceName> {
        let Some(known) = self.groups.get(group) else { return Vec::new() };
        let is_refilling = |known: &&Known| known.refill.is_some();
        if !known.instances.values().any(|known| is_refilling(&known)) {
            return Vec::new();
        }
        let leads = |known: &&Known| known.instance.announced_role == Some(Role::Primary);
        let asked = known.instances.values().filter(|known| is_refilling(known) || leads(known));
        let mut asked: Vec<InstanceName> = asked.map(|known| known.instance.name.clone()).collect();
        asked.sort();
        asked
    }

    /// The groups that this node has seen an instance of start again, and not yet receive everything.
    pub fn refilling_groups(&self) -> impl Iterator<Item = &GroupName> {
        let is_refilling = |name: &&GroupName| {
            let group = self.groups.get(*name);
            group.is_some_and(|group| group.instances.values().any(|one| one.refill.is_some()))
        };
        self.unsettled.iter().filter(is_refilling)
    }

    /// What this node has seen of a group's instances that have started again; `heard` is the highest position
    /// that its primary has told this node.
    pub fn witness(&self, group: &GroupName, heard: Option<Position>) -> Witness {
        let Some(known) = self.groups.get(group) else {
            return Witness { heard, ..Witness::default() };
        };
        let seen_starts = |refilled: bool| -> Vec<SeenStart> {
            let chosen = known.instances.values().filter(|one| one.refill.is_none() == refilled);
            chosen.filter_map(Known::seen_start).collect()
        };
        let refilled = seen_starts(true);
        // A node that has just started may have passed on commits before that it does not remember.
        let started_again = match known.is_young(known.looked) {
            true => Vec::new(),
            false => seen_starts(false).into_iter().chain(refilled.iter().cloned()).collect(),
        };
        Witness { started_again, refilled, heard }
    }

    /// Where an instance listens.
    pub fn address(&self, group: &GroupName, instance: &InstanceName) -> Option<SocketAddr> {
        Some(self.groups.get(group)?.instances.get(instance)?.instance.address)
    }
}

impl KnownGroup {
    fn watched_from(now: Instant) -> Self {
        Self { synchronous: 0, watched_since: now, looked: now, instances: HashMap::new() }
    }

    fn follow(&mut self, group: &Group, catalog: &IndexedCatalog, now: Instant) {
        self.synchronous = group.synchronous_replicas;
        for instance in &group.instances {
            let before = self.instances.get(&instance.name);
            let known = Known::following(before, instance, catalog.accepts_work(instance), now);
            self.instances.insert(instance.name.clone(), known);
        }
        let taken_over = |known: &Known| {
            let same = |one: &Instance| {
                one.address == known.instance.address && one.name != known.instance.name
            };
            group.instances.iter().any(same)
        };
        self.instances.retain(|name, known| group.instance(name).is_some() || !taken_over(known));
        for (name, known) in &mut self.instances {
            if group.instance(name).is_none() {
                known.vanished.get_or_insert(now);
                // What it said last of its role is no longer told.
                known.instance.announced_role = None;
            }
        }
        self.forget_vanished(now);
    }

    /// Drops what vanished long ago.
    fn forget_vanished(&mut self, now: Instant) {
        self.looked = now;
        let has_passed = |at: Instant| now.saturating_duration_since(at) >= VANISHED_FOR;
        self.instances.retain(|_, known| !known.vanished.is_some_and(has_passed));
    }

    fn knows_starts(&self, now: Instant) -> bool {
        let tells_starts = |known: &Known| known.instance.incarnation.is_some();
        !self.is_young(now) || !self.instances.values().any(tells_starts)
    }

    /// Whether it has been watched for too short a time to know what has started again a moment ago.
    fn is_young(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.watched_since) < WATCHED_FOR
    }

    fn is_unsettled(&self, now: Instant) -> bool {
        let mut known = self.instances.values();
        self.is_young(now) || known.any(|known| known.vanished.is_some() || known.refill.is_some())
    }
}
