//! The exchange that runs on a server connection: the part of its answer that has arrived, and
//! whether it may have committed.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use kestrellock_core::exchange_state::{Effect, ExchangeImpact, Fault, Progress, failure_code};
use kestrellock_core::ids::{InstanceName, LeaseId};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::position::{Position, Term};
use kestrellock_core::routing::{Access, Role};
use kestrellock_peer::message::{Exchange, LeaseEvent, RequiredLead, TransactionState};
use kestrellock_protocol::backend::{
    BackendProtocol, Failure, Reply, ReplyAction, ReplyKind, Report,
};

/// What is lost or in doubt if the exchange fails.
pub fn impact_of(exchange: &Exchange) -> ExchangeImpact {
    let effect = match (&exchange.access, exchange.may_commit) {
        (Access::Read { .. } | Access::PrimaryRead { .. }, _) => Effect::Read,
        (Access::Write { .. }, false) => Effect::InsideTransaction,
        (Access::Write { .. }, true) => Effect::MayCommit,
    };
    ExchangeImpact { effect, continues_transaction: exchange.number > 0 }
}

/// What to do after a message of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// More messages follow.
    Await,
    /// The answer is complete, but the exchange may have committed unexpectedly: query the
    /// position.
    QueryPosition,
    /// The exchange is complete.
    Finished,
}

/// The part of an answer up to the next `ReadyForQuery`.
#[derive(Clone, Copy, Debug, Default)]
struct Segment {
    failed: bool,
    committed: bool,
}

/// State of the position query that follows the exchange.
#[derive(Clone, Copy, Debug)]
enum PositionQuery {
    NotDue,
    Awaited(Option<Report>),
}

/// The exchange that runs on a connection.
#[derive(Debug)]
pub struct RunningExchange {
    /// Lease that the exchange belongs to.
    pub lease: LeaseId,
    /// Id of the request, for the log.
    pub request: Option<String>,
    /// The evidence on which its instance was chosen, for the log.
    pub required_lead: Option<RequiredLead>,
    /// What is lost or in doubt if it fails.
    pub impact: ExchangeImpact,
    /// When it was sent.
    pub sent: Instant,
    /// Latest time to answer the client.
    pub deadline: Instant,
    /// Bytes written for the exchange, including the position query.
    pub bytes: usize,
    /// Transaction state after the last `ReadyForQuery`.
    pub transaction: TransactionState,
    /// Messages of the answer that have not been forwarded to the front.
    pub answer: BytesMut,
    /// Whether parts of the answer have been forwarded to the front.
    pub is_partly_forwarded: bool,
    /// Whether a position query was written together with the exchange.
    needs_query: bool,
    /// Whether the exchange, if it succeeds, commits a transaction that wrote.
    commits_write: bool,
    /// Position that the answer carried.
    answer_position: Option<Position>,
    ready_remaining: u32,
    position_query: PositionQuery,
    segment: Segment,
    has_committed: bool,
    /// Why the first failed statement failed.
    first_failure: Option<Failure>,
}

impl RunningExchange {
    /// An exchange that is about to be sent and takes `bytes` bytes on the wire.
    pub fn new(exchange: &Exchange, needs_query: bool, bytes: usize, deadline: Instant) -> Self {
        Self {
            lease: exchange.lease.clone(),
            request: exchange.request.clone(),
            required_lead: exchange.required_lead,
            impact: impact_of(exchange),
            sent: Instant::now(),
            deadline,
            bytes,
            transaction: TransactionState::Idle,
            answer: BytesMut::new(),
            is_partly_forwarded: false,
            needs_query,
            commits_write: exchange.commits_write,
            answer_position: None,
            ready_remaining: exchange.ready_expected,
            position_query: PositionQuery::NotDue,
            segment: Segment::default(),
            has_committed: false,
            first_failure: None,
        }
    }

    /// Whether the exchange, if it succeeds, commits a transaction that wrote.
    pub fn commits_write(&self) -> bool {
        self.commits_write
    }

    /// Position after a commit of a write, if the answer shows that it succeeded.
    pub fn write_commit_position(&self) -> Option<Position> {
        let succeeded = self.first_failure.is_none() && self.transaction == TransactionState::Idle;
        self.answer_position.filter(|_| self.commits_write && succeeded)
    }

    /// Whether the exchange may have committed, according to the answer so far.
    pub fn has_committed(&self) -> bool {
        self.has_committed
    }

    /// Position that the answer carried, if the protocol's answers carry positions.
    pub fn answer_position(&self) -> Option<Position> {
        self.answer_position
    }

    /// Whether the instance refused the exchange because it was busy.
    pub fn found_instance_busy(&self) -> bool {
        self.first_failure == Some(Failure::Busy)
    }

    /// Whether the instance answered that it accepts no writes.
    pub fn found_instance_read_only(&self) -> bool {
        self.first_failure == Some(Failure::ReadOnly)
    }

    /// Whether the answer is complete.
    pub fn is_answered(&self) -> bool {
        self.ready_remaining == 0
    }

    /// The instance's report of its position after the exchange, if it was queried and has
    /// answered.
    pub fn report(&self) -> Option<Report> {
        match self.position_query {
            PositionQuery::Awaited(report) => report,
            PositionQuery::NotDue => None,
        }
    }

