//! One node: its copy of the store's state, its evidence of the primary, its suspicions, and its
//! state as coordinator.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Catalog, Elector, Group, IndexedCatalog, Instance, Revision};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::observed_process::ObservedProcess;
use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::{Lead, PrimaryEvidence, Replication};
use kestrellock_core::primary_samples::PrimarySamples;
use kestrellock_core::promotion::{
    Attempt, CoordinationView, Intent, KnownInstances, KnownReplacements, Need, NeedsEvaluator,
    NeedsInput, NodeVotes, OwnCalls, ProcessProbes, ReplacementId, RestartReports, StoreEraTracker,
    Successor, Vote, active_intents,
};
use kestrellock_core::routing::Role;
use kestrellock_core::store_era::StoreEra;
use kestrellock_core::suspicion::{FailureDetector, HealthSignals};

use crate::checker::CommitId;
use crate::instances;
use crate::messages::Connection;
use crate::returns::{Keys, last_promoted_in, merge_keys, unfinished_intents};
use crate::store::{Announced, node_name};

/// Replication of the simulated group.
pub const REPLICATION: Replication = Replication { synchronous: 1, instances: 3 };

/// The name of the only group.
pub fn group_name() -> GroupName {
    GroupName::new("orders")
}

/// The name of the instance with this index.
pub fn instance_name(instance: usize) -> InstanceName {
    InstanceName::new(format!("i-{instance}"))
}

/// The index of the instance with this name.
pub fn instance_number(name: &InstanceName) -> usize {
    name.as_str().trim_start_matches("i-").parse().expect("not the name of a simulated instance")
}

/// The number of the node with this name.
pub fn node_number(name: &NodeName) -> usize {
    name.as_str().trim_start_matches("node-").parse().expect("not the name of a simulated node")
}

/// The number by which others distinguish the processes of a node: zero stands for an unknown one.
pub fn caller_process(process: u64) -> u64 {
    process + 1
}

/// State of a node that holds the coordinator lease.
pub struct CoordinatorState {
    /// Its fencing token.
    pub fence: u64,
    /// The lease is certainly valid until this time.
    pub lease_until: u64,
    /// Whether a renewal of the lease is in flight.
    pub renewing: bool,
    /// The current attempt.
    pub attempt: Option<Attempt>,
    /// Number of attempts started under this lease.
    pub attempts_started: u32,
    /// When the last attempt ended.
    pub last_attempt_ended: Option<u64>,
    /// Nodes that the store listed when the last intent was recorded.
    pub nodes_at_intent: Vec<NodeName>,
    /// Probes of nodes whose earlier processes may have promotions open.
    pub process_probes: ProcessProbes,
    /// Revision of the group's intent as this coordinator recorded it last.
    pub intent_revision: Option<u64>,
    /// When the coordinator learned that the intent of the attempt is recorded.
    pub intent_recorded_at: Option<u64>,
    /// When the other nodes were last notified of the replacement.
    pub notified_at: Option<u64>,
}

/// A commit that the primary has answered, but that the node has not acknowledged to its client
/// yet.
#[derive(Clone, Copy, Debug)]
pub struct UnconfirmedCommit {
    /// The commit.
    pub commit: CommitId,
    /// Index of the primary.
    pub instance: usize,
    /// Term of the primary.
    pub term: Term,
    /// When the commit was sent to the primary.
    pub sent: Instant,
    /// When the primary's answer arrived.
    pub answered: Instant,
    /// Whether evidence counts that was requested before the answer. It does not at a node for
    /// which no coordinator may have waited when the answer arrived.
    pub counts_earlier_evidence: bool,
}

