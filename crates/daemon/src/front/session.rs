//! One caller's session: its state, its login, and what each event lets it do next. The steps
//! themselves are in the modules below.

mod authorization;
mod bound;
mod keys;
mod lease;
mod parting;
mod quota;
mod requests;
mod retrying;
mod sending;

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Revision;
use kestrellock_core::exchange_state::{Effect, Stake};
use kestrellock_core::ids::{AccountName, InstanceName, LeaseId};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::position::Position;
use kestrellock_core::primary_evidence::TransactionWrites;
use kestrellock_core::quota::Ticket;
use kestrellock_core::retry::Backoff;
use kestrellock_core::retry::RetryBudget;
use kestrellock_core::session_state::{ExchangeEnd, SessionState};
use kestrellock_peer::message::TransactionState;
use kestrellock_protocol::caller::{CallerProtocol, Severity, StartupStep, Surroundings};
use kestrellock_protocol::classes::Classes;
use kestrellock_protocol::login::Login;
use kestrellock_protocol::request::Request;

use self::keys::Keys;
use self::lease::Lease;
use super::current_position::{CurrentPositions, QuestionNumber};
use super::target::Subscriptions;
use super::{GATEWAY_GRACE, baseline, counting, decisions};
use crate::event::{Io, Outgoing};
use crate::metrics::ConnectionEvent;
use crate::net::connection::Connection;

/// Bytes that a caller may send ahead while an exchange is under way.
const MAX_WAITING_INPUT_BYTES: usize = 64 * 1024;
/// Bytes of unread answers at which a caller is disconnected: one answer may be larger than it can
/// take in, but a node cannot keep it.
const MAX_OUTPUT_BYTES: usize = 64 * 1024 * 1024;
const STARTUP_LIMIT: Duration = Duration::from_secs(10);
/// Time that a caller is kept waiting for the first configuration after the node's start. Longer than
/// it usually takes to arrive, and less than callers wait for the answer to a start-up.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);
/// Reads repeated in a session, for 100 first attempts, and beyond that.
const REPEATS_PERCENT: u32 = 10;
const REPEATS_RESERVE: u32 = 5;
const NOTHING_AT_STAKE: Stake = Stake { effect: Effect::Read, continues_transaction: false };

/// A transaction that never got as far as its commit.
const UNDONE: ExchangeEnd = ExchangeEnd { failed: true, in_transaction: false, rolled_back: true };

/// Whether the session goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// It goes on.
    Continue,
    /// Its connection is to be closed.
    Close,
}

/// A caller's session.
#[derive(Debug)]
pub struct Session {
    /// The caller's connection.
    pub connection: Connection,
    /// Reading stopped because enough was buffered.
    pub more_to_read: bool,
    /// Leases that ended since the front last looked.
    pub ended_leases: Vec<LeaseId>,
    started: Instant,
    protocol: Box<dyn CallerProtocol>,
    login: Option<Login>,
    bound: Option<Position>,
    /// The question whose answer the bound waits for.
    awaited: Option<QuestionNumber>,
    last_write: Option<Instant>,
    transaction: TransactionState,
    lease: Option<Lease>,
    request: Option<Request>,
    state: SessionState,
    /// The open transaction's connection was lost: only its end is accepted.
    transaction_lost: bool,
    /// Only kept where answered commits are evidence of a primary.
    writes: TransactionWrites,
    /// What the exchange under way puts at stake.
    stake: Stake,
    /// Whether part of its answer has been passed on.
    answer_begun: bool,
    /// Earliest time to send a held request.
    hold_until: Option<Instant>,
    /// Whether the last attempt went where a gateway had said.
    referred: bool,
    /// Whether a request was under way when the session was last looked at.
    was_active: bool,
    /// When something was last under way.
    last_active: Instant,
    /// Whether it has asked for anything since it logged in.
    has_asked: bool,
    /// When the caller was told to go elsewhere.
    parting_since: Option<Instant>,
    /// Request keys.
    keys: Keys,
    /// Bounds the reads that are repeated because their first attempt broke off.
    repeats: RetryBudget,
    /// Revision of the configuration that the login's parameters are of.
    revision: Revision,
    /// Account on whose behalf it asks.
    account: Option<AccountName>,
    /// The operation under way has yet to get one of its account's tokens.
    needs_token: bool,
    ticket: Ticket,
    /// Revision of the configuration by which `account` was last found.
    authorized: Option<Revision>,
    /// What the session showed stands for nobody any more.
    credential_is_gone: bool,
    /// The configuration led the session to another group since its subscription was made.
    group_changed: bool,
    /// The instance that could not run the request at its last attempt.
    passed_over: Option<InstanceName>,
    /// Waits of the request under way before it goes out again.
    resending: Backoff,
    /// Whether the log tells that the request waits.
    held: bool,
}

impl Session {
    /// A session that has yet to log in.
    pub fn new(connection: Connection, protocol: Box<dyn CallerProtocol>, now: Instant) -> Self {
        Self {
            connection,
            more_to_read: false,
            ended_leases: Vec::new(),
            started: now,
            protocol,
            login: None,
            bound: None,
            awaited: None,
            last_write: None,
            transaction: TransactionState::Idle,
            lease: None,
            request: None,
            state: SessionState::default(),
            transaction_lost: false,
            writes: TransactionWrites::default(),
            stake: NOTHING_AT_STAKE,
            answer_begun: false,
            hold_until: None,
            referred: false,
            was_active: false,
            last_active: now,
            has_asked: false,
            parting_since: None,
            keys: Keys::default(),
            repeats: RetryBudget::new(REPEATS_PERCENT, REPEATS_RESERVE),
            revision: Revision::default(),
            account: None,
            needs_token: false,
            ticket: Ticket::default(),
            authorized: None,
            credential_is_gone: false,
            group_changed: false,
            passed_over: None,
            resending: retrying::RESENDING,
            held: false,
        }
    }

