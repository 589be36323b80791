//! What a node knows about the instances of one group: which have vanished, ended or restarted, and
//! whether the others hold every commit for which ended ones may have counted.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::log_coverage::LogCoverage;
use super::refill::Refill;
use super::{LogHolder, ObservedRestart, ReplicationStatus};
use crate::catalog::{Group, IndexedCatalog, Instance};
use crate::ids::InstanceName;
use crate::incarnation::has_restarted;
use crate::position::{LogOffset, Position, Term};
use crate::routing::Role;

/// How long a node that does not query a vanished instance keeps it.
const UNQUERIED_RETENTION: Duration = Duration::from_secs(10);
/// Shortest time between two queries to a vanished instance, to learn whether it has ended.
const MIN_VANISHED_QUERY_INTERVAL: Duration = Duration::from_millis(600);
/// How long the answers to clients' statements may show that the others hold the commits of an
/// instance that has ended, before instances are queried for it: a query takes up a connection and
/// a slot of an instance.
const COVERAGE_QUERY_DELAY: Duration = Duration::from_millis(300);
/// Shortest time between two such queries. Until the evidence is there, a crash of the primary may
/// interrupt the group.
const MIN_COVERAGE_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Both intervals grow to the time since the question arose, divided by this: a machine that does
/// not return never answers, a replica may receive nothing for long, and each query takes up a
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
pub(super) struct KnownInstance {
    pub(super) instance: Instance,
    /// Whether it can stay primary if it is promoted: it is not leaving and its zone is not
    /// drained.
    pub(super) may_stay_primary: bool,
    /// When it was first missing from the catalog.
    pub(super) vanished_at: Option<Instant>,
    /// When this node learned that its process had ended, if it has vanished.
    pub(super) ended_at: Option<Instant>,
    /// When this node last queried it after it vanished.
    pub(super) vanished_query_at: Option<Instant>,
    /// What it still has to receive, if this node saw it restart.
    pub(super) refill: Option<Refill>,
    /// Whether this node saw it restart.
    pub(super) was_restarted: bool,
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
    pub(super) fn is_unqueried(&self) -> bool {
        self.vanished_at.is_some() && self.ended_at.is_none() && self.vanished_query_at.is_none()
    }

    /// Whether a query is due that shows whether the instance, which has vanished, has ended.
    pub(super) fn is_vanished_query_due(&self, now: Instant) -> bool {
        let Some(vanished_at) = self.vanished_at.filter(|_| self.ended_at.is_none()) else {
            return false;
        };
        is_query_due(self.vanished_query_at, vanished_at, MIN_VANISHED_QUERY_INTERVAL, now)
    }

    /// The last restart that this node saw, if any.
    pub(super) fn observed_restart(&self) -> Option<ObservedRestart> {
        let incarnation = self.instance.incarnation.filter(|_| self.was_restarted)?;
        Some(ObservedRestart { instance: self.instance.name.clone(), incarnation })
    }

    /// An instance of its group reported its status.
    pub(super) fn on_status(
        &mut self,
        instance: &InstanceName,
        status: &ReplicationStatus,
        sent: Instant,
    ) {
        let Some(refill) = &mut self.refill else { return };
        if self.instance.name != *instance {
            refill.on_primary(status, sent);
        } else if refill.is_complete(status, sent) {
            self.refill = None;
        }
    }
}

/// Positions that instances of a group reported in answers to clients' statements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnsweredPositions {
    /// The highest position of the primary, and when the newest statement was sent that it answered.
    pub primary: Option<(Position, Instant)>,
    /// The last position of each replica, and when it was answered.
    pub replicas: BTreeMap<InstanceName, (Position, Instant)>,
}

#[derive(Clone, Debug)]
pub(super) struct KnownGroup {
    pub(super) synchronous: u32,
    /// When this node first saw the group; earlier restarts are not known.
    pub(super) observed_since: Instant,
    /// When the state was last updated.
    pub(super) updated_at: Instant,
    pub(super) instances: HashMap<InstanceName, KnownInstance>,
    /// Evidence that the instances that remain hold the commits for which ended ones counted. Also
    /// required once this node begins to observe the group, since instances may have ended before.
    pub(super) coverage: LogCoverage,
    /// The highest position that a primary reported in answer to a status query.
    pub(super) primary_position: Option<Position>,
    /// When instances were last queried for it, and how often replicas were.
    coverage_query_at: Option<Instant>,
    coverage_rounds: usize,
    /// Whether that evidence was complete since this node began to observe the group. From then on
    /// the known instances are all that may hold a commit that the others lack.
    pub(super) knows_log_holders: bool,
}

impl KnownGroup {
    pub(super) fn observed_from(now: Instant) -> Self {
        Self {
            synchronous: 0,
            observed_since: now,
            updated_at: now,
            instances: HashMap::new(),
            coverage: LogCoverage::required_since(now),
            primary_position: None,
            coverage_query_at: None,
            coverage_rounds: 0,
            knows_log_holders: false,
        }
    }

