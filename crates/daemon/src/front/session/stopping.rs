//! Decides what a planned stop or an isolation of the node does to a session.
//!
//! During a planned stop, and some time after the node became isolated, the session asks its client
//! to connect to another node once it has neither a request nor a transaction in progress. An open
//! transaction that exceeds its idle limit or the limit of the stop is aborted. Shortly before the
//! end of the stop, every request that is still in progress is refused. The rules are in
//! `kestrellock_core::planned_stop`.

use std::time::Duration;

use kestrellock_core::classify::StatementClass;
use kestrellock_core::exchange_state::{ExchangeImpact, Fault, Progress, failure_code};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::planned_stop::{SessionActivity, SessionTransaction};
use kestrellock_core::session_end::DisconnectNotice;
use kestrellock_peer::message::{LeaseEvent, TransactionState};
use kestrellock_protocol::request::Request;

use super::{READ_OUTSIDE_TRANSACTION, ROLLED_BACK, Session, SessionFlow};
use crate::event::Io;
use crate::metrics::SessionEndEvent;

const STOPPING_DETAIL: &str = "the node is stopping; connect to another one";
const ISOLATED_DETAIL: &str = "the node is isolated; connect to another one";
const LOST_TRANSACTION_DETAIL: &str = "the transaction was lost; the node is stopping";

impl Session {
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
        let refuses = stop
            .as_ref()
            .as_ref()
            .is_some_and(|stop| stop.refuses_unfinished(is_forwarded, io.now));
        let notice = io.context.protocol.traits().disconnect_notice;
        refuses && !self.activity(false).may_read_answer(notice, io.now)
    }

    /// Whether the planned stop no longer lets a request begin that waits at a gateway.
    pub(super) fn is_withdrawn_by_stop(&self, io: &Io) -> bool {
        let stop = io.context.stop.load();
        stop.as_ref().as_ref().is_some_and(|stop| stop.withdraws_waiting(io.now))
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

    /// Aborts an open transaction that has been idle for too long, or that a planned stop no longer
    /// waits for. The client receives the error with its next request.
    pub(super) fn abort_overdue_transaction(&mut self, io: &mut Io) {
        let is_idle = self.request.is_none() && self.transaction == TransactionState::Open;
        if is_idle && !self.transaction_lost && self.is_overdue(io) {
            self.abort_transaction(io);
        }
    }

    /// Aborts the transaction, if one is in progress.
    pub(super) fn abort_transaction(&mut self, io: &mut Io) {
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
