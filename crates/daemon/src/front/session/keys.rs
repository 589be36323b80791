//! A session's request keys. A client sets a key for its next write or transaction; the proxy
//! records the key in the same transaction. After a failure that leaves the outcome in doubt, the
//! request can then be retried on any node and runs at most once.
//!
//! This module decides which request uses the key, replaces its messages by those that also record
//! the key, and acts on the answers: it sends the next exchange, answers the client, rolls back, or
//! retries on a new lease.

use bytes::BytesMut;
use kestrellock_core::classify::StatementClass;
use kestrellock_core::outcome::{Execution, Refusal, ResultCode};
use kestrellock_peer::message::{LeaseEvent, TransactionState};
use kestrellock_postgres::request_key::{self, KeyedRequest, Scope, Step};
use kestrellock_protocol::request::Request;
use kestrellock_protocol::request_key::RequestKey;

use super::Session;
use crate::event::Io;

/// The request keys of one session.
#[derive(Debug, Default)]
pub(super) struct RequestKeys {
    /// Key set for the next write or transaction.
    pub next: Option<RequestKey>,
    /// Key of the open transaction.
    transaction: Option<RequestKey>,
    /// The current request, if it uses a key.
    keyed: Option<KeyedRequest>,
    /// The answer to its current exchange, as far as it has arrived.
    buffered_answer: BytesMut,
}

impl RequestKeys {
    /// Whether the next exchange may commit; `class_may` applies to a request without a key.
    pub fn may_commit(&self, class_may: bool) -> bool {
        self.keyed.as_ref().map_or(class_may, KeyedRequest::may_commit)
    }

    /// Discards the buffered answer because a new exchange is sent.
    pub fn on_sent(&mut self) {
        self.buffered_answer.clear();
    }

    /// The refusal of the current request when no further attempt is possible. An earlier attempt of
    /// a request with a key may have committed, even if `refusal` says that the current one has not.
    pub fn settle_without_retry(&mut self, refusal: Refusal) -> Refusal {
        match self.keyed.take().map(|mut keyed| keyed.on_refused(refusal.clone(), false)) {
            Some(Step::Refuse(settled)) => settled,
            _ => refusal,
        }
    }

    /// Buffers a piece of an answer that the client must not see before its commit. Returns whether
    /// it was buffered.
    pub fn buffer_until_commit(&mut self, part: &[u8]) -> bool {
        let must_wait = self.keyed.as_ref().is_some_and(KeyedRequest::must_buffer_answer);
        if must_wait {
            self.buffered_answer.extend_from_slice(part);
        }
        must_wait
    }
}

fn text_of(request: &Request) -> Option<&str> {
    std::str::from_utf8(request.text.as_ref()?).ok()
}

impl Session {
    /// Handles `SET kestrellock.request_id`. Returns whether the request was this statement.
    pub(super) fn set_request_key(&mut self, request: &Request, io: &mut Io) -> bool {
        let Some(value) = text_of(request).and_then(request_key::request_key_setting) else {
            return false;
        };
        let set = match value.as_str() {
            "" => Ok(None),
            value => RequestKey::new(value).map(Some),
        };
        let set = set.and_then(|key| match self.transaction {
            TransactionState::Idle => Ok(key),
            _ => Err(Refusal::new(
                ResultCode::RequestKeyInvalid,
                "set the request key before the transaction begins",
            )),
        });
        match set {
            Ok(key) => {
                self.keys.next = key;
                let output = &mut self.connection.output;
                self.protocol.put_setting_done(output);
                self.protocol.put_ready(self.transaction, output);
            }
            Err(refusal) => self.refuse_request(&refusal, io),
        }
        true
    }

