//! A client session: its login, its state and the order of the steps that each event triggers.
//!
//! Every event (input, a message from a gateway, a tick) ends in [`Session::advance`]. It aborts an
//! overdue transaction, advances the login, takes requests from the input and sends the current one
//! to a gateway, closes the session if its credential was revoked or the node is stopping, and
//! flushes the output. A session runs one request at a time; further input waits in the kernel
//! buffer once enough is buffered here. The steps themselves are in the submodules.

mod authorization;
mod bound;
mod closing;
mod isolated;
mod keys;
mod lease;
mod pipelining;
mod prewarming;
mod quota;
mod requests;
mod retrying;
mod sending;
mod stopping;
pub mod unanswered;

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Revision;
use kestrellock_core::exchange_state::{Effect, ExchangeImpact};
use kestrellock_core::group_bounds::GroupBounds;
use kestrellock_core::ids::{AccountName, InstanceName, LeaseId};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::pipelined_transaction::PipelinedTransaction;
use kestrellock_core::primary_evidence::TransactionWrites;
use kestrellock_core::quota::Ticket;
use kestrellock_core::retry::Backoff;
use kestrellock_core::retry::RetryBudget;
use kestrellock_core::session_state::{ExchangeEnd, SessionState};
use kestrellock_peer::message::TransactionState;
use kestrellock_protocol::client::{ClientProtocol, StartupContext, StartupStep};
use kestrellock_protocol::facts_cache::FactsCache;
use kestrellock_protocol::login::Login;
use kestrellock_protocol::request::Request;

use self::bound::GroupEntry;
use self::closing::Closing;
use self::keys::RequestKeys;
use self::lease::Lease;
use super::current_position::PositionQueries;
use super::target::Subscriptions;
use super::{GATEWAY_GRACE, counting, decision_log};
use crate::event::{Io, Outgoing};
use crate::metrics::ConnectionEvent;
use crate::net::connection::Connection;

/// Input bytes to buffer while an exchange is in progress, for clients that pipeline requests.
const MAX_PIPELINED_INPUT_BYTES: usize = 64 * 1024;
/// Bytes of unread output at which a client is disconnected. A single answer may be larger than the
/// client can receive at once, but the node cannot buffer it without a bound.
const MAX_OUTPUT_BYTES: usize = 64 * 1024 * 1024;
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a login waits for the first configuration after the node has started. Longer than the
/// configuration usually takes to arrive, and shorter than clients wait for the answer to a startup
/// message.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Retries of interrupted reads that a session may make per 100 first attempts.
const READ_RETRY_PERCENT: u32 = 10;
/// Further retries, so that a session with few first attempts can retry too.
const READ_RETRY_RESERVE: u32 = 5;
const READ_OUTSIDE_TRANSACTION: ExchangeImpact =
    ExchangeImpact { effect: Effect::Read, continues_transaction: false };

/// The end of a transaction that did not reach its commit.
const ROLLED_BACK: ExchangeEnd =
    ExchangeEnd { failed: true, in_transaction: false, rolled_back: true };

/// Whether the session continues after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionFlow {
    /// The session stays open.
    Continue,
    /// The front must close the connection.
    Close(CloseReason),
}

/// Why a connection is closed. Decides what an unfinished request counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client ended the session or its connection broke: it waits for nothing.
    ClientLeft,
    /// More output is buffered than the node can hold.
    OutputLimit,
    /// This node has ended the session.
    Ended,
}