/// One node.
pub struct Node {
    /// Its number.
    pub number: usize,
    /// Whether its process is running.
    pub alive: bool,
    /// Whether its process is suspended.
    pub frozen: bool,
    /// Number of its process; answers to earlier processes are dropped.
    pub process: u64,
    /// State of replacements as the store last showed it, completed with remembered keys.
    pub view: CoordinationView,
    /// The store era as this node has observed it.
    pub era: StoreEraTracker,
    /// The newest era in any answer of the store.
    pub newest_era: StoreEra,
    /// What nodes have written about replacements, as the store last showed it.
    keys: Keys,
    /// The same from before the last store restore.
    remembered_keys: Keys,
    /// Whether the store may lack records that this node remembers.
    pub writes_back: bool,
    /// When the node last wrote a lost record back.
    pub wrote_back_at: u64,
    /// When the lease that the store has lost would have expired; until then no other node can
    /// become coordinator.
    pub reacquire_until: u64,
    /// The catalog that results from the view.
    pub catalog: IndexedCatalog,
    /// Whether the catalog has not been applied to the known instances yet.
    catalog_is_new: bool,
    /// Replacements that the node has learned of.
    pub replacements: KnownReplacements,
    /// Evidence that the primary has not been replaced.
    pub evidence: PrimaryEvidence,
    /// Answered commits that replicas have not confirmed yet.
    pub unconfirmed_commits: Vec<UnconfirmedCommit>,
    /// Last reported term of each instance.
    pub terms: BTreeMap<usize, Term>,
    /// The term that each instance was last shown to lead; absent once it has shown that it is a
    /// replica.
    pub led_terms: BTreeMap<usize, Term>,
    /// Unanswered requests by number: instance, time of sending, whether it is a commit.
    pub pending_requests: BTreeMap<u64, (usize, Instant, bool)>,
    /// When each instance last answered or refused.
    pub last_answers: BTreeMap<usize, Instant>,
    /// When each instance last answered a commit.
    pub last_commits: BTreeMap<usize, Instant>,
    /// Open connections to each instance, the newest last.
    pub connections: BTreeMap<usize, Vec<Connection>>,
    /// Whether it ignores that evidence may be from before the start of a process.
    pub ignores_processes: bool,
    /// Whether reports of some replicas count only with a replacement check. New reports prevent
    /// what some planted faults lead to, and each of them must still be detected.
    pub ignores_unchecked_reports: bool,
    /// Whether reports of all replicas are evidence for a whole lifetime, without earlier evidence and
    /// without a replacement check, because a fault is planted whose effect the check prevents.
    pub counts_reports_of_all_replicas: bool,
    /// What the answers of each instance show about its process.
    pub processes: BTreeMap<usize, ObservedProcess>,
    /// Since when each instance has refused connections.
    pub refused_since: BTreeMap<usize, Instant>,
    /// The instance that was the primary in this node's view at its last step.
    pub last_leader: Option<usize>,
    failure_detector: FailureDetector,
    needs_evaluator: NeedsEvaluator,
    /// What the node knows of the instances' incarnations and refills.
    pub known_instances: KnownInstances,
    /// The node's suspicions.
    pub votes: NodeVotes,
    /// Its state as coordinator, if it holds the lease.
    pub coordinator: Option<CoordinatorState>,
    /// The promotion requests that this process has sent.
    pub own_calls: OwnCalls,
    /// Whether a request for the coordinator lease is in flight.
    pub acquiring: bool,
    needed_since: Option<u64>,
    /// Reports of the nodes that have revoked their evidence, by replacement.
    pub revocation_reports: BTreeMap<ReplacementId, RestartReports>,
    /// Positions that the primary has reported.
    pub primary_samples: PrimarySamples,
    /// When it last reported to a coordinator.
    pub reported_at: u64,
    /// When it last queried the instances for evidence.
    pub status_queried_at: u64,
    /// When it last sent a replacement check to the store.
    pub replacement_checked_at: u64,
    /// When the replacement check in progress was sent.
    pub replacement_check_sent: Option<u64>,
    /// When it last sent demotions to old primaries.
    pub demotions_sent_at: u64,
    /// When it last queried restarted instances.
    pub refills_queried_at: u64,
    /// When it started; zero for nodes that run from the beginning.
    pub started_at: u64,
    /// When it last tried to register.
    pub registration_sent_at: u64,
    /// Registered nodes as last read.
    pub listed_nodes: Vec<NodeName>,
    /// When it last read the registered nodes.
    pub listed_nodes_read_at: u64,
    /// When it last received a copy of the store.
    pub view_received_at: Option<u64>,
    /// When a coordinator last notified it of a replacement, running or finished.
    pub notified_at: Option<u64>,
}

