//! Watches the primaries: says what this node suspects, and has it act where it is its turn.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use kestrellock_core::catalog::{Group, IndexedCatalog, Instance};
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{
    CoordinationView, Intent, KnownInstances, Need, NeedsEvaluator, NeedsInput, NodeVotes,
    StoreEraTracker, Vote, active_intents,
};
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::{Cause, FailureDetector};
use kestrellock_peer::message::PeerMessage;
use kestrellock_store::control::ControlTarget;
use xxhash_rust::xxh3::xxh3_64;

use super::SuccessionServices;
use super::electors::Electors;
use super::holder::{self, SharedSituation, Situation};
use super::looks::Looks;
use super::opinions::Opinions;
use super::owned::OwnedGroups;
use super::telling::{FIRST_SHARD, Telling};
use super::{voter, write_back};
use crate::context::NodeContext;
use crate::shard::mailbox::{Mailboxes, ShardMessage};
use crate::supervisor::StopFlag;

/// Time between two looks while something is suspected, replaced or asked.
const STEP: Duration = Duration::from_millis(20);
/// The same while nothing is: a suspicion needs several hundred milliseconds of silence, and each look
/// wakes a node that has nothing to do.
const CALM_STEP: Duration = Duration::from_millis(50);
/// Time that a node waits for each that is before it, so that not all act at once.
const TURN: Duration = Duration::from_millis(120);
/// An answer of a primary that is younger than this needs no second opinion.
const RECENT_ANSWER: Duration = Duration::from_millis(100);
/// Time between two messages to a holder.
const TELL_INTERVAL: Duration = Duration::from_millis(60);

struct Watcher<'a> {
    context: &'a Arc<NodeContext>,
    services: &'a SuccessionServices,
    judge: FailureDetector,
    needs_judge: NeedsEvaluator,
    known: KnownInstances,
    /// The catalog that was followed last.
    followed: Arc<IndexedCatalog>,
    owned: OwnedGroups,
    view: Arc<CoordinationView>,
    /// Replacements that this node has heard of, from the store or from whoever carries them out.
    intents: BTreeMap<GroupName, Intent>,
    telling: Telling,
    era: StoreEraTracker,
    electors: Electors,
    votes: NodeVotes,
    voter: Sender<NodeVotes>,
    opinions: Opinions,
    /// Questions to instances that have started again, and their primaries: no answer to one of these is an
    /// opinion of a primary.
    refill_questions: Opinions,
    situation: SharedSituation,
    needed_since: Option<Instant>,
    acting: Option<thread::JoinHandle<()>>,
    looks: Looks,
    mailboxes: &'a Mailboxes,
    stop: &'a StopFlag,
    /// When holders were last told that evidence has been given up.
    told: Option<Instant>,
}

/// Watches until told to stop.
pub fn run(
    context: &Arc<NodeContext>,
    mailboxes: &Mailboxes,
    services: &SuccessionServices,
    stop: &StopFlag,
) {
    let mut watcher = Watcher {
        context,
        services,
        judge: FailureDetector::default(),
        needs_judge: NeedsEvaluator::default(),
        known: KnownInstances::default(),
        followed: Arc::default(),
        owned: OwnedGroups::default(),
        view: Arc::default(),
        intents: BTreeMap::new(),
        telling: Telling::default(),
        era: StoreEraTracker::default(),
        electors: Electors::default(),
        votes: NodeVotes::new(),
        voter: voter::start(context, services, stop),
        opinions: Opinions::new(),
        refill_questions: Opinions::new(),
        situation: Arc::new(Mutex::new(Situation::default())),
        needed_since: None,
        acting: None,
        looks: Looks::start(services),
        mailboxes,
        stop,
        told: None,
    };
    while !stop.is_stopping() {
        stop.wait_while_paused();
        watcher.step();
        thread::sleep(watcher.pause());
    }
}

