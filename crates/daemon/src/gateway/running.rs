//! The exchange under way on one back-end connection: its answer as far as it has come, and what
//! it may have committed.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use kestrellock_core::exchange_state::{Effect, Fault, Progress, Stake, failure_code};
use kestrellock_core::ids::LeaseId;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::routing::Access;
use kestrellock_peer::message::{Exchange, LeaseEvent, TransactionState};

use super::prepared::{PreparedSet, Reply};
use super::probe::{Report, parse_row};
use crate::net::frames::Frame;

/// SQLSTATE of a write that a read-only server refuses.
const READ_ONLY_TRANSACTION: &str = "25006";
const COMMIT_TAG: &[u8] = b"COMMIT";
const FIELD_SQLSTATE: u8 = b'C';

/// What an exchange puts at stake.
pub fn stake_of(exchange: &Exchange) -> Stake {
    let effect = match (&exchange.access, exchange.may_commit) {
        (Access::Read { .. }, _) => Effect::Read,
        (Access::Write { .. }, false) => Effect::InsideTransaction,
        (Access::Write { .. }, true) => Effect::MayCommit,
    };
    Stake { effect, continues_transaction: exchange.number > 0 }
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
    pub stake: Stake,
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
    ready_left: u32,
    position: PositionAnswer,
    segment: Segment,
    has_committed: bool,
    refused_as_read_only: bool,
}

impl Running {
    /// An exchange that is about to be sent as `bytes` bytes.
    pub fn new(exchange: &Exchange, bytes: usize, deadline: Instant) -> Self {
        Self {
            lease: exchange.lease.clone(),
            stake: stake_of(exchange),
            deadline,
            bytes,
            transaction: TransactionState::Idle,
            answer: BytesMut::new(),
            passed_on: false,
            asks_position: exchange.may_commit,
            ready_left: exchange.ready_expected,
            position: PositionAnswer::NotDue,
            segment: Segment::default(),
            has_committed: false,
            refused_as_read_only: false,
        }
    }

    /// Whether something may have committed, by the answer so far.
    pub fn has_committed(&self) -> bool {
        self.has_committed
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
    pub fn on_frame(&mut self, frame: &Frame, prepared: &mut PreparedSet) -> Next {
        if let PositionAnswer::Awaited(report) = &mut self.position {
            match frame.tag {
                b'D' => *report = parse_row(frame.body()).ok(),
                b'Z' => return Next::Finished,
                _ => {}
            }
            return Next::Await;
        }
        self.watch(frame);
        match prepared.on_reply(frame) {
            Reply::Pass => self.answer.extend_from_slice(&frame.bytes),
            Reply::Replace(message) => self.answer.extend_from_slice(&message),
            Reply::Swallow => {}
        }
        if frame.tag == b'Z' { self.on_ready_for_query(frame) } else { Next::Await }
    }

    fn watch(&mut self, frame: &Frame) {
        match frame.tag {
            b'E' => {
                self.segment.failed = true;
                self.refused_as_read_only |=
                    sqlstate(frame.body()) == Some(READ_ONLY_TRANSACTION.as_bytes());
            }
            b'C' => self.segment.committed |= frame.body().starts_with(COMMIT_TAG),
            _ => {}
        }
    }

    fn on_ready_for_query(&mut self, frame: &Frame) -> Next {
        self.transaction = match frame.body() {
            b"T" => TransactionState::Open,
            b"E" => TransactionState::Failed,
            _ => TransactionState::Idle,
        };
        let segment = std::mem::take(&mut self.segment);
        // An error rolls back what no explicit commit has ended before it.
        let ended = self.transaction == TransactionState::Idle && !segment.failed;
        let implicit = ended && self.stake.effect == Effect::MayCommit;
        self.has_committed |= segment.committed || implicit;
        self.ready_left = self.ready_left.saturating_sub(1);
        if self.ready_left > 0 {
            return Next::Await;
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

    /// The answer to give when nothing waits for confirmation. A read-only server's refusal of
    /// the first exchange of a lease becomes a code on which the front looks for the primary.
    pub fn final_event(&mut self) -> LeaseEvent {
        let starts = !self.stake.continues_transaction && !self.has_committed && !self.passed_on;
        let idle = self.transaction == TransactionState::Idle;
        if self.refused_as_read_only && starts && idle && self.stake.effect != Effect::Read {
            let detail = "the instance is read-only";
            return LeaseEvent::Refused(Refusal::new(ResultCode::NotPrimary, detail));
        }
        let frames = self.take_answer();
        LeaseEvent::Done { frames, transaction: self.transaction, confirmed: None }
    }

    /// The rest of the answer.
    pub fn take_answer(&mut self) -> Bytes {
        self.answer.split().freeze()
    }

    /// What the caller is told now that the connection cannot be used any more; `unsent` is the
    /// number of bytes at the end of the exchange that the kernel has not taken.
    pub fn failure(&mut self, fault: Fault, unsent: usize) -> LeaseEvent {
        let idle = self.transaction == TransactionState::Idle;
        if self.is_answered() && !self.has_committed && idle {
            return self.final_event();
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
            true => Stake { effect: Effect::InsideTransaction, ..self.stake },
            false => self.stake,
        };
        let code = failure_code(stake, progress, fault);
        LeaseEvent::Refused(Refusal::new(code, detail_of(fault)))
    }
}

fn detail_of(fault: Fault) -> &'static str {
    match fault {
        Fault::Deadline => "the back end did not answer in time",
        Fault::Superseded => "the primary has been replaced",
        Fault::BackendLost => "the connection to the back end was lost",
        Fault::GatewayLost | Fault::GatewaySilent | Fault::AnswerLost => "the gateway was lost",
    }
}

/// The SQLSTATE in the body of an `ErrorResponse`.
pub fn sqlstate(body: &[u8]) -> Option<&[u8]> {
    let mut fields = body.split(|byte| *byte == 0).filter(|field| !field.is_empty());
    fields.find(|field| field[0] == FIELD_SQLSTATE).map(|field| &field[1..])
}
