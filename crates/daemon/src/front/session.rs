//! One caller's session: reads its messages, runs exchanges one at a time, passes answers on.

mod keys;

use std::time::{Duration, Instant};

use kestrellock_core::cancel::CancelKey;
use kestrellock_core::classify::StatementClass;
use kestrellock_core::exchange_state::{
    Effect, Fault, Progress, Stake, failure_code, may_go_out_again,
};
use kestrellock_core::ids::{GroupName, LeaseId, NodeName};
use kestrellock_core::outcome::{Execution, Refusal, ResultCode};
use kestrellock_core::position::Position;
use kestrellock_core::retry::RetryBudget;
use kestrellock_core::routing::Access;
use kestrellock_core::session::SessionBound;
use kestrellock_core::session_state::{ExchangeEnd, SessionState};
use kestrellock_peer::message::{Exchange, GatewayCall, LeaseEvent, ToGateway, TransactionState};

use self::keys::Keys;
use super::baseline::routed_as;
use super::classes::Classes;
use super::current_position::{CurrentPositions, QuestionNumber};
use super::login::Login;
use super::request::{Collector, Next, Request};
use super::startup::{self, Startup, StartupStep};
use super::target::{self, Subscriptions, Target};
use super::{GATEWAY_GRACE, answer, baseline, counting, ending};
use crate::gateway::running::stake_of;
use crate::metrics::ConnectionEvent;
use crate::net::connection::Connection;
use crate::net::frames::MAX_MESSAGE_BYTES;
use crate::policy::Policy;
use crate::shard::{Io, Outgoing};

/// Bytes that a caller may send ahead while an exchange is under way.
const MAX_WAITING_INPUT_BYTES: usize = 64 * 1024;
/// Bytes of unread answers at which a caller's next request waits.
const MAX_UNREAD_BYTES: usize = 1024 * 1024;
/// Bytes of unread answers at which a caller is disconnected: one answer may be larger than it can
/// take in, but a node cannot keep it.
const MAX_OUTPUT_BYTES: usize = 64 * 1024 * 1024;
const STARTUP_LIMIT: Duration = Duration::from_secs(10);
/// Time before a statement that surely has not run goes out again.
const RESEND_INTERVAL: Duration = Duration::from_millis(5);
/// Time without a request after which a planned stop sends a caller away unasked.
const IDLE_BEFORE_PARTING: Duration = Duration::from_secs(1);
const STOPPING: &str = "the node is stopping; connect to another one";
/// Time a caller gets to close after it has been sent away.
const PARTING_LIMIT: Duration = Duration::from_millis(500);
/// Time between the message that sends a caller away and the end of the stream.
const END_OF_STREAM_DELAY: Duration = Duration::from_millis(50);
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

/// The use of one back-end connection.
#[derive(Debug)]
struct Lease {
    id: LeaseId,
    target: Target,
    /// Whether nothing on it can have written so far.
    read_only: bool,
    next_exchange: u32,
    next_sequence: u32,
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
    startup: Startup,
    login: Option<Login>,
    bound: Option<Position>,
    /// The question whose answer the bound waits for.
    awaited: Option<QuestionNumber>,
    last_write: Option<Instant>,
    transaction: TransactionState,
    lease: Option<Lease>,
    request: Option<Request>,
    collector: Collector,
    state: SessionState,
    /// The open transaction's connection was lost: only its end is accepted.
    transaction_lost: bool,
    /// What the exchange under way puts at stake.
    stake: Stake,
    /// Whether part of its answer has been passed on.
    answer_begun: bool,
    /// Earliest time to send a held request.
    hold_until: Option<Instant>,
    /// Whether the last attempt went where a gateway had said.
    referred: bool,
    /// When something was last under way.
    last_active: Instant,
    /// When the caller was told to go elsewhere.
    parting_since: Option<Instant>,
    /// Request keys.
    keys: Keys,
    /// Bounds the reads that are repeated because their first attempt broke off.
    repeats: RetryBudget,
}

