//! How a session ends when its node is stopped as planned: the caller is told to connect to another
//! node once nothing of its own is under way, and gets time to close.

use std::time::Duration;

use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::TransactionState;
use kestrellock_protocol::caller::Severity;
use kestrellock_protocol::request::Request;

use super::{Session, SessionEnd, UNDONE};
use crate::event::Io;

/// Time without a request after which a planned stop sends a caller away unasked.
const IDLE_BEFORE_PARTING: Duration = Duration::from_secs(1);
const STOPPING: &str = "the node is stopping; connect to another one";
/// Time a caller gets to close after it has been sent away.
const PARTING_LIMIT: Duration = Duration::from_millis(500);
/// The same where it was told nothing: what it sends meanwhile finds the connection closed before
/// long.
const SILENT_PARTING_LIMIT: Duration = Duration::from_millis(100);
/// Time between the message that sends a caller away and the end of the stream.
const END_OF_STREAM_DELAY: Duration = Duration::from_millis(50);

impl Session {
    /// Whether a planned stop lets no new request begin here.
    pub(super) fn must_part(&self, io: &Io) -> bool {
        let tells = io.context.protocol.traits().tells_farewell;
        tells && io.context.is_leaving() && self.transaction == TransactionState::Idle
    }

    /// Whether a planned stop may end the session without being asked. Whatever the caller has sent by then and
    /// has not arrived yet is lost, so it must not be about to ask: nothing has been under way for a while, or it
    /// gets its answer with the end of the stream. Where the end is told the moment behind an answer is none: some
    /// client libraries take a message that answers nothing for the answer if they read both at once.
    pub(super) fn may_be_ended(&self, has_just_been_answered: bool, io: &Io) -> bool {
        let between = self.request.is_none() && self.transaction == TransactionState::Idle;
        let silent = self.connection.input.is_empty() && self.protocol.is_between_requests();
        let rested = io.now.saturating_duration_since(self.last_active) >= IDLE_BEFORE_PARTING;
        let tells = io.context.protocol.traits().tells_farewell;
        // One that has just logged in is about to ask.
        let is_behind_answer = has_just_been_answered && self.has_asked && !tells;
        between && silent && (rested || is_behind_answer)
    }

    /// Tells the caller to connect to another node, in answer to a request if there is one.
    /// Nothing that it sends from now on is run.
    pub(super) fn send_away(&mut self, request: Option<Request>, io: &mut Io) -> SessionEnd {
        let output = &mut self.connection.output;
        match request {
            Some(_) => {
                let refusal = Refusal::new(ResultCode::Stopping, STOPPING);
                self.protocol.put_refusal(&refusal, Severity::Session, output);
            }
            None => self.protocol.put_farewell(STOPPING, output),
        }
        self.abandon(io);
        self.parting_since = Some(io.now);
        self.part(io)
    }

    /// Waits for the caller to close. Closing first, with input unread, could destroy the message
    /// on its way; and some client libraries that read message and end of stream at once report
    /// only the latter.
    pub(super) fn part(&mut self, io: &mut Io) -> SessionEnd {
        self.connection.input.clear();
        let flushed = self.connection.flush(io.registry);
        let Some(began) = self.parting_since else { return SessionEnd::Close };
        let tells = io.context.protocol.traits().tells_farewell;
        let delay = if tells { END_OF_STREAM_DELAY } else { Duration::ZERO };
        if self.connection.output.is_empty() && io.now >= began + delay {
            self.connection.shut_down_sending();
        }
        let limit = if tells { PARTING_LIMIT } else { SILENT_PARTING_LIMIT };
        match io.now < began + limit && flushed.is_ok() {
            true => SessionEnd::Continue,
            false => SessionEnd::Close,
        }
    }

    /// Ends an open transaction that has rested for too long, or that a planned stop does not wait
    /// for any more. The caller hears of it when it goes on.
    pub(super) fn end_overdue_transaction(&mut self, io: &mut Io) {
        let rests = self.request.is_none() && self.transaction == TransactionState::Open;
        if !rests || self.transaction_lost || !self.is_overdue(io) {
            return;
        }
        self.abandon(io);
        self.transaction_lost = true;
        self.transaction = TransactionState::Failed;
        self.state.on_end(&[], UNDONE);
    }

    fn is_overdue(&self, io: &Io) -> bool {
        let until = *io.context.transaction_deadline.load();
        let stopped = until.is_some_and(|until| io.now >= until);
        let values = self.login.as_ref().map(|login| &login.parameters.values);
        let limit = values.and_then(|values| values.transaction_idle_ms).map(Duration::from);
        let rested = io.now.saturating_duration_since(self.last_active);
        stopped || limit.is_some_and(|limit| rested >= limit)
    }
}
