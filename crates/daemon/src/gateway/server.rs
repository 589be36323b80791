//! A connection to an instance. It starts up, runs one exchange, status query or probe at a time,
//! and sends the events of a lease to its front in order.
//!
//! `replies` processes the messages of the instance; `preparation` establishes the session state
//! that an exchange requires before it is sent.

mod preparation;
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

use self::preparation::Preparing;
use super::confirmation::Commit;
use super::running_exchange::{RunningExchange, impact_of};
use super::{event_log, notify_front};
use crate::event::{EventSource, Io, token};
use crate::metrics::ConnectionEvent;
use crate::net::connect::connect_from;
use crate::net::connection::{Connection, ReadOutcome};
use crate::net::keepalive::INSTANCE_KEEPALIVE;

/// Time beyond the deadline of an exchange after which its connection is closed. It is shorter than
/// the front's own grace period, so that the client gets the more exact outcome from the gateway.
const DEADLINE_GRACE_PERIOD: Duration = Duration::from_millis(50);
/// Time within which an instance must answer a status query.
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time within which a connection for status queries must be established.
const STATUS_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a connection for status queries is closed if it was not used: longer than
/// evidence lasts, so that it stays open while statements keep arriving.
const STATUS_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which a connection must roll back an abandoned transaction or discard session state.
const CLEANUP_TIMEOUT: Duration = Duration::from_secs(1);

/// The purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Statements of clients, and status queries.
    Pooled,
    /// Position probes.
    Probe,
    /// Status queries of an instance whose pool has no idle connection.
    Status,
    /// One cancel request.
    Cancel,
}

/// An event that results from the messages of an instance.
#[derive(Debug)]
pub enum ServerEvent {
    /// Start-up is complete; the instance may have reported its position.
    Started(Option<Position>),
    /// The connection is idle after start-up, a probe or a status query.
    Ready,
    /// The connection must be closed, for example because the instance violated the protocol or
    /// refused the start-up.
    Unusable,
    /// The instance accepts no further connections now.
    Refused,
    /// Another instance listens at the instance's address.
    Displaced,
    /// The instance has answered an exchange.
    Answered,
    /// The instance refused an exchange because it was busy.
    InstanceBusy,
    /// The instance has confirmed the session state that the exchange requires. The exchange has not
    /// been sent: [`Server::take_prepared`] returns it.
    Prepared,
    /// The exchange is complete and its transaction is still open.
    TransactionOpen,
    /// The transaction has ended and the connection is idle.
    LeaseEnded {
        /// The lease that ended.
        lease: LeaseId,
    },
    /// The instance has answered a commit, whose answer waits for confirmation.
    CommitAnswered(Commit),
    /// The instance has answered a probe or a status query.
    Probed(ProbeAnswer),
}

/// The answer to a probe or a status query.
#[derive(Clone, Copy, Debug)]
pub struct ProbeAnswer {
    /// Number of the probe.
    pub number: ProbeNumber,
    /// What the instance reported.
    pub report: Report,
    /// When the probe was sent.
    pub queried_at: Instant,
}

#[derive(Debug)]
enum State {
    StartingUp,
    Idle,
    /// Establishes the session state that an exchange requires.
    Preparing(Preparing),
    /// The instance has confirmed the session state; the exchange is about to be sent.
    Prepared(Preparing),
    Running(Box<RunningExchange>),
    /// Discards the session state of the last lease, or waits for the end of a cancel request.
    DiscardingSession {
        until: Instant,
    },
    Probing {
        number: ProbeNumber,
        queried_at: Instant,
        report: Option<Report>,
    },
    /// Rolls back an abandoned transaction.
    RollingBack {
        until: Instant,
    },
}