impl Node {
    /// Creates a node that has just started.
    pub fn new(number: usize, process: u64, now: Instant) -> Self {
        Self {
            number,
            alive: true,
            frozen: false,
            process,
            view: CoordinationView::default(),
            era: StoreEraTracker::default(),
            newest_era: StoreEra::default(),
            keys: Keys::new(),
            remembered_keys: Keys::new(),
            writes_back: false,
            wrote_back_at: 0,
            reacquire_until: 0,
            catalog: IndexedCatalog::default(),
            catalog_is_new: false,
            replacements: KnownReplacements::default(),
            evidence: PrimaryEvidence::default(),
            unconfirmed_commits: Vec::new(),
            terms: BTreeMap::new(),
            led_terms: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            last_answers: BTreeMap::new(),
            last_commits: BTreeMap::new(),
            refused_since: BTreeMap::new(),
            connections: BTreeMap::new(),
            ignores_processes: false,
            ignores_unchecked_reports: false,
            counts_reports_of_all_replicas: false,
            processes: BTreeMap::new(),
            last_leader: None,
            failure_detector: FailureDetector::default(),
            needs_evaluator: NeedsEvaluator::default(),
            known_instances: KnownInstances::default(),
            votes: NodeVotes::new(),
            coordinator: None,
            own_calls: OwnCalls::new(caller_process(process), now),
            acquiring: false,
            needed_since: None,
            revocation_reports: BTreeMap::new(),
            primary_samples: PrimarySamples::default(),
            reported_at: 0,
            status_queried_at: 0,
            replacement_checked_at: 0,
            replacement_check_sent: None,
            demotions_sent_at: 0,
            refills_queried_at: 0,
            started_at: 0,
            registration_sent_at: 0,
            listed_nodes: Vec::new(),
            listed_nodes_read_at: 0,
            view_received_at: None,
            notified_at: None,
        }
    }

    /// What the node knows of replacements and how old that knowledge is, for the trace.
    pub fn describe_knowledge(&self, now: u64) -> String {
        let age = |at: Option<u64>| at.map(|at| now - at);
        let (store_age, notification_age) = (age(self.view_received_at), age(self.notified_at));
        format!(
            "leader {:?}, intent {:?}, highest term led {:?}, store copy {store_age:?} ms old, \
             notification {notification_age:?} ms old",
            self.leader(),
            self.intent().map(|intent| intent.id),
            self.evidence.highest_led(),
        )
    }

    /// Whether its copy of the store shows its own registration.
    pub fn is_listed_in_own_view(&self) -> bool {
        self.view.nodes.contains(&node_name(self.number))
    }

    /// Makes the node one that has watched the instances since `started`, and has seen that the
    /// replicas hold every acknowledged commit.
    pub fn has_watched_since(&mut self, announced: &[Announced], started: Instant) {
        let catalog = catalog(0, announced, None);
        self.known_instances.apply_catalog(&catalog, started);
        let statuses = announced.iter().enumerate().map(|(index, announced)| {
            (instance_name(index), instances::Instance::new(announced.leads).status())
        });
        for (name, status) in statuses {
            self.known_instances.on_status(&group_name(), &name, &status, started);
        }
    }

    /// Whether the node makes progress now.
    pub fn is_running(&self) -> bool {
        self.alive && !self.frozen
    }

    /// Applies a newer state of the store.
    pub fn apply_view(
        &mut self,
        mut view: CoordinationView,
        announced: &[Announced],
        keys: Keys,
        now: Instant,
    ) {
        if view.revision < self.view.revision {
            return;
        }
        self.newest_era = self.newest_era.max(view.era);
        if self.era.observe(view.era, now) {
            self.remembered_keys = merge_keys(&self.keys, &self.remembered_keys);
            self.writes_back = true;
        }
        self.keys = keys;
        let known = merge_keys(&self.keys, &self.remembered_keys);
        view.intents = unfinished_intents(&known);
        let last_promoted = last_promoted_in(&known);
        let last_promoted = last_promoted.as_ref();
        view.promoted =
            last_promoted.map(|successor| (group_name(), successor.clone())).into_iter().collect();
        if let Some(term) = last_promoted.and_then(|last_promoted| last_promoted.term) {
            self.evidence.on_term_led(term);
        }
        let known_at = self.era.replacements_known_at(view.requested_at);
        self.replacements.update_from_store(&view.intents, known_at, now);
        self.follow_replacements();
        self.catalog = catalog(view.revision, announced, last_promoted);
        self.catalog_is_new = true;
        self.view = view;
    }

