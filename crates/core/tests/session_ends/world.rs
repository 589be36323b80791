//! Nodes, some of which stop, and clients that connect to another node when their session ends.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use kestrellock_core::outcome::{Execution, ResultCode};
use kestrellock_core::planned_stop::{StopLimits, StopSchedule};
use kestrellock_core::session_end::DisconnectNotice;

use crate::client::{Client, Habit, Reaction, STARTUP_TIMEOUT, State};
use crate::link::Link;
use crate::messages::{
    ConnectionId, FromClient, FromNode, Outcome, RequestId, RequestRecord, Statement, Transaction,
};
use crate::random::SeededRandom;
use crate::session::{Flow, Io, Rules, Session};

/// Time after which clients ask nothing more.
const TRAFFIC_MS: u64 = 14_000;
/// Time after which every request has ended, on nodes that do not stop as well.
const END_MS: u64 = 30_000;
/// Time after the start of a stop until new connections no longer go to the node.
const READINESS_DELAY_MS: u64 = 2000;
/// Longest time until a leaving node's listener is closed.
const LISTENER_CLOSE_MS: u64 = 200;

/// What varies between runs beside the seed.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub rules: Rules,
    pub notice: DisconnectNotice,
    pub nodes: usize,
    pub stopping: usize,
    pub clients: usize,
    /// Longest delay of a link in one direction.
    pub max_delay: u64,
    /// Longest period in which a direction of a link transmits nothing.
    pub max_stall: u64,
    /// All clients are idle, so that most of them get the notice between requests.
    pub all_rest: bool,
}

/// A broken guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A connection closed without an answer or a refusal of a whole request.
    Unanswered { request: RequestId, node: usize, after_sending: u64, since_stop: i64 },
    /// A request had no end when the run was over.
    Endless(RequestId),
    /// A request that was refused as not run took effect.
    RanAlthoughRefused(RequestId, ResultCode),
    /// A client got a message that answers nothing, or another request.
    Unexpected(ConnectionId, FromNode),
    /// A transaction began after its node had begun to leave.
    BegunWhileLeaving(RequestId),
    /// A request was unfinished at the end of the stop.
    UnfinishedAtEnd(RequestId),
    /// A session was left at the end of the stop, although its client had time to close it.
    NotDrained { node: usize, connection: ConnectionId },
    /// One tick sent notices to too many clients.
    Burst { node: usize, told: usize, sessions: usize, gap: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Timer { client: usize, number: u64 },
    Tick(usize),
    Wake(ConnectionId),
    ToNode(ConnectionId, usize),
    ToClient(ConnectionId, usize),
    Stop(usize),
    Leave(usize),
    CloseListener(usize),
    End(usize),
}

#[derive(Debug)]
struct Connection {
    client: usize,
    node: usize,
    up: Link,
    down: Link,
    sent_by_client: Vec<FromClient>,
    sent_by_node: Vec<FromNode>,
    is_closed_by_client: bool,
}

#[derive(Debug)]
struct Node {
    /// Longest time by which a turn of the node is late.
    lateness: u64,
    schedule: Option<StopSchedule>,
    stop_at: Option<u64>,
    is_leaving: bool,
    is_listening: bool,
    has_ended: bool,
    last_tick: u64,
    sessions: BTreeMap<ConnectionId, Session>,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub violations: Vec<Violation>,
    pub requests: usize,
    pub answered: usize,
    pub refused: usize,
    /// Sessions at the end of a stop whose clients could not close them in time.
    pub late_closes: usize,
    /// Largest share of a node's sessions that got the notice in one tick.
    pub largest_burst: f64,
    /// Longest time from the start of a stop until the node had no sessions.
    pub longest_drain: u64,
}

/// The state of a run.
pub struct World {
    setup: Setup,
    limits: StopLimits,
    epoch: Instant,
    now: u64,
    random: SeededRandom,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    nodes: Vec<Node>,
    clients: Vec<Client>,
    connections: Vec<Connection>,
    records: Vec<RequestRecord>,
    report: Report,
}

impl World {
    pub fn new(seed: u64, setup: Setup) -> Self {
        let mut random = SeededRandom(seed);
        let limits = StopLimits {
            notice: Duration::from_millis(2300),
            transactions: Some(Duration::from_millis(2850)),
            total: Duration::from_millis(5700),
        };
        let nodes = (0..setup.nodes).map(|_| Node::new(&mut random)).collect();
        let habits = [Habit::Busy, Habit::Resting, Habit::SingleOperation, Habit::InOneGo];
        let clients = (0..setup.clients)
            .map(|_| {
                let habit = habits[random.between(0, 3) as usize];
                Client::new(if setup.all_rest { Habit::Resting } else { habit }, &mut random)
            })
            .collect();
        let mut world = Self {
            setup,
            limits,
            epoch: Instant::now(),
            now: 0,
            random,
            events: BinaryHeap::new(),
            next_event: 0,
            nodes,
            clients,
            connections: Vec::new(),
            records: Vec::new(),
            report: Report::default(),
        };
        world.schedule_start();
        world
    }

