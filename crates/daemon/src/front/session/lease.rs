//! The server lease: a session's exclusive use of one pooled server connection for a transaction,
//! the events that arrive for it and the ways it ends.
//!
//! A gateway numbers the events of a lease. A gap in the numbers means that part of an answer was
//! lost between nodes; the exchange then fails instead of returning an incomplete answer.

use std::time::Instant;

use bytes::Bytes;
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::classify::StatementClass;
use kestrellock_core::exchange_state::Fault;
use kestrellock_core::ids::{InstanceName, LeaseId, NodeName};
use kestrellock_core::outcome::{Execution, Refusal, ResultCode};
use kestrellock_core::session_state::Effect;
use kestrellock_peer::message::{GatewayCall, HeldLease, LeaseEvent, ToGateway, TransactionState};
use kestrellock_protocol::request::Request;

use super::{ROLLED_BACK, Session, counting, decision_log};
use crate::event::{Io, Outgoing};
use crate::front::target::RequestTarget;

/// Exclusive use of one pooled server connection.
#[derive(Debug)]
pub(super) struct Lease {
    pub id: LeaseId,
    pub target: RequestTarget,
    /// Whether no exchange of this lease can have written so far.
    pub read_only: bool,
    pub next_exchange: u32,
    pub next_sequence: u32,
    /// When the last exchange was sent.
    pub sent: Instant,
    /// Whether the gateway was asked not to run what still waits there.
    pub is_withdrawn: bool,
}

impl Session {
    /// The current lease, if any.
    pub fn lease_id(&self) -> Option<&LeaseId> {
        self.lease.as_ref().map(|lease| &lease.id)
    }

    /// Whether an exchange is in progress at a gateway of `node`.
    pub fn waits_for(&self, node: &NodeName) -> bool {
        let sent = self.request.as_ref().is_some_and(|request| request.sent);
        sent && self.lease.as_ref().is_some_and(|lease| lease.target.gateway == *node)
    }

    /// The session's lease at a gateway of `node`, if any, as reported to that gateway after a
    /// reconnect.
    pub fn held_lease(&self, node: &NodeName, now: Instant) -> Option<HeldLease> {
        let lease = self.lease.as_ref().filter(|lease| lease.target.gateway == *node)?;
        let waits = self.waits_for(node);
        Some(HeldLease {
            lease: lease.id.clone(),
            next_sequence: lease.next_sequence,
            sent_ago: waits.then(|| now.saturating_duration_since(lease.sent)),
        })
    }

    /// Whether the event with this number has not been received for the current lease.
    pub fn has_missed(&self, sequence: u32) -> bool {
        self.lease.as_ref().is_some_and(|lease| sequence >= lease.next_sequence)
    }

