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
    Attempt, CoordinationView, HeardReplacements, Intent, KnownEra, KnownInstances, Need,
    NeedsEvidence, NeedsJudge, NodeVotes, ReplacementId, Successor, Vote, Witnesses, heeded,
};
use kestrellock_core::routing::Role;
use kestrellock_core::store_era::StoreEra;
use kestrellock_core::suspicion::{Judge, Signs};

use crate::checker::CommitId;
use crate::returns::{Keys, complete, installed_of, intents_of};
use crate::store::{Announced, node_name};

/// How it replicates.
pub const GROUP: Replication = Replication { synchronous: 1, instances: 3 };

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
pub struct Acting {
    /// Its fence.
    pub fence: u64,
    /// Until when it surely lasts.
    pub until: u64,
    /// Whether it is being prolonged.
    pub renewing: bool,
    /// The attempt under way.
    pub attempt: Option<Attempt>,
    /// Attempts begun.
    pub begun: u32,
    /// When the last one ended.
    pub ended: Option<u64>,
    /// Nodes that the store listed when the last intent was recorded.
    pub listed: Vec<NodeName>,
    /// When the intent of the attempt was first known to be recorded.
    pub recorded: Option<u64>,
    /// When the other nodes were last told of it.
    pub told: Option<u64>,
}

