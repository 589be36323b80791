//! The instances, the coordinator, and the actions that change the world.

mod choices;

use crate::node::{
    Check, Connection, Node, NodeKind, OLD_TERM, Query, Write, WriteState, arrival_at, sent_at,
};

/// Lowest term that a stopped replica accepts.
const STOP_TERM: u32 = 2;
/// The term that the successor leads.
const SUCCESSOR_TERM: u32 = 3;
/// The commit of the successor in a log. The observed node's commits are the lower bits.
const SUCCESSOR_COMMIT: u8 = 0x80;
/// Time step in which the exploration begins. Evidence from the first step has expired by then.
pub const FIRST_TICK: u8 = 50;
/// Ages from this on do not differ in their effect: evidence has expired, and requests have been
/// abandoned.
pub const MAX_AGE_TICKS: u8 = 5;
/// Time steps for which a statement waits at most.
const MAX_STATEMENT_AGE_TICKS: u8 = 3;
/// Time steps that the platform takes at least to promote an instance.
const MIN_PROMOTION_TICKS: u8 = 1;

/// An instance of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum InstanceId {
    /// The old primary.
    P,
    /// A replica.
    R1,
    /// The other replica.
    R2,
    /// An instance that has joined, which the observed node does not list.
    X,
    /// Another one.
    Y,
}

use InstanceId::{P, R1, R2, X, Y};

/// What an instance reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Status {
    /// Whether it is primary.
    pub leads: bool,
    /// Its term.
    pub term: u32,
    /// Lowest term that it accepts; zero if it is not stopped.
    pub min_term: u32,
    /// Number of its process.
    pub process: u8,
}

/// One instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// Whether it runs.
    pub is_alive: bool,
    /// What it reports.
    pub status: Status,
    /// The commits that it has received.
    pub log: u8,
}

/// How far the coordinator has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No intent is recorded.
    Idle,
    /// The intent is recorded, and replicas are being stopped.
    Stopping,
    /// Enough have been stopped since that time step.
    Lapsing(u8),
    /// The promotion of the instance was sent in that time step.
    Promoting(InstanceId, u8),
    /// The instance leads.
    Led(InstanceId),
}

/// The coordinator, which is on the other side of the partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    /// How far it has come.
    pub phase: Phase,
    /// Instances that have confirmed their stop.
    stopped: [bool; 5],
    /// Whether every node that it knows has revoked its evidence.
    knows_revocation: bool,
    /// Whether the old primary has refused a connection since enough replicas were stopped.
    saw_refusal: bool,
    /// Whether it has had the old primary step down.
    has_demoted: bool,
    /// Number of attempts.
    attempt: u8,
}

/// The evidence of the observed node when the exploration begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// All of it has expired.
    Idle,
    /// A commit has just been answered.
    Commit,
    /// All replicas have just reported, and a replacement check found none.
    Reports,
    /// All of it has expired, and the store has just shown no replacement to a check whose result is
    /// under way.
    CheckRead,
}

