//! What clients and nodes send to each other, and what becomes of each request.

use kestrellock_core::exchange_state::{Effect, ExchangeImpact};
use kestrellock_core::outcome::ResultCode;

/// Index of a request among all requests of a run.
pub type RequestId = usize;
/// Index of a connection among all connections of a run.
pub type ConnectionId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    Read,
    Write,
    /// The node answers it itself.
    Set,
    Begin,
    Commit,
    Rollback,
}

impl Statement {
    pub fn ends_transaction(self) -> bool {
        matches!(self, Self::Commit | Self::Rollback)
    }

    pub fn impact(self, in_transaction: bool) -> ExchangeImpact {
        let effect = match self {
            Self::Commit => Effect::MayCommit,
            Self::Write if !in_transaction => Effect::MayCommit,
            _ if in_transaction => Effect::InsideTransaction,
            _ => Effect::Read,
        };
        ExchangeImpact { effect, continues_transaction: in_transaction }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transaction {
    Idle,
    Open,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FromClient {
    Connect,
    Startup,
    /// The first part of a request that is sent in two parts.
    Part,
    /// A whole request, or its last part.
    Request(RequestId),
    /// The client closes its connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FromNode {
    Ready(Transaction),
    /// Rows and the result of a request.
    Result(RequestId),
    Error(ResultCode),
    /// An error that completes the answer to a request, if one waits, and ends the session.
    Fatal(ResultCode),
    /// The node has ended its stream or closed the connection, or refuses to accept it.
    EndOfStream,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Waiting,
    Answered,
    Refused(ResultCode),
    /// The client closed its connection before the answer was complete.
    GivenUp,
    /// The connection closed without a complete answer.
    Cut,
}

/// A request, and what became of it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub statement: Statement,
    pub connection: ConnectionId,
    /// When its last byte was sent.
    pub sent_at: u64,
    pub outcome: Outcome,
    /// An instance ran it, and its effect is kept.
    pub took_effect: bool,
}
