//! The exchange under way on one back-end connection: its answer as far as it has come, and what
//! it may have committed.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use kestrellock_core::exchange_state::{Effect, ExchangeImpact, Fault, Progress, failure_code};
use kestrellock_core::ids::{InstanceName, LeaseId};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::position::{Position, Term};
use kestrellock_core::routing::{Access, Role};
use kestrellock_peer::message::{Exchange, LeaseEvent, TransactionState};
use kestrellock_protocol::backend::{BackendProtocol, Failure, Passage, Reply, ReplyKind, Report};

/// What an exchange puts at stake.
pub fn stake_of(exchange: &Exchange) -> ExchangeImpact {
    let effect = match (&exchange.access, exchange.may_commit) {
        (Access::Read { .. } | Access::PrimaryRead { .. }, _) => Effect::Read,
        (Access::Write { .. }, false) => Effect::InsideTransaction,
        (Access::Write { .. }, true) => Effect::MayCommit,
    };
    ExchangeImpact { effect, continues_transaction: exchange.number > 0 }
}

/// What remains to be done after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// More messages follow.
    Await,
    /// The answer is whole, but something may have committed unexpectedly: ask for the position.
    AskPosition,
    /// The exchange is over.
    Finished,
}

/// One `ReadyForQuery`'s worth of an answer.
#[derive(Clone, Copy, Debug, Default)]
struct Segment {
    failed: bool,
    committed: bool,
}

/// How far the position query behind the exchange is.
#[derive(Clone, Copy, Debug)]
enum PositionAnswer {
    NotDue,
    Awaited(Option<Report>),
}

/// The exchange under way.
#[derive(Debug)]
pub struct Running {
    /// Lease it belongs to.
    pub lease: LeaseId,
    /// What it puts at stake.
    pub stake: ExchangeImpact,
    /// When it was sent.
    pub sent: Instant,
    /// Latest time to answer.
    pub deadline: Instant,
    /// Bytes written for it, position query included.
    pub bytes: usize,
    /// Transaction state after the last `ReadyForQuery`.
    pub transaction: TransactionState,
    /// Messages of the answer that have not been passed on.
    pub answer: BytesMut,
    /// Whether parts of the answer have been passed on.
    pub passed_on: bool,
    asks_position: bool,
    /// Whether it commits something that wrote, if it succeeds.
    commits_write: bool,
    /// Position that the answer told.
    told: Option<Position>,
    ready_left: u32,
    position: PositionAnswer,
    segment: Segment,
    has_committed: bool,
    /// Why its first failed statement failed.
    refused_for: Option<Failure>,
}

impl Running {
    /// An exchange that is about to be sent as `bytes` bytes.
    pub fn new(exchange: &Exchange, asks_position: bool, bytes: usize, deadline: Instant) -> Self {
        Self {
            lease: exchange.lease.clone(),
            stake: stake_of(exchange),
            sent: Instant::now(),
            deadline,
            bytes,
            transaction: TransactionState::Idle,
            answer: BytesMut::new(),
            passed_on: false,
            asks_position,
            commits_write: exchange.commits_write,
            told: None,
            ready_left: exchange.ready_expected,
            position: PositionAnswer::NotDue,
            segment: Segment::default(),
            has_committed: false,
            refused_for: None,
        }
    }

    /// Position after a commit that wrote, if the answer shows one.
    pub fn shown_commit(&self) -> Option<Position> {
        let succeeded = self.refused_for.is_none() && self.transaction == TransactionState::Idle;
        self.told.filter(|_| self.commits_write && succeeded)
    }

    /// Whether something may have committed, by the answer so far.
    pub fn has_committed(&self) -> bool {
        self.has_committed
    }

    /// Position that the answer told, where answers do.
    pub fn position(&self) -> Option<Position> {
        self.told
    }

    /// Whether the instance had no room for it.
    pub fn found_no_room(&self) -> bool {
        self.refused_for == Some(Failure::Busy)
    }

    /// Whether the answer is whole.
    pub fn is_answered(&self) -> bool {
        self.ready_left == 0
    }

    /// What the instance said of its position after the exchange, if it was asked and answered.
    pub fn report(&self) -> Option<Report> {
        match self.position {
            PositionAnswer::Awaited(report) => report,
            PositionAnswer::NotDue => None,
        }
    }

