//! Ends a session: sends the notice or the last answer, refuses requests that cross the notice, and
//! closes the connection once the client has closed or had time to.
//!
//! A session that was closed without these steps would leave a request that is on its way without an
//! answer or a refusal. The rules are in `kestrellock_core::session_end`.

use kestrellock_core::classify::StatementClass;
use kestrellock_core::outcome::Refusal;
use kestrellock_core::session_end::{CrossingRequest, DisconnectNotice, EndStep, SessionEnd};
use kestrellock_peer::message::TransactionState;
use kestrellock_protocol::client::Severity;
use kestrellock_protocol::facts_cache::FactsCache;
use kestrellock_protocol::request::{NextRequest, Request, Timing};

use super::unanswered::count_unanswered;
use super::{CloseReason, Session, SessionFlow, counting, decision_log};
use crate::event::Io;
use crate::metrics::{SessionEndEvent, UnansweredRequest};

/// A session that is being ended.
#[derive(Debug)]
pub(super) struct Closing {
    end: SessionEnd,
    /// The reason that the notice states; `None` if the client ends the session.
    reason: Option<Refusal>,
}

impl Session {
    /// Whether this node is ending the session.
    pub fn is_closing(&self) -> bool {
        self.closing.is_some()
    }

    /// Ends the session for `reason`: refuses `request`, if any, sends the notice and waits for the
    /// client to close.
    pub(super) fn start_closing(
        &mut self,
        reason: Refusal,
        request: Option<Request>,
        io: &mut Io,
    ) -> SessionFlow {
        let notice = match self.is_logged_in() {
            true => io.context.protocol.traits().disconnect_notice,
            // A refused login has no further part, in any protocol.
            false => DisconnectNotice::IsAnswer,
        };
        self.abort_transaction(io);
        let output = &mut self.connection.output;
        if let Some(request) = &request {
            counting::refused(&reason, io);
            let (login, account) = (self.login.as_ref(), self.account.as_ref());
            decision_log::log_refused(Some(request), login, account, None, &reason, io);
            self.protocol.put_refusal(&reason, Severity::Session, output);
        }
        match (notice, request) {
            (DisconnectNotice::IsAnswer, Some(_)) => {}
            (DisconnectNotice::BeginsAnswer, Some(request)) => {
                self.transaction = state_after_refusal(self.transaction, &request);
                self.protocol.put_ready(self.transaction, output);
                self.protocol.put_disconnect_notice(&reason, output);
            }
            (_, None) => self.protocol.put_disconnect_notice(&reason, output),
        }
        self.abandon(io);
        io.context.metrics.session_ends.count(SessionEndEvent::Notified);
        let end = SessionEnd::new(notice, io.now);
        self.closing = Some(Closing { end, reason: Some(reason) });
        self.continue_closing(&mut FactsCache::default(), io)
    }

    /// Ends the session with a refusal of what the client has sent, and sends what is left of the
    /// answers before it. Closing at once would drop output that the kernel has not taken, and with
    /// unread input it would make TCP send a reset, which can destroy the refusal.
    pub(super) fn end_with_refusal(&mut self, refusal: Refusal, io: &mut Io) -> SessionFlow {
        self.protocol.put_refusal(&refusal, Severity::Session, &mut self.connection.output);
        self.close_after_output(Some(refusal), io)
    }

    /// Ends the session on the client's request, once the answers to earlier requests are sent.
    pub(super) fn end_for_client(&mut self, io: &mut Io) -> SessionFlow {
        match self.connection.flush(io.registry) {
            Ok(()) if !self.connection.output.is_empty() => self.close_after_output(None, io),
            _ => SessionFlow::Close(CloseReason::ClientLeft),
        }
    }

    fn close_after_output(&mut self, reason: Option<Refusal>, io: &mut Io) -> SessionFlow {
        self.abandon(io);
        self.closing = Some(Closing { end: SessionEnd::after_last_answer(io.now), reason });
        self.continue_closing(&mut FactsCache::default(), io)
    }

