//! The instances of each group, including those that recently vanished from the catalog, and their
//! restarts.
//!
//! An instance that can no longer renew its entry on the platform may still run, and may have the
//! only copy of an acknowledged commit. So it still counts for a while after it vanished. If it had
//! announced before that it was leaving, an attempt counts it only until it refuses connections,
//! since it has then terminated.
//!
//! A catalog is processed once, when it is activated. Changes that depend on time alone are only
//! evaluated for the few groups in which an instance vanished or was restarted: evaluating all
//! instances of 1,000 groups twenty times a second would cost idle nodes processor time that grows
//! with the number of groups.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::refill::Refill;
use super::{Member, Members, ObservedRestart, ReplicationStatus, RestartReport};
use crate::catalog::{Elector, Group, IndexedCatalog, Instance};
use crate::ids::{GroupName, InstanceName};
use crate::incarnation::has_restarted;
use crate::position::Position;
use crate::routing::Role;

/// How long a vanished instance still counts.
const VANISHED_RETENTION: Duration = Duration::from_secs(10);

/// How long a node observes a group before it acts, since it has not seen earlier restarts. A
/// restarted instance has received its lost log again within that time, unless it receives nothing;
/// in that case the primary, which has everything, is rarely down for longer.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct KnownInstance {
    instance: Instance,
    /// Whether it can stay primary if it is promoted: it is not leaving and its zone is not
    /// drained.
    may_stay_primary: bool,
    /// When it was first missing from the catalog.
    vanished_at: Option<Instant>,
    /// What it still has to receive, if this node saw it restart.
    refill: Option<Refill>,
    /// Whether this node saw it restart.
    was_restarted: bool,
}

impl KnownInstance {
    /// The state after the catalog reported `instance` at `now`; `before` is the previous state.
    fn updated(
        before: Option<&Self>,
        instance: &Instance,
        may_stay_primary: bool,
        now: Instant,
    ) -> Self {
        let is_restarted = before
            .is_some_and(|before| has_restarted(before.instance.incarnation, instance.incarnation));
        let refill = match is_restarted {
            true => Some(Refill::since(now)),
            false => before.and_then(|before| before.refill),
        };
        // A primary was promoted after its restart, and there is no instance from which it could
        // receive more.
        let is_primary = instance.announced_role == Some(Role::Primary);
        Self {
            instance: instance.clone(),
            may_stay_primary,
            vanished_at: None,
            refill: refill.filter(|_| !is_primary),
            was_restarted: is_restarted || before.is_some_and(|before| before.was_restarted),
        }
    }

    /// The last restart that this node saw, if any.
    fn observed_restart(&self) -> Option<ObservedRestart> {
        let incarnation = self.instance.incarnation.filter(|_| self.was_restarted)?;
        Some(ObservedRestart { instance: self.instance.name.clone(), incarnation })
    }

    /// An instance of its group reported its status.
    fn on_status(&mut self, instance: &InstanceName, status: &ReplicationStatus, sent: Instant) {
        let Some(refill) = &mut self.refill else { return };
        if self.instance.name != *instance {
            refill.on_primary(status, sent);
        } else if refill.is_complete(status, sent) {
            self.refill = None;
        }
    }
}

/// The known instances of each group.
#[derive(Clone, Debug, Default)]
pub struct KnownInstances {
    groups: BTreeMap<GroupName, KnownGroup>,
    /// Groups whose state changes with time alone.
    time_dependent: BTreeSet<GroupName>,
}

#[derive(Clone, Debug)]
struct KnownGroup {
    synchronous: u32,
    /// When this node first saw the group; earlier restarts are not known.
    observed_since: Instant,
    /// When the state was last updated.
    updated_at: Instant,
    instances: HashMap<InstanceName, KnownInstance>,
}