impl Session {
    /// A session that has yet to log in.
    pub fn new(connection: Connection, now: Instant) -> Self {
        Self {
            connection,
            more_to_read: false,
            ended_leases: Vec::new(),
            started: now,
            startup: Startup::default(),
            login: None,
            bound: None,
            awaited: None,
            last_write: None,
            transaction: TransactionState::Idle,
            lease: None,
            request: None,
            collector: Collector::default(),
            state: SessionState::default(),
            transaction_lost: false,
            stake: NOTHING_AT_STAKE,
            answer_begun: false,
            hold_until: None,
            referred: false,
            last_active: now,
            parting_since: None,
            keys: Keys::default(),
            repeats: RetryBudget::new(REPEATS_PERCENT, REPEATS_RESERVE),
        }
    }

    /// The lease in use, if any.
    pub fn lease_id(&self) -> Option<&LeaseId> {
        self.lease.as_ref().map(|lease| &lease.id)
    }

    /// Bytes to buffer before reading stops: what comes while an exchange is under way waits in the
    /// kernel, and so at the caller.
    pub fn input_limit(&self) -> usize {
        match (&self.login, &self.request) {
            (None, _) => startup::MAX_STARTUP_BYTES * 2,
            (Some(_), Some(_)) => MAX_WAITING_INPUT_BYTES,
            (Some(_), None) => MAX_MESSAGE_BYTES + MAX_WAITING_INPUT_BYTES,
        }
    }

    /// Whether the caller has proved its login.
    pub fn is_logged_in(&self) -> bool {
        self.login.is_some()
    }

