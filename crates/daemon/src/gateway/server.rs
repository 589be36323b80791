//! One connection to a back end: start-up, one exchange at a time, answers in order. What it makes of
//! the back end's messages is in [`replies`].

mod replies;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_core::cancel::CancelKey;
use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::confirmation::ProbeNumber;
use kestrellock_core::exchange_state::{Fault, Progress, failure_code};
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, LeaseId};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::position::Position;
use kestrellock_peer::message::{Exchange, LeaseEvent};
use kestrellock_protocol::backend::{BackendProtocol, BackendTarget, Report};
use slab::Slab;

use super::confirmation::Commit;
use super::notify_front;
use super::running_exchange::{RunningExchange, stake_of};
use crate::event::{Io, Part, token};
use crate::metrics::ConnectionEvent;
use crate::net::connect::connect_from;
use crate::net::connection::{Connection, ReadOutcome};
use crate::net::liveness::TO_INSTANCES;

/// Time an exchange gets beyond its deadline before its connection is given up; less than the
/// front's own patience, so that the caller hears the more exact outcome.
const DEADLINE_GRACE_PERIOD: Duration = Duration::from_millis(50);
/// Time in which a replica must say whether it follows its primary.
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time a connection gets to roll an abandoned transaction back.
const CLEANUP_TIMEOUT: Duration = Duration::from_secs(1);

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Callers' statements.
    Pooled,
    /// Position probes.
    Probe,
    /// One cancel request.
    Cancel,
}

/// What came of reading a connection.
#[derive(Debug)]
pub enum ServerEvent {
    /// Start-up is over; the instance told this position.
    Started(Option<Position>),
    /// The connection can be used again.
    Ready,
    /// The back end broke the protocol, or its answer to the start-up was an error.
    Unusable,
    /// The back end accepts no further connection now.
    Refused,
    /// Another instance listens at the instance's address.
    Displaced,
    /// The instance has answered an exchange.
    Answered,
    /// The instance had no room for an exchange.
    InstanceBusy,
    /// The exchange is over and its transaction still open.
    TransactionOpen,
    /// The transaction is over and the connection free.
    LeaseEnded {
        /// The lease that ended.
        lease: LeaseId,
    },
    /// A commit was answered and its answer waits for confirmation.
    CommitAnswered(Commit),
    /// A position probe was answered.
    Probed(ProbeAnswer),
}

/// An answered probe and when it was asked.
#[derive(Clone, Copy, Debug)]
pub struct ProbeAnswer {
    /// Number of the probe.
    pub number: ProbeNumber,
    /// What the instance said.
    pub report: Report,
    /// When the question was sent.
    pub asked: Instant,
}

#[derive(Debug)]
enum State {
    StartingUp,
    Idle,
    /// Puts the caller's settings in force.
    Preparing {
        exchange: Box<Exchange>,
        deadline: Instant,
        failed: bool,
    },
    Running(Box<RunningExchange>),
    /// Removes what the last caller left behind, until this time at the latest.
    DiscardingSession {
        until: Instant,
    },
    Probing {
        number: ProbeNumber,
        asked: Instant,
        report: Option<Report>,
    },
    /// Rolls an abandoned transaction back, until this time at the latest.
    RollingBack {
        until: Instant,
    },
}

/// One connection to a back end.
#[derive(Debug)]
pub struct Server {
    connection: Connection,
    /// Group of the instance.
    pub group: GroupName,
    /// The instance.
    pub instance: InstanceName,
    /// What it is for.
    pub purpose: Purpose,
    /// Account whose exchanges it carries.
    account: Option<AccountName>,
    state: State,
    lease: Option<LeaseId>,
    next_sequence: u32,
    next_exchange: u32,
    protocol: Box<dyn BackendProtocol>,
    /// Key with which the back end cancels what runs here.
    cancel_key: Option<CancelKey>,
    /// A cancel request may still arrive, so no other lease may use the connection.
    is_last_lease: bool,
    /// Whether each answer tells the instance's position.
    positions_in_answers: bool,
    /// Whether the instance does not run: nothing listened at its address, or another instance.
    is_instance_down: bool,
    /// Number under which the status board knows the exchange under way.
    status_exchange_number: u64,
}