    fn schedule_start(&mut self) {
        let together = self.random.happens(50);
        let first = self.random.between(3000, 5000);
        for node in 0..self.nodes.len() {
            self.at(0, Event::Tick(node));
        }
        for node in 0..self.setup.stopping {
            let later = if together { 0 } else { self.random.between(0, 3000) };
            self.at(first + later, Event::Stop(node));
        }
        for client in 0..self.clients.len() {
            let start = self.random.between(0, 1000);
            self.set_timer(client, start);
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((time.max(self.now), self.next_event, event)));
    }

    fn set_timer(&mut self, client: usize, delay: u64) {
        self.clients[client].timer += 1;
        let number = self.clients[client].timer;
        self.at(self.now + delay, Event::Timer { client, number });
    }

    /// Runs to the end and reports what was seen.
    pub fn run(mut self) -> Report {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > END_MS {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.check_records();
        self.report
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Timer { client, number } if self.clients[client].timer == number => {
                self.on_timer(client);
            }
            Event::Timer { .. } => {}
            Event::Tick(node) => self.on_tick(node),
            Event::Wake(connection) => {
                let node = self.connections[connection].node;
                let clock = self.clock(node);
                self.advance(connection, clock);
            }
            Event::ToNode(connection, index) => self.on_input(connection, index),
            Event::ToClient(connection, index) => self.on_output(connection, index),
            Event::Stop(node) => self.stop(node),
            Event::Leave(node) => {
                self.nodes[node].is_leaving = true;
                let delay = self.random.between(0, LISTENER_CLOSE_MS);
                self.at(self.now + delay, Event::CloseListener(node));
            }
            Event::CloseListener(node) => self.nodes[node].is_listening = false,
            Event::End(node) => self.end(node),
        }
    }

    /// The time that a node's turn uses, which may be older than the present.
    fn clock(&mut self, node: usize) -> Instant {
        let age = self.random.between(0, self.nodes[node].lateness / 2);
        self.epoch + Duration::from_millis(self.now.saturating_sub(age))
    }

    // The side of the clients.

    fn on_timer(&mut self, client: usize) {
        match self.clients[client].state {
            State::Away if self.now > TRAFFIC_MS => self.clients[client].state = State::Done,
            State::Away => self.connect(client),
            State::Starting(connection, request) => {
                if let Some(request) = request {
                    self.records[request].outcome = Outcome::GivenUp;
                }
                self.close_by_client(connection);
            }
            State::Resting(connection) => self.ask(client, connection),
            State::Asking(..) | State::Done => {}
        }
    }

    fn connect(&mut self, client: usize) {
        let node = self.choose_node();
        let delay = match self.random.between(0, 3) {
            0 => self.random.between(1, self.setup.max_delay),
            _ => self.random.between(1, self.setup.max_delay.min(60)),
        };
        let jitter = delay / 8;
        let (up_stalls, down_stalls) = (self.stalls(), self.stalls());
        let connection = self.connections.len();
        self.connections.push(Connection {
            client,
            node,
            up: Link::new(delay, jitter, up_stalls),
            down: Link::new(delay, jitter, down_stalls),
            sent_by_client: Vec::new(),
            sent_by_node: Vec::new(),
            is_closed_by_client: false,
        });
        self.send_to_node(connection, FromClient::Connect);
        self.send_to_node(connection, FromClient::Startup);
        self.clients[client].choose_operation(&mut self.random);
        let request = match self.clients[client].habit {
            Habit::InOneGo => self.send_next(client, connection),
            _ => None,
        };
        self.clients[client].state = State::Starting(connection, request);
        self.set_timer(client, STARTUP_TIMEOUT);
    }

    /// Periods in which one direction of a connection transmits nothing.
    fn stalls(&mut self) -> Vec<(u64, u64)> {
        if self.setup.max_stall == 0 || !self.random.happens(20) {
            return Vec::new();
        }
        let mut stalls = Vec::new();
        let mut from = self.now + self.random.between(0, 3000);
        while from < self.now + 12_000 {
            let until = from + self.random.between(1, self.setup.max_stall);
            stalls.push((from, until));
            from = until + self.random.between(1500, 4000);
        }
        stalls
    }