    /// Whether the session has something to do on a tick.
    pub fn needs_tick(&self, now: Instant) -> bool {
        if self.parting_since.is_some() {
            return true;
        }
        match &self.request {
            Some(request) if request.sent => now > request.deadline + GATEWAY_GRACE,
            Some(_) => true,
            None => self.login.is_none() && now.duration_since(self.started) > STARTUP_LIMIT,
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
        if self.request.is_some() || !self.connection.input.is_empty() {
            self.last_active = io.now;
        }
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
        if end == SessionEnd::Continue && io.context.is_leaving() && self.is_idle(io.now) {
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

    /// Whether nothing has been under way for so long that a message that answers nothing is not
    /// taken for the answer to the last statement: some client libraries do so if they read both
    /// at once.
    fn is_idle(&self, now: Instant) -> bool {
        let between = self.request.is_none() && self.transaction == TransactionState::Idle;
        let silent = self.connection.input.is_empty() && self.collector.is_empty();
        between && silent && now.saturating_duration_since(self.last_active) >= IDLE_BEFORE_PARTING
    }

    /// Tells the caller to connect to another node, in answer to a request if there is one.
    /// Nothing that it sends from now on is run.
    fn send_away(&mut self, request: Option<Request>, io: &mut Io) -> SessionEnd {
        let output = &mut self.connection.output;
        match request {
            Some(_) => {
                let refusal = Refusal::new(ResultCode::Stopping, STOPPING);
                answer::put_refusal(&refusal, "FATAL", output);
            }
            None => answer::put_farewell(STOPPING, output),
        }
        self.abandon(io);
        self.parting_since = Some(io.now);
        self.part(io)
    }

    /// Waits for the caller to close. Closing first, with input unread, could destroy the message
    /// on its way; and some client libraries that read message and end of stream at once report
    /// only the latter.
    fn part(&mut self, io: &mut Io) -> SessionEnd {
        self.connection.input.clear();
        let flushed = self.connection.flush(io.registry);
        let Some(began) = self.parting_since else { return SessionEnd::Close };
        if self.connection.output.is_empty() && io.now >= began + END_OF_STREAM_DELAY {
            self.connection.shut_down_sending();
        }
        match io.now < began + PARTING_LIMIT && flushed.is_ok() {
            true => SessionEnd::Continue,
            false => SessionEnd::Close,
        }
    }

    fn advance_startup(
        &mut self,
        subscriptions: &mut Subscriptions,
        positions: &mut CurrentPositions,
        io: &mut Io,
    ) -> SessionEnd {
        let Connection { input, output, .. } = &mut self.connection;
        let refusal = match self.startup.advance(input, output, io.context) {
            StartupStep::LoggedIn(login) => {
                subscriptions.ensure(&login.group, io);
                self.bound = login.bound;
                if self.bound.is_none() && baseline::keeps_bounds(io.context.policy) {
                    self.awaited = Some(positions.ask(&login.group, io));
                }
                self.keys.next = login.request_key.clone();
                self.state = login.state.clone();
                self.login = Some(*login);
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
        io.context.metrics.callers.count(ConnectionEvent::Refused);
        answer::put_refusal(&refusal, "FATAL", output);
        SessionEnd::Close
    }

    fn advance_requests(
        &mut self,
        new_lease: impl FnOnce() -> LeaseId,
        classes: &mut Classes,
        io: &mut Io,
    ) -> SessionEnd {
        while self.request.is_none() {
            // A caller that asks without reading the answers gets no more of them.
            if self.connection.output.len() > MAX_UNREAD_BYTES
                && (self.connection.flush(io.registry).is_err()
                    || self.connection.output.len() > MAX_UNREAD_BYTES)
            {
                return SessionEnd::Continue;
            }
            let deadline = io.now + self.time_limit();
            let must_part = self.must_part(io);
            let Connection { input, output, .. } = &mut self.connection;
            match self.collector.next(input, classes, deadline) {
                Next::Incomplete => return SessionEnd::Continue,
                Next::Terminate => return SessionEnd::Close,
                Next::Request(request) if must_part => {
                    return self.send_away(Some(request), io);
                }
                Next::Request(request) => self.take_up(request, io),
                Next::Refused(refusal) => self.refuse_request(&refusal, io),
                Next::Broken(refusal) => {
                    answer::put_refusal(&refusal, "FATAL", output);
                    return SessionEnd::Close;
                }
            }
        }
        self.drive_request(new_lease, io);
        SessionEnd::Continue
    }

    /// Whether a planned stop lets no new request begin here.
    fn must_part(&self, io: &Io) -> bool {
        io.context.is_leaving() && self.transaction == TransactionState::Idle
    }

    fn time_limit(&self) -> Duration {
        let login = self.login.as_ref();
        login.map_or(Duration::ZERO, |login| login.parameters.values.deadline_ms.into())
    }

    /// Answers a request that needs no back end, or keeps it for one.
    fn take_up(&mut self, mut request: Request, io: &mut Io) {
        if self.set_request_key(&request, io) {
            return;
        }
        if let Err(refusal) = self.check(&request) {
            self.refuse_request(&refusal, io);
            return;
        }
        let output = &mut self.connection.output;
        let ends = matches!(request.class(), StatementClass::Commit | StatementClass::Rollback);
        if self.transaction_lost && request.executes && ends {
            self.transaction_lost = false;
            self.transaction = TransactionState::Idle;
        } else if self.transaction_lost && !request.is_local {
            let detail = "the transaction was lost; roll it back";
            let refusal = Refusal::new(ResultCode::TransactionLost, detail);
            answer::put_refusal(&refusal, "ERROR", output);
            answer::put_ready(self.transaction, output);
            return;
        } else if !request.is_local {
            if let Err(refusal) = self.take_key(&mut request) {
                self.refuse_request(&refusal, io);
                return;
            }
            self.request = Some(request);
            self.repeats.on_first_attempt();
            return;
        }
        output.extend_from_slice(&request.rollback_replies);
        answer::put_ready(self.transaction, output);
    }

    fn check(&self, request: &Request) -> Result<(), Refusal> {
        if !request.executes {
            return Ok(());
        }
        let in_transaction = self.transaction != TransactionState::Idle;
        self.state
            .check(&request.facts, in_transaction)
            .map_err(|reason| Refusal::new(ResultCode::NotSupported, reason.to_string()))
    }

    /// Refuses a request that never reached a back end. An open transaction is given up, because
    /// the caller must not be able to commit the part of it that came before.
    fn refuse_request(&mut self, refusal: &Refusal, io: &mut Io) {
        if self.transaction != TransactionState::Idle && !self.transaction_lost {
            self.abandon(io);
            self.transaction_lost = true;
            self.transaction = TransactionState::Failed;
            self.state.on_end(&[], UNDONE);
        }
        counting::refused(refusal, io);
        answer::put_refusal(refusal, "ERROR", &mut self.connection.output);
        answer::put_ready(self.transaction, &mut self.connection.output);
    }

    /// Sends the request if it has not been, or ends it if its time is up.
    fn drive_request(&mut self, new_lease: impl FnOnce() -> LeaseId, io: &mut Io) {
        let Some(request) = &self.request else { return };
        if request.sent {
            if io.now > request.deadline + GATEWAY_GRACE {
                self.on_silent_gateway(io);
            }
            return;
        }
        if io.now > request.deadline {
            let code = match self.awaited {
                Some(_) => ResultCode::NoFreshInstance,
                None => failure_code(NOTHING_AT_STAKE, Progress::Held, Fault::Deadline),
            };
            let refusal = Refusal::new(code, "no instance could take the statement");
            self.settle_or_refuse(refusal, io);
            return;
        }
        if self.hold_until.is_none_or(|until| io.now >= until) {
            self.send_request(new_lease, io);
        }
    }

    /// Whether the session's bound waits for an answer to this question of its group.
    pub fn awaits(&self, group: &GroupName, number: QuestionNumber) -> bool {
        let same = self.login.as_ref().is_some_and(|login| login.group == *group);
        same && self.awaited.is_some_and(|awaited| awaited <= number)
    }

    /// The group's position, as of some time after the session began.
    pub fn on_current_position(&mut self, position: Position) {
        self.awaited = None;
        self.bound = Some(self.bound.map_or(position, |bound| bound.join(position)));
    }

    /// Whether an exchange is under way with a gateway of `node`.
    pub fn waits_for(&self, node: &NodeName) -> bool {
        let sent = self.request.as_ref().is_some_and(|request| request.sent);
        sent && self.lease.as_ref().is_some_and(|lease| lease.target.gateway == *node)
    }

    /// The connection to the gateway of the exchange under way closed.
    pub fn on_gateway_lost(&mut self, io: &mut Io) {
        self.mark_unreachable(io);
        self.end_unanswered(Fault::GatewayLost, "the connection to the gateway was lost", io);
    }

    /// The request could not be handed to the gateway's node, or that node ended without running
    /// it.
    pub fn on_unsent(&mut self, io: &mut Io) {
        self.mark_unreachable(io);
        let code = failure_code(self.stake, Progress::Held, Fault::GatewayLost);
        self.on_refused(Refusal::new(code, "no connection to the gateway"), io);
    }

    /// Lets work for the gateway's instances go to their standbys for a while.
    fn mark_unreachable(&self, io: &Io) {
        if let Some(lease) = &self.lease {
            io.context.detours.add_unreachable(&lease.target.gateway, io.now);
        }
    }

    fn on_silent_gateway(&mut self, io: &mut Io) {
        self.mark_unreachable(io);
        self.end_unanswered(Fault::GatewaySilent, "the gateway did not answer in time", io);
    }

    /// Ends an exchange that the gateway may have run. The lease is over: nothing more goes out on
    /// it, so a transaction whose commit has not been sent cannot commit any more.
    fn end_unanswered(&mut self, fault: Fault, detail: &str, io: &mut Io) {
        let code = failure_code(self.stake, Progress::HandedOver, fault);
        self.abandon(io);
        self.on_refused(Refusal::new(code, detail), io);
    }

    /// The gateway has not run the request. It goes to the node that the gateway names at once, and
    /// after that by this node's own knowledge.
    fn on_not_owner(&mut self, owner: Option<NodeName>, io: &mut Io) {
        let at_once = owner.is_some() && !self.referred;
        if let Some(lease) = &self.lease {
            io.context.detours.set_referral(&lease.target.instance, owner, io.now);
        }
        let refusal = Refusal::new(ResultCode::NotOwner, "the gateway does not own the instance");
        self.on_refused(refusal, io);
        if at_once {
            self.hold_until = None;
        }
        self.referred = at_once;
    }

    /// Holds the request for another instance or gateway where that is safe, or ends it.
    fn on_refused(&mut self, refusal: Refusal, io: &mut Io) {
        let unfinished_read = refusal.code == ResultCode::ReadInterrupted
            && !self.stake.continues_transaction
            && self.repeats.try_retry();
        let unsafe_resend = io.context.policy == Policy::ResendOnError
            && refusal.code.execution() == Execution::InDoubt
            && !self.stake.continues_transaction;
        let again = may_go_out_again(self.stake, refusal.code) || unfinished_read || unsafe_resend;
        match &mut self.request {
            Some(request) if again && !self.answer_begun && io.now < request.deadline => {
                request.sent = false;
                self.hold_until = Some(io.now + refusal.retry_after.unwrap_or(RESEND_INTERVAL));
                self.drop_lease();
            }
            // Sent back for the last time: what the caller waited for in vain is a primary.
            Some(_) if again && !self.answer_begun && refusal.code == ResultCode::NotPrimary => {
                let code = failure_code(NOTHING_AT_STAKE, Progress::Held, Fault::Deadline);
                self.end_lease(LeaseEvent::Refused(Refusal::new(code, refusal.detail)), io);
            }
            _ => self.settle_or_refuse(refusal, io),
        }
    }

    /// What the request needs, given the lease in use.
    fn access(&self, request: &Request, login: &Login) -> Access {
        let reads = match &self.lease {
            None => matches!(request.class(), StatementClass::Read | StatementClass::BeginReadOnly),
            Some(lease) => lease.read_only && request.class().keeps_read_only(),
        };
        if reads {
            let max_staleness = login.parameters.values.max_staleness_ms.into();
            Access::Read { bound: self.bound, max_staleness }
        } else {
            Access::Write { bound: self.bound }
        }
    }

    fn send_request(&mut self, new_lease: impl FnOnce() -> LeaseId, io: &mut Io) {
        let (Some(login), Some(request)) = (&self.login, &self.request) else { return };
        // A new caller may have written through another session just before: until the group's
        // position is known, no instance is known to have that.
        if self.lease.is_none() && self.awaited.is_some() {
            return;
        }
        let access = self.access(request, login);
        let writes = access.is_write();
        if writes {
            self.last_write = Some(io.now);
        }
        if self.lease.is_none() {
            let routed = routed_as(access.clone(), io.context.policy, self.last_write, io.now);
            let Some(target) = target::find(&login.group, &routed, io) else { return };
            let id = new_lease();
            let read_only = !writes;
            self.lease = Some(Lease { id, target, read_only, next_exchange: 0, next_sequence: 0 });
        }
        let Some(lease) = &mut self.lease else { return };
        lease.read_only &= !writes;
        let open = self.transaction != TransactionState::Idle;
        let values = &login.parameters.values;
        let exchange = Exchange {
            lease: lease.id.clone(),
            number: lease.next_exchange,
            instance: lease.target.instance.clone(),
            tenant: login.parameters.tenant.clone(),
            access,
            priority: if writes { values.write_priority } else { values.read_priority },
            time_left: request.deadline.saturating_duration_since(io.now),
            statements: request.statements.clone(),
            settings: self.state.preamble(),
            taints: request.executes && request.facts.taints(),
            frames: request.messages.clone(),
            ready_expected: 1,
            may_commit: writes && request.executes && request.class().may_commit(open),
        };
        self.stake = stake_of(&exchange);
        self.answer_begun = false;
        lease.next_exchange += 1;
        let message = ToGateway {
            from: io.context.identity.node.clone(),
            group: login.group.clone(),
            call: GatewayCall::Exchange(Box::new(exchange)),
        };
        io.outbox.push_back(Outgoing::Gateway { node: lease.target.gateway.clone(), message });
        if let Some(request) = &mut self.request {
            request.sent = true;
        }
    }

    /// Takes in news of the lease. A gap in the sequence means that part of an answer was lost.
    pub fn on_lease_event(&mut self, sequence: u32, event: LeaseEvent, io: &mut Io) {
        let Some(lease) = &mut self.lease else { return };
        if sequence != lease.next_sequence {
            return self.end_unanswered(Fault::AnswerLost, "part of the answer was lost", io);
        }
        lease.next_sequence += 1;
        self.last_active = io.now;
        match event {
            LeaseEvent::Part(frames) => {
                self.answer_begun = true;
                self.connection.output.extend_from_slice(&frames);
            }
            LeaseEvent::Refused(refusal) => self.on_refused(refusal, io),
            LeaseEvent::NotOwner { owner } => self.on_not_owner(owner, io),
            LeaseEvent::Done { .. } => self.on_done(event, io),
        }
    }

    /// Ends the exchange under way, and the lease unless a transaction stays open.
    fn end_lease(&mut self, event: LeaseEvent, io: &Io) {
        let request = self.request.take();
        let read_only = self.lease.as_ref().is_some_and(|lease| lease.read_only);
        counting::ended(&event, self.login.as_ref(), request.as_ref(), read_only, io);
        self.hold_until = None;
        self.referred = false;
        match event {
            LeaseEvent::Part(_) | LeaseEvent::NotOwner { .. } => {}
            LeaseEvent::Done { frames, transaction, confirmed } => {
                if let Some(position) = confirmed {
                    self.raise_bound(position);
                }
                if let Some(request) = &request {
                    let Collector { statements, .. } = &mut self.collector;
                    ending::follow(&mut self.state, statements, request, &frames, transaction);
                }
                self.connection.output.extend_from_slice(&frames);
                self.transaction = transaction;
                if transaction == TransactionState::Idle {
                    self.drop_lease();
                }
            }
            LeaseEvent::Refused(refusal) => {
                // A caller that does not look at errors must not run the rest of a lost transaction
                // statement by statement.
                let ended = request.is_none_or(|request| {
                    matches!(request.class(), StatementClass::Commit | StatementClass::Rollback)
                });
                self.state.on_end(&[], UNDONE);
                self.transaction_lost = self.transaction != TransactionState::Idle && !ended;
                self.transaction = match self.transaction_lost {
                    true => TransactionState::Failed,
                    false => TransactionState::Idle,
                };
                answer::put_refusal(&refusal, "ERROR", &mut self.connection.output);
                answer::put_ready(self.transaction, &mut self.connection.output);
                self.drop_lease();
            }
        }
    }

    fn raise_bound(&mut self, position: Position) {
        let Some(login) = &self.login else { return };
        let joined = self.bound.map_or(position, |bound| bound.join(position));
        self.bound = Some(joined);
        let bound = SessionBound { group: login.group.clone(), position: joined };
        answer::put_session_token(&bound, &mut self.connection.output);
    }

    fn drop_lease(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.ended_leases.push(lease.id);
        }
    }

    /// Passes a cancel request on if `key` is this session's and something runs for it.
    pub fn cancel(&self, key: CancelKey, io: &mut Io) {
        let (Some(login), Some(lease)) = (&self.login, &self.lease) else { return };
        if login.cancel_key != key || !self.request.as_ref().is_some_and(|request| request.sent) {
            return;
        }
        let message = ToGateway {
            from: io.context.identity.node.clone(),
            group: login.group.clone(),
            call: GatewayCall::Cancel(lease.id.clone()),
        };
        io.outbox.push_back(Outgoing::Gateway { node: lease.target.gateway.clone(), message });
    }

    /// Tells the gateway that nobody waits any more.
    pub fn abandon(&mut self, io: &mut Io) {
        let (Some(login), Some(lease)) = (&self.login, &self.lease) else { return };
        let message = ToGateway {
            from: io.context.identity.node.clone(),
            group: login.group.clone(),
            call: GatewayCall::Abandon(lease.id.clone()),
        };
        io.outbox.push_back(Outgoing::Gateway { node: lease.target.gateway.clone(), message });
        self.drop_lease();
    }
}
