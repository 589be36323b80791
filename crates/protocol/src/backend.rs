//! The translator of one connection to a back end.

use std::fmt::Debug;

use bytes::{Bytes, BytesMut};
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::ids::{AccountName, GroupName, InstanceName};
use kestrellock_core::position::{Position, Term};
use kestrellock_core::routing::Role;
use kestrellock_peer::message::{Exchange, TransactionState};
use kestrellock_program::secret::Secret;
use thiserror::Error;

/// What a connection is opened to.
#[derive(Clone, Copy, Debug)]
pub struct BackendTarget<'a> {
    /// Group of the instance.
    pub group: &'a GroupName,
    /// The instance.
    pub instance: &'a InstanceName,
    /// Database name on the instance.
    pub database: &'a str,
    /// Account whose exchanges the connection carries; `None`: those of nobody in particular.
    pub account: Option<&'a AccountName>,
    /// Role to log in as.
    pub user: &'a str,
    /// The role's password, if a secret holds one.
    pub password: Option<&'a Secret>,
}

/// What an instance said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Its role.
    pub role: Role,
    /// Term and offset flushed to its log.
    pub flushed: Position,
    /// Term and offset its readers see.
    pub applied: Position,
    /// Term below which it receives nothing, if it has been stopped; zero otherwise.
    pub min_term: Term,
}

/// Why a back end did not do what it was asked, as far as the proxy must tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// It only reads, and was asked to write. It has not run.
    ReadOnly,
    /// It accepts no further connection now.
    TooManyConnections,
    /// It has no room for another statement now. It has not run.
    Busy,
    /// Its data has not reached the position that was asked for. It has not run.
    Behind,
    /// It is not the instance that was asked for. It has not run.
    WrongInstance,
    /// It does not have a prepared statement that the connection was believed to have. It has not
    /// run.
    UnknownStatement,
    /// Anything else: the caller's own affair.
    Other,
}

/// What a message of a back end means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// Part of an answer.
    Row,
    /// A statement has run; `commits`: it was an explicit commit.
    Completed {
        /// Whether it was an explicit commit.
        commits: bool,
    },
    /// A statement has failed.
    Failed(Failure),
    /// The answer, or the start-up, is over.
    Ready {
        /// State of the transaction.
        transaction: TransactionState,
        /// Position of the instance's log, where answers tell it.
        position: Option<Position>,
    },
    /// The back end asks for proof of the login, or grants it.
    Challenge,
    /// Key that cancels what runs on the connection.
    CancelKey(CancelKey),
    /// Nothing that the proxy acts on.
    Other,
}

/// One whole message of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// What it means.
    pub kind: ReplyKind,
    /// The message as it came.
    pub bytes: Bytes,
}

/// What to do with a message of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyAction {
    /// Pass it on.
    Forward,
    /// It answers something the caller did not send.
    Discard,
    /// Pass this on instead.
    Replace(Bytes),
}

/// Bytes of a back end that follow no protocol.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the back end broke the protocol: {0}")]
pub struct BadReply(pub String);

/// The translator of one connection to a back end.
pub trait BackendProtocol: Debug + Send {
    /// Appends what opens a session.
    fn put_startup(&mut self, target: &BackendTarget, output: &mut BytesMut);

    /// Answers a [`ReplyKind::Challenge`]; false where no answer is known.
    fn answer_challenge(
        &mut self,
        challenge: &Reply,
        target: &BackendTarget,
        output: &mut BytesMut,
    ) -> bool;

    /// Takes one whole message off `input`; `None` while it is incomplete.
    fn next_reply(&mut self, input: &mut BytesMut) -> Result<Option<Reply>, BadReply>;

    /// Appends what must be answered before a lease's first exchange may go out, such as the
    /// caller's settings; false if nothing must.
    fn put_preparation(&mut self, exchange: &Exchange, output: &mut BytesMut) -> bool;

    /// The preparation for `exchange` succeeded.
    fn on_prepared(&mut self, exchange: &Exchange);

    /// Appends an exchange, adjusted to what the connection has.
    fn put_exchange(&mut self, exchange: &Exchange, output: &mut BytesMut);

    /// What becomes of a message of the exchange's answer.
    fn reply_action(&mut self, reply: &Reply) -> ReplyAction;

    /// Appends a question for role and position.
    fn put_position_query(&mut self, output: &mut BytesMut);

    /// What a row that answers the question says.
    fn report(&self, row: &Reply) -> Option<Report>;

    /// Appends what rolls an open transaction back.
    fn put_rollback(&mut self, output: &mut BytesMut);

    /// Appends what removes everything that the last caller may have left behind; false if nothing
    /// has to be removed before another caller uses the connection.
    fn put_reset(&mut self, output: &mut BytesMut) -> bool;

    /// The reset succeeded.
    fn on_reset(&mut self);

    /// Appends a request to cancel what runs on the connection with this key.
    fn put_cancel(&mut self, key: CancelKey, output: &mut BytesMut);
}