    fn choose_node(&mut self) -> usize {
        let is_ready =
            |node: &Node| node.stop_at.is_none_or(|stop| self.now < stop + READINESS_DELAY_MS);
        let ready: Vec<usize> =
            (0..self.nodes.len()).filter(|node| is_ready(&self.nodes[*node])).collect();
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        let chosen = if ready.len() * 2 < all.len() { all } else { ready };
        chosen[self.random.between(0, chosen.len() as u64 - 1) as usize]
    }

    /// Sends the next statement of the client's operation, if there is one.
    fn send_next(&mut self, client: usize, connection: ConnectionId) -> Option<RequestId> {
        let statement = self.clients[client].operation.pop_front()?;
        let request = self.records.len();
        self.records.push(RequestRecord {
            statement,
            connection,
            sent_at: self.now,
            outcome: Outcome::Waiting,
            took_effect: false,
        });
        if self.random.happens(10) {
            self.send_to_node(connection, FromClient::Part);
        }
        self.send_to_node(connection, FromClient::Request(request));
        Some(request)
    }

    fn ask(&mut self, client: usize, connection: ConnectionId) {
        let is_idle = self.clients[client].transaction == Transaction::Idle;
        let leaves = self.clients[client].leaves_early && !is_idle && self.random.happens(20);
        if leaves || self.now > TRAFFIC_MS {
            self.clients[client].leaves_early = false;
            return self.close_by_client(connection);
        }
        if self.clients[client].operation.is_empty() {
            self.clients[client].choose_operation(&mut self.random);
        }
        if let Some(request) = self.send_next(client, connection) {
            self.clients[client].state = State::Asking(connection, request, None);
        }
    }

    fn send_to_node(&mut self, connection: ConnectionId, message: FromClient) {
        let link = &mut self.connections[connection];
        // The first part of a request is sent some time before the last one.
        let transmission = if message == FromClient::Part { 40 } else { 0 };
        let arrival = link.up.send(self.now, transmission, &mut self.random);
        link.sent_by_client.push(message);
        let index = link.sent_by_client.len() - 1;
        self.at(arrival, Event::ToNode(connection, index));
    }

    fn close_by_client(&mut self, connection: ConnectionId) {
        let client = self.connections[connection].client;
        self.connections[connection].is_closed_by_client = true;
        self.send_to_node(connection, FromClient::Close);
        self.go_away(client);
    }

    fn go_away(&mut self, client: usize) {
        self.clients[client].state = State::Away;
        self.clients[client].operation.clear();
        let delay = self.random.between(5, 150);
        self.set_timer(client, delay);
    }

    fn on_output(&mut self, connection: ConnectionId, index: usize) {
        let message = self.connections[connection].sent_by_node[index];
        if self.connections[connection].is_closed_by_client {
            return;
        }
        let client = self.connections[connection].client;
        if message == FromNode::EndOfStream {
            return self.on_end_of_stream(client, connection);
        }
        match self.clients[client].on_message(message) {
            Reaction::None => self.after_start(client),
            Reaction::Close => self.close_by_client(connection),
            Reaction::RefusedAndClosed(request, code) => {
                self.records[request].outcome = Outcome::Refused(code);
                self.close_by_client(connection);
            }
            Reaction::Unexpected => {
                self.report.violations.push(Violation::Unexpected(connection, message));
                self.close_by_client(connection);
            }
            Reaction::Ended(request, error) => self.on_ended(client, request, error),
        }
    }

    /// After the answer to the start-up, the first request follows.
    fn after_start(&mut self, client: usize) {
        if let State::Resting(_) = self.clients[client].state {
            let rest = self.clients[client].rest(&mut self.random);
            self.set_timer(client, rest);
        }
    }

    fn on_ended(&mut self, client: usize, request: RequestId, error: Option<ResultCode>) {
        self.records[request].outcome = error.map_or(Outcome::Answered, Outcome::Refused);
        let connection = self.records[request].connection;
        let state = &mut self.clients[client];
        if error.is_some() {
            state.operation.clear();
        }
        if error.is_some() && state.transaction != Transaction::Idle && self.random.happens(50) {
            state.operation.push_back(Statement::Rollback);
        }
        let is_over = state.operation.is_empty();
        let is_single = matches!(state.habit, Habit::SingleOperation | Habit::InOneGo);
        if is_over && (is_single || state.transaction != Transaction::Idle) {
            return self.close_by_client(connection);
        }
        let rest = state.rest(&mut self.random);
        self.set_timer(client, rest);
    }