/// A client session.
#[derive(Debug)]
pub struct Session {
    /// The client's connection.
    pub connection: Connection,
    /// Reading stopped at the input limit, so the kernel may hold more input and no event follows.
    pub more_to_read: bool,
    /// Leases that ended and that the front has not yet removed from its index.
    pub ended_leases: Vec<LeaseId>,
    started: Instant,
    protocol: Box<dyn ClientProtocol>,
    login: Option<Login>,
    bounds: GroupBounds,
    /// What the session knows of its current group's position.
    group_entry: GroupEntry,
    last_write: Option<Instant>,
    transaction: TransactionState,
    lease: Option<Lease>,
    request: Option<Request>,
    state: SessionState,
    /// The open transaction's server connection was lost: only its end is accepted.
    transaction_lost: bool,
    /// The transaction that did not begin and whose statements the client may have sent already.
    pipelined_transaction: PipelinedTransaction,
    /// Tracked only for protocols in which acknowledged commits are evidence of a primary.
    writes: TransactionWrites,
    /// What may be lost if the current exchange fails.
    impact: ExchangeImpact,
    /// Whether part of the current answer has been sent to the client.
    answer_begun: bool,
    /// Earliest time of the next attempt.
    retry_at: Option<Instant>,
    /// Whether the last attempt went to the owner that a gateway had named.
    followed_referral: bool,
    /// Whether a request was in progress after the previous event.
    was_active: bool,
    /// Time of the last activity: input or a request in progress.
    last_active: Instant,
    /// Whether the client's next request is expected at once: it has just logged in, or its last
    /// request changed only the session, such as a setting or a prepared statement.
    is_request_expected: bool,
    /// Set while this node ends the session.
    closing: Option<Closing>,
    /// The session's place, from 0 to 1, among those that a stopping node asks to connect elsewhere.
    close_order: f64,
    keys: RequestKeys,
    /// Limits how many interrupted reads are retried.
    read_retries: RetryBudget,
    /// Revision of the configuration that the login's parameters come from.
    revision: Revision,
    /// Account that the requests are charged to.
    account: Option<AccountName>,
    /// The current operation still needs a token of its account's quota.
    needs_token: bool,
    ticket: Ticket,
    /// Random number by which an owner was chosen and asked for a connection at login. The first
    /// statement uses it again, so that it goes to the same owner.
    prewarming_random: Option<u64>,
    /// Revision of the configuration in which `account` was last looked up.
    authorized_revision: Option<Revision>,
    /// The configuration no longer contains the session's credential.
    credential_revoked: bool,
    /// The instance that could not run the request at its last attempt.
    excluded_instance: Option<InstanceName>,
    /// Whether an instance has refused the current request because it is not the primary.
    lacked_primary: bool,
    /// Delays between attempts of the current request.
    retry_backoff: Backoff,
    /// Whether the wait of the current request for an instance has been logged.
    is_wait_logged: bool,
}

impl Session {
    /// Creates a session that has not logged in. `close_order`, from 0 to 1, is its place among those
    /// that a stopping node asks to connect elsewhere.
    pub fn new(
        connection: Connection,
        protocol: Box<dyn ClientProtocol>,
        close_order: f64,
        now: Instant,
    ) -> Self {
        Self {
            connection,
            more_to_read: false,
            ended_leases: Vec::new(),
            started: now,
            protocol,
            login: None,
            bounds: GroupBounds::default(),
            group_entry: GroupEntry::Complete,
            last_write: None,
            transaction: TransactionState::Idle,
            lease: None,
            request: None,
            state: SessionState::default(),
            transaction_lost: false,
            pipelined_transaction: PipelinedTransaction::default(),
            writes: TransactionWrites::default(),
            impact: READ_OUTSIDE_TRANSACTION,
            answer_begun: false,
            retry_at: None,
            followed_referral: false,
            was_active: false,
            last_active: now,
            is_request_expected: true,
            closing: None,
            close_order,
            keys: RequestKeys::default(),
            read_retries: RetryBudget::new(READ_RETRY_PERCENT, READ_RETRY_RESERVE),
            revision: Revision::default(),
            account: None,
            needs_token: false,
            ticket: Ticket::default(),
            prewarming_random: None,
            authorized_revision: None,
            credential_revoked: false,
            excluded_instance: None,
            lacked_primary: false,
            retry_backoff: retrying::RETRY_BACKOFF,
            is_wait_logged: false,
        }
    }

    /// Input bytes to buffer before reading stops. Further input then waits in the kernel buffer,
    /// and TCP flow control slows the client down.
    pub fn input_limit(&self) -> usize {
        let limits = self.protocol.limits();
        match (&self.login, &self.request) {
            (None, _) => limits.startup * 2,
            (Some(_), Some(_)) => MAX_PIPELINED_INPUT_BYTES,
            (Some(_), None) => limits.message + MAX_PIPELINED_INPUT_BYTES,
        }
    }

    /// Whether the client has authenticated.
    pub fn is_logged_in(&self) -> bool {
        self.login.is_some()
    }

    /// Whether the client may still authenticate.
    pub fn is_pending_login(&self) -> bool {
        !self.is_logged_in() && !self.is_closing()
    }

    /// Whether the session soon acts on the passage of time rather than on a message: it holds a
    /// request, is logging in or is closing.
    pub fn needs_frequent_ticks(&self) -> bool {
        let holds_request = self.request.as_ref().is_some_and(|request| !request.sent);
        holds_request || self.is_closing() || !self.is_logged_in()
    }

