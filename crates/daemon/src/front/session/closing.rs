//! Ends a session during a planned stop or an isolation of its node, after its credential was
//! revoked, or after an answer that ends it.
//!
//! During a planned stop, and some time after the node became isolated, the session asks its client
//! to connect to another node once it has neither a request nor a transaction in progress. A request
//! that is on its way at that moment is refused (`kestrellock_core::session_end`). An open
//! transaction that exceeds its idle limit or the limit of the stop is aborted. Shortly before the
//! end of the stop, every request that is still in progress is refused.

use std::time::{Duration, Instant};

use kestrellock_core::classify::StatementClass;
use kestrellock_core::exchange_state::{ExchangeImpact, Fault, Progress, failure_code};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::planned_stop::{SessionActivity, SessionTransaction};
use kestrellock_core::session_end::{CrossingRequest, DisconnectNotice, EndStep, SessionEnd};
use kestrellock_peer::message::{LeaseEvent, TransactionState};
use kestrellock_protocol::client::Severity;
use kestrellock_protocol::facts_cache::FactsCache;
use kestrellock_protocol::request::{NextRequest, Request, Timing};

use super::{
    CloseReason, READ_OUTSIDE_TRANSACTION, ROLLED_BACK, Session, SessionFlow, counting,
    decision_log,
};
use crate::context::NodeContext;
use crate::event::Io;
use crate::metrics::{SessionEndEvent, UnansweredRequest};

