//! A node's side of a session, reduced to what its end depends on. Its decisions are those of the
//! node: `StopSchedule`, `SessionActivity`, `SessionEnd` and `failure_code`.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use kestrellock_core::exchange_state::{Effect, ExchangeImpact, Fault, Progress, failure_code};
use kestrellock_core::outcome::ResultCode;
use kestrellock_core::planned_stop::{SessionActivity, SessionTransaction, StopSchedule};
use kestrellock_core::session_end::{CrossingRequest, DisconnectNotice, EndStep, SessionEnd};

use crate::link::Link;
use crate::messages::{FromClient, FromNode, RequestId, RequestRecord, Statement, Transaction};
use crate::random::SeededRandom;

/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_secs(8);
/// Time after the deadline at which a request that was sent counts as unanswered.
const GATEWAY_GRACE: Duration = Duration::from_millis(200);

/// How a node ends sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rules {
    /// As the node does.
    Current,
    /// A silent end of the stream ends a session that rests or has just got an answer; later input
    /// is discarded, and the connection is closed 100 ms later. The end of the stop drops all
    /// sessions.
    SilentEndOfStream,
}

const REST_BEFORE_SILENT_END: Duration = Duration::from_secs(1);
const SILENT_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// What a session sees of its node and the network.
pub struct Io<'a> {
    pub now: u64,
    /// The time at which the node's current turn began.
    pub clock: Instant,
    pub rules: Rules,
    pub notice: DisconnectNotice,
    pub schedule: Option<StopSchedule>,
    /// The node is in the stage in which it leaves.
    pub is_leaving: bool,
    pub down: &'a mut Link,
    /// Messages to the client, with the times at which they arrive.
    pub output: Vec<(u64, FromNode)>,
    pub records: &'a mut Vec<RequestRecord>,
    pub random: &'a mut SeededRandom,
}

impl Io<'_> {
    fn send(&mut self, message: FromNode) {
        let is_large = matches!(message, FromNode::Result(_)) && self.random.happens(4);
        let transmission = if is_large { self.random.between(20, 600) } else { 0 };
        let arrival = self.down.send(self.now, transmission, self.random);
        self.output.push((arrival, message));
    }
}

/// Whether the session's connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    Continue,
    Close,
}

/// A request in progress, and what its instance does.
#[derive(Debug)]
pub struct Exchange {
    pub request: RequestId,
    statement: Statement,
    /// When it can be sent to an instance.
    pub ready_at: u64,
    /// Time from then until the answer arrives.
    pub duration: u64,
    impact: ExchangeImpact,
    is_sent: bool,
    deadline: Instant,
}

#[derive(Debug)]
enum Closing {
    Current(SessionEnd, ResultCode),
    Silent { since: Instant },
}

/// A session at a node.
#[derive(Debug)]
pub struct Session {
    /// Input that has arrived and was not read.
    pub arrived: VecDeque<FromClient>,
    pub exchange: Option<Exchange>,
    /// The session ended with a notice that followed no answer, outside a transaction.
    pub was_notified_at_rest: bool,
    /// When the last notice was written.
    pub notified_at: Option<u64>,
    input: VecDeque<FromClient>,
    is_logged_in: bool,
    has_sent_request: bool,
    was_active: bool,
    last_active: Instant,
    share: f64,
    transaction: Transaction,
    is_transaction_lost: bool,
    /// Writes of the open transaction.
    writes: Vec<RequestId>,
    closing: Option<Closing>,
    has_ended_stream: bool,
}

impl Session {
    pub fn new(share: f64, clock: Instant) -> Self {
        Self {
            arrived: VecDeque::new(),
            exchange: None,
            was_notified_at_rest: false,
            notified_at: None,
            input: VecDeque::new(),
            is_logged_in: false,
            has_sent_request: false,
            was_active: false,
            last_active: clock,
            share,
            transaction: Transaction::Idle,
            is_transaction_lost: false,
            writes: Vec::new(),
            closing: None,
            has_ended_stream: false,
        }
    }

