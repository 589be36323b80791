//! The translator of one caller's connection.

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

/// What a start-up is judged by.
#[derive(Clone, Copy, Debug)]
pub struct StartupContext<'a> {
    /// The node that the caller connected to.
    pub node: &'a NodeName,
    /// The configuration in force.
    pub catalog: &'a IndexedCatalog,
}

/// What the next start-up bytes led to.
#[derive(Debug)]
pub enum StartupStep {
    /// More bytes are needed.
    Incomplete,
    /// The caller is in.
    LoggedIn(Box<Login>),
    /// The caller wants another session's statement cancelled, and nothing else.
    Cancel(CancelKey),
    /// The caller is refused and the connection to be closed.
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

/// Bytes that a connection may hold unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InputLimits {
    /// Before the start-up is over.
    pub startup: usize,
    /// Largest message afterwards.
    pub message: usize,
}

/// The translator of one caller's connection.
pub trait ClientProtocol: Debug + Send {
    /// Bytes to buffer.
    fn limits(&self) -> InputLimits;

    /// Handles start-up messages in `input`, writing answers to `output`.
    fn startup(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
        surroundings: &StartupContext,
    ) -> StartupStep;

    /// Takes whole messages off `input` until a request is complete.
    fn next_request(
        &mut self,
        input: &mut BytesMut,
        classes: &mut FactsCache,
        timing: Timing,
    ) -> NextRequest;

    /// Whether no part of a request has been taken in.
    fn is_between_requests(&self) -> bool;

    /// Appends an error of the proxy's own.
    fn put_refusal(&self, refusal: &Refusal, severity: Severity, output: &mut BytesMut);

    /// Appends the message that ends an answer and tells the transaction's state.
    fn put_ready(&self, state: TransactionState, output: &mut BytesMut);

    /// Appends the answer to a setting that concerns the proxy alone, without the end.
    fn put_setting_done(&self, output: &mut BytesMut);

    /// Appends the message that sends an idle caller away, if the protocol has one.
    fn put_disconnect_notice(&self, detail: &str, output: &mut BytesMut);

    /// Tells the caller the bound that its later sessions may bring along, if the protocol can.
    fn put_session_bound(&self, bound: &SessionBound, output: &mut BytesMut);

    /// How an exchange ended whose answer ends with `answer`.
    fn exchange_end(&self, answer: &Bytes, transaction: TransactionState) -> ExchangeEnd;

    /// The session has discarded its prepared statements.
    fn forget_statements(&mut self);
}