    /// Handles an event of the lease. A gap in the sequence means that part of an answer was lost.
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
            LeaseEvent::NotInProgress { has_not_run } => self.on_exchange_unknown(has_not_run, io),
            LeaseEvent::Done { .. } => self.on_exchange_done(event, io),
        }
    }

    /// Ends the current exchange, and the lease unless a transaction stays open.
    pub(super) fn end_lease(&mut self, event: LeaseEvent, io: &Io) {
        let event = match event {
            LeaseEvent::Refused(refusal) => LeaseEvent::Refused(refusal.with_default_retry_hint()),
            other => other,
        };
        // An interrupted read counts as not run because it changed nothing, but an instance may
        // have spent time on it, so its token is not returned.
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
        self.lacked_primary = false;
        self.retry_backoff.on_success();
        self.is_wait_logged = false;
        match event {
            LeaseEvent::Part(_)
            | LeaseEvent::NotOwner { .. }
            | LeaseEvent::NotInProgress { .. } => {}
            LeaseEvent::Done { frames, transaction, confirmed, .. } => {
                self.track_writes(request.as_ref(), &frames, transaction, io);
                if let Some(position) = confirmed {
                    self.raise_bound(position, io);
                }
                if let Some(request) = &request {
                    self.update_state(request, &frames, transaction);
                }
                self.connection.output.extend_from_slice(&frames);
                let previous = std::mem::replace(&mut self.transaction, transaction);
                if let Some(request) = &request {
                    self.track_transaction(request, previous, false);
                }
                if transaction == TransactionState::Idle {
                    self.drop_lease();
                }
            }
            LeaseEvent::Refused(refusal) => {
                self.writes.on_lost();
                // The transaction stays failed until the client ends it. Otherwise a client that
                // ignores errors would run the remaining statements outside a transaction.
                let ended = request.as_ref().is_none_or(|request| {
                    matches!(request.class(), StatementClass::Commit | StatementClass::Rollback)
                });
                self.state.on_exchange_end(&[], ROLLED_BACK);
                let previous = self.transaction;
                self.transaction_lost = previous != TransactionState::Idle && !ended;
                self.transaction = match self.transaction_lost {
                    true => TransactionState::Failed,
                    false => TransactionState::Idle,
                };
                if let Some(request) = &request {
                    self.track_transaction(request, previous, true);
                }
                self.put_request_refusal(&refusal);
                self.protocol.put_ready(self.transaction, &mut self.connection.output);
                self.drop_lease();
            }
        }
    }

    /// Logs how the request ended.
    fn log_end(&self, event: &LeaseEvent, request: Option<&Request>, io: &Io) {
        let instance = match event {
            LeaseEvent::Done { instance, .. } => Some(instance),
            LeaseEvent::Refused(refusal) => refusal.instance.as_ref(),
            LeaseEvent::Part(_)
            | LeaseEvent::NotOwner { .. }
            | LeaseEvent::NotInProgress { .. } => None,
        };
        let instance = instance.map(InstanceName::as_str);
        match (event, request, &self.login) {
            (LeaseEvent::Refused(refusal), request, login) => {
                let account = self.account.as_ref();
                decision_log::log_refused(request, login.as_ref(), account, instance, refusal, io);
            }
            (LeaseEvent::Done { .. }, Some(request), Some(login)) => {
                decision_log::log_answered(request, login, instance, io);
            }
            _ => {}
        }
    }

    /// Tracks whether the open transaction has written, for protocols in which the commit of a
    /// transaction that wrote is evidence of a primary.
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
        // Only these classes need their outcome; parsing other answers, which may be long, would be
        // wasted.
        let failed = matches!(class, StatementClass::Write | StatementClass::Commit)
            && self.protocol.exchange_end(answer, transaction).failed;
        let open = transaction != TransactionState::Idle;
        self.writes.on_answer(class, failed, open);
    }

    /// Updates the session's state (settings, prepared statements) after an answered exchange.
    fn update_state(&mut self, request: &Request, answer: &Bytes, transaction: TransactionState) {
        let effects: &[Effect] = if request.executes { &request.facts.effects } else { &[] };
        if !self.state.needs_exchange_end(effects) {
            return;
        }
        let end = self.protocol.exchange_end(answer, transaction);
        self.state.on_exchange_end(effects, end);
        if !end.failed && effects.contains(&Effect::Discard) {
            self.protocol.forget_statements();
        }
    }

    pub(super) fn drop_lease(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.ended_leases.push(lease.id);
        }
    }

    /// Forwards a cancel request to the gateway if `key` belongs to this session and one of its
    /// requests is running.
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

    /// Asks the gateway not to run the request in progress if it still waits there.
    pub(super) fn withdraw_waiting(&mut self, io: &mut Io) {
        let is_sent = self.request.as_ref().is_some_and(|request| request.sent);
        let lease = self.lease.as_mut().filter(|lease| is_sent && !lease.is_withdrawn);
        let (Some(login), Some(lease)) = (&self.login, lease) else { return };
        lease.is_withdrawn = true;
        let message = ToGateway {
            from: io.context.identity.node.clone(),
            group: login.group.clone(),
            call: GatewayCall::Withdraw(lease.id.clone()),
        };
        io.outbox.push_back(Outgoing::Gateway { node: lease.target.gateway.clone(), message });
    }

    /// Ends the lease and notifies the gateway that this session no longer waits for an answer.
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