    /// Whether the session may act without an event.
    pub fn needs_ticks(&self) -> bool {
        self.closing.is_some() || self.transaction == Transaction::Open || self.exchange.is_some()
    }

    /// Performs every step that the input, the exchange and the time allow.
    pub fn advance(&mut self, io: &mut Io) -> Flow {
        self.input.extend(self.arrived.drain(..));
        if self.closing.is_some() {
            return self.continue_closing(io);
        }
        let was_active = std::mem::take(&mut self.was_active) || !self.input.is_empty();
        if was_active {
            self.last_active = io.clock;
        }
        self.advance_exchange(io);
        if io.rules == Rules::Current
            && io.schedule.is_some_and(|stop| {
                let is_forwarded = self.exchange.as_ref().is_some_and(|exchange| exchange.is_sent);
                stop.refuses_unfinished(is_forwarded, io.clock)
                    && !self.activity(false).may_read_answer(io.notice, io.clock)
            })
        {
            return self.refuse_unfinished(io);
        }
        self.abort_overdue_transaction(io);
        self.advance_login(io);
        let flow = self.advance_requests(io);
        if self.closing.is_some() {
            return flow;
        }
        self.was_active = self.exchange.is_some();
        if self.is_due_to_close(was_active, io) {
            let ends_with_answer = was_active && self.has_sent_request;
            self.was_notified_at_rest = !ends_with_answer && self.transaction == Transaction::Idle;
            return self.close_for_stop(None, io);
        }
        flow
    }

    fn advance_login(&mut self, io: &mut Io) {
        if !self.is_logged_in && self.input.front() == Some(&FromClient::Startup) {
            self.input.pop_front();
            self.is_logged_in = true;
            io.send(FromNode::Ready(Transaction::Idle));
        }
    }

    /// Takes a whole request from the input.
    fn next_request(&mut self) -> Option<RequestId> {
        let request = self.input.iter().find_map(|message| match message {
            FromClient::Request(request) => Some(*request),
            _ => None,
        })?;
        let end = self.input.iter().position(|message| *message == FromClient::Request(request));
        self.input.drain(..=end.unwrap_or(0));
        Some(request)
    }

    fn advance_requests(&mut self, io: &mut Io) -> Flow {
        while self.is_logged_in && self.exchange.is_none() {
            let Some(request) = self.next_request() else { return Flow::Continue };
            let statement = io.records[request].statement;
            if self.rejects(statement, io) {
                return self.close_for_stop(Some(request), io);
            }
            self.has_sent_request = true;
            self.accept(request, statement, io);
        }
        Flow::Continue
    }

    fn rejects(&self, statement: Statement, io: &Io) -> bool {
        let begins = statement == Statement::Begin;
        let is_idle = self.transaction == Transaction::Idle;
        io.rules == Rules::Current
            && is_idle
            && io.schedule.is_some_and(|stop| !stop.admits(io.notice, begins, io.clock))
    }

    fn accept(&mut self, request: RequestId, statement: Statement, io: &mut Io) {
        if self.is_transaction_lost && statement.ends_transaction() {
            self.is_transaction_lost = false;
            self.transaction = Transaction::Idle;
            // Only a rollback succeeds at the end of a lost transaction.
            let answer = match statement {
                Statement::Commit => FromNode::Error(ResultCode::TransactionLost),
                _ => FromNode::Result(request),
            };
            io.send(answer);
            return io.send(FromNode::Ready(Transaction::Idle));
        }
        if self.is_transaction_lost {
            io.send(FromNode::Error(ResultCode::TransactionLost));
            return io.send(FromNode::Ready(self.transaction));
        }
        if statement == Statement::Set {
            io.send(FromNode::Result(request));
            return io.send(FromNode::Ready(self.transaction));
        }
        let deadline = io.clock + TIME_LIMIT;
        let deadline = match (io.rules, io.schedule) {
            (Rules::Current, Some(stop)) => stop.limit_deadline(deadline),
            _ => deadline,
        };
        let waits = io.random.happens(8);
        let is_slow = io.random.happens(6);
        self.exchange = Some(Exchange {
            request,
            statement,
            ready_at: io.now + if waits { io.random.between(20, 6000) } else { 1 },
            duration: io.random.between(1, if is_slow { 7000 } else { 60 }),
            impact: statement.impact(self.transaction != Transaction::Idle),
            is_sent: false,
            deadline,
        });
    }

