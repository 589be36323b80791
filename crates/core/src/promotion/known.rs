//! The instances of each group, those among them that vanished a moment ago.
//!
//! An instance that can no longer tell the platform that it is there may still run, and hold the
//! only copy of an answered commit. It counts for a while, unless it said before that it leaves.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Member, Members};
use crate::catalog::{Elector, Group, IndexedCatalog, Instance};
use crate::ids::{GroupName, InstanceName};
use crate::incarnation::has_started_again;
use crate::routing::Role;

/// How long an instance counts that vanished without saying that it leaves.
const VANISHED_FOR: Duration = Duration::from_secs(10);

/// How long an instance that has started again may lack what it held before. Answered commits that it held
/// may stand at the primary alone meanwhile, which returns with its log if it crashes: the wait before
/// another one is promoted without it covers a crash of 2.4 s in the simulation of replacements.
const REFILLS_FOR: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Known {
    instance: Instance,
    seen: Instant,
    /// When it was first seen to have started again.
    started_again: Option<Instant>,
}

impl Known {
    /// What is known once `instance` is told at `now`.
    fn following(before: Option<&Self>, instance: &Instance, now: Instant) -> Self {
        let has_started_again = before.is_some_and(|before| {
            has_started_again(before.instance.incarnation, instance.incarnation)
        });
        let started_again = match has_started_again {
            true => Some(now),
            false => before.and_then(|before| before.started_again),
        };
        Self { instance: instance.clone(), seen: now, started_again }
    }

    fn is_refilling(&self, now: Instant) -> bool {
        self.started_again.is_some_and(|at| now.saturating_duration_since(at) < REFILLS_FOR)
    }
}

/// Instances by group.
#[derive(Clone, Debug, Default)]
pub struct KnownInstances {
    groups: BTreeMap<GroupName, KnownGroup>,
}

#[derive(Clone, Debug, Default)]
struct KnownGroup {
    synchronous: u32,
    /// When it was last brought up to date.
    followed: Option<Instant>,
    instances: HashMap<InstanceName, Known>,
}

impl KnownInstances {
    /// Takes in the catalog as it is at `now`.
    pub fn follow(&mut self, catalog: &IndexedCatalog, now: Instant) {
        let groups = catalog.groups.iter();
        let led = groups.filter(|(_, group)| group.elector == Elector::Proxy);
        for (name, group) in led {
            self.groups.entry(name.clone()).or_default().follow(group, now);
        }
        self.groups.retain(|name, _| catalog.groups.contains_key(name));
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
            leaving: known.instance.leaving,
            leads: known.instance.announced_role == Some(Role::Primary),
            shares_address: shares_address(known),
            incarnation: known.instance.incarnation,
            is_refilling: known_group.followed.is_some_and(|now| known.is_refilling(now)),
        };
        let mut all: Vec<Member> = known_group.instances.values().map(member).collect();
        all.sort_by(|one, other| one.name.cmp(&other.name));
        Members { all, synchronous: known_group.synchronous }
    }

    /// Where an instance listens.
    pub fn address(&self, group: &GroupName, instance: &InstanceName) -> Option<SocketAddr> {
        Some(self.groups.get(group)?.instances.get(instance)?.instance.address)
    }
}

impl KnownGroup {
    fn follow(&mut self, group: &Group, now: Instant) {
        self.synchronous = group.synchronous_replicas;
        self.followed = Some(now);
        for instance in &group.instances {
            let known = Known::following(self.instances.get(&instance.name), instance, now);
            self.instances.insert(instance.name.clone(), known);
        }
        let taken_over = |known: &Known| {
            let same = |one: &Instance| {
                one.address == known.instance.address && one.name != known.instance.name
            };
            group.instances.iter().any(same)
        };
        self.instances.retain(|name, known| {
            let is_told = group.instance(name).is_some();
            let may_run = !known.instance.leaving
                && !taken_over(known)
                && now.saturating_duration_since(known.seen) < VANISHED_FOR;
            is_told || may_run
        });
        for (name, known) in &mut self.instances {
            if group.instance(name).is_none() {
                // What it said last of its role is no longer told.
                known.instance.announced_role = None;
            }
        }
    }
}
