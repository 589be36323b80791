//! The codec of one client connection.

use std::fmt::Debug;

use bytes::{Bytes, BytesMut};
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::ids::NodeName;
use kestrellock_core::outcome::Refusal;
use kestrellock_core::session::SessionBound;
use kestrellock_core::session_state::ExchangeEnd;
use kestrellock_peer::message::TransactionState;

use crate::facts_cache::FactsCache;
use crate::login::Login;
use crate::request::{NextRequest, Timing};

/// What a client's start-up is checked against.
#[derive(Clone, Copy, Debug)]
pub struct StartupContext<'a> {
    /// The node that the client connected to.
    pub node: &'a NodeName,
    /// The active configuration.
    pub catalog: &'a IndexedCatalog,
}

/// The result of processing start-up bytes.
#[derive(Debug)]
pub enum StartupStep {
    /// More bytes are needed.
    Incomplete,
    /// The client is logged in.
    LoggedIn(Box<Login>),
    /// The connection only carries a request to cancel another session's statement.
    Cancel(CancelKey),
    /// The client is refused, and the connection must be closed.
    Refused(Refusal),
}

/// What a refusal ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The request.
    Request,
    /// The session.
    Session,
}

/// Limits on the unread bytes that a connection may buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InputLimits {
    /// Bytes to buffer until the start-up is complete.
    pub startup: usize,
    /// Size of the largest message after the start-up, in bytes.
    pub message: usize,
}

/// The codec of one client connection.
pub trait ClientProtocol: Debug + Send {
    /// Limits on the input to buffer.
    fn limits(&self) -> InputLimits;

    /// Processes start-up messages from `input` and writes answers to `output`.
    fn startup(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
        context: &StartupContext,
    ) -> StartupStep;

    /// Consumes whole messages from `input` until a request is complete.
    fn next_request(
        &mut self,
        input: &mut BytesMut,
        facts_cache: &mut FactsCache,
        timing: Timing,
    ) -> NextRequest;

    /// Whether no part of a request has been consumed.
    fn is_between_requests(&self) -> bool;

    /// Appends an error response of the proxy itself.
    fn put_refusal(&self, refusal: &Refusal, severity: Severity, output: &mut BytesMut);

    /// Appends the message that ends an answer and carries the transaction's state.
    fn put_ready(&self, state: TransactionState, output: &mut BytesMut);

    /// Appends the answer to a setting that only the proxy handles, without the message that ends
    /// the answer.
    fn put_setting_done(&self, output: &mut BytesMut);

    /// Appends the message that announces to an idle client that its session ends, and why.
    fn put_disconnect_notice(&self, reason: &Refusal, output: &mut BytesMut);

    /// Appends the session bound that the client may present in later sessions, if the protocol
    /// can carry it.
    fn put_session_bound(&self, bound: &SessionBound, output: &mut BytesMut);

    /// How an exchange ended, read from `answer`, the last part of its answer.
    fn exchange_end(&self, answer: &Bytes, transaction: TransactionState) -> ExchangeEnd;

    /// Removes all prepared statements, because the session has discarded them.
    fn forget_statements(&mut self);

    /// Undoes what the last request has changed in the session's prepared statements, because the
    /// request was refused.
    fn undo_request(&mut self);
}
