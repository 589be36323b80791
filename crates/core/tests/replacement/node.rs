//! One node: what it believes, suspects and does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Catalog, Elector, Group, IndexedCatalog, Instance, Revision};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::{PrimaryEvidence, Replication};
use kestrellock_core::primary_samples::PrimarySamples;
use kestrellock_core::promotion::{
    Attempt, CoordinationView, Intent, KnownInstances, KnownReplacements, Need, NeedsEvaluator,
    NeedsInput, NodeVotes, ReplacementId, RestartReports, StoreEraTracker, Successor, Vote,
    active_intents,
};
use kestrellock_core::routing::Role;
use kestrellock_core::store_era::StoreEra;
use kestrellock_core::suspicion::{FailureDetector, HealthSignals};

use crate::checker::CommitId;
use crate::returns::{Keys, last_promoted_in, merge_keys, unfinished_intents};
use crate::store::{Announced, node_name};

/// How it replicates.
pub const REPLICATION: Replication = Replication { synchronous: 1, instances: 3 };

/// The one group.
pub fn group_name() -> GroupName {
    GroupName::new("orders")
}

/// The name of an instance.
pub fn instance_name(instance: usize) -> InstanceName {
    InstanceName::new(format!("i-{instance}"))
}

/// The number of an instance.
pub fn instance_number(name: &InstanceName) -> usize {
    name.as_str().trim_start_matches("i-").parse().expect("an instance of the simulation")
}

/// The right to act, and what is done with it.
pub struct CoordinatorState {
    /// Its fence.
    pub fence: u64,
    /// Until when it surely lasts.
    pub lease_until: u64,
    /// Whether it is being prolonged.
    pub renewing: bool,
    /// The attempt under way.
    pub attempt: Option<Attempt>,
    /// Attempts begun.
    pub attempts_started: u32,
    /// When the last one ended.
    pub last_attempt_ended: Option<u64>,
    /// Nodes that the store listed when the last intent was recorded.
    pub nodes_at_intent: Vec<NodeName>,
    /// When the intent of the attempt was first known to be recorded.
    pub intent_recorded_at: Option<u64>,
    /// When the other nodes were last told of it.
    pub notified_at: Option<u64>,
}

/// A commit that its primary has answered, and that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub struct UnconfirmedCommit {
    /// The commit.
    pub commit: CommitId,
    /// The primary.
    pub instance: usize,
    /// Its term.
    pub term: Term,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer came.
    pub answered: Instant,
}

