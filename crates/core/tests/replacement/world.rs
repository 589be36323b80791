//! Virtual time: steps of a millisecond, messages with latencies, and faults as planned.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Instant;

use kestrellock_core::position::Term;
use kestrellock_core::promotion::{Event, PromotionAnswer};
use kestrellock_core::routing::Role;
use kestrellock_core::store_era::{StoreEra, revision_of};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::around;
use crate::checker::{Checker, Violation};
use crate::instances::{FIRST_START, Instance, Pending, replicate};
use crate::listing::Listing;
use crate::messages::{Call, Exchange, Message, Reply, Work};
use crate::node::{Node, group_name, instance_name, instant};
use crate::plan::{FaultKind, Faults, Planned, Plant, draw};
use crate::returns::{ANNOUNCED_AGAIN_MS, Copies, intents_of};
use crate::store::{Announced, Contents, Operation, node_name};
use crate::trace::Trace;

/// Length of a run.
pub const LENGTH_MS: u64 = 14_000;
const INSTANCES: usize = 3;
const NODES: usize = 4;
/// Time between two receptions of a replica.
const REPLICATION_STEP_MS: u64 = 3;
/// Time between two steps of a node.
const NODE_STEP_MS: u64 = 5;
/// Time after which a node takes a call of the store for lost.
const CALL_LOST_AFTER_MS: u64 = 250;
/// Least time for which an instance that has died is away.
const RESTART_MS: u64 = 600;
/// Time that the platform takes to promote.
const PROMOTION_MS: u64 = 300;
/// Share of what is said on connections that have gone silent, some of which work.
const SILENCED_SHARE: f64 = 0.7;
/// Something must have been acknowledged within this time before the end.
const RECENTLY_MS: u64 = 1_000;

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Commits acknowledged.
    pub acknowledged: u64,
    /// Reads judged.
    pub reads: u64,
    /// Promotions carried out.
    pub promotions: u64,
    /// The faults.
    pub plan: Vec<Planned>,
}

/// A run.
pub struct World {
    /// Now, in milliseconds.
    pub now: u64,
    base: Instant,
    /// The seeded randomness.
    pub random: StdRng,
    /// The fault of our own.
    pub plant: Plant,
    /// The faults.
    pub plan: Vec<Planned>,
    releases_all: bool,
    /// Whether nodes hear what holders tell them.
    pub is_told: bool,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// Reads that wait at each node, by arrival.
    pub reads: Vec<Vec<u64>>,
    /// When each node last wrote what it suspects.
    pub published: Vec<u64>,
    /// Calls of the store that have not been answered.
    pub calls: BTreeSet<u64>,
    /// Changes that have to be given again, by node.
    pub again: BTreeMap<usize, (u64, Operation)>,
    /// The store.
    pub store: Contents,
    /// Copies of it that are put back later.
    pub copies: Copies,
    /// Which nodes there are.
    pub listing: Listing,
    /// Revision of the store that each node has been told last.
    pub seen: Vec<u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    messages: BTreeMap<u64, Message>,
    /// Messages for nodes that do not run.
    pub deferred: Vec<(usize, Message)>,
    next: u64,
    /// The judge.
    pub checker: Checker,
    promotions: Vec<(u64, u32)>,
    /// What is told of the run.
    pub trace: Trace,
}

