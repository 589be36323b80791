//! What follows when a request was not answered: it goes out again where that is safe, or ends with
//! a refusal that says whether it may have run.

use std::time::Duration;

use kestrellock_core::exchange_state::{Effect, Fault, Progress, failure_code, may_go_out_again};
use kestrellock_core::ids::NodeName;
use kestrellock_core::outcome::{Execution, Refusal, ResultCode};
use kestrellock_core::retry::Backoff;

use super::{NOTHING_AT_STAKE, Session, decisions};
use crate::event::Io;
use crate::policy::Policy;

/// Waits before a statement that surely has not run goes out again. They grow, since an instance that
/// has stopped receiving refuses each attempt at once.
pub(super) const RESENDING: Backoff =
    Backoff::new(Duration::from_millis(5), Duration::from_millis(80));

impl Session {
    /// The connection to the gateway of the exchange under way closed.
    pub fn on_gateway_lost(&mut self, io: &mut Io) {
        self.mark_unreachable(io);
        self.end_unanswered(Fault::GatewayLost, "the connection to the gateway was lost", io);
    }

    /// The request could not be handed to the gateway's node, or that node ended without running
    /// it.
    pub fn on_unsent(&mut self, io: &mut Io) {
        self.mark_unreachable(io);
        let code = failure_code(self.stake, Progress::Held, Fault::GatewayLost);
        self.on_refused(Refusal::new(code, "no connection to the gateway"), io);
    }

    /// Lets work for the gateway's instances go to their standbys for a while.
    fn mark_unreachable(&self, io: &Io) {
        if let Some(lease) = &self.lease {
            io.context.routing_overrides.avoid(&lease.target.gateway, io.now);
        }
    }

    /// Whether nothing is lost if the exchange under way runs twice, and no other answer has begun.
    pub fn may_run_twice(&self) -> bool {
        let read = self.stake.effect == Effect::Read && !self.stake.continues_transaction;
        read && !self.answer_begun
    }

    /// The gateway of the exchange under way does not answer.
    pub fn on_silent_gateway(&mut self, io: &mut Io) {
        self.mark_unreachable(io);
        self.end_unanswered(Fault::GatewaySilent, "the gateway did not answer in time", io);
    }

    /// The connection to the gateway was replaced, and the gateway knows nothing of the exchange.
    pub(super) fn on_not_under_way(&mut self, has_not_run: bool, io: &mut Io) {
        if !has_not_run {
            return self.end_unanswered(Fault::AnswerLost, "the gateway lost the answer", io);
        }
        let code = failure_code(self.stake, Progress::Held, Fault::GatewayLost);
        self.on_refused(Refusal::new(code, "the statement did not reach the gateway"), io);
    }

    /// Ends an exchange that the gateway may have run. The lease is over: nothing more goes out on
    /// it, so a transaction whose commit has not been sent cannot commit any more.
    pub(super) fn end_unanswered(&mut self, fault: Fault, detail: &str, io: &mut Io) {
        let code = failure_code(self.stake, Progress::HandedOver, fault);
        self.abandon(io);
        self.on_refused(Refusal::new(code, detail), io);
    }

    /// The gateway has not run the request. It goes to the node that the gateway names at once, and
    /// after that by this node's own knowledge.
    pub(super) fn on_not_owner(&mut self, owner: Option<NodeName>, io: &mut Io) {
        let at_once = owner.is_some() && !self.referred;
        if let Some(lease) = &self.lease {
            let routing_overrides = &io.context.routing_overrides;
            match &lease.target.instance {
                Some(instance) => routing_overrides.set_referral(instance, owner, io.now),
                // Another owner of the group may do better.
                None => routing_overrides.avoid(&lease.target.gateway, io.now),
            }
        }
        let refusal = Refusal::new(ResultCode::NotOwner, "the gateway does not own the instance");
        self.on_refused(refusal, io);
        if at_once {
            self.hold_until = None;
        }
        self.referred = at_once;
    }

    /// Holds the request for another instance or gateway where that is safe, or ends it.
    pub(super) fn on_refused(&mut self, refusal: Refusal, io: &mut Io) {
        let unfinished_read = refusal.code == ResultCode::ReadInterrupted
            && !self.stake.continues_transaction
            && self.repeats.try_retry();
        let unsafe_resend = io.context.policy == Policy::ResendOnError
            && refusal.code.execution() == Execution::InDoubt
            && !self.stake.continues_transaction;
        let again = may_go_out_again(self.stake, refusal.code) || unfinished_read || unsafe_resend;
        if unfinished_read {
            self.repeat_operation();
        }
        match &mut self.request {
            Some(request) if again && !self.answer_begun && io.now < request.deadline => {
                decisions::retried(request, &refusal, io);
                request.sent = false;
                let wait = self.resending.on_failure(rand::random());
                self.hold_until = Some(io.now + refusal.retry_after.unwrap_or(wait));
                self.passed_over = refusal.instance;
                self.drop_lease();
            }
            // Sent back for the last time: what the caller waited for in vain is a primary.
            Some(_) if again && !self.answer_begun && refusal.code == ResultCode::NotPrimary => {
                let code = failure_code(NOTHING_AT_STAKE, Progress::Held, Fault::Deadline);
                self.settle_or_refuse(Refusal::new(code, refusal.detail), io);
            }
            _ => self.settle_or_refuse(refusal, io),
        }
    }
}
