//! Decides what happens to a request that was not answered: it is retried where that is safe, or
//! ends with a refusal whose code states whether it may have run.
//!
//! A request is retried if it has certainly not run and no open transaction was lost with it, or if
//! it is a read outside a transaction that an instance interrupted and the session's retry budget
//! allows it. It is never retried once a part of its answer has been sent to the client or its
//! deadline has passed. The baseline policy [`Policy::ResendOnError`] also retries requests that
//! may have run. A request with a request key has further ways to be retried (`keys`).

use std::time::Duration;

use kestrellock_core::exchange_state::{Effect, Fault, Progress, failure_code, may_retry};
use kestrellock_core::ids::NodeName;
use kestrellock_core::outcome::{Execution, Refusal, ResultCode};
use kestrellock_core::retry::Backoff;

use super::{READ_OUTSIDE_TRANSACTION, Session, decision_log};
use crate::event::Io;
use crate::policy::Policy;

/// Delays between attempts of a request. They grow because an instance that is down refuses each
/// attempt immediately.
pub(super) const RETRY_BACKOFF: Backoff =
    Backoff::new(Duration::from_millis(5), Duration::from_millis(80));

impl Session {
    /// The connection to the gateway of the current exchange closed.
    pub fn on_gateway_lost(&mut self, io: &mut Io) {
        self.mark_unreachable(io);
        self.end_unanswered(Fault::GatewayLost, "the connection to the gateway was lost", io);
    }

    /// The request could not be sent to the gateway's node, or that node left without running it.
    pub fn on_undelivered(&mut self, io: &mut Io) {
        self.mark_unreachable(io);
        let code = failure_code(self.impact, Progress::AtFront, Fault::GatewayLost);
        self.on_refused(Refusal::new(code, "no connection to the gateway"), io);
    }

    /// Routes work for the gateway's instances to their standbys for a short time.
    fn mark_unreachable(&self, io: &Io) {
        if let Some(lease) = &self.lease {
            io.context.routing_overrides.avoid(&lease.target.gateway, io.now);
        }
    }

    /// Whether the current exchange may run a second time: it only reads, outside a transaction,
    /// and no part of its answer has been sent to the client.
    pub fn is_safe_to_retry(&self) -> bool {
        let reads_only = self.impact.effect == Effect::Read && !self.impact.continues_transaction;
        reads_only && !self.answer_begun
    }

    /// The gateway of the current exchange does not respond.
    pub fn on_silent_gateway(&mut self, io: &mut Io) {
        self.mark_unreachable(io);
        self.end_unanswered(Fault::GatewaySilent, "the gateway did not answer in time", io);
    }

    /// After the link to the gateway was replaced, the gateway does not know the exchange.
    /// `has_not_run` is true if it never received it; otherwise it may have run and its answer is
    /// lost.
    pub(super) fn on_exchange_unknown(&mut self, has_not_run: bool, io: &mut Io) {
        if !has_not_run {
            return self.end_unanswered(Fault::AnswerLost, "the gateway lost the answer", io);
        }
        let code = failure_code(self.impact, Progress::AtFront, Fault::GatewayLost);
        self.on_refused(Refusal::new(code, "the statement did not reach the gateway"), io);
    }

    /// Ends an exchange that the gateway may have run. The lease ends too, so nothing more is sent
    /// on it and a transaction whose commit has not been sent can no longer commit.
    pub(super) fn end_unanswered(&mut self, fault: Fault, detail: &str, io: &mut Io) {
        let code = failure_code(self.impact, Progress::Forwarded, fault);
        self.abandon(io);
        self.on_refused(Refusal::new(code, detail), io);
    }

    /// The gateway has not run the request because it does not own the instance. The request goes
    /// to the owner that the gateway named without delay. If that owner refuses too, the request is
    /// retried after the usual delay, so that two nodes that name each other cause no tight loop.
    pub(super) fn on_not_owner(&mut self, owner: Option<NodeName>, io: &mut Io) {
        let is_isolated = owner.is_none() && io.context.isolation.is_isolated();
        if is_isolated && !self.impact.continues_transaction {
            return self.refuse_isolated(io);
        }
        let is_immediate = owner.is_some() && !self.followed_referral;
        if let Some(lease) = &self.lease {
            let routing_overrides = &io.context.routing_overrides;
            match &lease.target.instance {
                Some(instance) => routing_overrides.set_referral(instance, owner, io.now),
                // Another owner of the group may be able to serve it.
                None => routing_overrides.avoid(&lease.target.gateway, io.now),
            }
        }
        let refusal = Refusal::new(ResultCode::NotOwner, "the gateway does not own the instance");
        self.on_refused(refusal, io);
        if is_immediate {
            self.retry_at = None;
        }
        self.followed_referral = is_immediate;
    }

    /// Retries the request with another instance or gateway where that is safe, or ends it.
    pub(super) fn on_refused(&mut self, refusal: Refusal, io: &mut Io) {
        let retries_read = refusal.code == ResultCode::ReadInterrupted
            && !self.impact.continues_transaction
            && self.read_retries.try_retry();
        let retries_unsafely = io.context.policy == Policy::ResendOnError
            && refusal.code.execution() == Execution::InDoubt
            && !self.impact.continues_transaction;
        let may_retry = may_retry(self.impact, refusal.code) || retries_read || retries_unsafely;
        if retries_read {
            self.restart_operation();
        }
        self.lacked_primary |= refusal.code == ResultCode::NotPrimary;
        let lacks_primary = match refusal.code {
            ResultCode::NotPrimary => may_retry,
            ResultCode::DeadlineBeforeSend => self.lacked_primary,
            _ => false,
        };
        match &mut self.request {
            Some(request) if may_retry && !self.answer_begun && io.now < request.deadline => {
                decision_log::log_retried(request, &refusal, io);
                request.sent = false;
                let delay = self.retry_backoff.on_failure(rand::random());
                self.retry_at = Some(io.now + refusal.retry_after.unwrap_or(delay));
                self.excluded_instance = refusal.instance;
                self.drop_lease();
            }
            // The deadline has passed, here or at the gateway, while the request was retried for
            // want of a primary: report that rather than the refusal of the last attempt.
            Some(_) if lacks_primary && !self.answer_begun => {
                let code =
                    failure_code(READ_OUTSIDE_TRANSACTION, Progress::AtFront, Fault::Deadline);
                self.settle_or_refuse(Refusal::new(code, refusal.detail), io);
            }
            _ => self.settle_or_refuse(refusal, io),
        }
    }
}