    /// Processes one message from the instance.
    pub fn on_reply(&mut self, reply: &Reply, protocol: &mut dyn BackendProtocol) -> Next {
        if let PositionQuery::Awaited(report) = &mut self.position_query {
            match reply.kind {
                ReplyKind::Row => *report = protocol.report(reply),
                ReplyKind::Ready { .. } => return Next::Finished,
                _ => {}
            }
            return Next::Await;
        }
        self.track_outcome(&reply.kind);
        match protocol.reply_action(reply) {
            ReplyAction::Forward => self.answer.extend_from_slice(&reply.bytes),
            ReplyAction::Replace(message) => self.answer.extend_from_slice(&message),
            ReplyAction::Discard => {}
        }
        match reply.kind {
            ReplyKind::Ready { transaction, position } => self.on_ready(transaction, position),
            _ => Next::Await,
        }
    }

    fn track_outcome(&mut self, kind: &ReplyKind) {
        match kind {
            ReplyKind::Failed(failure) => {
                self.segment.failed = true;
                self.first_failure.get_or_insert(*failure);
            }
            ReplyKind::Completed { commits } => self.segment.committed |= commits,
            _ => {}
        }
    }

    fn on_ready(&mut self, transaction: TransactionState, position: Option<Position>) -> Next {
        self.transaction = transaction;
        self.answer_position = position;
        let segment = std::mem::take(&mut self.segment);
        // An error rolls back the implicit transaction; earlier explicit commits remain.
        let ended = self.transaction == TransactionState::Idle && !segment.failed;
        let implicit = ended && self.impact.effect == Effect::MayCommit;
        self.has_committed |= segment.committed || implicit;
        self.ready_remaining = self.ready_remaining.saturating_sub(1);
        if self.ready_remaining > 0 {
            return Next::Await;
        }
        if let Some(position) = position {
            // Only a primary commits, so a committing instance has that role.
            let report = Report {
                role: Role::Primary,
                flushed: position,
                applied: position,
                min_term: Term::default(),
            };
            self.position_query = PositionQuery::Awaited(Some(report));
            return Next::Finished;
        }
        if self.needs_query {
            self.position_query = PositionQuery::Awaited(None);
            return Next::Await;
        }
        if self.has_committed {
            self.position_query = PositionQuery::Awaited(None);
            return Next::QueryPosition;
        }
        Next::Finished
    }

    /// The answer for the front when no commit needs confirmation. If the instance has not run the
    /// first exchange of a lease, this is a refusal upon which the front tries another instance.
    pub fn final_event(&mut self, instance: &InstanceName) -> LeaseEvent {
        let starts =
            !self.impact.continues_transaction && !self.has_committed && !self.is_partly_forwarded;
        let idle = self.transaction == TransactionState::Idle;
        if starts
            && idle
            && let Some(refusal) = self.not_run_refusal()
        {
            return LeaseEvent::Refused(refusal.at(instance));
        }
        let frames = self.take_answer();
        let (transaction, instance) = (self.transaction, instance.clone());
        LeaseEvent::Done { frames, transaction, confirmed: None, instance }
    }

    /// The refusal that says why the instance has not run the exchange; `None` if it may have run.
    fn not_run_refusal(&self) -> Option<Refusal> {
        let (code, detail) = match self.first_failure? {
            Failure::ReadOnly if self.impact.effect != Effect::Read => {
                (ResultCode::NotPrimary, "the instance is read-only")
            }
            Failure::Busy => (ResultCode::BackendBusy, "the instance has no room"),
            Failure::Behind => {
                (ResultCode::NoFreshInstance, "the instance has not reached the position")
            }
            Failure::WrongInstance => {
                (ResultCode::WrongInstance, "another instance answers at the address")
            }
            Failure::UnknownStatement => {
                (ResultCode::NotSent, "the connection had lost the statement")
            }
            Failure::ReadOnly | Failure::TooManyConnections | Failure::Invalid | Failure::Other => {
                return None;
            }
        };
        Some(Refusal::new(code, detail))
    }

    /// Takes the part of the answer that has not been forwarded.
    pub fn take_answer(&mut self) -> Bytes {
        self.answer.split().freeze()
    }

    /// The event for the front when the connection is lost. `unsent` is the number of bytes of the
    /// exchange that the kernel has not accepted for sending.
    pub fn failure_event(
        &mut self,
        fault: Fault,
        unsent: usize,
        instance: &InstanceName,
    ) -> LeaseEvent {
        let idle = self.transaction == TransactionState::Idle;
        if self.is_answered() && !self.has_committed && idle {
            return self.final_event(instance);
        }
        let is_unsent = unsent >= self.bytes;
        let progress = Progress::at_gateway(is_unsent, self.is_answered(), self.has_committed);
        let impact = match self.is_answered() && !idle && !self.has_committed {
            // The transaction was still open after the answer: closing the connection rolls it
            // back.
            true => ExchangeImpact { effect: Effect::InsideTransaction, ..self.impact },
            false => self.impact,
        };
        let code = failure_code(impact, progress, fault);
        LeaseEvent::Refused(Refusal::new(code, fault_detail(fault)).at(instance))
    }
}

fn fault_detail(fault: Fault) -> &'static str {
    match fault {
        Fault::Deadline => "the back end did not answer in time",
        Fault::Superseded => "the primary has been replaced",
        Fault::InstanceConnectionLost => "the connection to the back end was lost",
        Fault::GatewayLost | Fault::GatewaySilent | Fault::AnswerLost => "the gateway was lost",
        Fault::NodeStopping => "the node is stopping",
    }
}