impl KnownInstances {
    /// Processes a catalog that was activated at `now`.
    pub fn apply_catalog(&mut self, catalog: &IndexedCatalog, now: Instant) {
        let groups = catalog.groups.iter();
        let proxy_elected = groups.filter(|(_, group)| group.elector == Elector::Proxy);
        for (name, group) in proxy_elected {
            let known = self.groups.entry(name.clone());
            let known = known.or_insert_with(|| KnownGroup::observed_from(now));
            known.apply(group, catalog, now);
        }
        self.groups.retain(|name, _| catalog.groups.contains_key(name));
        let time_dependent = self.groups.iter().filter(|(_, group)| group.is_time_dependent(now));
        self.time_dependent = time_dependent.map(|(name, _)| name.clone()).collect();
    }

    /// Applies the time that has passed since the catalog was processed. Returns how many groups
    /// were evaluated.
    pub fn advance_time(&mut self, now: Instant) -> usize {
        let evaluated = self.time_dependent.len();
        self.time_dependent.retain(|name| {
            self.groups.get_mut(name).is_some_and(|group| {
                group.remove_expired(now);
                group.is_time_dependent(now)
            })
        });
        evaluated
    }

    /// A copy that is limited to `groups`.
    pub fn subset<'a>(&self, groups: impl IntoIterator<Item = &'a GroupName>) -> Self {
        let known = groups
            .into_iter()
            .filter_map(|name| Some((name.clone(), self.groups.get(name)?.clone())));
        Self { groups: known.collect(), time_dependent: BTreeSet::new() }
    }

    /// The known groups.
    pub fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.groups.keys()
    }

    /// The members of a group.
    pub fn members(&self, group: &GroupName) -> Members {
        let Some(known_group) = self.groups.get(group) else { return Members::default() };
        let shares_address = |known: &KnownInstance| {
            let name = known.instance.name.clone();
            let mut others = known_group.instances.values();
            others.any(|other| {
                other.instance.address == known.instance.address && other.instance.name != name
            })
        };
        let member = |known: &KnownInstance| Member {
            name: known.instance.name.clone(),
            leaving: !known.may_stay_primary,
            has_left: known.instance.leaving && known.vanished_at.is_some(),
            leads: known.instance.announced_role == Some(Role::Primary),
            shares_address: shares_address(known),
            incarnation: known.instance.incarnation,
            is_refilling: known.refill.is_some(),
        };
        let mut all: Vec<Member> = known_group.instances.values().map(member).collect();
        all.sort_by(|one, other| one.name.cmp(&other.name));
        let knows_restarts = known_group.knows_restarts(known_group.updated_at);
        Members { all, synchronous: known_group.synchronous, knows_restarts }
    }

    /// Whether this node knows which instances of a group were restarted recently: it has observed
    /// them for long enough, or the platform does not report incarnations. A node that does not
    /// know this must not compare the positions of the instances.
    pub fn knows_restarts(&self, group: &GroupName, now: Instant) -> bool {
        self.groups.get(group).is_some_and(|known| known.knows_restarts(now))
    }

    /// An instance reported its status in answer to a query that was sent at `sent`.
    pub fn on_status(
        &mut self,
        group: &GroupName,
        instance: &InstanceName,
        status: &ReplicationStatus,
        sent: Instant,
    ) {
        let Some(known) = self.groups.get_mut(group) else { return };
        known.instances.values_mut().for_each(|known| known.on_status(instance, status, sent));
    }

    /// The instances whose status has to be queried to find out when the restarted ones have
    /// received everything again: the restarted ones and the primary. Empty if no instance is
    /// refilling.
    pub fn refill_status_targets(&self, group: &GroupName) -> Vec<InstanceName> {
        let Some(known) = self.groups.get(group) else { return Vec::new() };
        let is_refilling = |known: &&KnownInstance| known.refill.is_some();
        if !known.instances.values().any(|known| is_refilling(&known)) {
            return Vec::new();
        }
        let is_primary =
            |known: &&KnownInstance| known.instance.announced_role == Some(Role::Primary);
        let targets =
            known.instances.values().filter(|known| is_refilling(known) || is_primary(known));
        let mut targets: Vec<InstanceName> =
            targets.map(|known| known.instance.name.clone()).collect();
        targets.sort();
        targets
    }

    /// The groups in which this node saw an instance restart that has not received everything again
    /// yet.
    pub fn refilling_groups(&self) -> impl Iterator<Item = &GroupName> {
        let is_refilling = |name: &&GroupName| {
            let group = self.groups.get(*name);
            group.is_some_and(|group| group.instances.values().any(|known| known.refill.is_some()))
        };
        self.time_dependent.iter().filter(is_refilling)
    }

    /// This node's report on the restarts in a group; `primary_position` is the highest position
    /// that the group's primary has reported to this node.
    pub fn restart_report(
        &self,
        group: &GroupName,
        primary_position: Option<Position>,
    ) -> RestartReport {
        let Some(known) = self.groups.get(group) else {
            return RestartReport { primary_position, ..RestartReport::default() };
        };
        let restarts = |refilled: bool| -> Vec<ObservedRestart> {
            let chosen =
                known.instances.values().filter(|known| known.refill.is_none() == refilled);
            chosen.filter_map(KnownInstance::observed_restart).collect()
        };
        let refilled = restarts(true);
        // A node that has just started may have acknowledged commits to clients before, and does
        // not remember their positions.
        let started_again = match known.is_newly_observed(known.updated_at) {
            true => Vec::new(),
            false => restarts(false).into_iter().chain(refilled.iter().cloned()).collect(),
        };
        RestartReport { started_again, refilled, primary_position }
    }

    /// The address on which an instance listens.
    pub fn address(&self, group: &GroupName, instance: &InstanceName) -> Option<SocketAddr> {
        Some(self.groups.get(group)?.instances.get(instance)?.instance.address)
    }
}