    /// Whether the session has something to do on a tick.
    pub fn needs_tick(&self, now: Instant) -> bool {
        if self.is_closing() || self.credential_revoked {
            return true;
        }
        match &self.request {
            Some(request) if request.sent => now > request.deadline + GATEWAY_GRACE,
            Some(_) => true,
            None if self.transaction == TransactionState::Open => true,
            None if self.login.is_some() => false,
            None => {
                let waits_for_configuration = !self.connection.input.is_empty();
                waits_for_configuration || now.duration_since(self.started) > STARTUP_TIMEOUT
            }
        }
    }

    /// Performs every step that the input, the lease and the time allow.
    pub fn advance(
        &mut self,
        new_lease: impl FnOnce() -> LeaseId,
        subscriptions: &mut Subscriptions,
        position_queries: &mut PositionQueries,
        classes: &mut FactsCache,
        io: &mut Io,
    ) -> SessionFlow {
        if self.is_closing() {
            return self.continue_closing(classes, io);
        }
        let was_active = std::mem::take(&mut self.was_active) || !self.connection.input.is_empty();
        if was_active {
            self.last_active = io.now;
        }
        if self.must_refuse_unfinished(io) {
            return self.refuse_unfinished(io);
        }
        if self.is_withdrawn_by_stop(io) {
            self.withdraw_waiting(io);
        }
        self.abort_overdue_transaction(io);
        let flow = if self.login.is_none() {
            self.advance_startup(subscriptions, position_queries, io)
        } else {
            SessionFlow::Continue
        };
        let flow = if flow == SessionFlow::Continue && self.login.is_some() {
            self.advance_requests(new_lease, classes, io)
        } else {
            flow
        };
        self.complete_entry(subscriptions, position_queries, io);
        if self.is_closing() {
            // A refused request has ended the session.
            return flow;
        }
        if flow == SessionFlow::Continue && self.must_end() {
            return self.end_revoked_session(io);
        }
        self.was_active = self.request.is_some();
        let must_close = io.context.closes_sessions(io.now) && self.is_due_to_close(was_active, io);
        if flow == SessionFlow::Continue && must_close {
            return self.close_for_shutdown(None, io);
        }
        match self.connection.flush(io.registry) {
            Ok(()) if self.connection.output.len() > MAX_OUTPUT_BYTES => {
                SessionFlow::Close(CloseReason::OutputLimit)
            }
            Ok(()) => {
                self.connection.release_buffers();
                flow
            }
            Err(_) => SessionFlow::Close(CloseReason::ClientLeft),
        }
    }

    fn advance_startup(
        &mut self,
        subscriptions: &mut Subscriptions,
        position_queries: &mut PositionQueries,
        io: &mut Io,
    ) -> SessionFlow {
        let catalog = io.context.catalog.load();
        let waited = io.now.saturating_duration_since(self.started);
        if catalog.revision == Revision::default() && waited < CONFIGURATION_TIMEOUT {
            return SessionFlow::Continue;
        }
        let Connection { input, output, .. } = &mut self.connection;
        let surroundings = StartupContext { node: &io.context.identity.node, catalog: &catalog };
        let refusal = match self.protocol.startup(input, output, &surroundings) {
            StartupStep::LoggedIn(login) => {
                if let Some(bound) = login.bound {
                    self.bounds.raise(&login.group, bound);
                }
                self.keys.next = login.request_key.clone();
                self.state = login.state.clone();
                self.login = Some(*login);
                self.enter_group(io);
                self.complete_entry(subscriptions, position_queries, io);
                self.revision = catalog.revision;
                self.request_connection(io);
                return SessionFlow::Continue;
            }
            StartupStep::Cancel(key) => {
                io.outbox.push_back(Outgoing::Cancel(key));
                return SessionFlow::Close(CloseReason::ClientLeft);
            }
            StartupStep::Incomplete if io.now.duration_since(self.started) <= STARTUP_TIMEOUT => {
                return SessionFlow::Continue;
            }
            StartupStep::Incomplete => {
                Refusal::new(ResultCode::StartupTimeout, "start-up took too long")
            }
            StartupStep::Refused(refusal) => refusal,
        };
        self.refuse_login(refusal, io)
    }

    /// Refuses the client before it has logged in, and ends the session.
    pub fn refuse_login(&mut self, refusal: Refusal, io: &mut Io) -> SessionFlow {
        io.context.metrics.count_code(refusal.code);
        decision_log::log_refused(None, None, None, None, &refusal, io);
        io.context.metrics.client_connections.count(ConnectionEvent::Refused);
        self.end_with_refusal(refusal, io)
    }
}