impl Server {
    fn new(
        connection: Connection,
        protocol: Box<dyn BackendProtocol>,
        group: GroupName,
        instance: InstanceName,
        purpose: Purpose,
    ) -> Self {
        Self {
            connection,
            group,
            instance,
            purpose,
            account: None,
            state: State::StartingUp,
            lease: None,
            next_sequence: 0,
            next_exchange: 0,
            protocol,
            cancel_key: None,
            is_last_lease: false,
            positions_in_answers: false,
            is_instance_down: false,
            status_exchange_number: 0,
        }
    }

    /// Opens a connection and sends the start-up message. Returns its key.
    pub fn connect(
        servers: &mut Slab<Server>,
        name: &GroupName,
        group: &Group,
        instance: &Instance,
        account: Option<&AccountName>,
        purpose: Purpose,
        io: &mut Io,
    ) -> io::Result<usize> {
        let stream =
            connect_from(io.context.identity.address, instance.address, Some(&TO_INSTANCES))?;
        let entry = servers.vacant_entry();
        let key = entry.key();
        let mut connection =
            Connection::register(stream, token(Part::Server, key), io.registry, true)?;
        io.context.metrics.backends.count(ConnectionEvent::Opened);
        let mut protocol = io.context.protocol.backend();
        let target = BackendTarget {
            group: name,
            instance: &instance.name,
            database: &group.database,
            account,
            user: &group.user,
            password: io.context.backend_passwords.get(&group.user),
        };
        protocol.put_startup(&target, &mut connection.output);
        let instance = instance.name.clone();
        let mut server = Self::new(connection, protocol, name.clone(), instance, purpose);
        server.positions_in_answers = io.context.protocol.traits().positions_in_answers;
        server.account = account.cloned();
        entry.insert(server);
        Ok(key)
    }

    /// Opens a connection that carries nothing but a request to cancel what runs on `target`. A
    /// request may arrive late, so `target` is closed when its lease ends.
    pub fn cancel(servers: &mut Slab<Server>, target: usize, address: SocketAddr, io: &mut Io) {
        let Some(server) = servers.get_mut(target) else { return };
        let Some(cancel_key) = server.cancel_key else { return };
        server.is_last_lease = true;
        let (group, instance) = (server.group.clone(), server.instance.clone());
        let source = io.context.identity.address;
        let Ok(stream) = connect_from(source, address, Some(&TO_INSTANCES)) else { return };
        let entry = servers.vacant_entry();
        let token = token(Part::Server, entry.key());
        let Ok(mut connection) = Connection::register(stream, token, io.registry, true) else {
            return;
        };
        let mut protocol = io.context.protocol.backend();
        protocol.put_cancel(cancel_key, &mut connection.output);
        let mut server = Self::new(connection, protocol, group, instance, Purpose::Cancel);
        server.state = State::DiscardingSession { until: io.now + CLEANUP_TIMEOUT };
        entry.insert(server);
    }

    /// The instance does not run: nothing listens at its address, or another instance.
    pub fn mark_instance_down(&mut self) {
        self.is_instance_down = true;
    }

    /// Whether the instance was found not to run.
    pub fn is_instance_down(&self) -> bool {
        self.is_instance_down
    }

    /// Whether nothing is under way on the connection.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    /// The lease that uses the connection.
    pub fn lease(&self) -> Option<&LeaseId> {
        self.lease.as_ref()
    }

    /// Reads what the back end sent.
    pub fn fill(&mut self) -> ReadOutcome {
        self.connection.fill()
    }

    /// Sends what is queued.
    pub fn flush(&mut self, io: &mut Io) -> io::Result<()> {
        self.connection.flush(io.registry)
    }

    /// Takes the connection out of the event loop.
    pub fn deregister(&mut self, io: &mut Io) {
        self.connection.deregister(io.registry);
    }

    /// Whether `exchange` may be run now: the connection is at rest, the number is the next of its lease,
    /// and the account the one that the back end was told.
    pub fn can_run(&self, exchange: &Exchange) -> bool {
        let is_next = matches!(self.state, State::Idle) && exchange.number == self.next_exchange;
        is_next && exchange.account == self.account
    }