    pub(super) fn apply(&mut self, group: &Group, catalog: &IndexedCatalog, now: Instant) {
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

    pub(super) fn on_status(
        &mut self,
        instance: &InstanceName,
        status: &ReplicationStatus,
        sent: Instant,
    ) {
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

    pub(super) fn on_ended(&mut self, instance: &InstanceName, now: Instant) {
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
    pub(super) fn needs_coverage(&self) -> bool {
        !self.knows_log_holders || self.instances.values().any(|known| known.ended_at.is_some())
    }

    fn is_coverage_query_due(&self, now: Instant) -> bool {
        let (since, interval) = (self.coverage.since(), MIN_COVERAGE_QUERY_INTERVAL);
        self.needs_coverage()
            && now >= since + COVERAGE_QUERY_DELAY
            && is_query_due(self.coverage_query_at, since, interval, now)
    }

    /// The listed instances to query at `now` for the evidence that is missing: the primary first,
    /// then as many replicas as are needed, others each time. The query is recorded as sent.
    pub(super) fn take_coverage_targets(&mut self, now: Instant) -> Vec<InstanceName> {
        if !self.is_coverage_query_due(now) {
            return Vec::new();
        }
        self.coverage_query_at = Some(now);
        let needs_primary = !self.coverage.has_primary_position();
        let is_candidate = |known: &&KnownInstance| {
            let is_primary = known.instance.announced_role == Some(Role::Primary);
            let is_listed = known.vanished_at.is_none();
            is_listed
                && is_primary == needs_primary
                && !self.coverage.includes(&known.instance.name)
        };
        let candidates = self.instances.values().filter(is_candidate);
        let mut targets: Vec<InstanceName> =
            candidates.map(|known| known.instance.name.clone()).collect();
        targets.sort();
        if !needs_primary && !targets.is_empty() {
            self.coverage_rounds += 1;
            let first = self.coverage_rounds % targets.len();
            targets.rotate_left(first);
            targets.truncate(self.coverage.missing_replicas(self.synchronous));
        }
        targets
    }

    /// Takes positions that the primary and replicas reported in answers to clients' statements as
    /// evidence.
    pub(super) fn on_answered_positions(&mut self, answered: &AnsweredPositions) {
        if !self.needs_coverage() {
            return;
        }
        let is_primary =
            |known: &&KnownInstance| known.instance.announced_role == Some(Role::Primary);
        let primary = self.instances.values().find(is_primary);
        let primary = primary.map(|known| known.instance.name.clone());
        let Some((name, (position, queried_at))) = primary.zip(answered.primary) else { return };
        let status = |role, position: Position| ReplicationStatus {
            role,
            term: position.term,
            received: position,
            min_term: Term::default(),
        };
        self.coverage.on_status(&name, &status(Role::Primary, position), queried_at);
        for (replica, (position, answered_at)) in &answered.replicas {
            let known = self.instances.get(replica);
            let is_intact =
                known.is_some_and(|known| known.vanished_at.is_none() && known.refill.is_none());
            if is_intact && *replica != name {
                self.coverage.on_status(replica, &status(Role::Replica, *position), *answered_at);
            }
        }
        self.remove_covered();
    }

    pub(super) fn has_status_targets(&self) -> bool {
        let is_open = |known: &KnownInstance| known.refill.is_some() || known.vanished_at.is_some();
        self.needs_coverage() || self.instances.values().any(is_open)
    }

    /// The instances that may hold a commit that the others lack.
    pub(super) fn log_holders(&self) -> Vec<LogHolder> {
        let holder = |known: &KnownInstance| LogHolder {
            instance: known.instance.name.clone(),
            incarnation: known.instance.incarnation,
        };
        let mut holders: Vec<LogHolder> = self.instances.values().map(holder).collect();
        holders.sort_by(|one, other| one.instance.cmp(&other.instance));
        holders
    }

    pub(super) fn knows_restarts(&self, now: Instant) -> bool {
        let has_incarnation = |known: &KnownInstance| known.instance.incarnation.is_some();
        !self.is_newly_observed(now) || !self.instances.values().any(has_incarnation)
    }

    /// Whether this node knows all instances that may hold a commit that the others lack. Not so
    /// while it does not query a vanished instance: it does not own the group, and does not learn
    /// whether the others hold the commits of that instance.
    pub(super) fn knows_all_log_holders(&self) -> bool {
        self.knows_log_holders && !self.instances.values().any(KnownInstance::is_unqueried)
    }

    /// Drops vanished instances that this node does not query. From then on it does not know all
    /// instances that may hold commits.
    pub(super) fn forget_unqueried(&mut self, now: Instant) {
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

    pub(super) fn is_time_dependent(&self, now: Instant) -> bool {
        self.is_newly_observed(now) || self.instances.values().any(KnownInstance::is_unqueried)
    }

    /// Whether this node has observed the group for too short a time to know about recent restarts.
    pub(super) fn is_newly_observed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.observed_since) < MIN_OBSERVATION_TIME
    }
}

pub(super) fn order(position: &Position) -> (Term, LogOffset) {
    (position.term, position.offset)
}

/// Whether another instance of the group has the address of `instance`.
fn is_address_reused(group: &Group, instance: &Instance) -> bool {
    let mut others = group.instances.iter().filter(|other| other.name != instance.name);
    others.any(|other| other.address == instance.address)
}