    /// Refuses requests that crossed the notice, flushes the output, and closes the connection once
    /// the client had time to close it.
    pub(super) fn continue_closing(
        &mut self,
        classes: &mut FactsCache,
        io: &mut Io,
    ) -> SessionFlow {
        let flow = self.read_while_closing(classes, io);
        if flow != SessionFlow::Continue {
            return flow;
        }
        let unsent = self.connection.output.len();
        if self.connection.flush(io.registry).is_err() {
            return SessionFlow::Close(CloseReason::ClientLeft);
        }
        let Some(closing) = &mut self.closing else { return SessionFlow::Continue };
        if self.connection.output.len() < unsent {
            closing.end.on_output_taken(io.now);
        }
        match closing.end.step(self.connection.output.is_empty(), io.now) {
            EndStep::Wait => SessionFlow::Continue,
            EndStep::EndStream => {
                self.connection.shut_down_sending();
                SessionFlow::Continue
            }
            EndStep::Close => SessionFlow::Close(CloseReason::Ended),
        }
    }

    /// Handles what the client sent before it learned that its session ends.
    fn read_while_closing(&mut self, classes: &mut FactsCache, io: &mut Io) -> SessionFlow {
        let Some(closing) = &mut self.closing else { return SessionFlow::Continue };
        if !closing.end.discards_input() {
            return self.refuse_crossing_requests(classes, io);
        }
        // The last message has refused the login, or the next request, and ends the session.
        let goes_on = closing.end.on_discarded(self.connection.input.len());
        self.connection.input.clear();
        if goes_on { SessionFlow::Continue } else { SessionFlow::Close(CloseReason::Ended) }
    }

    fn refuse_crossing_requests(&mut self, classes: &mut FactsCache, io: &mut Io) -> SessionFlow {
        let timing = Timing { arrived: io.now, deadline: io.now };
        loop {
            match self.protocol.next_request(&mut self.connection.input, classes, timing) {
                NextRequest::Incomplete => return SessionFlow::Continue,
                NextRequest::Terminate => return self.end_for_client(io),
                NextRequest::ProtocolError(refusal) => {
                    // The notice has refused it; refusals of earlier requests may be unsent.
                    return self.close_after_output(Some(refusal), io);
                }
                NextRequest::Request(request) => self.refuse_crossing(Some(&request), io),
                NextRequest::Refused(_) => self.refuse_crossing(None, io),
            }
        }
    }

    /// Refuses a request that the client sent before it read the notice.
    fn refuse_crossing(&mut self, request: Option<&Request>, io: &mut Io) {
        let Some(closing) = &mut self.closing else { return };
        let outcome = closing.end.on_request(io.now);
        match outcome {
            CrossingRequest::Refused => {}
            CrossingRequest::Unanswered => {
                let id = request.and_then(|request| request.id.as_deref());
                count_unanswered(UnansweredRequest::AfterEndOfStream, id, io.context, io.now);
            }
            CrossingRequest::RefusedByNotice | CrossingRequest::RefusedLast => {
                if let Some(request) = request {
                    self.transaction = state_after_refusal(self.transaction, request);
                }
                let Some(reason) = &closing.reason else { return };
                let output = &mut self.connection.output;
                self.protocol.put_ready(self.transaction, output);
                if outcome == CrossingRequest::RefusedByNotice {
                    self.protocol.put_disconnect_notice(reason, output);
                }
                counting::refused(reason, io);
                io.context.metrics.session_ends.count(SessionEndEvent::RefusedCrossing);
                let (login, account) = (self.login.as_ref(), self.account.as_ref());
                decision_log::log_refused(request, login, account, None, reason, io);
            }
        }
    }
}

/// The state of the transaction after the refusal of `request`: a refused commit or rollback ends
/// the transaction as well.
fn state_after_refusal(transaction: TransactionState, request: &Request) -> TransactionState {
    match request.class() {
        StatementClass::Commit | StatementClass::Rollback => TransactionState::Idle,
        _ => transaction,
    }
}
