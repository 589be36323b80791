//! A client's request: one exchange, waiting to be sent or in progress.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use kestrellock_core::classify::{StatementClass, TextFacts};
use kestrellock_core::outcome::Refusal;
use kestrellock_peer::message::PreparedStatement;

/// Arrival time and deadline of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// When the front started to read it: no earlier than its first byte arrived.
    pub arrived: Instant,
    /// Time by which it must be answered.
    pub deadline: Instant,
}

/// One exchange that a client has requested.
#[derive(Debug)]
pub struct Request {
    /// The client's identifier of the request, if the protocol has one; used in logs.
    pub id: Option<String>,
    /// Messages to send to the instance.
    pub messages: Bytes,
    /// Statements that must already exist on the server connection.
    pub statements: Vec<PreparedStatement>,
    /// Effects of the executed statements, or, if none is executed, of the statements that are
    /// prepared or described.
    pub facts: Arc<TextFacts>,
    /// Whether any statement is executed, rather than only prepared or described.
    pub executes: bool,
    /// The text, if the request is a single simple query. Only such a request can be recorded
    /// under a request key.
    pub text: Option<Bytes>,
    /// What an instance would answer if every statement only rolled back, without the message
    /// that carries the transaction's state.
    pub rollback_replies: Bytes,
    /// Whether the proxy answers the request itself, with `rollback_replies`.
    pub is_local: bool,
    /// When the front started to read it: no earlier than its first byte arrived.
    pub arrived: Instant,
    /// Time by which it must be answered.
    pub deadline: Instant,
    /// Whether it has been sent to a gateway.
    pub sent: bool,
}

impl Request {
    /// Class of the request as a whole.
    pub fn class(&self) -> StatementClass {
        self.facts.class
    }
}

/// Input that is refused because it is no valid request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Why it is refused.
    pub refusal: Refusal,
    /// Whether it was to begin a transaction, whose other statements may follow without waiting.
    pub begins_transaction: bool,
}

impl RefusedRequest {
    /// A refused request that begins no transaction.
    pub fn new(refusal: Refusal) -> Self {
        Self { refusal, begins_transaction: false }
    }
}

/// What the next messages of a client amount to.
#[derive(Debug)]
pub enum NextRequest {
    /// The request is not complete yet.
    Incomplete,
    /// A complete request.
    Request(Request),
    /// A refused request; the session continues.
    Refused(RefusedRequest),
    /// The client ends its session.
    Terminate,
    /// The client violated the protocol; the session must end.
    ProtocolError(Refusal),
}