    /// Applies the key that the client has set to the request, if the request is one that uses it.
    pub(super) fn apply_request_key(&mut self, request: &mut Request) -> Result<(), Refusal> {
        let begins = self.transaction == TransactionState::Idle;
        let scope = match request.class() {
            StatementClass::Write if begins => Scope::Statement,
            StatementClass::Begin if begins => Scope::Begin,
            StatementClass::Unknown
                if begins && self.keys.next.is_some() && request.facts.effects.is_empty() =>
            {
                let detail = "the text may hold several statements or none that can be recorded";
                return Err(Refusal::new(ResultCode::RequestKeyUnsupported, detail));
            }
            _ => return Ok(()),
        };
        self.keys.transaction = None;
        let (Some(key), Some(login)) = (self.keys.next.take(), &self.login) else { return Ok(()) };
        let Some(text) = text_of(request) else {
            let detail = "a statement under a request key must be a simple query";
            return Err(Refusal::new(ResultCode::RequestKeyUnsupported, detail));
        };
        let keyed = KeyedRequest::new(&login.parameters.tenant, &key, text, scope);
        request.messages = keyed.messages();
        self.keys.keyed = Some(keyed);
        self.keys.transaction = (scope == Scope::Begin).then_some(key);
        Ok(())
    }

    /// Handles the end of an answer.
    pub(super) fn on_exchange_done(&mut self, event: LeaseEvent, io: &mut Io) {
        let (Some(keyed), LeaseEvent::Done { frames, transaction, confirmed, instance }) =
            (&mut self.keys.keyed, &event)
        else {
            return self.end_lease(event, io);
        };
        let (transaction, confirmed, instance) = (*transaction, *confirmed, instance.clone());
        self.keys.buffered_answer.extend_from_slice(frames);
        let frames = self.keys.buffered_answer.split().freeze();
        let step = keyed.on_answer(&frames, transaction);
        if let (false, Some(position)) = (matches!(step, Step::Answer(_)), confirmed) {
            self.raise_bound(position, io);
        }
        if transaction != TransactionState::Idle
            && !matches!(step, Step::Answer(_) | Step::Continue)
        {
            // The transaction failed or could not record its key: end the lease to roll it back.
            self.abandon(io);
        }
        match step {
            Step::Answer(frames) => {
                self.keys.keyed = None;
                let event = LeaseEvent::Done { frames, transaction, confirmed, instance };
                self.end_lease(event, io);
            }
            Step::RollBack(frames) => {
                self.keys.keyed = None;
                let transaction = TransactionState::Idle;
                let event = LeaseEvent::Done { frames, transaction, confirmed, instance };
                self.end_lease(event, io);
            }
            Step::FindPrimary => {
                let detail = "the instance is read-only";
                self.on_refused(Refusal::new(ResultCode::NotPrimary, detail), io);
            }
            other => self.apply_key_step(other, io),
        }
    }

    /// Ends the request with a refusal, unless its key allows the proxy to determine the outcome.
    pub(super) fn settle_or_refuse(&mut self, refusal: Refusal, io: &mut Io) {
        let time_left = self.request.as_ref().is_some_and(|request| io.now < request.deadline);
        if let Some(keyed) = &mut self.keys.keyed {
            let step = keyed.on_refused(refusal, time_left);
            return self.apply_key_step(step, io);
        }
        let is_commit =
            self.request.as_ref().is_some_and(|request| request.class() == StatementClass::Commit);
        let in_doubt = refusal.code.execution() == Execution::InDoubt;
        match (self.keys.transaction.take(), &self.login) {
            (Some(key), Some(login)) if is_commit && in_doubt && time_left => {
                let tenant = &login.parameters.tenant;
                self.keys.keyed = Some(KeyedRequest::resolve(tenant, &key, refusal));
                self.transaction = TransactionState::Idle;
                self.apply_key_step(Step::Retry, io);
            }
            _ => self.end_lease(LeaseEvent::Refused(refusal), io),
        }
    }

    fn apply_key_step(&mut self, step: Step, io: &mut Io) {
        match (step, &self.keys.keyed, &mut self.request) {
            (Step::Retry, Some(keyed), Some(request)) => {
                request.messages = keyed.messages();
                request.sent = false;
                self.retry_at = Some(io.now);
                // Roll back a transaction that the lease may still have open before the next
                // attempt.
                self.abandon(io);
            }
            (Step::Continue, Some(keyed), Some(request)) => {
                request.messages = keyed.messages();
                request.sent = false;
                self.retry_at = None;
            }
            (Step::Refuse(refusal), _, _) => {
                self.keys.keyed = None;
                self.keys.transaction = None;
                self.abandon(io);
                self.end_lease(LeaseEvent::Refused(refusal), io);
            }
            _ => {}
        }
    }
}