/// A commit that its primary has answered, and that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub struct Unconfirmed {
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
    pub era: KnownEra,
    /// The newest era that any answer has told.
    pub newest_era: StoreEra,
    /// What nodes have written of replacements, as the store said last.
    keys: Keys,
    /// The same of before the store came back from a copy.
    remembered: Keys,
    /// Whether the store may lack what this node remembers.
    pub writes_back: bool,
    /// When it last recorded something again.
    pub wrote_back: u64,
    /// Until when a hold would have lasted that the store has lost: nobody else can have the right yet.
    pub retake_until: u64,
    /// The configuration by that.
    pub catalog: IndexedCatalog,
    /// Whether it has come since the node last followed it.
    catalog_is_new: bool,
    /// Replacements that it has heard of.
    pub replacements: HeardReplacements,
    /// Evidence of the primary.
    pub evidence: PrimaryEvidence,
    /// Commits whose answers have come, and that replicas have yet to confirm.
    pub unconfirmed: Vec<Unconfirmed>,
    /// Term of each instance, by its own word.
    pub terms: BTreeMap<usize, Term>,
    /// Requests that wait, by number: instance, when sent, whether they commit.
    pub waiting: BTreeMap<u64, (usize, Instant, bool)>,
    /// When each instance last answered or refused.
    pub answered: BTreeMap<usize, Instant>,
    /// When each instance last answered a commit.
    pub committed: BTreeMap<usize, Instant>,
    /// Process of each instance that connections lead to.
    pub runs_known: BTreeMap<usize, u32>,
    /// Since when each instance has refused connections.
    pub refused: BTreeMap<usize, Instant>,
    /// The instance that it took for the primary when it last looked.
    pub followed: Option<usize>,
    judge: Judge,
    needs_judge: NeedsJudge,
    /// The instances.
    pub known: KnownInstances,
    /// What it suspects.
    pub votes: NodeVotes,
    /// The right to act, if it has it.
    pub acting: Option<Acting>,
    /// Whether it is asking for it.
    pub acquiring: bool,
    needed_since: Option<u64>,
    /// Nodes that have given their evidence up, and what they know.
    pub given_up: BTreeMap<ReplacementId, Witnesses>,
    /// Positions that the primary has told it.
    pub heard: PrimarySamples,
    /// When it last told a holder.
    pub told: u64,
    /// When the last question for evidence was sent.
    pub questioned: u64,
    /// When it last looked at the store.
    pub looked: u64,
    /// When it last told old primaries to step down.
    pub demoted: u64,
    /// When it last asked instances that have started again.
    pub asked_refills: u64,
    /// When it started, if it was not there from the beginning.
    pub started: u64,
    /// When it last tried to enter itself.
    pub entered: u64,
    /// The entries of nodes that it has read.
    pub others: Vec<NodeName>,
    /// When it read them.
    pub others_read: u64,
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
            era: KnownEra::default(),
            newest_era: StoreEra::default(),
            keys: Keys::new(),
            remembered: Keys::new(),
            writes_back: false,
            wrote_back: 0,
            retake_until: 0,
            catalog: IndexedCatalog::default(),
            catalog_is_new: false,
            replacements: HeardReplacements::default(),
            evidence: PrimaryEvidence::default(),
            unconfirmed: Vec::new(),
            terms: BTreeMap::new(),
            waiting: BTreeMap::new(),
            answered: BTreeMap::new(),
            committed: BTreeMap::new(),
            refused: BTreeMap::new(),
            runs_known: BTreeMap::new(),
            followed: None,
            judge: Judge::default(),
            needs_judge: NeedsJudge::default(),
            known: KnownInstances::default(),
            votes: NodeVotes::new(),
            acting: None,
            acquiring: false,
            needed_since: None,
            given_up: BTreeMap::new(),
            heard: PrimarySamples::default(),
            told: 0,
            questioned: 0,
            looked: 0,
            demoted: 0,
            asked_refills: 0,
            started: 0,
            entered: 0,
            others: Vec::new(),
            others_read: 0,
        }
    }

    /// Whether its copy of the store shows that it has entered itself.
    pub fn is_listed_by_its_copy(&self) -> bool {
        self.view.nodes.contains(&node_name(self.number))
    }

    /// It has watched the instances since `started`.
    pub fn has_watched_since(&mut self, announced: &[Announced], started: Instant) {
        let catalog = catalog(0, announced, None);
        self.known.follow(&catalog, started);
    }

    /// Whether it does anything now.
    pub fn runs(&self) -> bool {
        self.alive && !self.frozen
    }

    /// Takes in what the store says now.
    pub fn see(
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
        if self.era.follow(view.era, now) {
            self.remembered = complete(&self.keys, &self.remembered);
            self.writes_back = true;
        }
        self.keys = keys;
        let known = complete(&self.keys, &self.remembered);
        view.intents = intents_of(&known);
        let installed = installed_of(&known);
        let installed = installed.as_ref();
        view.promoted = installed.map(|one| (group_name(), one.clone())).into_iter().collect();
        if let Some(term) = installed.and_then(|installed| installed.term) {
            self.evidence.on_led(term);
        }
        self.replacements.follow_store(&view.intents, now);
        self.follow_replacements();
        self.catalog = catalog(view.revision, announced, installed);
        self.catalog_is_new = true;
        self.view = view;
    }

    /// The replacement of the group that it has heard of.
    pub fn intent(&self) -> Option<Intent> {
        heeded(&self.replacements.intents()).remove(&group_name())
    }

    /// Gives its evidence up while it has heard of a replacement.
    fn follow_replacements(&mut self) {
        match self.intent() {
            Some(intent) => self.evidence.give_up(intent.id),
            None => self.evidence.take_up(),
        }
    }

    /// A holder says that a replacement is under way.
    pub fn on_under_way(&mut self, intent: Intent, age: Duration, now: Instant) {
        self.replacements.on_told(&group_name(), intent, age, now);
        self.follow_replacements();
    }

    /// A holder says that a replacement is over.
    pub fn on_over(&mut self, id: ReplacementId, successor: Option<&Successor>) {
        self.replacements.on_over(&group_name(), id);
        if let Some(term) = successor.and_then(|successor| successor.term) {
            self.evidence.on_led(term);
        }
        self.follow_replacements();
    }

    /// Forgets replacements whose holders are gone.
    pub fn pass_time(&mut self, now: Instant) {
        if self.replacements.pass_time(now) {
            self.follow_replacements();
        }
    }

    /// What the store has lost of replacements, as far as this node remembers: who was promoted last, and whether a
    /// replacement that it shows is over.
    pub fn lost(&self) -> (Option<Successor>, bool) {
        let known = complete(&self.keys, &self.remembered);
        let successor =
            installed_of(&known).filter(|_| installed_of(&self.keys) != installed_of(&known));
        let is_over = intents_of(&known).is_empty() && !intents_of(&self.keys).is_empty();
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
    pub fn holds_back(&self) -> bool {
        let former = self.intent().map(|intent| intent.former.as_ref().map(instance_number));
        former.is_some_and(|former| former == self.leader())
    }

    /// Whether nothing may be written at the instance that it takes for the primary: a newer one is known, or may
    /// have been promoted, and which term that one leads is not known.
    pub fn is_old(&self, leader: usize) -> bool {
        let term = self.terms.get(&leader).copied();
        let group = self.catalog.groups.get(&group_name());
        let is_newest = group.is_none_or(|group| group.is_last_promoted(&instance_name(leader)));
        self.evidence.is_outdated(term) || (term.is_none() && !is_newest)
    }

    /// Whether a read that arrived at `arrived` may run at the primary.
    pub fn may_read(&self, leader: usize, arrived: Instant, life: Duration) -> bool {
        let term = self.terms.get(&leader);
        let until = term.and_then(|term| self.evidence.covers_until(*term, GROUP, life));
        until.is_some_and(|until| arrived <= until)
    }

    /// The same if the store said that nobody replaces the primary.
    pub fn would_read(&self, leader: usize, arrived: Instant, life: Duration) -> bool {
        let term = self.terms.get(&leader);
        let until = term.and_then(|term| self.evidence.would_cover_until(*term, GROUP, life));
        until.is_some_and(|until| arrived <= until)
    }

    fn signs(&self, instance: usize) -> Signs {
        let waiting = self.waiting.values().filter(|(to, _, _)| *to == instance);
        Signs {
            refused: self.refused.get(&instance).copied(),
            waiting: waiting.clone().map(|(_, sent, _)| *sent).min(),
            committing: waiting.filter(|(_, _, commits)| *commits).map(|(_, sent, _)| *sent).min(),
            committed: self.committed.get(&instance).copied(),
            answered: self.answered.get(&instance).copied(),
            is_outdated: self.evidence.is_outdated(self.terms.get(&instance).copied()),
        }
    }

    /// Judges the primary; true if what the node suspects has changed.
    pub fn suspect(&mut self, now: Instant) -> bool {
        self.judge.on_step(now);
        let mut votes = NodeVotes::new();
        if let Some(leader) = self.leader()
            && let Some(cause) = self.judge.suspect(&self.signs(leader), now)
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
                self.known.follow(&self.catalog, now);
                self.needs_judge.follow(&self.catalog);
            }
            false => drop(self.known.pass_time(now)),
        }
        let own = node_name(self.number);
        let evidence = NeedsEvidence {
            catalog: &self.catalog,
            view: &self.view,
            own: (&own, &self.votes),
            live,
            listed: live,
            now,
        };
        self.needs_judge.judge(&evidence).remove(&group_name())
    }

    /// An attempt was called off.
    pub fn on_called_off(&mut self, now: Instant) {
        self.needs_judge.on_called_off(&group_name(), now);
    }

    /// Whether it is this node's turn to act on a need.
    pub fn is_its_turn(&mut self, need: Option<&Need>, now: u64, at: Instant) -> bool {
        let knows_starts = self.known.knows_starts(&group_name(), at);
        if !knows_starts || !need.is_some_and(Need::calls_for_action) {
            self.needed_since = None;
            return false;
        }
        let since = *self.needed_since.get_or_insert(now);
        let is_settled = !self.era.earlier_hold_may_last(at);
        let is_free = self.acting.is_none() && !self.acquiring && self.view.holder.is_none();
        let may = is_free && is_settled;
        may && self.view.revision > 0 && now >= since + 120 * self.number as u64
    }
}