    /// The revision of the group's intent that the record of an intent under the lease with `fence`
    /// requires: the one that this node recorded last, else the one in its copy of the store.
    pub fn expected_intent(&self, fence: u64) -> u64 {
        let recorded = self.coordinator.as_ref().and_then(|state| state.intent_revision);
        let stored = self.keys.get(&StoreEra::of(fence));
        recorded.or(stored.map(|keys| keys.intent_revision(&group_name()))).unwrap_or(0)
    }

    /// The intent of the active replacement that the node has learned of.
    pub fn intent(&self) -> Option<Intent> {
        active_intents(&self.replacements.intents()).remove(&group_name())
    }

    /// Revokes the evidence while the node knows of an active replacement.
    fn follow_replacements(&mut self) {
        match self.intent() {
            Some(intent) => self.evidence.revoke(intent.id),
            None => self.evidence.end_revocation(),
        }
    }

    /// Handles a coordinator's notification of an active replacement.
    pub fn on_replacement_notified(&mut self, intent: Intent, age: Duration, now: Instant) {
        self.replacements.on_notification(&group_name(), intent, age, now);
        self.follow_replacements();
    }

    /// Handles a coordinator's notification of a finished replacement.
    pub fn on_replacement_finished(&mut self, id: ReplacementId, successor: Option<&Successor>) {
        self.replacements.on_finished(&group_name(), id);
        if let Some(term) = successor.and_then(|successor| successor.term) {
            self.evidence.on_term_led(term);
        }
        self.follow_replacements();
    }

    /// Forgets replacements that have expired because their coordinators are gone.
    pub fn expire_replacements(&mut self, now: Instant) {
        if self.replacements.expire(now) {
            self.follow_replacements();
        }
    }

    /// The records of replacements that the store has lost and this node remembers: the instance
    /// promoted last, and whether a replacement that the store shows has finished.
    pub fn missing_from_store(&self) -> (Option<Successor>, bool) {
        let known = merge_keys(&self.keys, &self.remembered_keys);
        let successor = last_promoted_in(&known)
            .filter(|_| last_promoted_in(&self.keys) != last_promoted_in(&known));
        let is_over =
            unfinished_intents(&known).is_empty() && !unfinished_intents(&self.keys).is_empty();
        (successor, is_over)
    }

    /// The instance that is the primary in this node's view.
    pub fn leader(&self) -> Option<usize> {
        let group = self.catalog.groups.get(&group_name())?;
        let intent = self.intent();
        let leader = group.leader(intent.as_ref().and_then(|intent| intent.former.as_ref()))?;
        Some(instance_number(&leader.name))
    }

    /// Whether the leader leads a higher term than the recorded successor did.
    pub fn leads_above_record(&self) -> bool {
        let recorded = self.view.promoted.get(&group_name()).and_then(|successor| successor.term);
        let led = self.leader().and_then(|leader| self.led_terms.get(&leader).copied());
        recorded.is_some_and(|recorded| led > Some(recorded))
    }

    /// Whether new requests to the primary wait because it is being replaced.
    pub fn delays_primary_requests(&self) -> bool {
        let old_primary = self.intent().map(|intent| intent.former.as_ref().map(instance_number));
        old_primary.is_some_and(|old_primary| old_primary == self.leader())
    }

    /// Whether the leader must not receive writes: a newer term is known, or the leader's term is
    /// unknown and another instance was promoted last.
    pub fn is_outdated(&self, leader: usize) -> bool {
        let term = self.terms.get(&leader).copied();
        let group = self.catalog.groups.get(&group_name());
        let is_newest = group.is_none_or(|group| group.is_last_promoted(&instance_name(leader)));
        self.evidence.is_outdated(term) || (term.is_none() && !is_newest)
    }

