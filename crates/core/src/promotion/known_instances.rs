//! The instances of each group, including vanished ones that may hold a commit that the others lack,
//! and their restarts.
//!
//! An instance that can no longer renew its entry on the platform may still run, and may have the
//! only copy of an acknowledged commit. So it counts until there is evidence that it has ended, and
//! that the remaining instances hold every commit for which it may have counted
//! ([`super::log_coverage`]). No time makes up for that evidence: the remaining replicas may have
//! received nothing since, and then only the primary holds those commits.
//!
//! A catalog is processed once, when it is activated. Changes that depend on time alone are only
//! evaluated for groups that are newly observed, or in which an instance has vanished that this node
//! does not query: evaluating all instances of 1,000 groups twenty times a second would cost idle
//! nodes processor time that grows with the number of groups.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use super::known_group::{AnsweredPositions, KnownGroup, KnownInstance, order};
use super::{Member, Members, ObservedRestart, ReplicationStatus, RestartReport};
use crate::catalog::{Elector, IndexedCatalog};
use crate::ids::{GroupName, InstanceName};
use crate::position::Position;
use crate::routing::Role;

/// The known instances of each group.
#[derive(Clone, Debug, Default)]
pub struct KnownInstances {
    groups: BTreeMap<GroupName, KnownGroup>,
    /// Groups whose state changes with time alone.
    time_dependent: BTreeSet<GroupName>,
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
                group.forget_unqueried(now);
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
            has_vanished: known.vanished_at.is_some(),
            has_left: known.instance.leaving && known.vanished_at.is_some(),
            has_ended: known.instance.leaving && known.ended_at.is_some(),
            leads: known.instance.announced_role == Some(Role::Primary),
            shares_address: shares_address(known),
            incarnation: known.instance.incarnation,
            is_refilling: known.refill.is_some(),
        };
        let mut all: Vec<Member> = known_group.instances.values().map(member).collect();
        all.sort_by(|one, other| one.name.cmp(&other.name));
        Members {
            all,
            synchronous: known_group.synchronous,
            knows_restarts: known_group.knows_restarts(known_group.updated_at),
            knows_log_holders: known_group.knows_all_log_holders(),
        }
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
        known.on_status(instance, status, sent);
    }

    /// The process of an instance has ended, as this node learned at `now`: the instance refuses
    /// connections, or another one answers at its address. Ignored while the platform lists the
    /// instance, since a crashed one returns under its name.
    pub fn on_ended(&mut self, group: &GroupName, instance: &InstanceName, now: Instant) {
        let Some(known) = self.groups.get_mut(group) else { return };
        known.on_ended(instance, now);
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

    /// The instances whose status has to be queried at `now` to find out which vanished ones have
    /// ended, and when the others hold every commit for which those may have counted. Empty if
    /// nothing of that is open or due. The queries are recorded as sent.
    pub fn take_coverage_targets(&mut self, group: &GroupName, now: Instant) -> Vec<InstanceName> {
        let Some(known) = self.groups.get_mut(group) else { return Vec::new() };
        let mut targets = known.take_coverage_targets(now);
        for (name, instance) in &mut known.instances {
            if instance.is_vanished_query_due(now) {
                instance.vanished_query_at = Some(now);
                targets.push(name.clone());
            }
        }
        targets.sort();
        targets
    }

    /// Takes positions from answers to clients' statements as evidence about the commits of ended
    /// instances, so that fewer queries are needed.
    pub fn on_answered_positions(&mut self, group: &GroupName, answered: &AnsweredPositions) {
        if let Some(known) = self.groups.get_mut(group) {
            known.on_answered_positions(answered);
        }
    }

    /// Whether instances of the group may have to be queried ([`Self::refill_status_targets`],
    /// [`Self::take_coverage_targets`]).
    pub fn has_status_targets(&self, group: &GroupName) -> bool {
        self.groups.get(group).is_some_and(KnownGroup::has_status_targets)
    }

    /// This node's report on the restarts in a group; `primary_position` is the highest position in
    /// answers to this node's statements ([`super::AnsweredPrimary::highest`]).
    pub fn restart_report(
        &self,
        group: &GroupName,
        primary_position: Option<Position>,
    ) -> RestartReport {
        let Some(known) = self.groups.get(group) else {
            return RestartReport { primary_position, ..RestartReport::default() };
        };
        let reported = [primary_position, known.primary_position];
        let primary_position = reported.into_iter().flatten().max_by_key(order);
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
        let log_holders = known.knows_all_log_holders().then(|| known.log_holders());
        RestartReport {
            started_again,
            refilled,
            primary_position,
            log_holders,
            ..RestartReport::default()
        }
    }

    /// The address on which an instance listens.
    pub fn address(&self, group: &GroupName, instance: &InstanceName) -> Option<SocketAddr> {
        Some(self.groups.get(group)?.instances.get(instance)?.instance.address)
    }
}