const STOPPING_DETAIL: &str = "the node is stopping; connect to another one";
const ISOLATED_DETAIL: &str = "the node is isolated; connect to another one";
const LOST_TRANSACTION_DETAIL: &str = "the transaction was lost; the node is stopping";

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

    /// Whether a new request is refused because of a planned stop. An isolation alone refuses no
    /// request here: the node still serves the reads that it can prove to be fresh.
    pub(super) fn rejects(&self, request: &Request, io: &Io) -> bool {
        if self.transaction != TransactionState::Idle {
            return false;
        }
        let begins = request.executes
            && matches!(request.class(), StatementClass::Begin | StatementClass::BeginReadOnly);
        let notice = io.context.protocol.traits().disconnect_notice;
        let stop = io.context.stop.load();
        stop.as_ref().as_ref().is_some_and(|stop| !stop.admits(notice, begins, io.now))
    }

    /// Whether the session ends now, without waiting for another request, because the node stops or
    /// is isolated.
    pub(super) fn is_due_to_close(&self, has_just_answered: bool, io: &Io) -> bool {
        let activity = self.activity(has_just_answered);
        let notice = io.context.protocol.traits().disconnect_notice;
        let stop = io.context.stop.load();
        match stop.as_ref().as_ref().filter(|_| io.context.is_leaving()) {
            Some(stop) => stop.ends_session(&activity, notice, io.now),
            None => activity.may_end_when_isolated(notice, io.now),
        }
    }

    fn activity(&self, has_just_answered: bool) -> SessionActivity {
        let has_input = !self.connection.input.is_empty() || !self.protocol.is_between_requests();
        let transaction = match self.transaction {
            TransactionState::Idle => SessionTransaction::None,
            TransactionState::Failed if self.transaction_lost => SessionTransaction::Aborted,
            TransactionState::Open | TransactionState::Failed => SessionTransaction::Open,
        };
        SessionActivity {
            has_request: self.request.is_some() || has_input,
            has_just_answered: has_just_answered && !self.is_request_expected,
            transaction,
            last_active: self.last_active,
            share: self.close_order,
        }
    }

    /// Whether the planned stop no longer waits for the requests and transactions in progress.
    pub(super) fn must_refuse_unfinished(&self, io: &Io) -> bool {
        let stop = io.context.stop.load();
        let is_forwarded = self.request.as_ref().is_some_and(|request| request.sent);
        stop.as_ref().as_ref().is_some_and(|stop| stop.refuses_unfinished(is_forwarded, io.now))
    }

    /// Refuses the request in progress, if any, aborts an open transaction and starts to close the
    /// session, because the process is about to end.
    pub(super) fn refuse_unfinished(&mut self, io: &mut Io) -> SessionFlow {
        let Some(refusal) = self.final_refusal() else {
            return self.close_for_shutdown(None, io);
        };
        io.context.metrics.session_ends.count(SessionEndEvent::RefusedAtLimit);
        match io.context.protocol.traits().disconnect_notice {
            // A notice behind the refusal could be mistaken for it, and states another outcome.
            DisconnectNotice::IsAnswer => {
                let request = self.request.take();
                self.start_closing(refusal, request, io)
            }
            DisconnectNotice::BeginsAnswer => {
                self.abandon(io);
                self.end_lease(LeaseEvent::Refused(refusal), io);
                self.close_for_shutdown(None, io)
            }
        }
    }

    /// How the request in progress is refused when the process is about to end; `None` without one.
    fn final_refusal(&mut self) -> Option<Refusal> {
        let request = self.request.as_ref()?;
        let (progress, impact) = match request.sent {
            true => (Progress::Forwarded, self.impact),
            false => (Progress::AtFront, self.unsent_impact()),
        };
        let code = failure_code(impact, progress, Fault::NodeStopping);
        let refusal = Refusal::new(code, STOPPING_DETAIL);
        Some(self.keys.settle_without_retry(refusal))
    }

    /// What the loss of the current request affects while it has not been sent.
    fn unsent_impact(&self) -> ExchangeImpact {
        let continues_transaction = self.transaction != TransactionState::Idle;
        ExchangeImpact { continues_transaction, ..READ_OUTSIDE_TRANSACTION }
    }

    /// Asks the client to connect to another node, in answer to a request if there is one, and
    /// starts to close the session. Requests that arrive from now on do not run.
    pub(super) fn close_for_shutdown(
        &mut self,
        request: Option<Request>,
        io: &mut Io,
    ) -> SessionFlow {
        let reason = match self.transaction {
            TransactionState::Idle if io.context.stop.load().is_some() => {
                Refusal::new(ResultCode::Stopping, STOPPING_DETAIL)
            }
            TransactionState::Idle => Refusal::new(ResultCode::Stopping, ISOLATED_DETAIL),
            _ => Refusal::new(ResultCode::TransactionLost, LOST_TRANSACTION_DETAIL),
        };
        self.start_closing(reason, request, io)
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

    /// Counts a request whose answer is incomplete when this node closes the connection for
    /// `reason`. The answer may be lost in the kernel's buffers too, without the node learning it.
    pub fn count_if_unanswered(&self, reason: CloseReason, io: &Io) {
        let has_unsent_output = !self.connection.output.is_empty();
        let unanswered = match (reason, &self.request) {
            (CloseReason::ClientLeft, _) => return,
            (CloseReason::OutputLimit, _) => UnansweredRequest::OutputLimit,
            (CloseReason::Ended, Some(_)) => UnansweredRequest::InProgress,
            (CloseReason::Ended, None) if has_unsent_output => UnansweredRequest::OutputUnsent,
            (CloseReason::Ended, None) => return,
        };
        let id = self.request.as_ref().and_then(|request| request.id.as_deref());
        count_unanswered(unanswered, id, io.context, io.now);
    }

    /// Counts a session whose handling panicked. It may have read a request.
    pub fn count_panicked(&self, io: &Io) {
        let id = self.request.as_ref().and_then(|request| request.id.as_deref());
        count_unanswered(UnansweredRequest::ThreadPanicked, id, io.context, io.now);
    }

    /// Counts a request that is unfinished when the process ends.
    pub fn report_unfinished(&self, context: &NodeContext, now: Instant) {
        let id = self.request.as_ref().and_then(|request| request.id.as_deref());
        if self.is_unfinished() {
            count_unanswered(UnansweredRequest::EndOfStop, id, context, now);
        }
    }

    /// Whether a request is in progress or the kernel has not taken all output.
    pub fn is_unfinished(&self) -> bool {
        self.request.is_some() || !self.connection.output.is_empty()
    }

    /// Aborts an open transaction that has been idle for too long, or that a planned stop no longer
    /// waits for. The client receives the error with its next request.
    pub(super) fn abort_overdue_transaction(&mut self, io: &mut Io) {
        let is_idle = self.request.is_none() && self.transaction == TransactionState::Open;
        if is_idle && !self.transaction_lost && self.is_overdue(io) {
            self.abort_transaction(io);
        }
    }

    /// Aborts the transaction, if one is in progress.
    fn abort_transaction(&mut self, io: &mut Io) {
        if self.transaction == TransactionState::Idle || self.transaction_lost {
            return;
        }
        self.abandon(io);
        self.transaction_lost = true;
        self.transaction = TransactionState::Failed;
        self.state.on_exchange_end(&[], ROLLED_BACK);
    }

    fn is_overdue(&self, io: &Io) -> bool {
        let stop = io.context.stop.load();
        let is_stopped = stop.as_ref().as_ref().is_some_and(|stop| stop.ends_transactions(io.now));
        let values = self.login.as_ref().map(|login| &login.parameters.values);
        let limit = values.and_then(|values| values.transaction_idle_ms).map(Duration::from);
        let idle_time = io.now.saturating_duration_since(self.last_active);
        is_stopped || limit.is_some_and(|limit| idle_time >= limit)
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

/// Counts and logs a whole request that gets neither an answer nor a refusal.
fn count_unanswered(
    reason: UnansweredRequest,
    id: Option<&str>,
    context: &NodeContext,
    now: Instant,
) {
    context.metrics.unanswered_requests.count(reason);
    let stop = context.stop.load();
    let since_stop = stop.as_ref().as_ref().map(|stop| now.saturating_duration_since(stop.began));
    log::warn!(
        event = "request_unanswered",
        id = id.unwrap_or("-"),
        reason:? = reason,
        since_stop_ms = since_stop.map(|age| age.as_millis() as u64);
        "closed a connection without an answer to its request"
    );
}