/// One node.
pub struct Node {
    /// Its number.
    pub number: usize,
    /// Whether it runs.
    pub alive: bool,
    /// Whether it stands still.
    pub frozen: bool,
    /// Process of that number: answers to earlier ones are nobody's.
    pub process: u64,
    /// What the store said last.
    pub view: CoordinationView,
    /// Its era, as this node has seen it.
    pub era: StoreEraTracker,
    /// The newest era that any answer has told.
    pub newest_era: StoreEra,
    /// What nodes have written of replacements, as the store said last.
    keys: Keys,
    /// The same of before the store came back from a copy.
    remembered_keys: Keys,
    /// Whether the store may lack what this node remembers.
    pub writes_back: bool,
    /// When it last recorded something again.
    pub wrote_back_at: u64,
    /// Until when a hold would have lasted that the store has lost: nobody else can have the right yet.
    pub reacquire_until: u64,
    /// The configuration by that.
    pub catalog: IndexedCatalog,
    /// Whether it has come since the node last followed it.
    catalog_is_new: bool,
    /// Replacements that it has heard of.
    pub replacements: KnownReplacements,
    /// Evidence of the primary.
    pub evidence: PrimaryEvidence,
    /// Commits whose answers have come, and that replicas have yet to confirm.
    pub unconfirmed_commits: Vec<UnconfirmedCommit>,
    /// Term of each instance, by its own word.
    pub terms: BTreeMap<usize, Term>,
    /// Requests that wait, by number: instance, when sent, whether they commit.
    pub pending_requests: BTreeMap<u64, (usize, Instant, bool)>,
    /// When each instance last answered or refused.
    pub last_answers: BTreeMap<usize, Instant>,
    /// When each instance last answered a commit.
    pub last_commits: BTreeMap<usize, Instant>,
    /// Process of each instance that connections lead to.
    pub known_processes: BTreeMap<usize, u32>,
    /// Since when each instance has refused connections.
    pub refused_since: BTreeMap<usize, Instant>,
    /// The instance that it took for the primary when it last looked.
    pub last_leader: Option<usize>,
    failure_detector: FailureDetector,
    needs_evaluator: NeedsEvaluator,
    /// The instances.
    pub known_instances: KnownInstances,
    /// What it suspects.
    pub votes: NodeVotes,
    /// The right to act, if it has it.
    pub coordinator: Option<CoordinatorState>,
    /// Whether it is asking for it.
    pub acquiring: bool,
    needed_since: Option<u64>,
    /// Nodes that have given their evidence up, and what they know.
    pub revocation_reports: BTreeMap<ReplacementId, RestartReports>,
    /// Positions that the primary has told it.
    pub primary_samples: PrimarySamples,
    /// When it last told a holder.
    pub reported_at: u64,
    /// When the last question for evidence was sent.
    pub status_queried_at: u64,
    /// When it last looked at the store.
    pub replacement_checked_at: u64,
    /// When it last told old primaries to step down.
    pub demotions_sent_at: u64,
    /// When it last asked instances that have started again.
    pub refills_queried_at: u64,
    /// When it started, if it was not there from the beginning.
    pub started_at: u64,
    /// When it last tried to enter itself.
    pub registration_sent_at: u64,
    /// The entries of nodes that it has read.
    pub listed_nodes: Vec<NodeName>,
    /// When it read them.
    pub listed_nodes_read_at: u64,
}