/// Which worlds are explored.
#[derive(Clone, Copy, Debug)]
pub struct Scope {
    /// The evidence of the observed node at the beginning.
    pub start: Start,
    /// What the observed node is.
    pub node: NodeKind,
    /// Whether an instance has joined that the observed node does not list.
    pub has_joined_instance: bool,
    /// Whether a second one has joined, which the observed node does not list either.
    pub has_second_joined: bool,
    /// Whether the coordinator lists the instances that have joined.
    pub coordinator_lists_joined: bool,
    /// Replicas that are dead throughout.
    pub dead: &'static [InstanceId],
    /// Whether the observed node reaches the store.
    pub has_store: bool,
    /// Whether the observed node reaches every other listed node, which make replacement checks.
    pub has_peers: bool,
    /// Whether a primary is ever replaced.
    pub has_coordinator: bool,
    /// Whether answers may arrive later than they are sent.
    pub has_late_answers: bool,
    /// Whether results of replacement checks may arrive later than the requests are sent, even if other
    /// answers may not.
    pub has_late_checks: bool,
    /// Whether the coordinator may stop the replicas at different times.
    pub has_staggered_stops: bool,
    /// Whether attempts may be cancelled.
    pub has_cancellations: bool,
    /// Whether the coordinator goes on with an attempt that may have promoted an instance, so that
    /// it has the old primary step down at any time, and counts it as a replica then.
    pub has_early_demotion: bool,
    /// Whether the successor commits, or only the commits of the observed node matter.
    pub has_successor_commits: bool,
    /// Whether instances may follow the successor before it has a commit.
    pub has_early_followers: bool,
    /// Whether the observed node can learn of the intent.
    pub hears_of_intents: bool,
    /// Number of replica restarts that forget a stop.
    pub replica_restarts: u8,
    /// Number of crashes of the old primary, which returns with its log.
    pub primary_crashes: u8,
    /// Number of restarts of the observed node.
    pub node_restarts: u8,
    /// Number of writes of the observed node.
    pub writes: u8,
    /// First time step in which it sends one.
    pub first_write_tick: u8,
}

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time passes.
    TimePasses,
    /// The node queries an instance, which answers at once.
    Query(InstanceId),
    /// The node sends a query.
    SendQuery(InstanceId),
    /// The instance answers it.
    AnswerQuery(InstanceId),
    /// The answer arrives.
    ReceiveStatus(InstanceId),
    /// The node makes a replacement check.
    CheckStore,
    /// The node makes a replacement check whose result arrives later.
    SendCheck,
    /// The store reads the request.
    AnswerCheck,
    /// The result arrives.
    ReceiveCheck,
    /// The node sends a write to the old primary.
    SendWrite,
    /// The answer of the write arrives.
    ReceiveCommitAnswer,
    /// The node learns of the intent.
    LearnIntent,
    /// The coordinator hears that all nodes have revoked their evidence.
    HearRevocation,
    /// The node has received no notification of the intent for a while.
    ExpireIntent,
    /// The node learns how the replacement ended.
    LearnEnd,
    /// The instance receives the old primary's log.
    Replicate(InstanceId),
    /// The instance receives the successor's log.
    Follow(InstanceId),
    /// The successor commits, the instance receives it, and a client gets the answer.
    CommitAtSuccessor(InstanceId),
    /// The coordinator records its intent.
    RecordIntent,
    /// The coordinator stops an instance.
    Stop(InstanceId),
    /// The coordinator stops all replicas that it can stop.
    StopAll,
    /// The old primary refuses a connection of the coordinator.
    SeeRefusal,
    /// An instance is no longer stopped when the coordinator checks the stops.
    FailCheck,
    /// The stops are confirmed and the promotion of the instance is sent.
    Promote(InstanceId),
    /// The promotion takes effect and releases all replicas.
    TakeLead,
    /// The coordinator cancels the attempt and releases the replicas.
    CallOff,
    /// The old primary becomes a replica.
    Demote,
    /// A replica restarts with its log and forgets its stop.
    RestartReplica(InstanceId),
    /// The old primary ends.
    CrashPrimary,
    /// It returns with its log.
    ReturnPrimary,
    /// The observed node starts again.
    RestartNode,
}

/// A broken promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A statement would run on a log that lacks an acknowledged commit.
    Stale,
    /// The successor lacks a commit that the observed node acknowledged.
    Lost,
}

/// The whole state.
#[derive(Clone, Debug)]
pub struct World {
    /// Which worlds are explored.
    pub scope: Scope,
    now: u8,
    instances: [Instance; 5],
    coordinator: Coordinator,
    node: Node,
    /// Time step in which the successor's commit was acknowledged.
    successor_acknowledged: Option<u8>,
    /// Commits that the observed node has acknowledged.
    acknowledged: u8,
    writes: u8,
    replica_restarts: u8,
    primary_crashes: u8,
    node_restarts: u8,
}

impl World {
    /// A group that works, with an observed node that has been idle for long.
    pub fn new(scope: Scope) -> Self {
        let replica = Instance {
            is_alive: true,
            status: Status { leads: false, term: OLD_TERM.0, min_term: 0, process: 0 },
            log: 0,
        };
        let mut instances = [replica; 5];
        instances[P as usize].status.leads = true;
        instances[X as usize].is_alive = scope.has_joined_instance;
        instances[Y as usize].is_alive = scope.has_second_joined;
        for dead in scope.dead {
            instances[*dead as usize].is_alive = false;
        }
        let mut node = Node::new(scope.node, 0);
        match scope.start {
            Start::Idle => {}
            Start::Commit => node.evidence.on_commit(OLD_TERM, sent_at(FIRST_TICK)),
            Start::Reports => {
                for id in [R1, R2] {
                    node.on_status(id, instances[id as usize].status, FIRST_TICK, FIRST_TICK);
                }
                node.on_no_replacement(FIRST_TICK, FIRST_TICK);
            }
            Start::CheckRead => {
                node.on_check_started(FIRST_TICK);
                node.check = Some(Check { sent: FIRST_TICK, is_unreplaced: Some(true) });
            }
        }
        Self {
            scope,
            now: FIRST_TICK,
            instances,
            coordinator: Coordinator {
                phase: Phase::Idle,
                stopped: [false; 5],
                knows_revocation: false,
                saw_refusal: false,
                has_demoted: false,
                attempt: 0,
            },
            node,
            successor_acknowledged: None,
            acknowledged: 0,
            writes: 0,
            replica_restarts: 0,
            primary_crashes: 0,
            node_restarts: 0,
        }
    }