    /// Sends the request to an instance, takes its answer, or ends it after its deadline.
    fn advance_exchange(&mut self, io: &mut Io) {
        let Some(exchange) = &mut self.exchange else { return };
        if !exchange.is_sent && io.clock < exchange.deadline && io.now >= exchange.ready_at {
            exchange.is_sent = true;
            let (request, statement) = (exchange.request, exchange.statement);
            self.run(request, statement, io.records);
        }
        let Some(exchange) = &self.exchange else { return };
        if exchange.is_sent && io.now >= exchange.ready_at + exchange.duration {
            let exchange = self.exchange.take().expect("there is an exchange");
            self.transaction = match exchange.statement {
                Statement::Begin => Transaction::Open,
                statement if statement.ends_transaction() => Transaction::Idle,
                _ => self.transaction,
            };
            io.send(FromNode::Result(exchange.request));
            io.send(FromNode::Ready(self.transaction));
        } else if exchange.is_sent && io.clock > exchange.deadline + GATEWAY_GRACE {
            self.refuse_exchange(Fault::GatewaySilent, io);
        } else if !exchange.is_sent && io.clock >= exchange.deadline {
            self.refuse_exchange(Fault::Deadline, io);
        }
    }

    /// The instance runs a request once it was sent: nothing stops it then.
    fn run(&mut self, request: RequestId, statement: Statement, records: &mut [RequestRecord]) {
        match (statement, self.transaction) {
            (Statement::Write, Transaction::Idle) => records[request].took_effect = true,
            (Statement::Write, _) => self.writes.push(request),
            (Statement::Commit, _) => {
                records[request].took_effect = true;
                self.writes.drain(..).for_each(|write| records[write].took_effect = true);
            }
            (Statement::Rollback, _) => self.writes.clear(),
            _ => {}
        }
    }

    /// Refuses the request in progress. An open transaction is rolled back.
    fn refuse_exchange(&mut self, fault: Fault, io: &mut Io) {
        let Some(exchange) = self.exchange.take() else { return };
        let in_transaction = self.transaction != Transaction::Idle;
        let unsent = ExchangeImpact { effect: Effect::Read, continues_transaction: in_transaction };
        let code = match exchange.is_sent {
            true => failure_code(exchange.impact, Progress::Forwarded, fault),
            false => failure_code(unsent, Progress::AtFront, fault),
        };
        self.writes.clear();
        self.is_transaction_lost = in_transaction && !exchange.statement.ends_transaction();
        self.transaction = match self.is_transaction_lost {
            true => Transaction::Failed,
            false => Transaction::Idle,
        };
        io.send(FromNode::Error(code));
        io.send(FromNode::Ready(self.transaction));
    }

    fn refuse_unfinished(&mut self, io: &mut Io) -> Flow {
        self.refuse_exchange(Fault::NodeStopping, io);
        self.abort_transaction();
        self.close_for_stop(None, io)
    }

    fn abort_overdue_transaction(&mut self, io: &Io) {
        let is_idle = self.exchange.is_none() && self.transaction == Transaction::Open;
        if is_idle && io.schedule.is_some_and(|stop| stop.ends_transactions(io.clock)) {
            self.abort_transaction();
        }
    }

    fn abort_transaction(&mut self) {
        if self.transaction != Transaction::Idle && !self.is_transaction_lost {
            self.writes.clear();
            self.is_transaction_lost = true;
            self.transaction = Transaction::Failed;
        }
    }

