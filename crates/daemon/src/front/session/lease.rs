//! The lease: a session's use of one back-end connection, the events that arrive on it and the ways
//! it ends.

use std::time::Instant;

use bytes::Bytes;
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::classify::StatementClass;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{InstanceName, LeaseId, NodeName};
use kestrellock_core::outcome::{Execution, Refusal, ResultCode};
use kestrellock_core::session_state::Effect;
use kestrellock_peer::message::{GatewayCall, HeldLease, LeaseEvent, ToGateway, TransactionState};
use kestrellock_protocol::caller::Severity;
use kestrellock_protocol::request::Request;

use super::{ROLLED_BACK, Session, counting, decision_log};
use crate::event::{Io, Outgoing};
use crate::front::target::Target;

/// The use of one back-end connection.
#[derive(Debug)]
pub(super) struct Lease {
    pub id: LeaseId,
    pub target: Target,
    /// Whether nothing on it can have written so far.
    pub read_only: bool,
    pub next_exchange: u32,
    pub next_sequence: u32,
    /// When the last exchange was sent.
    pub sent: Instant,
}

impl Session {
    /// The lease in use, if any.
    pub fn lease_id(&self) -> Option<&LeaseId> {
        self.lease.as_ref().map(|lease| &lease.id)
    }

    /// Whether an exchange is under way with a gateway of `node`.
    pub fn waits_for(&self, node: &NodeName) -> bool {
        let sent = self.request.as_ref().is_some_and(|request| request.sent);
        sent && self.lease.as_ref().is_some_and(|lease| lease.target.gateway == *node)
    }

    /// What a gateway of `node` is to know of the session's lease there, if it has one.
    pub fn held_lease(&self, node: &NodeName, now: Instant) -> Option<HeldLease> {
        let lease = self.lease.as_ref().filter(|lease| lease.target.gateway == *node)?;
        let waits = self.waits_for(node);
        Some(HeldLease {
            lease: lease.id.clone(),
            next_sequence: lease.next_sequence,
            sent_ago: waits.then(|| now.saturating_duration_since(lease.sent)),
        })
    }

    /// Whether the lease's message with this number has not been received.
    pub fn has_missed(&self, sequence: u32) -> bool {
        self.lease.as_ref().is_some_and(|lease| sequence >= lease.next_sequence)
    }

    /// Takes in news of the lease. A gap in the sequence means that part of an answer was lost.
    pub fn on_lease_event(&mut self, sequence: u32, event: LeaseEvent, io: &mut Io) {
        let Some(lease) = &mut self.lease else { return };
        if sequence != lease.next_sequence {
            return self.end_unanswered(Fault::AnswerLost, "part of the answer was lost", io);
        }
        lease.next_sequence += 1;
        self.last_active = io.now;
        match event {
            LeaseEvent::Part(frames) if self.keys.buffer_until_commit(&frames) => {}
            LeaseEvent::Part(frames) => {
                self.answer_begun = true;
                self.connection.output.extend_from_slice(&frames);
            }
            LeaseEvent::Refused(refusal) => self.on_refused(refusal, io),
            LeaseEvent::NotOwner { owner } => self.on_not_owner(owner, io),
            LeaseEvent::NotUnderWay { has_not_run } => self.on_not_under_way(has_not_run, io),
            LeaseEvent::Done { .. } => self.on_exchange_done(event, io),
        }
    }