    fn at(&self, id: InstanceId) -> &Instance {
        &self.instances[id as usize]
    }

    fn at_mut(&mut self, id: InstanceId) -> &mut Instance {
        &mut self.instances[id as usize]
    }

    fn successor(&self) -> Option<InstanceId> {
        match self.coordinator.phase {
            Phase::Led(successor) => Some(successor),
            _ => None,
        }
    }

    /// Whether the observed node has acknowledged a commit.
    pub fn has_acknowledged(&self) -> bool {
        self.acknowledged != 0
    }

    /// Whether the observed node serves a statement that arrived for the old primary right before the
    /// first time step in which it may send a write.
    pub fn serves_read(&self) -> bool {
        let first = self.scope.first_write_tick.max(FIRST_TICK);
        let coverage = self.node.coverage(self.at(P).status.process, self.now);
        self.now >= first && coverage.is_some_and(|coverage| coverage.until >= sent_at(first))
    }

    /// The broken promise, if there is one, and what was believed.
    pub fn violation(&self) -> Option<(Violation, String)> {
        if let Some(successor) = self.successor().filter(|successor| *successor != P) {
            let missing = self.acknowledged & !self.at(successor).log;
            if missing != 0 {
                return Some((Violation::Lost, format!("commits {missing:b} at {successor:?}")));
            }
        }
        let acknowledged = self.successor_acknowledged?;
        // The oldest statement that must see the commit and still waits.
        let arrived = acknowledged.max(self.now - MAX_STATEMENT_AGE_TICKS);
        let old = self.at(P);
        let coverage = self.node.coverage(old.status.process, self.now)?;
        let is_successor = self.successor() == Some(P);
        let is_stale = !is_successor && old.is_alive && coverage.until >= arrival_at(arrived);
        is_stale.then(|| {
            let age = sent_at(self.now).saturating_duration_since(coverage.requested_at);
            (Violation::Stale, format!("{:?}, {} ms old", coverage.kind, age.as_millis()))
        })
    }