impl Node {
    /// A node that has just started.
    pub fn new(number: usize, process: u64) -> Self {
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
            pending_requests: BTreeMap::new(),
            last_answers: BTreeMap::new(),
            last_commits: BTreeMap::new(),
            refused_since: BTreeMap::new(),
            known_processes: BTreeMap::new(),
            last_leader: None,
            failure_detector: FailureDetector::default(),
            needs_evaluator: NeedsEvaluator::default(),
            known_instances: KnownInstances::default(),
            votes: NodeVotes::new(),
            coordinator: None,
            acquiring: false,
            needed_since: None,
            revocation_reports: BTreeMap::new(),
            primary_samples: PrimarySamples::default(),
            reported_at: 0,
            status_queried_at: 0,
            replacement_checked_at: 0,
            demotions_sent_at: 0,
            refills_queried_at: 0,
            started_at: 0,
            registration_sent_at: 0,
            listed_nodes: Vec::new(),
            listed_nodes_read_at: 0,
        }
    }

    /// Whether its copy of the store shows that it has entered itself.
    pub fn is_listed_in_own_view(&self) -> bool {
        self.view.nodes.contains(&node_name(self.number))
    }

    /// It has watched the instances since `started`.
    pub fn has_watched_since(&mut self, announced: &[Announced], started: Instant) {
        let catalog = catalog(0, announced, None);
        self.known_instances.apply_catalog(&catalog, started);
    }

    /// Whether it does anything now.
    pub fn is_running(&self) -> bool {
        self.alive && !self.frozen
    }

    /// Takes in what the store says now.
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
        self.replacements.update_from_store(&view.intents, now);
        self.follow_replacements();
        self.catalog = catalog(view.revision, announced, last_promoted);
        self.catalog_is_new = true;
        self.view = view;
    }

    /// The replacement of the group that it has heard of.
    pub fn intent(&self) -> Option<Intent> {
        active_intents(&self.replacements.intents()).remove(&group_name())
    }

    /// Gives its evidence up while it has heard of a replacement.
    fn follow_replacements(&mut self) {
        match self.intent() {
            Some(intent) => self.evidence.revoke(intent.id),
            None => self.evidence.end_revocation(),
        }
    }

    /// A holder says that a replacement is under way.
    pub fn on_replacement_notified(&mut self, intent: Intent, age: Duration, now: Instant) {
        self.replacements.on_notification(&group_name(), intent, age, now);
        self.follow_replacements();
    }

    /// A holder says that a replacement is over.
    pub fn on_replacement_finished(&mut self, id: ReplacementId, successor: Option<&Successor>) {
        self.replacements.on_finished(&group_name(), id);
        if let Some(term) = successor.and_then(|successor| successor.term) {
            self.evidence.on_term_led(term);
        }
        self.follow_replacements();
    }

    /// Forgets replacements whose holders are gone.
    pub fn expire_replacements(&mut self, now: Instant) {
        if self.replacements.expire(now) {
            self.follow_replacements();
        }
    }

    /// What the store has lost of replacements, as far as this node remembers: who was promoted last, and whether a
    /// replacement that it shows is over.
    pub fn missing_from_store(&self) -> (Option<Successor>, bool) {
        let known = merge_keys(&self.keys, &self.remembered_keys);
        let successor = last_promoted_in(&known)
            .filter(|_| last_promoted_in(&self.keys) != last_promoted_in(&known));
        let is_over =
            unfinished_intents(&known).is_empty() && !unfinished_intents(&self.keys).is_empty();
        (successor, is_over)
    }

    /// The instance that it takes for the primary.
    pub fn leader(&self) -> Option<usize> {
        let group = self.catalog.groups.get(&group_name())?;
        let intent = self.intent();
        let leader = group.leader(intent.as_ref().and_then(|intent| intent.former.as_ref()))?;
        Some(instance_number(&leader.name))
    }

    /// Whether new work for the primary waits, because it is being replaced.
    pub fn delays_primary_requests(&self) -> bool {
        let old_primary = self.intent().map(|intent| intent.former.as_ref().map(instance_number));
        old_primary.is_some_and(|old_primary| old_primary == self.leader())
    }

    /// Whether nothing may be written at the instance that it takes for the primary: a newer one is known, or may
    /// have been promoted, and which term that one leads is not known.
    pub fn is_outdated(&self, leader: usize) -> bool {
        let term = self.terms.get(&leader).copied();
        let group = self.catalog.groups.get(&group_name());
        let is_newest = group.is_none_or(|group| group.is_last_promoted(&instance_name(leader)));
        self.evidence.is_outdated(term) || (term.is_none() && !is_newest)
    }

    /// Whether a read that arrived at `arrived` may run at the primary.
    pub fn may_read(&self, leader: usize, arrived: Instant, lifetime: Duration) -> bool {
        let term = self.terms.get(&leader);
        let until = term.and_then(|term| self.evidence.covers_until(*term, REPLICATION, lifetime));
        until.is_some_and(|until| arrived <= until)
    }

    /// The same if the store said that nobody replaces the primary.
    pub fn may_read_once_checked(
        &self,
        leader: usize,
        arrived: Instant,
        lifetime: Duration,
    ) -> bool {
        let term = self.terms.get(&leader);
        let until =
            term.and_then(|term| self.evidence.would_cover_until(*term, REPLICATION, lifetime));
        until.is_some_and(|until| arrived <= until)
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

    /// Judges the primary; true if what the node suspects has changed.
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

    /// What is to be done about the group.
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

    /// An attempt was called off.
    pub fn on_attempt_cancelled(&mut self, now: Instant) {
        self.needs_evaluator.on_cancelled(&group_name(), now);
    }

    /// Whether it is this node's turn to act on a need.
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

/// Time for which the first nodes have run before the simulation begins: they know which instances have
/// started again. Those that are killed begin anew.
const UPTIME_AT_START: Duration = Duration::from_secs(20);

/// A time of the simulation; its nodes started at `base`.
pub fn instant(base: Instant, milliseconds: u64) -> Instant {
    base + UPTIME_AT_START + Duration::from_millis(milliseconds)
}