impl Watcher<'_> {
    fn step(&mut self) {
        let now = Instant::now();
        self.judge.tick(now);
        let catalog = self.context.catalog.load();
        self.follow_catalog(&catalog, now);
        self.telling.step(self.context, self.mailboxes, now);
        self.follow_store(now);
        if !self.era.replacement_may_be_lost(now) {
            self.looks.step(self.context, &self.view, now);
        }
        self.take_in_answers(now);
        self.watch_refills();
        self.vote(&catalog, now);
        let needs = self.judge_needs(&catalog, now);
        self.act(needs, now);
    }

    /// Time until the next look.
    fn pause(&self) -> Duration {
        let nothing_said = self.view.votes.is_empty() && self.votes.is_empty();
        let nothing_begun = self.intents.is_empty() && self.needed_since.is_none();
        let is_calm = nothing_said && nothing_begun && !self.opinions.is_asking();
        if is_calm { CALM_STEP } else { STEP }
    }

    /// Takes in the catalog if it is another one than before; otherwise only time has passed.
    fn follow_catalog(&mut self, catalog: &Arc<IndexedCatalog>, now: Instant) {
        if Arc::ptr_eq(catalog, &self.followed) {
            self.known.advance_time(now);
            return;
        }
        self.known.apply_catalog(catalog, now);
        self.needs_judge.apply_catalog(catalog);
        self.followed = catalog.clone();
    }

    fn follow_store(&mut self, now: Instant) {
        let view = self.services.coordination.view();
        let is_new = view.revision != self.view.revision;
        if is_new {
            self.context.replacements.follow_store(&view.intents, now);
        }
        self.tell_holders();
        self.follow_intents(&view, now);
        if !is_new {
            return;
        }
        if self.era.observe(view.era, now) {
            self.on_store_came_back(&view);
        }
        if view.promoted != self.view.promoted {
            self.follow_successors(&view);
        }
        self.view = view;
    }

    /// Takes in which replacements are under way, by the store or by those who carry them out.
    fn follow_intents(&mut self, view: &CoordinationView, now: Instant) {
        let intents = self.context.replacements.intents(now);
        if intents == self.intents {
            return;
        }
        // Before the holder hears of it: from here on nothing is read on older evidence.
        let heeded = active_intents(&intents);
        self.context.statuses.follow_replacements(&heeded);
        log::info!(
            event = "intents",
            intents:? = intents,
            in_store = intents == view.intents,
            revision = view.revision;
            "replacements under way have changed"
        );
        self.context.intents.store(heeded);
        self.intents = intents;
        self.told = None;
        self.tell_holders();
    }

    /// The store has come back from an older copy: what this node has told it is told again, and nothing that
    /// it says of replacements is taken for complete yet.
    fn on_store_came_back(&mut self, view: &CoordinationView) {
        self.context.metrics.store_returns.inc();
        log::warn!(
            event = "store_era",
            era = view.era.0,
            era_before = self.view.era.0,
            intents = view.intents.len() as u64,
            votes = self.votes.len() as u64;
            "what this node has told the store is told again"
        );
        if !self.votes.is_empty() {
            // The voter lives as long as the node.
            let _ = self.voter.send(self.votes.clone());
        }
        let owned = self.owned.follow(self.context);
        write_back::start(self.services, owned.to_vec(), self.stop);
    }

    /// Takes in which terms have been led: whoever leads a lower one is an old primary, whatever it says.
    fn follow_successors(&self, view: &CoordinationView) {
        for (group, successor) in &view.promoted {
            let is_new = self.view.promoted.get(group) != Some(successor);
            if let Some(term) = successor.term.filter(|_| is_new) {
                self.context.statuses.on_led(group, term);
            }
        }
    }

    /// Tells whoever replaces a primary that this node has given its evidence up; again and again,
    /// because a message may be lost.
    fn tell_holders(&mut self) {
        let now = Instant::now();
        let told = self.told.is_some_and(|told| now < told + TELL_INTERVAL);
        if self.intents.is_empty() || told {
            return;
        }
        self.told = Some(now);
        let own = &self.context.identity.node;
        for (group, intent) in &self.intents {
            let given_up = {
                let board = self.context.statuses.group(group);
                let known = board.read().expect("a holder of the status lock panicked");
                known.evidence.revoked_for() == Some(intent.id)
            };
            if !given_up {
                continue;
            }
            let heard = self.context.statuses.heard(group);
            let witness = self.known.restart_report(group, heard);
            if intent.holder == *own {
                self.context.given_up.add(group, intent.id, own, witness);
                continue;
            }
            let message = PeerMessage::EvidenceGivenUp {
                node: own.clone(),
                group: group.clone(),
                id: intent.id,
                witness,
            };
            let message = ShardMessage::ToPeer { node: intent.holder.clone(), message };
            self.mailboxes.send(FIRST_SHARD, message);
        }
    }

    /// Takes in what instances have said that were asked for themselves.
    fn take_in_answers(&mut self, now: Instant) {
        let answers = self.opinions.step(now).into_iter().chain(self.refill_questions.step(now));
        for answer in answers {
            let (group, instance) = &answer.subject;
            self.known.on_status(group, instance, &answer.standing, answer.asked);
        }
    }

    /// Asks instances that have started again, and their primaries, how much they have received: whoever
    /// replaces a primary counts them once a node has seen that they hold everything. Owners alone, as in votes.
    fn watch_refills(&mut self) {
        let owned = self.owned.follow(self.context);
        let refilling = self.known.refilling_groups().filter(|group| owned.contains(*group));
        let refilling: Vec<GroupName> = refilling.cloned().collect();
        for group in refilling {
            for instance in self.known.refill_status_targets(&group) {
                let Some(target) = self.target(&group, &instance) else { continue };
                let highest = self.context.statuses.highest_led(&group);
                self.refill_questions.ask(target, highest, self.services);
            }
        }
    }

    /// Says what this node suspects now, if that has changed.
    fn vote(&mut self, catalog: &IndexedCatalog, now: Instant) {
        let mut votes = NodeVotes::new();
        // Others send a group's primary nothing, and would only take connections to ask it.
        for name in self.owned.follow(self.context).iter() {
            let Some(group) = catalog.groups.get(name) else { continue };
            let Some(primary) = self.context.leader(name, group) else { continue };
            self.question_others_that_lead(name, group, &primary.name);
            if let Some(cause) = self.suspect(name, &primary.name, now) {
                votes.insert(name.clone(), Vote { instance: primary.name.clone(), cause });
            }
        }
        if votes != self.votes {
            log::info!(event = "vote", votes:? = votes; "what this node suspects has changed");
            self.votes.clone_from(&votes);
            // The voter lives as long as the node.
            let _ = self.voter.send(votes);
        }
    }

    fn suspect(
        &mut self,
        group: &GroupName,
        primary: &InstanceName,
        now: Instant,
    ) -> Option<Cause> {
        let mut signs = self.context.statuses.signs(group, primary);
        if signs.is_outdated && !self.says_it_is_outdated(group, primary) {
            // What is known of its term may be from before it was promoted again.
            signs.is_outdated = false;
            self.ask(group, primary);
        }
        if let Some(cause) = self.judge.suspect(&signs, now) {
            return Some(cause);
        }
        let recent = signs.last_answer.is_some_and(|at| now < at + RECENT_ANSWER);
        if !recent && self.is_suspected_elsewhere(group, primary) {
            self.ask(group, primary);
        }
        if recent {
            return None;
        }
        self.opinions.of(group, primary)?.cause
    }

    /// Whether the primary has said a moment ago that it leads a term lower than one that has been seen.
    fn says_it_is_outdated(&self, group: &GroupName, primary: &InstanceName) -> bool {
        let opinion = self.opinions.of(group, primary);
        opinion.is_some_and(|opinion| opinion.cause == Some(Cause::Outdated))
    }

    fn is_suspected_elsewhere(&self, group: &GroupName, primary: &InstanceName) -> bool {
        let own = &self.context.identity.node;
        let others = self.view.votes.iter().filter(|(node, _)| *node != own);
        let mut votes = others.filter_map(|(_, votes)| votes.get(group));
        votes.any(|vote| vote.instance == *primary)
    }

    fn target(&self, group: &GroupName, instance: &InstanceName) -> Option<ControlTarget> {
        let address = self.known.address(group, instance)?;
        Some(ControlTarget { group: group.clone(), instance: instance.clone(), address })
    }

    /// Asks a primary for itself.
    fn ask(&mut self, group: &GroupName, primary: &InstanceName) {
        let Some(target) = self.target(group, primary) else { return };
        let highest = self.context.statuses.highest_led(group);
        self.opinions.ask(target, highest, self.services);
    }

    /// Asks others that say they lead beside the primary, unless they are known to lead the newest term: a node
    /// out of reach of the store may take one of them for the primary.
    fn question_others_that_lead(
        &mut self,
        name: &GroupName,
        group: &Group,
        primary: &InstanceName,
    ) {
        let leads = |one: &&Instance| one.announced_role == Some(Role::Primary);
        let others = group.instances.iter().filter(leads).filter(|one| one.name != *primary);
        let others: Vec<InstanceName> = others.map(|one| one.name.clone()).collect();
        for other in others {
            self.ask(name, &other);
        }
    }

    fn judge_needs(&mut self, catalog: &IndexedCatalog, now: Instant) -> BTreeMap<GroupName, Need> {
        let called_off = {
            let mut situation = self.situation.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut situation.called_off)
        };
        for group in called_off {
            self.needs_judge.on_cancelled(&group, now);
        }
        self.electors.follow(self.context, now);
        let own = (&self.context.identity.node, &self.votes);
        let (live, listed) = (self.electors.live(), self.electors.counted());
        let evidence = NeedsInput { catalog, view: &self.view, own, live, listed, now };
        self.needs_judge.evaluate(&evidence)
    }

    fn act(&mut self, needs: BTreeMap<GroupName, Need>, now: Instant) {
        let calls = |(group, need): (&GroupName, &Need)| {
            need.needs_coordinator() && self.known.knows_restarts(group, now)
        };
        let called = needs.iter().any(calls);
        if called || self.acting.is_some() {
            self.tell_holder_thread(needs, now);
        }
        if self.acting.as_ref().is_some_and(thread::JoinHandle::is_finished) {
            self.acting = None;
        }
        if !called {
            self.needed_since = None;
            return;
        }
        let since = *self.needed_since.get_or_insert(now);
        let may_act = self.acting.is_none()
            && self.view.coordinator.is_none()
            && self.view.revision > 0
            && !self.era.earlier_lease_may_be_valid(now)
            && !self.context.is_stopping();
        if !may_act || now < since + TURN * self.turn() {
            return;
        }
        let (context, services, situation) =
            (self.context.clone(), self.services.clone(), self.situation.clone());
        let stop = self.stop.clone();
        let spawned = thread::Builder::new()
            .name("promotion-holder".to_owned())
            .spawn(move || holder::act(&context, &services, &situation, &stop));
        match spawned {
            Ok(thread) => self.acting = Some(thread),
            Err(error) => log::error!("a thread for the holder could not be started: {error}"),
        }
    }

    /// Tells the thread that acts, if there is one, of the groups that need something, and of those that it
    /// acts on already: it copies what it is told at each of its steps.
    fn tell_holder_thread(&self, needs: BTreeMap<GroupName, Need>, now: Instant) {
        let mut situation = self.situation.lock().unwrap_or_else(PoisonError::into_inner);
        let acted_on: Vec<GroupName> = match self.acting {
            Some(_) => situation.known.groups().cloned().collect(),
            None => Vec::new(),
        };
        situation.known = self.known.subset(needs.keys().chain(&acted_on));
        situation.needs = needs;
        situation.starts_may_be_old = self.era.incarnations_may_be_stale(now);
    }

    /// How many live nodes are before this one.
    fn turn(&self) -> u32 {
        let weight = |node: &NodeName| xxh3_64(node.as_str().as_bytes());
        let own = weight(&self.context.identity.node);
        let live = self.context.live.load();
        let before = live.iter().filter(|node| node.accepts_work);
        before.filter(|node| weight(&node.candidate.node) < own).count() as u32
    }
}