    /// What may happen next.
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::with_capacity(24);
        actions.push(Action::TimePasses);
        self.node_actions(&mut actions);
        self.instance_actions(&mut actions);
        if self.scope.has_coordinator {
            self.coordinator_actions(&mut actions);
        }
        actions
    }

    /// The world after the action.
    pub fn after(&self, action: Action) -> Self {
        let mut next = self.clone();
        next.apply(action);
        if next.node.confirms_waiting_commit()
            && let Some(write) = next.node.write.take()
        {
            next.acknowledged |= write.commit;
        }
        next
    }

    fn apply(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::TimePasses => self.pass_time(),
            Action::Query(id) => {
                let status = self.at(id).status;
                self.node.on_status(id, status, now, now);
            }
            Action::SendQuery(id) => {
                self.node.queries[id as usize] = Some(Query { sent: now, answer: None });
            }
            Action::AnswerQuery(id) => {
                let answer = Some(self.at(id).status);
                if let Some(query) = &mut self.node.queries[id as usize] {
                    query.answer = answer;
                }
            }
            Action::ReceiveStatus(id) => {
                if let Some(Query { sent, answer: Some(status) }) =
                    self.node.queries[id as usize].take()
                {
                    self.node.on_status(id, status, sent, now);
                }
            }
            Action::CheckStore => {
                self.node.on_check_started(now);
                self.node.on_no_replacement(now, now);
            }
            Action::SendCheck => {
                self.node.check = Some(Check { sent: now, is_unreplaced: None });
                self.node.on_check_started(now);
            }
            Action::AnswerCheck => {
                let answer = Some(self.coordinator.phase == Phase::Idle);
                if let Some(check) = &mut self.node.check {
                    check.is_unreplaced = answer;
                }
            }
            Action::ReceiveCheck => {
                if let Some(check) = self.node.check.take()
                    && check.is_unreplaced == Some(true)
                {
                    self.node.on_no_replacement(check.sent, now);
                }
            }
            Action::SendWrite => self.send_write(),
            Action::ReceiveCommitAnswer => self.receive_commit_answer(),
            Action::LearnIntent => self.node.on_intent(self.coordinator.attempt, now),
            Action::HearRevocation => self.coordinator.knows_revocation = true,
            Action::ExpireIntent => self.node.on_intent_over(false),
            Action::LearnEnd => self.learn_end(),
            Action::Replicate(id) => self.replicate(id),
            Action::Follow(id) => self.follow(id),
            Action::CommitAtSuccessor(id) => {
                if let Some(successor) = self.successor() {
                    self.at_mut(successor).log |= SUCCESSOR_COMMIT;
                    self.follow(id);
                    self.successor_acknowledged = Some(now);
                }
            }
            Action::RestartReplica(id) => {
                self.at_mut(id).status.min_term = 0;
                self.replica_restarts += 1;
            }
            Action::CrashPrimary => self.crash_primary(),
            Action::ReturnPrimary => self.return_primary(),
            Action::RestartNode => {
                self.node.restart(self.scope.has_store);
                self.node_restarts += 1;
            }
            _ => self.apply_coordinator(action),
        }
    }

    /// Time passes. What has waited for too long is abandoned.
    fn pass_time(&mut self) {
        self.now += 1;
        let is_recent = |tick: u8| self.now - tick < MAX_AGE_TICKS;
        let node = &mut self.node;
        node.queries = node.queries.map(|query| query.filter(|query| is_recent(query.sent)));
        node.check = node.check.filter(|check| is_recent(check.sent));
        node.write = node.write.filter(|write| match write.state {
            WriteState::Unconfirmed(answered) => is_recent(answered),
            WriteState::AtPrimary | WriteState::Answered => true,
        });
    }

    fn apply_coordinator(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::RecordIntent => {
                self.coordinator.phase = Phase::Stopping;
                self.coordinator.attempt += 1;
            }
            Action::Stop(id) => self.stop(&[id]),
            Action::StopAll => {
                let all: Vec<InstanceId> = self.stoppable().collect();
                self.stop(&all);
            }
            Action::SeeRefusal => self.coordinator.saw_refusal = true,
            Action::FailCheck => {
                for (stopped, own) in self.coordinator.stopped.iter_mut().zip(&self.instances) {
                    *stopped &= own.is_alive && own.status.min_term == STOP_TERM;
                }
                self.coordinator.saw_refusal = false;
                self.coordinator.knows_revocation &=
                    !self.scope.node.proposed.revocations_follow_stops;
                self.coordinator.phase = match self.are_enough_stopped() {
                    true => Phase::Lapsing(now),
                    false => Phase::Stopping,
                };
            }
            Action::Promote(chosen) => {
                self.coordinator.phase = Phase::Promoting(chosen, now);
            }
            Action::TakeLead => self.take_lead(),
            Action::CallOff => {
                self.release();
                self.coordinator.phase = Phase::Idle;
                self.coordinator.stopped = [false; 5];
                self.coordinator.knows_revocation = false;
                self.coordinator.saw_refusal = false;
            }
            Action::Demote => {
                self.at_mut(P).status.leads = false;
                self.coordinator.has_demoted = true;
                self.lose_write();
            }
            _ => {}
        }
    }

    fn stop(&mut self, instances: &[InstanceId]) {
        for id in instances {
            self.at_mut(*id).status.min_term = STOP_TERM;
            self.coordinator.stopped[*id as usize] = true;
        }
        if self.are_enough_stopped() {
            self.coordinator.phase = Phase::Lapsing(self.now);
        }
    }

    fn send_write(&mut self) {
        let commit = 1 << self.writes;
        self.writes += 1;
        self.at_mut(P).log |= commit;
        let process = self.at(P).status.process;
        let state = WriteState::AtPrimary;
        self.node.write = Some(Write { commit, sent: self.now, process, state });
    }

    /// The old primary no longer answers a write that waits for a replica.
    fn lose_write(&mut self) {
        let is_waiting = |write: &Write| write.state == WriteState::AtPrimary;
        self.node.write = self.node.write.filter(|write| !is_waiting(write));
    }

    fn learn_end(&mut self) {
        if self.successor().is_some() {
            self.node.evidence.on_term_led(kestrellock_core::position::Term(SUCCESSOR_TERM));
        }
        self.node.on_intent_over(true);
    }

    fn replicate(&mut self, id: InstanceId) {
        let log = self.at(P).log;
        self.at_mut(id).log = log;
        if let Some(write) = self.node.write.as_mut()
            && write.state == WriteState::AtPrimary
        {
            write.state = WriteState::Answered;
            if !self.scope.has_late_answers {
                self.receive_commit_answer();
            }
        }
    }

    fn receive_commit_answer(&mut self) {
        let commit = self.node.write.map_or(0, |write| write.commit);
        if self.node.on_commit_answer(self.now) {
            self.acknowledged |= commit;
        }
    }

    fn follow(&mut self, id: InstanceId) {
        let Some(successor) = self.successor() else { return };
        let log = self.at(successor).log;
        let own = self.at_mut(id);
        own.log = log;
        own.status.term = SUCCESSOR_TERM;
        own.status.min_term = 0;
    }

    fn take_lead(&mut self) {
        let Phase::Promoting(successor, _) = self.coordinator.phase else { return };
        self.release();
        let own = self.at_mut(successor);
        own.status.leads = true;
        own.status.term = SUCCESSOR_TERM;
        self.coordinator.phase = Phase::Led(successor);
    }

    fn release(&mut self) {
        for own in &mut self.instances {
            own.status.min_term = 0;
        }
    }

    fn crash_primary(&mut self) {
        self.primary_crashes += 1;
        self.at_mut(P).is_alive = false;
        self.lose_write();
        let unanswered = |query: &Query| query.answer.is_none();
        let query = &mut self.node.queries[P as usize];
        *query = query.filter(|query| !unanswered(query));
    }

    fn return_primary(&mut self) {
        let is_replaced = self.successor().is_some();
        let old = self.at_mut(P);
        old.is_alive = true;
        old.status.process += 1;
        old.status.leads &= !is_replaced;
    }

    /// A text that is equal for states with the same future, with times relative to now.
    pub fn render(&self, text: &mut String) {
        use std::fmt::Write as _;
        let age = |tick: u8| (self.now - tick).min(MAX_AGE_TICKS);
        let phase = match self.coordinator.phase {
            Phase::Lapsing(since) => Phase::Lapsing(age(since)),
            Phase::Promoting(chosen, since) => Phase::Promoting(chosen, age(since)),
            other => other,
        };
        let coordinator = Coordinator { phase, ..self.coordinator };
        let node = &self.node;
        let queries = node
            .queries
            .map(|query| query.map(|query| Query { sent: age(query.sent), answer: query.answer }));
        let write = node.write.map(|write| {
            let state = match write.state {
                WriteState::Unconfirmed(tick) => WriteState::Unconfirmed(age(tick)),
                other => other,
            };
            Write { sent: age(write.sent), state, ..write }
        });
        let counters = [
            self.writes,
            self.replica_restarts,
            self.primary_crashes,
            self.node_restarts,
            self.acknowledged,
            self.scope.first_write_tick.saturating_sub(self.now),
        ];
        let connection = node.connection.map(|connection| Connection {
            established: age(connection.established),
            ..connection
        });
        let check = node.check.map(|check| Check { sent: age(check.sent), ..check });
        let ages =
            [self.successor_acknowledged, node.revoked_at].map(|tick| tick.map_or(u8::MAX, age));
        write!(
            text,
            "{:?}{coordinator:?}{counters:?}{ages:?}{check:?}{connection:?}{queries:?}{write:?}{:?}{:?}{}",
            self.instances, node.led, node.current_led, node.needs_confirmation
        )
        .expect("writing to a string does not fail");
        let mut evidence = String::with_capacity(512);
        write!(evidence, "{:?}{:?}", node.evidence, node.process)
            .expect("writing to a string does not fail");
        crate::explorer::push_relative(&evidence, sent_at(self.now), text);
    }
}

fn ticks_of(time: std::time::Duration) -> u8 {
    (time.as_millis() / crate::node::TICK.as_millis()) as u8
}