    /// The term that an instance was last shown to lead. Where a fault is planted, any term that it
    /// has reported: evidence would prevent what some planted faults lead to, and each of them must
    /// still be detected.
    pub fn lead_of<'a>(&self, instance: usize, name: &'a InstanceName) -> Option<Lead<'a>> {
        let terms = match self.ignores_unchecked_reports {
            true => &self.terms,
            false => &self.led_terms,
        };
        terms.get(&instance).map(|term| Lead { instance: name, term: *term })
    }

    /// Whether the evidence allows a read that arrived at `arrived` to run at the primary.
    pub fn may_read(&self, leader: usize, arrived: Instant, lifetime: Duration) -> bool {
        let name = instance_name(leader);
        let lead = self.lead_of(leader, &name);
        let evidence =
            lead.and_then(|lead| self.evidence.covers_until(lead, REPLICATION, Duration::ZERO));
        let evidence = evidence.max(lead.and_then(|lead| self.all_replicas_reported_at(lead)));
        let unchecked = lead
            .filter(|_| !self.ignores_unchecked_reports)
            .and_then(|lead| self.evidence.unchecked_coverage(lead, REPLICATION));
        let is_covered_unchecked = unchecked.is_some_and(|unchecked| {
            arrived <= self.covers_until(leader, unchecked.until, Duration::ZERO)
        });
        is_covered_unchecked
            || evidence
                .is_some_and(|evidence| arrived <= self.covers_until(leader, evidence, lifetime))
    }

    /// When the oldest of the newest reports of all replicas was requested, if they are evidence for
    /// the primary and count without a replacement check
    /// ([`counts_reports_of_all_replicas`](Self::counts_reports_of_all_replicas)).
    fn all_replicas_reported_at(&self, lead: Lead) -> Option<Instant> {
        if !self.counts_reports_of_all_replicas || !self.evidence.may_cover(lead.term) {
            return None;
        }
        let replicas =
            (0..REPLICATION.instances).map(instance_name).filter(|name| name != lead.instance);
        // Without the report of one of them there is none of all.
        replicas.map(|replica| self.evidence.report_queried_at(&replica, lead.term)).min().flatten()
    }

    /// Whether replicas confirm a commit of the leader that was answered at `answered`.
    pub fn confirms_commit(&self, lead: Lead, answered: Instant) -> bool {
        self.evidence.confirms_commit(lead, REPLICATION, answered)
            || self.all_replicas_reported_at(lead).is_some_and(|reported| reported >= answered)
    }

    /// Whether evidence of some duration covers answers of the leader now. Where none does, reports
    /// alone yield none.
    pub fn has_lasting_evidence(&self, leader: usize, now: Instant, lifetime: Duration) -> bool {
        let name = instance_name(leader);
        self.lead_of(leader, &name)
            .is_some_and(|lead| self.covers_answer(leader, lead.term, now, lifetime))
    }

    /// Until when evidence of the time `evidence` covers arrivals at the leader.
    fn covers_until(&self, leader: usize, evidence: Instant, lifetime: Duration) -> Instant {
        match self.processes.get(&leader).filter(|_| !self.ignores_processes) {
            Some(process) => process.covers_until(evidence, lifetime),
            None => evidence + lifetime,
        }
    }

    /// Whether earlier evidence covers an answer of `instance` to a commit of `term` that arrives at
    /// `answered`.
    pub fn covers_answer(
        &self,
        instance: usize,
        term: Term,
        answered: Instant,
        lifetime: Duration,
    ) -> bool {
        let name = instance_name(instance);
        let lead = Lead { instance: &name, term };
        let coverage = self.evidence.answer_coverage(lead, REPLICATION, lifetime);
        coverage.is_some_and(|coverage| {
            let lifetime = coverage.until.saturating_duration_since(coverage.requested_at);
            answered <= self.covers_until(instance, coverage.requested_at, lifetime)
        })
    }

    /// The same, assuming that a replacement check finds no replacement.
    pub fn may_read_once_checked(
        &self,
        leader: usize,
        arrived: Instant,
        lifetime: Duration,
    ) -> bool {
        let name = instance_name(leader);
        let lead = self.lead_of(leader, &name);
        let evidence = lead
            .and_then(|lead| self.evidence.would_cover_until(lead, REPLICATION, Duration::ZERO));
        evidence.is_some_and(|evidence| arrived <= self.covers_until(leader, evidence, lifetime))
    }

    fn health_signals(&self, instance: usize) -> HealthSignals {
        let pending_requests = self.pending_requests.values().filter(|(to, _, _)| *to == instance);
        HealthSignals {
            refused_since: self.refused_since.get(&instance).copied(),
            oldest_request: pending_requests.clone().map(|(_, sent, _)| *sent).min(),
            oldest_commit: pending_requests
                .filter(|(_, _, commits)| *commits)
                .map(|(_, sent, _)| *sent)
                .min(),
            last_commit: self.last_commits.get(&instance).copied(),
            last_answer: self.last_answers.get(&instance).copied(),
            is_outdated: self.evidence.is_outdated(self.terms.get(&instance).copied()),
        }
    }

    /// Updates the suspicion of the primary and returns whether the node's votes have changed.
    pub fn suspect(&mut self, now: Instant) -> bool {
        self.failure_detector.tick(now);
        let mut votes = NodeVotes::new();
        if let Some(leader) = self.leader()
            && let Some(cause) = self.failure_detector.suspect(&self.health_signals(leader), now)
        {
            let vote = Vote { instance: instance_name(leader), cause };
            votes.insert(group_name(), vote);
        }
        let changed = votes != self.votes;
        self.votes = votes;
        changed
    }

    /// What the group needs: a replacement of its primary, or the continuation of an earlier
    /// attempt.
    pub fn need(&mut self, live: &[NodeName], now: Instant) -> Option<Need> {
        match std::mem::take(&mut self.catalog_is_new) {
            true => {
                self.known_instances.apply_catalog(&self.catalog, now);
                self.needs_evaluator.apply_catalog(&self.catalog);
            }
            false => drop(self.known_instances.advance_time(now)),
        }
        let own = node_name(self.number);
        let input = NeedsInput {
            catalog: &self.catalog,
            view: &self.view,
            own: (&own, &self.votes),
            live,
            listed: live,
            now,
        };
        self.needs_evaluator.evaluate(&input).remove(&group_name())
    }

    /// Handles the cancellation of this node's attempt.
    pub fn on_attempt_cancelled(&mut self, now: Instant) {
        self.needs_evaluator.on_cancelled(&group_name(), now);
    }

    /// Whether this node should request the coordinator lease because of a need. Nodes with higher
    /// numbers wait longer, so that one of them usually gets the lease without contention.
    pub fn should_acquire_lease(&mut self, need: Option<&Need>, now: u64, at: Instant) -> bool {
        let knows_restarts = self.known_instances.knows_restarts(&group_name(), at);
        if !knows_restarts || !need.is_some_and(Need::needs_coordinator) {
            self.needed_since = None;
            return false;
        }
        let since = *self.needed_since.get_or_insert(now);
        let no_earlier_lease = !self.era.earlier_lease_may_be_valid(at);
        let is_lease_free =
            self.coordinator.is_none() && !self.acquiring && self.view.coordinator.is_none();
        let may_acquire = is_lease_free && no_earlier_lease;
        may_acquire && self.view.revision > 0 && now >= since + 120 * self.number as u64
    }
}