impl KnownGroup {
    fn observed_from(now: Instant) -> Self {
        Self { synchronous: 0, observed_since: now, updated_at: now, instances: HashMap::new() }
    }

    fn apply(&mut self, group: &Group, catalog: &IndexedCatalog, now: Instant) {
        self.synchronous = group.synchronous_replicas;
        for instance in &group.instances {
            let before = self.instances.get(&instance.name);
            let known =
                KnownInstance::updated(before, instance, catalog.accepts_work(instance), now);
            self.instances.insert(instance.name.clone(), known);
        }
        let is_address_reused = |known: &KnownInstance| {
            let has_same_address = |other: &Instance| {
                other.address == known.instance.address && other.name != known.instance.name
            };
            group.instances.iter().any(has_same_address)
        };
        self.instances
            .retain(|name, known| group.instance(name).is_some() || !is_address_reused(known));
        for (name, known) in &mut self.instances {
            if group.instance(name).is_none() {
                known.vanished_at.get_or_insert(now);
                // The last reported role is no longer current.
                known.instance.announced_role = None;
            }
        }
        self.remove_expired(now);
    }

    /// Drops instances that vanished more than [`VANISHED_RETENTION`] ago.
    fn remove_expired(&mut self, now: Instant) {
        self.updated_at = now;
        let has_passed = |at: Instant| now.saturating_duration_since(at) >= VANISHED_RETENTION;
        self.instances.retain(|_, known| !known.vanished_at.is_some_and(has_passed));
    }

    fn knows_restarts(&self, now: Instant) -> bool {
        let has_incarnation = |known: &KnownInstance| known.instance.incarnation.is_some();
        !self.is_newly_observed(now) || !self.instances.values().any(has_incarnation)
    }

    /// Whether this node has observed the group for too short a time to know about recent restarts.
    fn is_newly_observed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.observed_since) < MIN_OBSERVATION_TIME
    }

    fn is_time_dependent(&self, now: Instant) -> bool {
        let mut known = self.instances.values();
        self.is_newly_observed(now)
            || known.any(|known| known.vanished_at.is_some() || known.refill.is_some())
    }
}
