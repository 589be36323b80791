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
//! evaluated for groups that are newly observed or have an unqueried vanished instance: evaluating all instances of 1,000 groups twenty
//! times a second would cost idle nodes processor time that grows with the number of groups.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::log_coverage::LogCoverage;
use super::refill::Refill;
use super::{LogHolder, Member, Members, ObservedRestart, ReplicationStatus, RestartReport};
use crate::catalog::{Elector, Group, IndexedCatalog, Instance};
use crate::ids::{GroupName, InstanceName};
use crate::incarnation::has_restarted;
use crate::position::{LogOffset, Position, Term};
use crate::routing::Role;

/// How long a node that does not query a vanished instance keeps it.
const UNQUERIED_RETENTION: Duration = Duration::from_secs(10);
/// Shortest time between two queries to a vanished instance, to learn whether it has ended.
const MIN_VANISHED_QUERY_INTERVAL: Duration = Duration::from_millis(600);
/// Shortest time between two queries for the evidence that the others hold the commits of an
/// instance that has ended. Until it is there, a crash of the primary may interrupt the group.
const MIN_COVERAGE_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Both intervals grow to the time since the question arose, divided by this: a machine that is gone
/// for good never answers, a replica may receive nothing for long, and each query takes up a
/// connection.
const QUERY_INTERVAL_DIVISOR: u32 = 4;