/// A connection to an instance.
#[derive(Debug)]
pub struct Server {
    connection: Connection,
    /// Group of the instance.
    pub group: GroupName,
    /// The instance.
    pub instance: InstanceName,
    /// The purpose of the connection.
    pub purpose: Purpose,
    /// Account whose exchanges it runs.
    account: Option<AccountName>,
    state: State,
    lease: Option<LeaseId>,
    next_sequence: u32,
    next_exchange: u32,
    protocol: Box<dyn BackendProtocol>,
    /// Key of cancel requests for statements on this connection.
    cancel_key: Option<CancelKey>,
    /// Whether the connection must be closed after this lease, because a cancel request may still
    /// arrive.
    is_last_lease: bool,
    /// Whether each answer carries the instance's position.
    positions_in_answers: bool,
    /// Whether the instance does not run: nothing listens at its address, or another instance does.
    is_instance_down: bool,
    /// When it was opened.
    opened_at: Instant,
    /// Whether the instance has closed it, or it has failed.
    is_broken: bool,
    /// Number of the running exchange in the node's shared statuses.
    status_exchange_number: u64,
    /// When this node learned that the connection was established.
    established: Instant,
    /// When the last exchange or status query was sent.
    last_sent: Instant,
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
            opened_at: Instant::now(),
            is_broken: false,
            status_exchange_number: 0,
            established: Instant::now(),
            last_sent: Instant::now(),
        }
    }

    /// Records that the start-up is complete. The instance may have accepted the connection earlier.
    pub fn on_established(&mut self) {
        self.established = Instant::now();
        self.last_sent = self.established;
    }

    /// When the connection was established, and when the last exchange or status query was sent.
    pub fn times(&self) -> (Instant, Instant) {
        (self.established, self.last_sent)
    }

    /// Opens a connection and sends the start-up message. Returns the key of the connection.
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
            connect_from(io.context.identity.address, instance.address, Some(&INSTANCE_KEEPALIVE))?;
        let entry = servers.vacant_entry();
        let key = entry.key();
        let mut connection =
            Connection::register(stream, token(EventSource::Server, key), io.registry, true)?;
        io.context.metrics.instance_connections.count(ConnectionEvent::Opened);
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

    /// Opens a connection that carries only a request to cancel the statement on `target`. The
    /// request may arrive late and must not cancel a later lease, so `target` is closed when its
    /// lease ends.
    pub fn cancel(servers: &mut Slab<Server>, target: usize, address: SocketAddr, io: &mut Io) {
        let Some(server) = servers.get_mut(target) else { return };
        let Some(cancel_key) = server.cancel_key else { return };
        server.is_last_lease = true;
        let (group, instance) = (server.group.clone(), server.instance.clone());
        let source = io.context.identity.address;
        let Ok(stream) = connect_from(source, address, Some(&INSTANCE_KEEPALIVE)) else { return };
        let entry = servers.vacant_entry();
        let token = token(EventSource::Server, entry.key());
        let Ok(mut connection) = Connection::register(stream, token, io.registry, true) else {
            return;
        };
        let mut protocol = io.context.protocol.backend();
        protocol.put_cancel(cancel_key, &mut connection.output);
        let mut server = Self::new(connection, protocol, group, instance, Purpose::Cancel);
        server.state = State::DiscardingSession { until: io.now + CLEANUP_TIMEOUT };
        entry.insert(server);
    }

    /// Records that the instance does not run: nothing listens at its address, or another instance
    /// does.
    pub fn mark_instance_down(&mut self) {
        self.is_instance_down = true;
    }

    /// Whether the connection has shown that the instance does not run.
    pub fn is_instance_down(&self) -> bool {
        self.is_instance_down
    }

    /// When the connection was opened.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Whether the instance has accepted the connection and closed it since, or the connection has
    /// failed: the instance's process may have ended.
    pub fn shows_end_of_process(&self) -> bool {
        self.is_broken && !self.is_starting_up()
    }

    /// Whether the instance has not completed the start-up of the connection.
    pub fn is_starting_up(&self) -> bool {
        matches!(self.state, State::StartingUp)
    }

    /// Whether the connection runs nothing.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    /// The lease that uses the connection.
    pub fn lease(&self) -> Option<&LeaseId> {
        self.lease.as_ref()
    }

    /// Reads from the socket.
    pub fn fill(&mut self) -> ReadOutcome {
        let outcome = self.connection.fill();
        self.is_broken |= outcome.is_closed();
        outcome
    }

    /// Writes queued output to the socket.
    pub fn flush(&mut self, io: &mut Io) -> io::Result<()> {
        let flushed = self.connection.flush(io.registry);
        self.is_broken |= flushed.is_err();
        flushed
    }

    /// Removes the connection from the event loop.
    pub fn deregister(&mut self, io: &mut Io) {
        self.connection.deregister(io.registry);
    }

    /// Whether `exchange` can run now: the connection is idle, the exchange is the next of its
    /// lease, and its account is that of the connection.
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

    /// Sends an exchange, followed by a position query if it may commit.
    pub fn send(&mut self, exchange: &Exchange, deadline: Instant, io: &Io) {
        let output = &mut self.connection.output;
        let before = output.len();
        self.protocol.put_exchange(exchange, output);
        let needs_query = exchange.may_commit && !self.positions_in_answers;
        if needs_query {
            self.protocol.put_position_query(output);
        }
        let bytes = output.len() - before;
        self.next_exchange = exchange.number + 1;
        let running = RunningExchange::new(exchange, needs_query, bytes, deadline);
        self.last_sent = running.sent;
        self.state = State::Running(Box::new(running));
        if self.positions_in_answers {
            let commits = exchange.may_commit;
            let number = io.context.statuses.on_sent(&self.group, &self.instance, commits);
            self.status_exchange_number = number;
        }
    }

    /// Refuses an exchange of this connection's lease without sending it. The caller must end the
    /// lease.
    pub fn refuse_unsent(&self, exchange: &Exchange, fault: Fault, io: &mut Io) {
        let code = failure_code(impact_of(exchange), Progress::Queued, fault);
        let event = LeaseEvent::Refused(Refusal::new(code, "the statement was not sent"));
        notify_front(&exchange.lease, self.next_sequence, event, io);
    }

    /// Sequence number of the next event for the front of the lease.
    pub fn next_sequence(&self) -> u32 {
        self.next_sequence
    }

    /// Queries the position of the instance.
    pub fn query_position(&mut self, number: ProbeNumber) {
        self.protocol.put_position_query(&mut self.connection.output);
        // Read the clock now: every request that waits for the answer arrived before this time.
        self.last_sent = Instant::now();
        self.state = State::Probing { number, queried_at: self.last_sent, report: None };
    }

    /// Rolls back the transaction of an abandoned lease so that the connection can be reused.
    /// Returns false if it must be closed instead, because an exchange is running.
    pub fn roll_back(&mut self, io: &mut Io) -> bool {
        if !matches!(self.state, State::Idle) {
            return false;
        }
        self.protocol.put_rollback(&mut self.connection.output);
        self.state = State::RollingBack { until: io.now + CLEANUP_TIMEOUT };
        true
    }

    /// Whether the current operation has exceeded its time limit.
    pub fn is_overdue(&self, now: Instant) -> bool {
        match &self.state {
            State::Running(running) => now > running.deadline + DEADLINE_GRACE_PERIOD,
            State::Preparing(preparing) | State::Prepared(preparing) => now > preparing.until,
            State::RollingBack { until } | State::DiscardingSession { until } => now > *until,
            State::Probing { queried_at, .. } if self.purpose != Purpose::Probe => {
                now > *queried_at + STATUS_QUERY_TIMEOUT
            }
            State::StartingUp if self.purpose == Purpose::Status => {
                now > self.opened_at + STATUS_CONNECT_TIMEOUT
            }
            State::StartingUp | State::Idle | State::Probing { .. } => false,
        }
    }

    /// Whether the connection was opened for status queries and has not been used for a while.
    pub fn is_unused_status_connection(&self, now: Instant) -> bool {
        let is_unused = now >= self.last_sent + STATUS_IDLE_TIMEOUT;
        self.purpose == Purpose::Status && self.is_idle() && is_unused
    }

    /// Refuses the running exchange, if any, because the connection is lost. Returns the lease.
    pub fn fail_exchange(&mut self, fault: Fault, io: &mut Io) -> Option<LeaseId> {
        let state = std::mem::replace(&mut self.state, State::Idle);
        if let State::Preparing(preparing) | State::Prepared(preparing) = &state {
            self.refuse_preparing(preparing, fault, io);
        }
        if let State::Running(mut running) = state {
            if self.positions_in_answers {
                let number = self.status_exchange_number;
                io.context.statuses.on_ended(&self.group, &self.instance, number, None);
            }
            let unsent = self.connection.output.len();
            event_log::log_failed_write(&running, &self.group, &self.instance, fault, io);
            let event = running.failure_event(fault, unsent, &self.instance);
            notify_front(&running.lease, self.next_sequence, event, io);
        }
        self.lease.take()
    }
}