    fn on_end_of_stream(&mut self, client: usize, connection: ConnectionId) {
        let waiting = match self.clients[client].state {
            State::Asking(_, request, _) => Some(request),
            State::Starting(_, request) => request,
            _ => None,
        };
        let node = self.connections[connection].node;
        let was_accepted =
            self.connections[connection].sent_by_node.len() > 1 || self.nodes[node].is_listening;
        if let Some(request) = waiting {
            // A connection that was never accepted has read nothing.
            self.records[request].outcome =
                if was_accepted { Outcome::Cut } else { Outcome::GivenUp };
            if was_accepted {
                let stop = self.nodes[node].stop_at.unwrap_or(self.now);
                self.report.violations.push(Violation::Unanswered {
                    request,
                    node,
                    after_sending: self.now - self.records[request].sent_at,
                    since_stop: self.now as i64 - stop as i64,
                });
            }
        }
        self.close_by_client(connection);
    }

    // The side of the nodes.

    fn on_input(&mut self, connection: ConnectionId, index: usize) {
        let message = self.connections[connection].sent_by_client[index];
        let node = self.connections[connection].node;
        if message == FromClient::Connect {
            return self.accept(connection, node);
        }
        let Some(session) = self.nodes[node].sessions.get_mut(&connection) else { return };
        if message == FromClient::Close {
            self.nodes[node].sessions.remove(&connection);
            return;
        }
        session.arrived.push_back(message);
        let delay = self.random.between(0, self.nodes[node].lateness);
        self.at(self.now + delay, Event::Wake(connection));
    }

    fn accept(&mut self, connection: ConnectionId, node: usize) {
        if !self.nodes[node].is_listening {
            return self.deliver(connection, vec![(self.now, FromNode::EndOfStream)]);
        }
        let clock = self.clock(node);
        let share = self.random.share();
        self.nodes[node].sessions.insert(connection, Session::new(share, clock));
    }

    fn deliver(&mut self, connection: ConnectionId, output: Vec<(u64, FromNode)>) {
        for (arrival, message) in output {
            let messages = &mut self.connections[connection].sent_by_node;
            messages.push(message);
            let index = messages.len() - 1;
            self.at(arrival, Event::ToClient(connection, index));
        }
    }

    fn on_tick(&mut self, node: usize) {
        if self.nodes[node].has_ended {
            return;
        }
        let clock = self.clock(node);
        let is_leaving = self.nodes[node].is_leaving;
        let sessions = self.nodes[node].sessions.iter();
        let due = sessions.filter(|(_, session)| is_leaving || session.needs_ticks());
        let sessions: Vec<ConnectionId> = due.map(|(connection, _)| *connection).collect();
        let mut told = 0;
        for connection in &sessions {
            told += usize::from(self.advance(*connection, clock));
        }
        self.check_burst(node, told, sessions.len());
        self.nodes[node].last_tick = self.now;
        if self.nodes[node].sessions.is_empty() && !self.nodes[node].is_listening {
            return self.end(node);
        }
        let gap = self.random.between(10, 50) + self.random.between(0, self.nodes[node].lateness);
        self.at(self.now + gap, Event::Tick(node));
    }

    /// Lets a session act. Returns whether an idle client got the notice.
    fn advance(&mut self, connection: ConnectionId, clock: Instant) -> bool {
        let link = &mut self.connections[connection];
        let node = &mut self.nodes[link.node];
        let Some(session) = node.sessions.get_mut(&connection) else { return false };
        let mut io = Io {
            now: self.now,
            clock,
            rules: self.setup.rules,
            notice: self.setup.notice,
            schedule: node.schedule,
            is_leaving: node.is_leaving,
            down: &mut link.down,
            output: Vec::new(),
            records: &mut self.records,
            random: &mut self.random,
        };
        let (had, was_told) = (
            session.exchange.as_ref().map(|exchange| exchange.request),
            session.was_notified_at_rest,
        );
        let flow = session.advance(&mut io);
        if flow == Flow::Close {
            session.end_stream(&mut io);
        }
        let output = io.output;
        let is_told = session.was_notified_at_rest && !was_told;
        let exchange = session.exchange.as_ref();
        let wakes = exchange
            .filter(|exchange| had != Some(exchange.request))
            .map(|exchange| (exchange.request, exchange.ready_at, exchange.duration));
        if flow == Flow::Close {
            node.sessions.remove(&connection);
        }
        self.deliver(connection, output);
        if let Some((request, ready_at, duration)) = wakes {
            self.check_begin(request);
            self.wake_for_exchange(connection, ready_at, duration);
        }
        is_told
    }