    /// Ends the exchange under way, and the lease unless a transaction stays open.
    pub(super) fn end_lease(&mut self, event: LeaseEvent, io: &Io) {
        let event = match event {
            LeaseEvent::Refused(refusal) => LeaseEvent::Refused(refusal.with_usual_hint()),
            other => other,
        };
        // A read that broke off changed nothing, but an instance may have run it.
        let has_not_run = |refusal: &Refusal| {
            let not_run = refusal.code.execution() == Execution::NotRun;
            not_run && refusal.code != ResultCode::ReadInterrupted
        };
        if matches!(&event, LeaseEvent::Refused(refusal) if has_not_run(refusal)) {
            self.return_token(io);
        }
        let request = self.request.take();
        let read_only = self.lease.as_ref().is_some_and(|lease| lease.read_only);
        self.log_end(&event, request.as_ref(), io);
        counting::ended(&event, self.login.as_ref(), request.as_ref(), read_only, io);
        self.retry_at = None;
        self.followed_referral = false;
        self.excluded_instance = None;
        self.retry_backoff.on_success();
        self.is_wait_logged = false;
        match event {
            LeaseEvent::Part(_) | LeaseEvent::NotOwner { .. } | LeaseEvent::NotUnderWay { .. } => {}
            LeaseEvent::Done { frames, transaction, confirmed, .. } => {
                self.track_writes(request.as_ref(), &frames, transaction, io);
                if let Some(position) = confirmed {
                    self.raise_bound(position);
                }
                if let Some(request) = &request {
                    self.update_state(request, &frames, transaction);
                }
                self.connection.output.extend_from_slice(&frames);
                self.transaction = transaction;
                if transaction == TransactionState::Idle {
                    self.drop_lease();
                }
            }
            LeaseEvent::Refused(refusal) => {
                self.writes.on_lost();
                // A caller that does not look at errors must not run the rest of a lost transaction
                // statement by statement.
                let ended = request.is_none_or(|request| {
                    matches!(request.class(), StatementClass::Commit | StatementClass::Rollback)
                });
                self.state.on_end(&[], ROLLED_BACK);
                self.transaction_lost = self.transaction != TransactionState::Idle && !ended;
                self.transaction = match self.transaction_lost {
                    true => TransactionState::Failed,
                    false => TransactionState::Idle,
                };
                let output = &mut self.connection.output;
                self.protocol.put_refusal(&refusal, Severity::Request, output);
                self.protocol.put_ready(self.transaction, output);
                self.drop_lease();
            }
        }
    }

    /// Tells in the log how the request ended.
    fn log_end(&self, event: &LeaseEvent, request: Option<&Request>, io: &Io) {
        let instance = match event {
            LeaseEvent::Done { instance, .. } => Some(instance),
            LeaseEvent::Refused(refusal) => refusal.instance.as_ref(),
            LeaseEvent::Part(_) | LeaseEvent::NotOwner { .. } | LeaseEvent::NotUnderWay { .. } => {
                None
            }
        };
        let instance = instance.map(InstanceName::as_str);
        match (event, request, &self.login) {
            (LeaseEvent::Refused(refusal), request, login) => {
                let account = self.account.as_ref();
                decision_log::refused(request, login.as_ref(), account, instance, refusal, io);
            }
            (LeaseEvent::Done { .. }, Some(request), Some(login)) => {
                decision_log::answered(request, login, instance, io);
            }
            _ => {}
        }
    }

    /// Remembers whether the open transaction has written, where commits that wrote are evidence.
    fn track_writes(
        &mut self,
        request: Option<&Request>,
        answer: &Bytes,
        transaction: TransactionState,
        io: &Io,
    ) {
        if !io.context.protocol.traits().positions_in_answers {
            return;
        }
        let Some(request) = request else { return };
        let class = request.class();
        // Other answers may be long, and whether they failed does not matter here.
        let failed = matches!(class, StatementClass::Write | StatementClass::Commit)
            && self.protocol.exchange_end(answer, transaction).failed;
        let open = transaction != TransactionState::Idle;
        self.writes.on_answer(class, failed, open);
    }

    /// Lets the session's state follow an exchange that its back end has answered.
    fn update_state(&mut self, request: &Request, answer: &Bytes, transaction: TransactionState) {
        let effects: &[Effect] = if request.executes { &request.facts.effects } else { &[] };
        if !self.state.follows(effects) {
            return;
        }
        let end = self.protocol.exchange_end(answer, transaction);
        self.state.on_end(effects, end);
        if !end.failed && effects.contains(&Effect::Discard) {
            self.protocol.forget_statements();
        }
    }

    pub(super) fn drop_lease(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.ended_leases.push(lease.id);
        }
    }

    /// Passes a cancel request on if `key` is this session's and something runs for it.
    pub fn cancel(&self, key: CancelKey, io: &mut Io) {
        let (Some(login), Some(lease)) = (&self.login, &self.lease) else { return };
        if login.cancel_key != key || !self.request.as_ref().is_some_and(|request| request.sent) {
            return;
        }
        let message = ToGateway {
            from: io.context.identity.node.clone(),
            group: login.group.clone(),
            call: GatewayCall::Cancel(lease.id.clone()),
        };
        io.outbox.push_back(Outgoing::Gateway { node: lease.target.gateway.clone(), message });
    }

    /// Tells the gateway that nobody waits any more.
    pub fn abandon(&mut self, io: &mut Io) {
        let (Some(login), Some(lease)) = (&self.login, &self.lease) else { return };
        let message = ToGateway {
            from: io.context.identity.node.clone(),
            group: login.group.clone(),
            call: GatewayCall::Abandon(lease.id.clone()),
        };
        io.outbox.push_back(Outgoing::Gateway { node: lease.target.gateway.clone(), message });
        self.drop_lease();
    }
}