    /// Bytes to buffer before reading stops: what comes while an exchange is under way waits in the
    /// kernel, and so at the caller.
    pub fn input_limit(&self) -> usize {
        let limits = self.protocol.limits();
        match (&self.login, &self.request) {
            (None, _) => limits.startup * 2,
            (Some(_), Some(_)) => MAX_WAITING_INPUT_BYTES,
            (Some(_), None) => limits.message + MAX_WAITING_INPUT_BYTES,
        }
    }

    /// Whether the caller has proved its login.
    pub fn is_logged_in(&self) -> bool {
        self.login.is_some()
    }

    /// Whether what the session does next depends on time rather than on a message, within moments.
    pub fn waits_for_time(&self) -> bool {
        let holds = self.request.as_ref().is_some_and(|request| !request.sent);
        holds || self.parting_since.is_some() || !self.is_logged_in()
    }

    /// Whether the session has something to do on a tick.
    pub fn needs_tick(&self, now: Instant) -> bool {
        if self.parting_since.is_some() || self.credential_is_gone {
            return true;
        }
        match &self.request {
            Some(request) if request.sent => now > request.deadline + GATEWAY_GRACE,
            Some(_) => true,
            None if self.transaction == TransactionState::Open => true,
            None if self.login.is_some() => false,
            None => {
                let waits_for_configuration = !self.connection.input.is_empty();
                waits_for_configuration || now.duration_since(self.started) > STARTUP_LIMIT
            }
        }
    }

    /// Does whatever input, lease and time allow.
    pub fn advance(
        &mut self,
        new_lease: impl FnOnce() -> LeaseId,
        subscriptions: &mut Subscriptions,
        positions: &mut CurrentPositions,
        classes: &mut Classes,
        io: &mut Io,
    ) -> SessionEnd {
        if self.parting_since.is_some() {
            return self.part(io);
        }
        let was_active = std::mem::take(&mut self.was_active) || !self.connection.input.is_empty();
        if was_active {
            self.last_active = io.now;
        }
        self.end_overdue_transaction(io);
        let end = if self.login.is_none() {
            self.advance_startup(subscriptions, positions, io)
        } else {
            SessionEnd::Continue
        };
        let end = if end == SessionEnd::Continue && self.login.is_some() {
            self.advance_requests(new_lease, classes, io)
        } else {
            end
        };
        if std::mem::take(&mut self.group_changed)
            && let Some(login) = &self.login
        {
            subscriptions.ensure(&login.group, io);
        }
        if end == SessionEnd::Continue && self.must_end() {
            return self.end_without_credential(io);
        }
        self.was_active = self.request.is_some();
        let may_end = io.context.is_leaving() && self.may_be_ended(was_active, io);
        if end == SessionEnd::Continue && may_end {
            return self.send_away(None, io);
        }
        match self.connection.flush(io.registry) {
            Ok(()) if self.connection.output.len() > MAX_OUTPUT_BYTES => {
                log::debug!("a caller that does not read its answer is disconnected");
                SessionEnd::Close
            }
            Ok(()) => {
                self.connection.release_buffers();
                end
            }
            Err(_) => SessionEnd::Close,
        }
    }

    fn advance_startup(
        &mut self,
        subscriptions: &mut Subscriptions,
        positions: &mut CurrentPositions,
        io: &mut Io,
    ) -> SessionEnd {
        let catalog = io.context.catalog.load();
        let waited = io.now.saturating_duration_since(self.started);
        if catalog.revision == Revision::default() && waited < CONFIGURATION_WAIT {
            return SessionEnd::Continue;
        }
        let Connection { input, output, .. } = &mut self.connection;
        let surroundings = Surroundings { node: &io.context.identity.node, catalog: &catalog };
        let refusal = match self.protocol.startup(input, output, &surroundings) {
            StartupStep::LoggedIn(login) => {
                subscriptions.ensure(&login.group, io);
                self.bound = login.bound;
                if self.bound.is_none() && asks_position(io) {
                    self.awaited = Some(positions.ask(&login.group, io));
                }
                self.keys.next = login.request_key.clone();
                self.state = login.state.clone();
                self.login = Some(*login);
                self.revision = catalog.revision;
                return SessionEnd::Continue;
            }
            StartupStep::Cancel(key) => {
                io.outbox.push_back(Outgoing::Cancel(key));
                return SessionEnd::Close;
            }
            StartupStep::Incomplete if io.now.duration_since(self.started) <= STARTUP_LIMIT => {
                return SessionEnd::Continue;
            }
            StartupStep::Incomplete => {
                Refusal::new(ResultCode::StartupTimeout, "start-up took too long")
            }
            StartupStep::Refused(refusal) => refusal,
        };
        io.context.metrics.count_code(refusal.code);
        decisions::refused(None, None, None, None, &refusal, io);
        io.context.metrics.client_connections.count(ConnectionEvent::Refused);
        self.protocol.put_refusal(&refusal, Severity::Session, output);
        // As far as the connection takes it at once; it closes either way.
        let _ = self.connection.flush(io.registry);
        SessionEnd::Close
    }
}

/// Whether a session begins with the group's position: where an earlier session of the same caller
/// may have written, and policy keeps bounds at all.
fn asks_position(io: &Io) -> bool {
    io.context.protocol.traits().sessions_resume && baseline::keeps_bounds(io.context.policy)
}