    fn wake_for_exchange(&mut self, connection: ConnectionId, ready_at: u64, duration: u64) {
        let lateness = self.nodes[self.connections[connection].node].lateness;
        for time in [ready_at, ready_at + duration] {
            let time = time + self.random.between(0, lateness);
            self.at(time, Event::Wake(connection));
        }
    }

    fn stop(&mut self, node: usize) {
        let began = self.epoch + Duration::from_millis(self.now);
        let schedule = StopSchedule::new(began, self.limits);
        let late = self.random.between(0, self.nodes[node].lateness);
        self.nodes[node].schedule = Some(schedule);
        self.nodes[node].stop_at = Some(self.now);
        self.at(self.now + 2300 + late, Event::Leave(node));
        self.at(self.now + 5700, Event::End(node));
    }

    /// The process ends, and the kernel closes its connections.
    fn end(&mut self, node: usize) {
        if std::mem::replace(&mut self.nodes[node].has_ended, true) {
            return;
        }
        let stop_at = self.nodes[node].stop_at.unwrap_or(self.now);
        self.report.longest_drain = self.report.longest_drain.max(self.now - stop_at);
        self.nodes[node].is_listening = false;
        let sessions = std::mem::take(&mut self.nodes[node].sessions);
        for (connection, session) in sessions {
            self.check_left(connection, &session);
            if let Some(exchange) = &session.exchange {
                let unfinished = Violation::UnfinishedAtEnd(exchange.request);
                self.report.violations.push(unfinished);
            }
            let arrival = self.connections[connection].down.send(self.now, 0, &mut self.random);
            self.deliver(connection, vec![(arrival, FromNode::EndOfStream)]);
        }
    }

    // Guarantees.

    /// Sessions may be left at the end only if their clients could not close them in time.
    fn check_left(&mut self, connection: ConnectionId, session: &Session) {
        let Connection { node, up, down, .. } = &self.connections[connection];
        let closed_at = session.notified_at.map(|at| up.latest_arrival(down.latest_arrival(at)));
        match closed_at {
            Some(closed_at) if closed_at >= self.now => self.report.late_closes += 1,
            _ => self.report.violations.push(Violation::NotDrained { node: *node, connection }),
        }
    }

    fn check_begin(&mut self, request: RequestId) {
        let record = &self.records[request];
        let node = &self.nodes[self.connections[record.connection].node];
        let Some(stop) = node.schedule else { return };
        let age = Duration::from_millis(node.lateness / 2);
        let is_late = self.epoch + Duration::from_millis(self.now) > stop.leaving + age;
        if record.statement == Statement::Begin && is_late {
            self.report.violations.push(Violation::BegunWhileLeaving(request));
        }
    }

    /// Sessions at rest are told over a second, so that a tick must not tell much more of them than
    /// the part of that second that has passed since the tick before.
    fn check_burst(&mut self, node: usize, told: usize, sessions: usize) {
        let stop = self.nodes[node].stop_at.unwrap_or(self.now);
        if self.now >= stop + 5130 {
            return;
        }
        let age = self.nodes[node].lateness / 2;
        let gap = self.now - self.nodes[node].last_tick + age;
        let share = told as f64 / sessions.max(1) as f64;
        let expected = sessions as f64 * gap as f64 / 1000.0;
        if told as f64 > expected * 2.0 + 8.0 {
            self.report.violations.push(Violation::Burst { node, told, sessions, gap });
        }
        if sessions >= 40 {
            self.report.largest_burst = self.report.largest_burst.max(share);
        }
    }

    fn check_records(&mut self) {
        self.report.requests = self.records.len();
        for (request, record) in self.records.iter().enumerate() {
            match record.outcome {
                Outcome::Waiting => self.report.violations.push(Violation::Endless(request)),
                Outcome::Answered => self.report.answered += 1,
                Outcome::Refused(code) => {
                    self.report.refused += 1;
                    if code.execution() == Execution::NotRun && record.took_effect {
                        let violation = Violation::RanAlthoughRefused(request, code);
                        self.report.violations.push(violation);
                    }
                }
                Outcome::GivenUp | Outcome::Cut => {}
            }
        }
    }
}

impl Node {
    fn new(random: &mut SeededRandom) -> Self {
        let lateness = match random.between(0, 2) {
            0 => random.between(50, 250),
            _ => random.between(0, 10),
        };
        Self {
            lateness,
            schedule: None,
            stop_at: None,
            is_leaving: false,
            is_listening: true,
            has_ended: false,
            last_tick: 0,
            sessions: BTreeMap::new(),
        }
    }
}
