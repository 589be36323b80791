//! The simulated world: advances virtual time in steps of one millisecond, applies the planned
//! faults, delivers messages with latencies, and models the platform that promotes instances.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Instant;

use kestrellock_core::position::Term;
use kestrellock_core::promotion::{Event, PromotionAnswer};
use kestrellock_core::routing::Role;
use kestrellock_core::store_era::{StoreEra, revision_of};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::aimed::AimedFaults;
use crate::checker::{Checker, Violation};
use crate::instances::{FIRST_INCARNATION, Instance, Pending, replicate};
use crate::listing::Listing;
use crate::messages::{Call, Exchange, Message, Reply, Work};
use crate::node::{Node, group_name, instance_name, instant};
use crate::partitions::Partitions;
use crate::plan::{FaultKind, Faults, Planned, PlantedFault, draw};
use crate::returns::{MAX_REANNOUNCE_DELAY_MS, StoreCopies, unfinished_intents};
use crate::store::{Announced, Contents, Operation, node_name};
use crate::trace::Trace;
use crate::traffic::ClientRequest;
use crate::unlisted::UnlistedInstance;
use crate::variations;

/// Length of a run in virtual time.
pub const RUN_LENGTH_MS: u64 = 14_000;
const INSTANCES: usize = 3;
const NODES: usize = 4;
/// Interval at which replicas receive from their primary.
const REPLICATION_INTERVAL_MS: u64 = 3;
/// Interval between two steps of a node.
const NODE_STEP_INTERVAL_MS: u64 = 5;
/// Timeout of a node's call to the store.
pub const CALL_TIMEOUT_MS: u64 = 250;
/// Minimum downtime of a crashed instance.
const MIN_RESTART_MS: u64 = 600;
/// Time that the platform needs for a promotion.
const PROMOTION_MS: u64 = 300;
/// Share of messages that are lost while connections go silent; some connections keep working.
const SILENT_MESSAGE_SHARE: f64 = 0.7;
/// The last commit must have been acknowledged within this time before the end of the run.
const MAX_FINAL_PAUSE_MS: u64 = 1_000;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Number of acknowledged commits.
    pub acknowledged: u64,
    /// Number of checked reads.
    pub reads: u64,
    /// Number of finished promotions.
    pub promotions: u64,
    /// Number of messages that arrived after they had been held.
    pub late_arrivals: u64,
    /// The planned faults.
    pub plan: Vec<Planned>,
}

/// One simulation run.
pub struct World {
    /// Current virtual time, in milliseconds.
    pub now: u64,
    base: Instant,
    /// Seeded random number generator.
    pub rng: StdRng,
    /// Fault in the code under test that the checker must detect.
    pub planted_fault: PlantedFault,
    /// The planned faults.
    pub plan: Vec<Planned>,
    releases_all: bool,
    /// Whether nodes open further connections to instances from time to time.
    pub opens_connections: bool,
    /// Whether the coordinator's notifications reach the other nodes.
    pub coordinator_notifies: bool,
    /// Instances by index.
    pub instances: Vec<Instance>,
    /// Nodes by number.
    pub nodes: Vec<Node>,
    /// Clients' requests that wait at each node.
    pub requests: Vec<Vec<ClientRequest>>,
    /// When each node last wrote its votes to the store.
    pub votes_published_at: Vec<u64>,
    /// Numbers of calls to the store that have not been answered.
    pub pending_calls: BTreeSet<u64>,
    /// Store operations to retry, with the time of the retry, by node.
    pub retries: BTreeMap<usize, (u64, Operation)>,
    /// The store.
    pub store: Contents,
    /// Copies of the store that are restored later.
    pub copies: StoreCopies,
    /// How nodes learn which nodes there are.
    pub listing: Listing,
    /// Position of the store that was last sent to each node.
    pub sent_positions: Vec<u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    messages: BTreeMap<u64, Message>,
    /// Messages for frozen nodes.
    pub deferred: Vec<(usize, Message)>,
    last_number: u64,
    /// Checks the guarantees.
    pub checker: Checker,
    promotions: Vec<(u64, u32)>,
    /// Messages that partitions hold.
    pub partitions: Partitions,
    /// Faults that begin when a coordinator sends a promotion.
    pub aimed: Option<AimedFaults>,
    /// An instance that receives commits and is not in the store.
    pub unlisted: Option<UnlistedInstance>,
    /// Length of the run in virtual time.
    pub run_length: u64,
    /// Recorded events of the run.
    pub trace: Trace,
}