/// Whether a query that was last sent at `queried_at`, on a question that arose at `since`, is due
/// again.
fn is_query_due(
    queried_at: Option<Instant>,
    since: Instant,
    min_interval: Duration,
    now: Instant,
) -> bool {
    let open_for = now.saturating_duration_since(since);
    let interval = min_interval.max(open_for / QUERY_INTERVAL_DIVISOR);
    queried_at.is_none_or(|queried_at| now >= queried_at + interval)
}

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
    /// When this node learned that its process had ended, if it has vanished.
    ended_at: Option<Instant>,
    /// When this node last queried it after it vanished.
    vanished_query_at: Option<Instant>,
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
            ended_at: None,
            vanished_query_at: None,
            refill: refill.filter(|_| !is_primary),
            was_restarted: is_restarted || before.is_some_and(|before| before.was_restarted),
        }
    }

    /// Whether it has vanished and this node does not query it, because it does not own the group.
    fn is_unqueried(&self) -> bool {
        self.vanished_at.is_some() && self.ended_at.is_none() && self.vanished_query_at.is_none()
    }

    /// Whether a query is due that shows whether the instance, which has vanished, has ended.
    fn is_vanished_query_due(&self, now: Instant) -> bool {
        let Some(vanished_at) = self.vanished_at.filter(|_| self.ended_at.is_none()) else {
            return false;
        };
        is_query_due(self.vanished_query_at, vanished_at, MIN_VANISHED_QUERY_INTERVAL, now)
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
    /// Evidence that the instances that remain hold the commits for which ended ones counted. Also
    /// required once this node begins to observe the group, since instances may have ended before.
    coverage: LogCoverage,
    /// The highest position that a primary reported in answer to a status query.
    primary_position: Option<Position>,
    /// When the instances were last queried for it.
    coverage_query_at: Option<Instant>,
    /// Whether that evidence was complete since this node began to observe the group. From then on
    /// the known instances are all that may hold a commit that the others lack.
    knows_log_holders: bool,
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
        let is_coverage_due = known.is_coverage_query_due(now);
        if is_coverage_due {
            known.coverage_query_at = Some(now);
        }
        let mut targets = Vec::new();
        for (name, instance) in &mut known.instances {
            let is_due = match instance.vanished_at {
                Some(_) => instance.is_vanished_query_due(now),
                None => is_coverage_due,
            };
            if !is_due {
                continue;
            }
            if instance.vanished_at.is_some() {
                instance.vanished_query_at = Some(now);
            }
            targets.push(name.clone());
        }
        targets.sort();
        targets
    }

    /// Whether instances of the group may have to be queried ([`Self::refill_status_targets`],
    /// [`Self::take_coverage_targets`]).
    pub fn has_status_targets(&self, group: &GroupName) -> bool {
        self.groups.get(group).is_some_and(KnownGroup::has_status_targets)
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

impl KnownGroup {
    fn observed_from(now: Instant) -> Self {
        Self {
            synchronous: 0,
            observed_since: now,
            updated_at: now,
            instances: HashMap::new(),
            coverage: LogCoverage::required_since(now),
            primary_position: None,
            coverage_query_at: None,
            knows_log_holders: false,
        }
    }

    fn apply(&mut self, group: &Group, catalog: &IndexedCatalog, now: Instant) {
        self.synchronous = group.synchronous_replicas;
        for instance in &group.instances {
            let before = self.instances.get(&instance.name);
            let known =
                KnownInstance::updated(before, instance, catalog.accepts_work(instance), now);
            self.instances.insert(instance.name.clone(), known);
        }
        self.remove_succeeded_at_address(group);
        let reused_addresses: Vec<InstanceName> = self.instances_at_reused_addresses(group);
        for (name, known) in &mut self.instances {
            if group.instance(name).is_none() {
                known.vanished_at.get_or_insert(now);
                // The last reported role is no longer current.
                known.instance.announced_role = None;
                self.coverage.on_log_lost(name);
            } else if known.refill.is_some() {
                self.coverage.on_log_lost(name);
            }
        }
        for name in reused_addresses {
            self.on_ended(&name, now);
        }
        self.updated_at = now;
        self.remove_covered();
    }

    /// Drops vanished instances that were leaving and whose addresses are in use again in the
    /// group: the log of a leaving instance passes to a new one at its address.
    fn remove_succeeded_at_address(&mut self, group: &Group) {
        self.instances.retain(|name, known| {
            let has_vanished = group.instance(name).is_none();
            !(has_vanished && known.instance.leaving && is_address_reused(group, &known.instance))
        });
    }

    /// Vanished instances whose addresses other instances of the group have taken.
    fn instances_at_reused_addresses(&self, group: &Group) -> Vec<InstanceName> {
        let known = self.instances.values().map(|known| &known.instance);
        let vanished = known.filter(|instance| group.instance(&instance.name).is_none());
        let ended = vanished.filter(|instance| is_address_reused(group, instance));
        ended.map(|instance| instance.name.clone()).collect()
    }

    fn on_status(&mut self, instance: &InstanceName, status: &ReplicationStatus, sent: Instant) {
        let Some(known) = self.instances.get(instance) else { return };
        if status.role == Role::Primary {
            let reported = [self.primary_position, Some(status.received)];
            self.primary_position = reported.into_iter().flatten().max_by_key(order);
        }
        // Only an instance that the platform lists counts as one that remains.
        if known.vanished_at.is_none() && known.refill.is_none() {
            self.coverage.on_status(instance, status, sent);
            self.remove_covered();
        }
    }

    fn on_ended(&mut self, instance: &InstanceName, now: Instant) {
        let Some(known) = self.instances.get_mut(instance) else { return };
        if known.vanished_at.is_some() && known.ended_at.is_none() {
            known.ended_at = Some(now);
            self.coverage.on_ended(now);
            self.coverage_query_at = None;
        }
    }

    /// Drops the ended instances once the others hold every commit for which they may have counted.
    fn remove_covered(&mut self) {
        if self.coverage.is_complete(self.synchronous) {
            self.knows_log_holders = true;
            self.instances.retain(|_, known| known.ended_at.is_none());
        }
    }

    /// Whether evidence is missing that the remaining instances hold the commits of ended ones.
    fn needs_coverage(&self) -> bool {
        !self.knows_log_holders || self.instances.values().any(|known| known.ended_at.is_some())
    }

    fn is_coverage_query_due(&self, now: Instant) -> bool {
        let (since, interval) = (self.coverage.since(), MIN_COVERAGE_QUERY_INTERVAL);
        self.needs_coverage() && is_query_due(self.coverage_query_at, since, interval, now)
    }

    fn has_status_targets(&self) -> bool {
        let is_open = |known: &KnownInstance| known.refill.is_some() || known.vanished_at.is_some();
        self.needs_coverage() || self.instances.values().any(is_open)
    }

    /// The instances that may hold a commit that the others lack.
    fn log_holders(&self) -> Vec<LogHolder> {
        let holder = |known: &KnownInstance| LogHolder {
            instance: known.instance.name.clone(),
            incarnation: known.instance.incarnation,
        };
        let mut holders: Vec<LogHolder> = self.instances.values().map(holder).collect();
        holders.sort_by(|one, other| one.instance.cmp(&other.instance));
        holders
    }

    fn knows_restarts(&self, now: Instant) -> bool {
        let has_incarnation = |known: &KnownInstance| known.instance.incarnation.is_some();
        !self.is_newly_observed(now) || !self.instances.values().any(has_incarnation)
    }

    /// Whether this node knows all instances that may hold a commit that the others lack. Not so
    /// while it does not query a vanished instance: it does not own the group, and does not learn
    /// whether the others hold the commits of that instance.
    fn knows_all_log_holders(&self) -> bool {
        self.knows_log_holders && !self.instances.values().any(KnownInstance::is_unqueried)
    }

    /// Drops vanished instances that this node does not query. From then on it does not know all
    /// instances that may hold commits.
    fn forget_unqueried(&mut self, now: Instant) {
        self.updated_at = now;
        let has_passed = |at: Instant| now.saturating_duration_since(at) >= UNQUERIED_RETENTION;
        let is_kept = |known: &KnownInstance| {
            !(known.is_unqueried() && known.vanished_at.is_some_and(has_passed))
        };
        let before = self.instances.len();
        self.instances.retain(|_, known| is_kept(known));
        if self.instances.len() < before {
            self.knows_log_holders = false;
            self.coverage = LogCoverage::required_since(now);
            self.coverage_query_at = None;
        }
    }

    fn is_time_dependent(&self, now: Instant) -> bool {
        self.is_newly_observed(now) || self.instances.values().any(KnownInstance::is_unqueried)
    }

    /// Whether this node has observed the group for too short a time to know about recent restarts.
    fn is_newly_observed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.observed_since) < MIN_OBSERVATION_TIME
    }
}

fn order(position: &Position) -> (Term, LogOffset) {
    (position.term, position.offset)
}

/// Whether another instance of the group has the address of `instance`.
fn is_address_reused(group: &Group, instance: &Instance) -> bool {
    let mut others = group.instances.iter().filter(|other| other.name != instance.name);
    others.any(|other| other.address == instance.address)
}