fn catalog(
    revision: u64,
    announced: &[Announced],
    last_promoted: Option<&Successor>,
) -> IndexedCatalog {
    let instances = announced.iter().enumerate().map(|(number, announced)| Instance {
        name: instance_name(number),
        zone: ZoneName::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
        slots: 3,
        connections: 30,
        leaving: announced.leaving,
        announced_role: Some(if announced.leads { Role::Primary } else { Role::Replica }),
        incarnation: Some(InstanceIncarnation(announced.incarnation)),
    });
    let group = Group {
        database: "orders".to_owned(),
        user: "kestrellock".to_owned(),
        instances: instances.collect(),
        confirmation: ConfirmationRule::Answered,
        elector: Elector::Proxy,
        synchronous_replicas: 1,
        connections: 30,
        promoted: last_promoted.map(|successor| successor.instance.clone()),
    };
    let mut catalog = Catalog { revision: Revision(revision), ..Catalog::default() };
    catalog.groups.insert(group_name(), group);
    IndexedCatalog::new(catalog)
}

/// Time for which the first nodes have been running when the simulation begins, so that they know
/// which instances have restarted. Nodes that are killed and restarted do not know.
const UPTIME_AT_START: Duration = Duration::from_secs(20);

/// Converts a virtual time to an `Instant`; the first nodes started at `base`.
pub fn instant(base: Instant, milliseconds: u64) -> Instant {
    base + UPTIME_AT_START + Duration::from_millis(milliseconds)
}