impl World {
    /// Creates the run of a seed.
    pub fn new(seed: u64, faults: Faults, planted_fault: PlantedFault) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let plan = draw(faults, INSTANCES, NODES, &mut rng);
        Self::of_plan(plan, rng, faults, planted_fault)
    }

    /// Creates one of many variations of a seed.
    pub fn variation_of(seed: u64, variation: u64, faults: Faults) -> Self {
        let mut plan = draw(faults, INSTANCES, NODES, &mut StdRng::seed_from_u64(seed));
        let mut rng = variations::rng(seed, variation);
        variations::shift_faults(&mut plan, &mut rng);
        Self::of_plan(plan, rng, faults, PlantedFault::None)
    }

    fn of_plan(
        mut plan: Vec<Planned>,
        rng: StdRng,
        faults: Faults,
        planted_fault: PlantedFault,
    ) -> Self {
        for planned in &mut plan {
            let is_quick =
                faults.quick_restarts && matches!(planned.kind, FaultKind::CrashWithDataLoss(_));
            let is_crash =
                matches!(planned.kind, FaultKind::Crash(_) | FaultKind::CrashWithDataLoss(_));
            if is_crash && !is_quick {
                planned.until = planned.until.max(planned.at + MIN_RESTART_MS);
            }
        }
        let announced = (0..INSTANCES).map(|index| Announced {
            leads: index == 0,
            leaving: false,
            incarnation: FIRST_INCARNATION,
        });
        let mut store =
            Contents { revision: 1, announced: announced.collect(), ..Contents::default() };
        if faults.nodes_join {
            store.nodes.extend((0..NODES).map(node_name));
        }
        let base = Instant::now();
        let mut nodes: Vec<Node> = (0..NODES).map(|number| Node::new(number, 0, base)).collect();
        if !faults.full_restart {
            nodes.iter_mut().for_each(|node| node.has_watched_since(&store.announced, base));
        }
        let listing = if faults.nodes_join { Listing::Registered } else { Listing::Fixed };
        if faults.nodes_join {
            let mut joining = Node::new(NODES, 0, base);
            joining.alive = false;
            nodes.push(joining);
        }
        let count = nodes.len();
        Self {
            now: 0,
            base,
            rng,
            planted_fault,
            plan,
            releases_all: faults.releases_all,
            opens_connections: faults.opens_connections,
            coordinator_notifies: faults.coordinator_notifies,
            instances: (0..INSTANCES).map(|index| Instance::new(index == 0)).collect(),
            nodes,
            requests: vec![Vec::new(); count],
            votes_published_at: vec![0; count],
            pending_calls: BTreeSet::new(),
            retries: BTreeMap::new(),
            store,
            copies: StoreCopies::default(),
            sent_positions: vec![0; count],
            listing,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            deferred: Vec::new(),
            last_number: 0,
            checker: Checker::default(),
            promotions: Vec::new(),
            partitions: Partitions::default(),
            aimed: None,
            unlisted: None,
            run_length: RUN_LENGTH_MS,
            trace: Trace::default(),
        }
    }

    /// Adds a planted fault.
    pub fn with_planted_fault(self, planted_fault: PlantedFault) -> Self {
        Self { planted_fault, ..self }
    }

    /// Adds faults to the plan.
    pub fn with_faults(mut self, faults: impl IntoIterator<Item = Planned>) -> Self {
        self.plan.extend(faults);
        self
    }

    /// Enables the trace.
    pub fn traced(self) -> Self {
        Self { trace: Trace::enabled(), ..self }
    }

    /// Runs the simulation to its end.
    pub fn run(self) -> Outcome {
        self.run_with_trace().0
    }

    /// Runs the simulation to its end and returns the trace lines as well.
    pub fn run_with_trace(mut self) -> (Outcome, Vec<String>) {
        while self.now < self.run_length {
            self.step();
            self.now += 1;
        }
        self.check_end_state();
        let outcome = Outcome {
            violations: self.checker.violations.clone(),
            acknowledged: self.checker.acknowledged(),
            reads: self.checker.reads,
            promotions: self.promotions.len() as u64,
            late_arrivals: self.partitions.late_arrivals,
            plan: self.plan,
        };
        (outcome, self.trace.lines().to_vec())
    }

    /// Converts a virtual time to the `Instant` that the code under test expects.
    pub fn at(&self, milliseconds: u64) -> Instant {
        instant(self.base, milliseconds)
    }

    /// Returns a number that is unique within the run.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sends a message with the random latency of the network.
    pub fn send(&mut self, message: Message) {
        let latency = self.rng.random_range(1..=5);
        self.send_after(latency, message);
    }

    /// Sends a message that arrives after `delay` milliseconds.
    pub fn send_after(&mut self, delay: u64, message: Message) {
        let number = self.next_number();
        self.queue.push(Reverse((self.now + delay, number)));
        self.messages.insert(number, message);
    }

    /// Whether a fault of this kind is active.
    pub fn is_active(&self, kind: FaultKind) -> bool {
        self.plan
            .iter()
            .any(|fault| fault.kind == kind && fault.at <= self.now && self.now < fault.until)
    }

    fn step(&mut self) {
        self.apply_faults();
        self.store.expire(self.now);
        while let Some(Reverse((due, number))) = self.queue.peek().copied() {
            if due > self.now {
                break;
            }
            self.queue.pop();
            let message = self.messages.remove(&number).expect("each message is queued once");
            self.deliver(message);
        }
        if self.now.is_multiple_of(REPLICATION_INTERVAL_MS) {
            self.replicate();
        }
        self.publish_views();
        for node in 0..self.nodes.len() {
            if (self.now + node as u64).is_multiple_of(NODE_STEP_INTERVAL_MS)
                && self.nodes[node].is_running()
            {
                self.step_node(node);
            }
        }
    }

    /// The primary with the highest term.
    pub fn current_primary(&self) -> Option<usize> {
        let leads = |index: &usize| self.instances[*index].role == Role::Primary;
        (0..INSTANCES).filter(leads).max_by_key(|index| self.instances[*index].term)
    }

    /// An available instance writes its changed entry to the store.
    pub fn announce(&mut self, index: usize) {
        let instance = &self.instances[index];
        // The planted fault hides restarts.
        let incarnation = if self.planted_fault == PlantedFault::RestartsHidden {
            FIRST_INCARNATION
        } else {
            instance.incarnation
        };
        let announced = Announced {
            leads: instance.role == Role::Primary,
            leaving: instance.leaving,
            incarnation,
        };
        if instance.is_available() && self.store.announced[index] != announced {
            self.trace.record(self.now, || format!("i-{index} announces {announced:?}"));
            self.store.announced[index] = announced;
            self.store.revision += 1;
        }
    }

    /// An instance writes its entry again after a random delay.
    pub fn announce_later(&mut self, index: usize) {
        let delay = self.rng.random_range(10..MAX_REANNOUNCE_DELAY_MS);
        self.send_after(delay, Message::Announce { instance: index });
    }

    fn replicate(&mut self) {
        let is_cut = self.is_active(FaultKind::CutReplication);
        let are_apart = self.is_active(FaultKind::CutReplicasApart);
        let rng = &mut self.rng;
        let arrives = || rng.random_bool(0.7);
        let (now, planted_fault) = (self.now, self.planted_fault);
        if replicate(&mut self.instances, now, is_cut, are_apart, planted_fault, arrives) {
            (0..INSTANCES).for_each(|index| self.announce(index));
        }
        for index in 0..INSTANCES {
            if self.instances[index].is_available() {
                self.answer_commits(index);
            }
        }
    }

    fn answer_commits(&mut self, index: usize) {
        let pending = std::mem::take(&mut self.instances[index].pending);
        let is_received = self.unlisted_instance_receives(index);
        let (due, rest) = pending.into_iter().partition::<Vec<_>, _>(|pending| {
            let mut others = (0..INSTANCES).filter(|other| *other != index);
            is_received
                || others.any(|other| {
                    self.instances[other].log.get(pending.place) == Some(&pending.entry)
                })
        });
        self.instances[index].pending = rest;
        for pending in due {
            self.acknowledge(index, pending);
        }
    }

    fn acknowledge(&mut self, index: usize, pending: Pending) {
        let is_newer = |(at, term): &(u64, u32)| *term > pending.entry.term && pending.made > *at;
        if self.promotions.iter().any(is_newer) {
            self.checker.on_two_primaries(pending.entry.id);
        }
        if self.is_cut(pending.node, index) || !self.is_awaited(&pending) {
            return;
        }
        // Counts as acknowledged as soon as the node would pass it on, although the answer still
        // has to travel to the node.
        let term = Term(pending.entry.term);
        let is_acknowledged = self.acknowledges_at_once(pending.node, index, term);
        if is_acknowledged {
            self.checker.on_acknowledged(self.now, pending.entry.id, pending.entry.term);
        }
        self.trace.record(self.now, || {
            let log_lengths: Vec<usize> =
                self.instances.iter().map(|instance| instance.log.len()).collect();
            let knowledge = self.nodes[pending.node].describe_knowledge(self.now);
            format!(
                "answered by i-{index}: {pending:?}; acknowledged {is_acknowledged}; logs hold \
                 {log_lengths:?}; {knowledge}"
            )
        });
        let exchange = Exchange {
            node: pending.node,
            process: pending.process,
            instance: index,
            request: pending.request,
            sent: pending.sent,
            connection: pending.connection,
            work: Work::Write { commit: pending.entry.id, arrived: pending.arrived },
        };
        let term = Term(pending.entry.term);
        let position = self.instances[index].status().received;
        self.send(Message::Answer(exchange, Reply::Committed(term, position)));
    }

    /// Whether the node still waits for the answer to a commit. A node that has abandoned the
    /// request has told its client that the outcome is in doubt, and has closed the connection to
    /// the instance: the answer is lost.
    fn is_awaited(&self, pending: &Pending) -> bool {
        let node = &self.nodes[pending.node];
        node.alive
            && node.process == pending.process
            && node.pending_requests.contains_key(&pending.request)
    }

    /// Whether a node and an instance cannot reach each other.
    pub fn is_cut(&self, node: usize, instance: usize) -> bool {
        self.instances[instance].unreachable
            || self.is_active(FaultKind::CutLink(node, instance))
            || self.is_active(FaultKind::HoldRequests(node))
    }

    /// Whether the store answers no requests.
    fn is_store_down(&self) -> bool {
        let stops_store = |fault: &Planned| {
            matches!(fault.kind, FaultKind::StoreDown | FaultKind::StoreRestore(_))
        };
        self.plan
            .iter()
            .any(|fault| stops_store(fault) && fault.at <= self.now && self.now < fault.until)
    }

    fn publish_views(&mut self) {
        if self.is_store_down() {
            return;
        }
        for node in 0..self.nodes.len() {
            let misses_views = self.is_active(FaultKind::CutStore(node))
                || self.is_active(FaultKind::HoldStoreCalls(node))
                || self.is_active(FaultKind::SilentWatch(node));
            let receives = self.nodes[node].alive && !misses_views;
            if receives && self.sent_positions[node] != self.store.position() {
                self.sent_positions[node] = self.store.position();
                let mut view = self.store.view();
                view.requested_at = Some(self.at(self.now));
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

    /// Delivers a message. Messages to dead processes are dropped, those to a frozen node wait
    /// until it continues.
    pub fn deliver(&mut self, message: Message) {
        let addressee = match &message {
            Message::Answer(exchange, _) => Some((exchange.node, exchange.process)),
            Message::CallAnswered(call, ..) | Message::CallLost(call) => {
                Some((call.node, call.process))
            }
            Message::View { node, process, .. }
            | Message::ConnectionsClosed { node, process, .. }
            | Message::PromotionAnswered { node, process, .. }
            | Message::PromotionTimedOut { node, process, .. } => Some((*node, *process)),
            Message::EvidenceRevoked { to, .. }
            | Message::ReplacementStarted { to, .. }
            | Message::ReplacementFinished { to, .. }
            | Message::CallerQuery { to, .. }
            | Message::CallsEnded { to, .. }
            | Message::Probed { to, .. } => Some((*to, self.nodes[*to].process)),
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
        self.dispatch(message);
    }

    /// Whether a message is lost on a connection that has gone silent.
    fn is_lost_silently(&mut self, message: &Message) -> bool {
        let uses_connection = matches!(
            message,
            Message::Request(_)
                | Message::Answer(..)
                | Message::Call(_)
                | Message::CallAnswered(..)
                | Message::EvidenceRevoked { .. }
                | Message::ReplacementStarted { .. }
                | Message::ReplacementFinished { .. }
        );
        uses_connection
            && self.is_active(FaultKind::SilentConnections)
            && self.rng.random_bool(SILENT_MESSAGE_SHARE)
    }

    fn dispatch(&mut self, message: Message) {
        if self.is_lost_silently(&message) || self.is_cut_from_peers(&message) {
            return;
        }
        let Some(message) = self.hold(message) else { return };
        match message {
            Message::Request(exchange) => self.on_request(exchange),
            Message::Answer(exchange, reply) => self.on_answer(exchange, reply),
            Message::Call(call) => self.on_call(call),
            Message::CallAnswered(call, result, era) => self.on_call_answered(call, result, era),
            Message::CallLost(call) => self.on_call_lost(call),
            Message::View { node, view, announced, keys, .. } => {
                let now = self.at(self.now);
                self.nodes[node].view_received_at = Some(self.now);
                self.nodes[node].apply_view(view, &announced, keys, now);
            }
            Message::ConnectionsClosed { node, instance, instance_process, .. } => {
                self.nodes[node].on_connections_closed(instance, instance_process);
            }
            Message::Announce { instance } => self.announce(instance),
            Message::CallerQuery { from, to, caller } => self.answer_query(from, to, caller),
            Message::CallsEnded { to, caller, .. } => self.on_calls_ended(to, caller),
            Message::Probe { from, to } => self.on_probe(from, to),
            Message::Probed { from, to, result } => self.on_probed(to, from, result),
            Message::LateCall(call) => self.on_late_call(&call),
            Message::Promote { node, process, instance, fence, call } => {
                self.on_promote((node, process), instance, fence, call);
            }
            Message::PromotionTimedOut { node, instance, call, .. } => {
                self.on_promotion_timed_out(node, instance, call);
            }
            Message::PromotionAnswered { node, instance, call, answer, .. } => {
                if !self.on_promotion_answered(node, call, answer) {
                    return;
                }
                let event = Event::Promoted { instance: instance_name(instance), answer };
                self.on_event(node, event);
            }
            Message::PromotionDone { instance, incarnation }
                if self.instances[instance].incarnation == incarnation =>
            {
                self.on_promotion_done(instance);
            }
            Message::PromotionDone { .. } => {}
            Message::EvidenceRevoked { to, from, id, report } => {
                let received_at = self.at(self.now);
                let reports = self.nodes[to].revocation_reports.entry(id).or_default();
                reports.add(&node_name(from), report, received_at);
            }
            Message::ReplacementStarted { to, intent, recorded, .. } => {
                let (recorded, now) = (self.at(recorded), self.at(self.now));
                let age = now.saturating_duration_since(recorded);
                self.nodes[to].notified_at = Some(self.now);
                self.nodes[to].on_replacement_notified(intent, age, now);
            }
            Message::ReplacementFinished { to, id, successor, .. } => {
                self.nodes[to].notified_at = Some(self.now);
                self.nodes[to].on_replacement_finished(id, successor.as_ref());
                self.trace.record(self.now, || {
                    let knowledge = self.nodes[to].describe_knowledge(self.now);
                    format!(
                        "node {to} is notified of the end of {id:?}: {successor:?}; {knowledge}"
                    )
                });
            }
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
        let loses_answers = self.is_active(FaultKind::StoreLosesAnswers);
        if loses_answers && self.rng.random_bool(0.1) {
            let delay = self.rng.random_range(200..600);
            self.send_after(delay, Message::Call(call));
            return;
        }
        if self.is_executed_late(&call) {
            return;
        }
        let group = group_name();
        let lease = (call.era, call.fence);
        let expected = call.expected_intent;
        let result =
            self.store.apply(call.node, lease, &group, &call.operation, expected, self.now);
        if !(loses_answers && self.rng.random_bool(0.3)) {
            let era = self.store.era;
            self.send(Message::CallAnswered(call, result, era));
        }
    }

    /// Sends an operation to the store, with a timeout.
    pub fn call(&mut self, node: usize, fence: u64, operation: Operation) {
        let number = self.next_number();
        let process = self.nodes[node].process;
        // An operation under a coordinator lease belongs to the era of the lease.
        let era = if fence == 0 { self.nodes[node].view.era } else { StoreEra::of(fence) };
        let expected_intent = self.expected_intent(node, fence, &operation);
        let sent = self.now;
        let call = Call { node, process, number, era, fence, operation, expected_intent, sent };
        self.pending_calls.insert(number);
        self.send(Message::Call(call.clone()));
        self.send_after(CALL_TIMEOUT_MS, Message::CallLost(call));
    }

    fn on_promote(
        &mut self,
        (node, process): (usize, u64),
        instance: usize,
        fence: u64,
        call: u64,
    ) {
        if self.is_store_down() || self.is_active(FaultKind::CutStore(node)) {
            return;
        }
        let fence = if self.planted_fault == PlantedFault::RevisionAsFence {
            revision_of(fence)
        } else {
            fence
        };
        self.checker.on_fence(node, fence);
        self.trace.record(self.now, || format!("node {node} promotes i-{instance}, fence {fence}"));
        let answer = if self.instances[instance].alive {
            let incarnation = self.instances[instance].incarnation;
            self.send_after(PROMOTION_MS, Message::PromotionDone { instance, incarnation });
            PromotionAnswer::Accepted
        } else {
            PromotionAnswer::NotRunning
        };
        self.send(Message::PromotionAnswered { node, process, instance, call, answer });
    }

    /// The newest term that any process has led, including processes that have ended: the platform
    /// knows that term.
    pub fn newest_term(&self) -> u32 {
        let led = self.promotions.iter().map(|(_, term)| *term);
        led.chain(self.instances.iter().map(|instance| instance.term)).max().unwrap_or(0)
    }

    fn on_promotion_done(&mut self, index: usize) {
        if !self.instances[index].alive || self.instances[index].role == Role::Primary {
            return;
        }
        let newest = self.newest_term();
        let instance = &mut self.instances[index];
        instance.role = Role::Primary;
        instance.term = instance.min_term.max(newest + 1);
        instance.min_term = 0;
        instance.outdated_since = None;
        let (term, commits) = (instance.term, instance.commits());
        if self.releases_all {
            self.instances.iter_mut().for_each(|instance| instance.min_term = 0);
        }
        self.promotions.push((self.now, term));
        self.trace.record(self.now, || {
            format!("i-{index} leads term {term} with {} commits", commits.len())
        });
        self.checker.on_promoted(self.now, term, commits);
        self.announce(index);
        self.on_instance_leads(index);
    }

    fn check_end_state(&mut self) {
        let acknowledges =
            self.checker.last_acknowledged().unwrap_or(0) + MAX_FINAL_PAUSE_MS >= self.run_length;
        if !acknowledges {
            self.checker.on_not_recovered("writes are not acknowledged");
        }
        if self
            .instances
            .iter()
            .any(|instance| instance.role == Role::Replica && instance.min_term > 0)
        {
            self.checker.on_not_recovered("a replica stays stopped");
        }
        if !unfinished_intents(&self.store.keys).is_empty() {
            self.checker.on_not_recovered("an intent stays in the store");
        }
        if let Some(index) = self.current_primary() {
            let commits = self.instances[index].commits();
            self.checker.on_end(&commits);
        }
    }
}