impl World {
    /// A run of a seed.
    pub fn new(seed: u64, faults: Faults, plant: Plant) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let plan = draw(faults, INSTANCES, NODES, &mut random);
        Self::of_plan(plan, random, faults, plant)
    }

    /// One of many plays around a seed.
    pub fn around(seed: u64, play: u64, faults: Faults) -> Self {
        let mut plan = draw(faults, INSTANCES, NODES, &mut StdRng::seed_from_u64(seed));
        let mut random = around::randomness(seed, play);
        around::move_faults(&mut plan, &mut random);
        Self::of_plan(plan, random, faults, Plant::None)
    }

    fn of_plan(mut plan: Vec<Planned>, random: StdRng, faults: Faults, plant: Plant) -> Self {
        for planned in &mut plan {
            let is_quick = faults.quick_starts && matches!(planned.kind, FaultKind::CrashEmpty(_));
            let dies = matches!(planned.kind, FaultKind::Crash(_) | FaultKind::CrashEmpty(_));
            if dies && !is_quick {
                planned.until = planned.until.max(planned.at + RESTART_MS);
            }
        }
        let announced = (0..INSTANCES).map(|one| Announced {
            leads: one == 0,
            leaving: false,
            born: FIRST_START,
        });
        let mut store =
            Contents { revision: 1, announced: announced.collect(), ..Contents::default() };
        if faults.nodes_come {
            store.nodes.extend((0..NODES).map(node_name));
        }
        let base = Instant::now();
        let mut nodes: Vec<Node> = (0..NODES).map(|one| Node::new(one, 0)).collect();
        if !faults.start_of_all {
            nodes.iter_mut().for_each(|node| node.has_watched_since(&store.announced, base));
        }
        let listing = if faults.nodes_come { Listing::Entered } else { Listing::Fixed };
        if faults.nodes_come {
            let mut coming = Node::new(NODES, 0);
            coming.alive = false;
            nodes.push(coming);
        }
        let count = nodes.len();
        Self {
            now: 0,
            base,
            random,
            plant,
            plan,
            releases_all: faults.releases_all,
            is_told: faults.told,
            instances: (0..INSTANCES).map(|one| Instance::new(one == 0)).collect(),
            nodes,
            reads: vec![Vec::new(); count],
            published: vec![0; count],
            calls: BTreeSet::new(),
            again: BTreeMap::new(),
            store,
            copies: Copies::default(),
            seen: vec![0; count],
            listing,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            deferred: Vec::new(),
            next: 0,
            checker: Checker::default(),
            promotions: Vec::new(),
            trace: Trace::default(),
        }
    }

    /// The same run with a fault of our own.
    pub fn with_planted(self, plant: Plant) -> Self {
        Self { plant, ..self }
    }

    /// The same run, with its story kept.
    pub fn traced(self) -> Self {
        Self { trace: Trace::on(), ..self }
    }

    /// Plays it.
    pub fn play(self) -> Outcome {
        self.play_and_tell().0
    }

    /// Plays it, and tells its story.
    pub fn play_and_tell(mut self) -> (Outcome, Vec<String>) {
        while self.now < LENGTH_MS {
            self.step();
            self.now += 1;
        }
        self.judge_end();
        let outcome = Outcome {
            violations: self.checker.violations.clone(),
            acknowledged: self.checker.acknowledged(),
            reads: self.checker.reads,
            promotions: self.promotions.len() as u64,
            plan: self.plan,
        };
        (outcome, self.trace.lines().to_vec())
    }

    /// A time as the decisions know it.
    pub fn at(&self, milliseconds: u64) -> Instant {
        instant(self.base, milliseconds)
    }

    /// A number that nothing else has.
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Sends a message with the latency of the network.
    pub fn send(&mut self, message: Message) {
        let latency = self.random.random_range(1..=5);
        self.send_after(latency, message);
    }

    /// Sends a message that arrives after a time.
    pub fn send_after(&mut self, delay: u64, message: Message) {
        let number = self.number();
        self.queue.push(Reverse((self.now + delay, number)));
        self.messages.insert(number, message);
    }

    fn is_active(&self, kind: FaultKind) -> bool {
        self.plan.iter().any(|one| one.kind == kind && one.at <= self.now && self.now < one.until)
    }

    fn step(&mut self) {
        self.apply_faults();
        self.store.expire(self.now);
        while let Some(Reverse((due, number))) = self.queue.peek().copied() {
            if due > self.now {
                break;
            }
            self.queue.pop();
            let message = self.messages.remove(&number).expect("each is queued once");
            self.deliver(message);
        }
        if self.now.is_multiple_of(REPLICATION_STEP_MS) {
            self.replicate();
        }
        self.spread_views();
        for node in 0..self.nodes.len() {
            if (self.now + node as u64).is_multiple_of(NODE_STEP_MS) && self.nodes[node].runs() {
                self.step_node(node);
            }
        }
    }

    /// The instance that leads under the highest term.
    pub fn leading(&self) -> Option<usize> {
        let leads = |one: &usize| self.instances[*one].role == Role::Primary;
        (0..INSTANCES).filter(leads).max_by_key(|one| self.instances[*one].term)
    }

    /// An instance writes what it is into the store, if it can.
    pub fn announce(&mut self, one: usize) {
        let instance = &self.instances[one];
        // With the planted fault nobody hears of another start.
        let born = if self.plant == Plant::MemoryKept { FIRST_START } else { instance.born };
        let announced =
            Announced { leads: instance.role == Role::Primary, leaving: instance.leaving, born };
        if instance.answers() && self.store.announced[one] != announced {
            self.trace.note(self.now, || format!("i-{one} announces {announced:?}"));
            self.store.announced[one] = announced;
            self.store.revision += 1;
        }
    }

    /// An instance writes its entry again within a while.
    pub fn announce_again(&mut self, one: usize) {
        let delay = self.random.random_range(10..ANNOUNCED_AGAIN_MS);
        self.send_after(delay, Message::Announce { instance: one });
    }

    fn replicate(&mut self) {
        let cut = self.is_active(FaultKind::CutReplicas);
        let random = &mut self.random;
        let arrives = || random.random_bool(0.7);
        if replicate(&mut self.instances, self.now, cut, self.plant, arrives) {
            (0..INSTANCES).for_each(|one| self.announce(one));
        }
        for one in 0..INSTANCES {
            if self.instances[one].answers() {
                self.answer_commits(one);
            }
        }
    }

    fn answer_commits(&mut self, one: usize) {
        let pending = std::mem::take(&mut self.instances[one].pending);
        let (due, rest) = pending.into_iter().partition::<Vec<_>, _>(|pending| {
            let mut others = (0..INSTANCES).filter(|other| *other != one);
            others.any(|other| self.instances[other].log.get(pending.place) == Some(&pending.entry))
        });
        self.instances[one].pending = rest;
        for pending in due {
            self.acknowledge(one, pending);
        }
    }

    fn acknowledge(&mut self, one: usize, pending: Pending) {
        let replaced = |(at, term): &(u64, u32)| *term > pending.entry.term && pending.made > *at;
        if self.promotions.iter().any(replaced) {
            self.checker.on_two_primaries(pending.entry.id);
        }
        if self.is_cut(pending.node, one) || !self.is_awaited(&pending) {
            return;
        }
        // Judged as soon as the node would pass it on, though that takes a moment more.
        if self.passes_on(pending.node, one) {
            self.checker.on_acknowledged(self.now, pending.entry.id, pending.entry.term);
        }
        self.trace.note(self.now, || {
            let held: Vec<usize> = self.instances.iter().map(|one| one.log.len()).collect();
            format!("answered by i-{one}: {pending:?}; logs hold {held:?}")
        });
        let exchange = Exchange {
            node: pending.node,
            process: pending.process,
            instance: one,
            request: pending.request,
            sent: pending.sent,
            run: self.instances[one].run,
            work: Work::Write(pending.entry.id),
        };
        let term = Term(pending.entry.term);
        let position = self.instances[one].standing().received;
        self.send(Message::Answer(exchange, Reply::Committed(term, position)));
    }

    /// Whether the node still waits for the answer to a commit. One that has given the request up has told
    /// its caller that the outcome is in doubt, and has closed the connection: nobody hears the answer.
    fn is_awaited(&self, pending: &Pending) -> bool {
        let node = &self.nodes[pending.node];
        node.alive && node.process == pending.process && node.waiting.contains_key(&pending.request)
    }

    /// Whether a node and an instance do not reach each other.
    pub fn is_cut(&self, node: usize, instance: usize) -> bool {
        self.instances[instance].dark || self.is_active(FaultKind::CutLink(node, instance))
    }

    /// Whether the store answers nobody.
    fn is_store_down(&self) -> bool {
        let is_away =
            |one: &Planned| matches!(one.kind, FaultKind::StoreDown | FaultKind::PutBack(_));
        self.plan.iter().any(|one| is_away(one) && one.at <= self.now && self.now < one.until)
    }

    fn spread_views(&mut self) {
        if self.is_store_down() {
            return;
        }
        for node in 0..self.nodes.len() {
            let is_deaf = self.is_active(FaultKind::CutStore(node))
                || self.is_active(FaultKind::SilentWatch(node));
            let hears = self.nodes[node].alive && !is_deaf;
            if hears && self.seen[node] != self.store.position() {
                self.seen[node] = self.store.position();
                let mut view = self.store.view();
                view.nodes = self.nodes_shown_to(node, &view.nodes);
                let message = Message::View {
                    node,
                    process: self.nodes[node].process,
                    view,
                    announced: self.store.announced.clone(),
                    keys: self.store.keys.clone(),
                };
                self.send(message);
            }
        }
    }

    /// A message arrives; one for a node that stands still waits.
    pub fn deliver(&mut self, message: Message) {
        let addressee = match &message {
            Message::Answer(exchange, _) => Some((exchange.node, exchange.process)),
            Message::Called(call, ..) | Message::CallLost(call) => Some((call.node, call.process)),
            Message::View { node, process, .. } | Message::Promotion { node, process, .. } => {
                Some((*node, *process))
            }
            Message::GivenUp { to, .. }
            | Message::UnderWay { to, .. }
            | Message::Over { to, .. } => Some((*to, self.nodes[*to].process)),
            _ => None,
        };
        if let Some((node, process)) = addressee {
            if !self.nodes[node].alive || self.nodes[node].process != process {
                return;
            }
            if self.nodes[node].frozen {
                self.deferred.push((node, message));
                return;
            }
        }
        self.take_in(message);
    }

    /// Whether a message rode on a connection that has gone silent.
    fn is_silenced(&mut self, message: &Message) -> bool {
        let rides = matches!(
            message,
            Message::Request(_)
                | Message::Answer(..)
                | Message::Call(_)
                | Message::Called(..)
                | Message::GivenUp { .. }
                | Message::UnderWay { .. }
                | Message::Over { .. }
        );
        rides && self.is_active(FaultKind::Silence) && self.random.random_bool(SILENCED_SHARE)
    }

    fn take_in(&mut self, message: Message) {
        if self.is_silenced(&message) {
            return;
        }
        match message {
            Message::Request(exchange) => self.on_request(exchange),
            Message::Answer(exchange, reply) => self.on_answer(exchange, reply),
            Message::Call(call) => self.on_call(call),
            Message::Called(call, done, era) => self.on_called(call, done, era),
            Message::CallLost(call) => self.on_call_lost(call),
            Message::View { node, view, announced, keys, .. } => {
                let now = self.at(self.now);
                self.nodes[node].see(view, &announced, keys, now);
            }
            Message::Announce { instance } => self.announce(instance),
            Message::Promote { node, process, instance, fence } => {
                self.on_promote(node, process, instance, fence);
            }
            Message::Promotion { node, instance, answer, .. } => {
                let event = Event::Promoted { instance: instance_name(instance), answer };
                self.on_event(node, event);
            }
            Message::Leads { instance, born } if self.instances[instance].born == born => {
                self.on_leads(instance);
            }
            Message::Leads { .. } => {}
            Message::GivenUp { to, from, id, witness } => {
                let witnesses = self.nodes[to].given_up.entry(id).or_default();
                witnesses.add(&node_name(from), witness);
            }
            Message::UnderWay { to, intent, recorded } => {
                let (recorded, now) = (self.at(recorded), self.at(self.now));
                let age = now.saturating_duration_since(recorded);
                self.nodes[to].on_under_way(intent, age, now);
            }
            Message::Over { to, id, successor } => self.nodes[to].on_over(id, successor.as_ref()),
            Message::VotesExpire { node, process } => {
                let is_gone = self.nodes[node].process == process && !self.nodes[node].alive;
                let votes = self.store.keys.values_mut().map(|keys| keys.votes.remove(&node));
                let had_any = is_gone && votes.filter(Option::is_some).count() > 0;
                self.store.revision += u64::from(had_any);
            }
        }
    }

    fn on_call(&mut self, call: Call) {
        let is_reached = !self.is_store_down() && !self.is_active(FaultKind::CutStore(call.node));
        if !is_reached {
            return;
        }
        let loses = self.is_active(FaultKind::StoreLoses);
        if loses && self.random.random_bool(0.1) {
            let delay = self.random.random_range(200..600);
            self.send_after(delay, Message::Call(call));
            return;
        }
        let group = group_name();
        let place = (call.era, call.fence);
        let done = self.store.carry_out(call.node, place, &group, &call.operation, self.now);
        if !(loses && self.random.random_bool(0.3)) {
            let era = self.store.era;
            self.send(Message::Called(call, done, era));
        }
    }

    /// Sends a change to the store; one without an answer is taken for lost after a while.
    pub fn call(&mut self, node: usize, fence: u64, operation: Operation) {
        let number = self.number();
        let process = self.nodes[node].process;
        // What is done under a hold belongs to the era of that.
        let era = if fence == 0 { self.nodes[node].view.era } else { StoreEra::of(fence) };
        let call = Call { node, process, number, era, fence, operation, sent: self.now };
        self.calls.insert(number);
        self.send(Message::Call(call.clone()));
        self.send_after(CALL_LOST_AFTER_MS, Message::CallLost(call));
    }

    fn on_promote(&mut self, node: usize, process: u64, instance: usize, fence: u64) {
        if self.is_store_down() || self.is_active(FaultKind::CutStore(node)) {
            return;
        }
        let fence = if self.plant == Plant::FenceOfRevision { revision_of(fence) } else { fence };
        self.checker.on_fence(node, fence);
        self.trace.note(self.now, || format!("node {node} has i-{instance} promoted"));
        let answer = if self.instances[instance].alive {
            let born = self.instances[instance].born;
            self.send_after(PROMOTION_MS, Message::Leads { instance, born });
            PromotionAnswer::Accepted
        } else {
            PromotionAnswer::NotRunning
        };
        self.send(Message::Promotion { node, process, instance, answer });
    }

    /// The newest term that has been led, also by a process that is gone: the platform knows.
    pub fn newest_led(&self) -> u32 {
        let led = self.promotions.iter().map(|(_, term)| *term);
        led.chain(self.instances.iter().map(|one| one.term)).max().unwrap_or(0)
    }

    fn on_leads(&mut self, one: usize) {
        if !self.instances[one].alive || self.instances[one].role == Role::Primary {
            return;
        }
        let newest = self.newest_led();
        let instance = &mut self.instances[one];
        instance.role = Role::Primary;
        instance.term = instance.held.max(newest + 1);
        instance.held = 0;
        instance.outdated = None;
        let (term, commits) = (instance.term, instance.commits());
        if self.releases_all {
            self.instances.iter_mut().for_each(|one| one.held = 0);
        }
        self.promotions.push((self.now, term));
        self.trace
            .note(self.now, || format!("i-{one} leads term {term} with {} commits", commits.len()));
        self.checker.on_promoted(self.now, term, commits);
        self.announce(one);
    }

    fn judge_end(&mut self) {
        let recently = self.checker.last_acknowledged().unwrap_or(0) + RECENTLY_MS >= LENGTH_MS;
        if !recently {
            self.checker.on_stuck("no write is acknowledged");
        }
        if self.instances.iter().any(|one| one.role == Role::Replica && one.held > 0) {
            self.checker.on_stuck("a replica stays stopped");
        }
        if !intents_of(&self.store.keys).is_empty() {
            self.checker.on_stuck("an intent stays");
        }
        if let Some(one) = self.leading() {
            let commits = self.instances[one].commits();
            self.checker.on_end(&commits);
        }
    }
}
