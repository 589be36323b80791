//! Closes a session during a planned stop or an isolation of its node, or after its credential was
//! revoked.
//!
//! During a planned stop, and some time after the node became isolated, the session asks its client
//! to connect to another node once it has neither a request nor a transaction in progress. The node
//! then waits for the client to close first: closing a socket with unread input makes TCP send a
//! reset, which can destroy the message on its way. An open transaction that exceeds its idle limit
//! or the limit of the stop is aborted.

use std::time::Duration;

use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::TransactionState;
use kestrellock_protocol::client::Severity;
use kestrellock_protocol::request::Request;

use super::{ROLLED_BACK, Session, SessionFlow};
use crate::event::Io;

/// Idle time after which a planned stop or an isolation closes a session without waiting for a
/// request.
const MIN_IDLE_BEFORE_CLOSE: Duration = Duration::from_secs(1);
const STOPPING_DETAIL: &str = "the node is stopping; connect to another one";
const ISOLATED_DETAIL: &str = "the node is isolated; connect to another one";
/// How long a client may take to close its connection after it was asked to connect elsewhere.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for protocols without such a message. The client learns of the stop only from the
/// closed connection, so the time in which requests it still sends are ignored must be short.
const SILENT_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay between the message that the node is stopping and the end of the stream: some client
/// libraries that read both at once report only the end of the stream.
const END_OF_STREAM_DELAY: Duration = Duration::from_millis(50);

impl Session {
    /// Whether a new request is refused because of a planned stop: the protocol has a message that
    /// asks the client to connect to another node, and no transaction is open. An isolation alone
    /// refuses no request here: the node still serves the reads that it can prove to be fresh.
    pub(super) fn rejects_new_requests(&self, io: &Io) -> bool {
        let sends_farewell = io.context.protocol.traits().sends_disconnect_notice;
        sends_farewell && io.context.is_leaving() && self.transaction == TransactionState::Idle
    }

    /// Whether a planned stop or an isolation may close the session without waiting for a request.
    ///
    /// A request that is on its way at that moment is lost, so the client must be unlikely to send
    /// one: either the session has been idle for a while, or the end of the stream follows directly
    /// after an answer. The second case only applies to protocols without a stopping message: some
    /// client libraries that read an answer and an unsolicited message at once mistake the message
    /// for the answer.
    pub(super) fn may_close_for_shutdown(&self, has_just_answered: bool, io: &Io) -> bool {
        let is_between_requests =
            self.request.is_none() && self.transaction == TransactionState::Idle;
        let has_no_input = self.connection.input.is_empty() && self.protocol.is_between_requests();
        let has_been_idle =
            io.now.saturating_duration_since(self.last_active) >= MIN_IDLE_BEFORE_CLOSE;
        let sends_farewell = io.context.protocol.traits().sends_disconnect_notice;
        // A client that has just logged in is about to send its first request.
        let follows_answer = has_just_answered && self.has_sent_request && !sends_farewell;
        is_between_requests && has_no_input && (has_been_idle || follows_answer)
    }

    /// Asks the client to connect to another node, in answer to a request if there is one, and
    /// starts to close the session. Requests that arrive from now on do not run.
    pub(super) fn close_for_shutdown(
        &mut self,
        request: Option<Request>,
        io: &mut Io,
    ) -> SessionFlow {
        let detail = if io.context.is_leaving() { STOPPING_DETAIL } else { ISOLATED_DETAIL };
        let output = &mut self.connection.output;
        match request {
            Some(_) => {
                let refusal = Refusal::new(ResultCode::Stopping, detail);
                self.protocol.put_refusal(&refusal, Severity::Session, output);
            }
            None => self.protocol.put_disconnect_notice(detail, output),
        }
        self.abandon(io);
        self.closing_since = Some(io.now);
        self.continue_closing(io)
    }

    /// Flushes the output, ends the stream after a delay and waits for the client to close. Closing
    /// first with unread input could destroy the message on its way. The delay is for client
    /// libraries that report only the end of the stream if they read it together with the message.
    pub(super) fn continue_closing(&mut self, io: &mut Io) -> SessionFlow {
        self.connection.input.clear();
        let flushed = self.connection.flush(io.registry);
        let Some(since) = self.closing_since else { return SessionFlow::Close };
        let sends_farewell = io.context.protocol.traits().sends_disconnect_notice;
        let delay = if sends_farewell { END_OF_STREAM_DELAY } else { Duration::ZERO };
        if self.connection.output.is_empty() && io.now >= since + delay {
            self.connection.shut_down_sending();
        }
        let limit = if sends_farewell { CLOSE_TIMEOUT } else { SILENT_CLOSE_TIMEOUT };
        match io.now < since + limit && flushed.is_ok() {
            true => SessionFlow::Continue,
            false => SessionFlow::Close,
        }
    }

    /// Aborts an open transaction that has been idle for too long, or that a planned stop no longer
    /// waits for. The client receives the error with its next request.
    pub(super) fn abort_overdue_transaction(&mut self, io: &mut Io) {
        let is_idle = self.request.is_none() && self.transaction == TransactionState::Open;
        if !is_idle || self.transaction_lost || !self.is_overdue(io) {
            return;
        }
        self.abandon(io);
        self.transaction_lost = true;
        self.transaction = TransactionState::Failed;
        self.state.on_exchange_end(&[], ROLLED_BACK);
    }

    fn is_overdue(&self, io: &Io) -> bool {
        let deadline = *io.context.transaction_deadline.load();
        let is_stopped = deadline.is_some_and(|deadline| io.now >= deadline);
        let values = self.login.as_ref().map(|login| &login.parameters.values);
        let limit = values.and_then(|values| values.transaction_idle_ms).map(Duration::from);
        let idle_time = io.now.saturating_duration_since(self.last_active);
        is_stopped || limit.is_some_and(|limit| idle_time >= limit)
    }
}