    /// Takes in one message.
    pub fn on_reply(&mut self, reply: &Reply, protocol: &mut dyn BackendProtocol) -> Next {
        if let PositionAnswer::Awaited(report) = &mut self.position {
            match reply.kind {
                ReplyKind::Row => *report = protocol.report(reply),
                ReplyKind::Ready { .. } => return Next::Finished,
                _ => {}
            }
            return Next::Await;
        }
        self.watch(&reply.kind);
        match protocol.passage(reply) {
            Passage::Pass => self.answer.extend_from_slice(&reply.bytes),
            Passage::Replace(message) => self.answer.extend_from_slice(&message),
            Passage::Swallow => {}
        }
        match reply.kind {
            ReplyKind::Ready { transaction, position } => self.on_ready(transaction, position),
            _ => Next::Await,
        }
    }

    fn watch(&mut self, kind: &ReplyKind) {
        match kind {
            ReplyKind::Failed(failure) => {
                self.segment.failed = true;
                self.refused_for.get_or_insert(*failure);
            }
            ReplyKind::Completed { commits } => self.segment.committed |= commits,
            _ => {}
        }
    }

    fn on_ready(&mut self, transaction: TransactionState, position: Option<Position>) -> Next {
        self.transaction = transaction;
        self.told = position;
        let segment = std::mem::take(&mut self.segment);
        // An error rolls back what no explicit commit has ended before it.
        let ended = self.transaction == TransactionState::Idle && !segment.failed;
        let implicit = ended && self.stake.effect == Effect::MayCommit;
        self.has_committed |= segment.committed || implicit;
        self.ready_left = self.ready_left.saturating_sub(1);
        if self.ready_left > 0 {
            return Next::Await;
        }
        if let Some(position) = position {
            // Only a primary commits.
            let report = Report {
                role: Role::Primary,
                flushed: position,
                applied: position,
                held: Term::default(),
            };
            self.position = PositionAnswer::Awaited(Some(report));
            return Next::Finished;
        }
        if self.asks_position {
            self.position = PositionAnswer::Awaited(None);
            return Next::Await;
        }
        if self.has_committed {
            self.position = PositionAnswer::Awaited(None);
            return Next::AskPosition;
        }
        Next::Finished
    }

    /// The answer to give when nothing waits for confirmation. Where the instance has not run the
    /// first exchange of a lease, it becomes a code on which the front looks for another one.
    pub fn final_event(&mut self, instance: &InstanceName) -> LeaseEvent {
        let starts = !self.stake.continues_transaction && !self.has_committed && !self.passed_on;
        let idle = self.transaction == TransactionState::Idle;
        if starts
            && idle
            && let Some(refusal) = self.not_run()
        {
            return LeaseEvent::Refused(refusal.at(instance));
        }
        let frames = self.take_answer();
        let (transaction, instance) = (self.transaction, instance.clone());
        LeaseEvent::Done { frames, transaction, confirmed: None, instance }
    }

    /// The refusal that says why the instance has not run the exchange, if it has not.
    fn not_run(&self) -> Option<Refusal> {
        let (code, detail) = match self.refused_for? {
            Failure::ReadOnly if self.stake.effect != Effect::Read => {
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
            Failure::ReadOnly | Failure::TooManyConnections | Failure::Other => return None,
        };
        Some(Refusal::new(code, detail))
    }

    /// The rest of the answer.
    pub fn take_answer(&mut self) -> Bytes {
        self.answer.split().freeze()
    }

    /// What the caller is told now that the connection cannot be used any more; `unsent` is the
    /// number of bytes at the end of the exchange that the kernel has not taken.
    pub fn failure(&mut self, fault: Fault, unsent: usize, instance: &InstanceName) -> LeaseEvent {
        let idle = self.transaction == TransactionState::Idle;
        if self.is_answered() && !self.has_committed && idle {
            return self.final_event(instance);
        }
        let progress = if unsent >= self.bytes {
            Progress::Queued
        } else if self.is_answered() && self.has_committed {
            Progress::Answered
        } else {
            Progress::Sent
        };
        let stake = match self.is_answered() && !idle && !self.has_committed {
            // The transaction was still open after the answer: it ends with its connection.
            true => ExchangeImpact { effect: Effect::InsideTransaction, ..self.stake },
            false => self.stake,
        };
        let code = failure_code(stake, progress, fault);
        LeaseEvent::Refused(Refusal::new(code, detail_of(fault)).at(instance))
    }
}

fn detail_of(fault: Fault) -> &'static str {
    match fault {
        Fault::Deadline => "the back end did not answer in time",
        Fault::Superseded => "the primary has been replaced",
        Fault::InstanceConnectionLost => "the connection to the back end was lost",
        Fault::GatewayLost | Fault::GatewaySilent | Fault::AnswerLost => "the gateway was lost",
    }
}
