//! The codec of one connection to an instance.

use std::fmt::Debug;

use bytes::{Bytes, BytesMut};
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::ids::{AccountName, GroupName, InstanceName};
use kestrellock_core::position::{Position, Term};
use kestrellock_core::routing::Role;
use kestrellock_peer::message::{Exchange, TransactionState};
use kestrellock_program::secret::Secret;
use thiserror::Error;

/// The instance, database and role that a connection is opened for.
#[derive(Clone, Copy, Debug)]
pub struct BackendTarget<'a> {
    /// Group of the instance.
    pub group: &'a GroupName,
    /// The instance.
    pub instance: &'a InstanceName,
    /// Database name on the instance.
    pub database: &'a str,
    /// Account whose exchanges the connection carries; `None` if it belongs to no account.
    pub account: Option<&'a AccountName>,
    /// Role to log in as.
    pub user: &'a str,
    /// The role's password, if one is configured.
    pub password: Option<&'a Secret>,
}

/// Role and positions that an instance reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Its role.
    pub role: Role,
    /// Term and log offset up to which it has flushed.
    pub flushed: Position,
    /// Term and log offset up to which its data is visible to reads.
    pub applied: Position,
    /// Lowest term from which it accepts replication, if it has been stopped; zero otherwise.
    pub min_term: Term,
}

/// Why an instance failed a request, as far as the proxy must distinguish the reasons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The instance is read-only and the request writes. The request has not run.
    ReadOnly,
    /// The instance accepts no further connection now.
    TooManyConnections,
    /// The instance has no capacity for another statement now. The request has not run.
    Busy,
    /// The instance's data has not reached the required position. The request has not run.
    Behind,
    /// The connection leads to another instance than intended. The request has not run.
    WrongInstance,
    /// The connection lacks a prepared statement that the proxy expected on it. The request has
    /// not run.
    UnknownStatement,
    /// The request is malformed or not supported: it fails at every instance in the same way.
    Invalid,
    /// Any other error. Only the client acts on it.
    Other,
}

/// How far the statements that [`BackendProtocol::put_preparation`] has written have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreparationProgress {
    /// The instance has yet to answer some of them.
    Awaiting,
    /// The instance has answered that all of them succeeded.
    Confirmed,
    /// The instance has answered all of them, and at least one failed: the first one for this
    /// reason. The connection's state is uncertain; the next preparation establishes it anew.
    Failed(Failure),
}

/// The meaning of a message from an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// Part of an answer.
    Row,
    /// A statement has run.
    Completed {
        /// Whether it was an explicit commit.
        commits: bool,
    },
    /// A statement has failed.
    Failed(Failure),
    /// The answer, or the start-up, is complete.
    Ready {
        /// State of the transaction.
        transaction: TransactionState,
        /// Position of the instance's log, if the protocol includes it in answers.
        position: Option<Position>,
    },
    /// The instance requests authentication, or reports that it succeeded.
    Challenge,
    /// Key that cancels the statement that runs on the connection.
    CancelKey(CancelKey),
    /// A message that the proxy does not act on.
    Other,
}

/// One whole message from an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its meaning.
    pub kind: ReplyKind,
    /// The message as received.
    pub bytes: Bytes,
}

/// What to do with a message of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyAction {
    /// Forward it to the client.
    Forward,
    /// Drop it: it answers a message that the client did not send.
    Discard,
    /// Forward this message instead.
    Replace(Bytes),
}

/// Bytes from an instance that violate the protocol.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the back end broke the protocol: {0}")]
pub struct BadReply(pub String);

/// The codec of one connection to an instance.
pub trait BackendProtocol: Debug + Send {
    /// Appends the messages that open a session.
    fn put_startup(&mut self, target: &BackendTarget, output: &mut BytesMut);

    /// Answers a [`ReplyKind::Challenge`]; false if the requested authentication is not supported
    /// or cannot be answered.
    fn answer_challenge(
        &mut self,
        challenge: &Reply,
        target: &BackendTarget,
        output: &mut BytesMut,
    ) -> bool;

    /// Consumes one whole message from `input`; `None` while it is incomplete.
    fn next_reply(&mut self, input: &mut BytesMut) -> Result<Option<Reply>, BadReply>;

    /// Appends the statements that establish what `exchange` requires of the connection and that
    /// the instance has not confirmed yet, such as the client's settings; false if there are none.
    /// The exchange may be sent only after the instance has confirmed them.
    fn put_preparation(&mut self, exchange: &Exchange, output: &mut BytesMut) -> bool;

    /// Processes a message of the answers to the last preparation.
    fn on_preparation_reply(&mut self, reply: &Reply) -> PreparationProgress;

    /// Appends an exchange, adjusted to the statements that exist on the connection.
    fn put_exchange(&mut self, exchange: &Exchange, output: &mut BytesMut);

    /// What to do with a message of the exchange's answer.
    fn reply_action(&mut self, reply: &Reply) -> ReplyAction;

    /// Appends a query for the instance's role and position.
    fn put_position_query(&mut self, output: &mut BytesMut);

    /// Parses a row that answers the position query; `None` if it is malformed.
    fn report(&self, row: &Reply) -> Option<Report>;

    /// Appends a statement that rolls an open transaction back.
    fn put_rollback(&mut self, output: &mut BytesMut);

    /// Appends a statement that removes all session state that the last client may have left on
    /// the connection; false if no reset is needed before another client uses it.
    fn put_reset(&mut self, output: &mut BytesMut) -> bool;

    /// Records that the reset succeeded.
    fn on_reset(&mut self);

    /// Appends a request to cancel the statement that runs on the connection with this key.
    fn put_cancel(&mut self, key: CancelKey, output: &mut BytesMut);
}
