//! What a caller has asked for: one exchange, ready to go out or on its way.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use kestrellock_core::classify::{StatementClass, TextFacts};
use kestrellock_core::outcome::Refusal;
use kestrellock_peer::message::PreparedStatement;

/// When a request arrived and when it must have been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// When it was taken up: no earlier than its first byte arrived.
    pub arrived: Instant,
    /// Latest time to answer it.
    pub deadline: Instant,
}

/// An exchange.
#[derive(Debug)]
pub struct Request {
    /// The caller's own name for the request, where the protocol has one; for logs.
    pub id: Option<String>,
    /// Messages as a back end is to see them.
    pub messages: Bytes,
    /// Statements that must exist on the connection beforehand.
    pub statements: Vec<PreparedStatement>,
    /// What executing it does; where nothing is executed, what its statements would do.
    pub facts: Arc<TextFacts>,
    /// Whether anything is executed, rather than only prepared or described.
    pub executes: bool,
    /// The text of a request that is a single simple query: one that a request key can record.
    pub text: Option<Bytes>,
    /// What a back end would answer if every statement only rolled back, without the message that
    /// tells the transaction's state.
    pub rollback_replies: Bytes,
    /// Whether the proxy answers alone, with `rollback_replies`.
    pub is_local: bool,
    /// When it was taken up: no earlier than its first byte arrived.
    pub arrived: Instant,
    /// Latest time to answer it.
    pub deadline: Instant,
    /// Whether it has been handed to a gateway.
    pub sent: bool,
}

impl Request {
    /// What it does as a whole.
    pub fn class(&self) -> StatementClass {
        self.facts.class
    }
}

/// What the next messages of a caller are.
#[derive(Debug)]
pub enum NextRequest {
    /// Not whole yet.
    Incomplete,
    /// An exchange.
    Request(Request),
    /// A refused exchange; the caller goes on.
    Refused(Refusal),
    /// The caller says goodbye.
    Terminate,
    /// The caller breaks the protocol; it cannot go on.
    ProtocolError(Refusal),
}