    fn is_due_to_close(&self, has_just_answered: bool, io: &Io) -> bool {
        let Some(stop) = io.schedule.filter(|_| io.is_leaving) else { return false };
        let activity = self.activity(has_just_answered);
        if io.rules == Rules::Current {
            return stop.ends_session(&activity, io.notice, io.clock);
        }
        let rests = io.clock.saturating_duration_since(self.last_active) >= REST_BEFORE_SILENT_END;
        let is_between = !activity.has_request && activity.transaction == SessionTransaction::None;
        is_between && (rests || activity.has_just_answered)
    }

    fn activity(&self, has_just_answered: bool) -> SessionActivity {
        let transaction = match self.transaction {
            Transaction::Idle => SessionTransaction::None,
            Transaction::Failed if self.is_transaction_lost => SessionTransaction::Aborted,
            Transaction::Open | Transaction::Failed => SessionTransaction::Open,
        };
        SessionActivity {
            has_request: self.exchange.is_some() || !self.input.is_empty(),
            has_just_answered: has_just_answered && self.has_sent_request,
            transaction,
            last_active: self.last_active,
            share: self.share,
        }
    }

    /// Sends the notice, in answer to a request if there is one, and starts to close the session.
    fn close_for_stop(&mut self, request: Option<RequestId>, io: &mut Io) -> Flow {
        if io.rules == Rules::SilentEndOfStream {
            self.closing = Some(Closing::Silent { since: io.clock });
            return self.continue_closing(io);
        }
        let reason = match self.transaction {
            Transaction::Idle => ResultCode::Stopping,
            _ => ResultCode::TransactionLost,
        };
        match io.notice {
            DisconnectNotice::IsAnswer => io.send(FromNode::Fatal(reason)),
            DisconnectNotice::BeginsAnswer => {
                if request.is_some() {
                    io.send(FromNode::Error(reason));
                    io.send(FromNode::Ready(self.transaction));
                }
                io.send(FromNode::Error(reason));
            }
        }
        self.notified_at = Some(io.now);
        self.closing = Some(Closing::Current(SessionEnd::new(io.notice, io.clock), reason));
        self.continue_closing(io)
    }

    fn continue_closing(&mut self, io: &mut Io) -> Flow {
        if let Some(Closing::Silent { since }) = self.closing {
            self.input.clear();
            self.end_stream(io);
            return match io.clock < since + SILENT_CLOSE_TIMEOUT {
                true => Flow::Continue,
                false => Flow::Close,
            };
        }
        self.refuse_crossing_requests(io);
        let is_flushed = io.down.is_flushed(io.now);
        let Some(Closing::Current(end, _)) = &mut self.closing else { return Flow::Close };
        match end.step(is_flushed, io.clock) {
            EndStep::Wait => Flow::Continue,
            EndStep::EndStream => {
                self.end_stream(io);
                Flow::Continue
            }
            EndStep::Close => Flow::Close,
        }
    }

    /// Ends the stream to the client; nothing can be sent afterwards.
    pub fn end_stream(&mut self, io: &mut Io) {
        if !std::mem::replace(&mut self.has_ended_stream, true) {
            io.send(FromNode::EndOfStream);
        }
    }

    fn refuse_crossing_requests(&mut self, io: &mut Io) {
        if !self.is_logged_in || io.notice == DisconnectNotice::IsAnswer {
            return self.input.clear();
        }
        while let Some(request) = self.next_request() {
            let Some(Closing::Current(end, reason)) = &mut self.closing else { return };
            let reason = *reason;
            if end.on_request(io.clock) != CrossingRequest::RefusedByNotice {
                continue;
            }
            if io.records[request].statement.ends_transaction() {
                self.transaction = Transaction::Idle;
            }
            self.notified_at = Some(io.now);
            io.send(FromNode::Ready(self.transaction));
            io.send(FromNode::Error(reason));
        }
    }
}