fn catalog(
    revision: u64,
    announced: &[Announced],
    installed: Option<&Successor>,
) -> IndexedCatalog {
    let instances = announced.iter().enumerate().map(|(number, announced)| Instance {
        name: instance_name(number),
        zone: ZoneName::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
        slots: 3,
        connections: 30,
        leaving: announced.leaving,
        announced_role: Some(if announced.leads { Role::Primary } else { Role::Replica }),
        incarnation: Some(InstanceIncarnation(announced.born)),
    });
    let group = Group {
        database: "orders".to_owned(),
        user: "kestrellock".to_owned(),
        instances: instances.collect(),
        confirmation: ConfirmationRule::Answered,
        elector: Elector::Proxy,
        synchronous_replicas: 1,
        connections: 30,
        promoted: installed.map(|successor| successor.instance.clone()),
    };
    let mut catalog = Catalog { revision: Revision(revision), ..Catalog::default() };
    catalog.groups.insert(group_name(), group);
    IndexedCatalog::new(catalog)
}

/// Time for which the first nodes have run before the simulation begins: they know which instances have
/// started again. Those that are killed begin anew.
const RAN_BEFORE: Duration = Duration::from_secs(20);

/// A time of the simulation; its nodes started at `base`.
pub fn instant(base: Instant, milliseconds: u64) -> Instant {
    base + RAN_BEFORE + Duration::from_millis(milliseconds)
}