    /// Prepares the connection for a new lease.
    pub fn begin_lease(&mut self, lease: LeaseId) {
        self.lease = Some(lease);
        self.next_sequence = 0;
        self.next_exchange = 0;
    }

    /// Runs an exchange, once what it needs is in force on the connection.
    pub fn run(&mut self, exchange: &Exchange, deadline: Instant, io: &Io) {
        if !self.protocol.put_preparation(exchange, &mut self.connection.output) {
            return self.send(exchange, deadline, io);
        }
        let exchange = Box::new(exchange.clone());
        self.state = State::Preparing { exchange, deadline, failed: false };
    }

    /// Sends an exchange, with a position query behind it if it may commit.
    fn send(&mut self, exchange: &Exchange, deadline: Instant, io: &Io) {
        let output = &mut self.connection.output;
        let before = output.len();
        self.protocol.put_exchange(exchange, output);
        let asks_position = exchange.may_commit && !self.positions_in_answers;
        if asks_position {
            self.protocol.put_position_query(output);
        }
        let bytes = output.len() - before;
        self.next_exchange = exchange.number + 1;
        let running = RunningExchange::new(exchange, asks_position, bytes, deadline);
        self.state = State::Running(Box::new(running));
        if self.positions_in_answers {
            let commits = exchange.may_commit;
            let number = io.context.statuses.on_sent(&self.group, &self.instance, commits);
            self.status_exchange_number = number;
        }
    }

    /// Refuses an exchange of this connection's lease without sending it. The lease is over.
    pub fn refuse_unsent(&mut self, exchange: &Exchange, fault: Fault, io: &mut Io) {
        let code = failure_code(stake_of(exchange), Progress::Queued, fault);
        let event = LeaseEvent::Refused(Refusal::new(code, "the statement was not sent"));
        notify_front(&exchange.lease, self.next_sequence, event, io);
    }

    /// Number of the next message to the front of the lease.
    pub fn next_sequence(&self) -> u32 {
        self.next_sequence
    }

    /// Asks the instance for its position.
    pub fn query_position(&mut self, number: ProbeNumber) {
        self.protocol.put_position_query(&mut self.connection.output);
        // Later than any request that waits for the answer arrived.
        self.state = State::Probing { number, asked: Instant::now(), report: None };
    }

    /// Rolls the transaction of an abandoned lease back so that the connection can be used again;
    /// false if it has to be closed instead, because an exchange is under way.
    pub fn roll_back(&mut self, io: &mut Io) -> bool {
        if !matches!(self.state, State::Idle) {
            return false;
        }
        self.protocol.put_rollback(&mut self.connection.output);
        self.state = State::RollingBack { until: io.now + CLEANUP_TIMEOUT };
        true
    }

    /// Whether what the connection does is overdue.
    pub fn is_overdue(&self, now: Instant) -> bool {
        match &self.state {
            State::Running(running) => now > running.deadline + DEADLINE_GRACE_PERIOD,
            State::Preparing { deadline, .. } => now > *deadline + DEADLINE_GRACE_PERIOD,
            State::RollingBack { until } | State::DiscardingSession { until } => now > *until,
            State::Probing { asked, .. } if self.purpose == Purpose::Pooled => {
                now > *asked + STATUS_QUERY_TIMEOUT
            }
            State::StartingUp | State::Idle | State::Probing { .. } => false,
        }
    }

    /// The connection is given up: tells the front of the exchange under way. Returns the lease.
    pub fn fail_exchange(&mut self, fault: Fault, io: &mut Io) -> Option<LeaseId> {
        let state = std::mem::replace(&mut self.state, State::Idle);
        if let State::Preparing { exchange, .. } = &state {
            self.refuse_unsent(exchange, fault, io);
        }
        if let State::Running(mut running) = state {
            if self.positions_in_answers {
                let number = self.status_exchange_number;
                io.context.statuses.on_ended(&self.group, &self.instance, number, None);
            }
            let unsent = self.connection.output.len();
            let event = running.failure_event(fault, unsent, &self.instance);
            notify_front(&running.lease, self.next_sequence, event, io);
        }
        self.lease.take()
    }
}
