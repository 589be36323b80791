//! Takes requests from a caller's input: answers those that need no back end, refuses those that may
//! not run, and keeps one at a time for a back end.

use std::time::Duration;

use kestrellock_core::classify::StatementClass;
use kestrellock_core::ids::LeaseId;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::TransactionState;

use super::{Session, SessionEnd, UNDONE, answer, counting};
use crate::front::classes::Classes;
use crate::front::request::{Next, Request};
use crate::net::connection::Connection;
use crate::shard::Io;

/// Bytes of unread answers at which a caller's next request waits.
const MAX_UNREAD_BYTES: usize = 1024 * 1024;

impl Session {
    pub(super) fn advance_requests(
        &mut self,
        new_lease: impl FnOnce() -> LeaseId,
        classes: &mut Classes,
        io: &mut Io,
    ) -> SessionEnd {
        while self.request.is_none() {
            // A caller that asks without reading the answers gets no more of them.
            if self.connection.output.len() > MAX_UNREAD_BYTES
                && (self.connection.flush(io.registry).is_err()
                    || self.connection.output.len() > MAX_UNREAD_BYTES)
            {
                return SessionEnd::Continue;
            }
            let deadline = io.now + self.time_limit();
            let must_part = self.must_part(io);
            let Connection { input, output, .. } = &mut self.connection;
            match self.collector.next(input, classes, deadline) {
                Next::Incomplete => return SessionEnd::Continue,
                Next::Terminate => return SessionEnd::Close,
                Next::Request(request) if must_part => {
                    return self.send_away(Some(request), io);
                }
                Next::Request(request) => self.take_up(request, io),
                Next::Refused(refusal) => self.refuse_request(&refusal, io),
                Next::Broken(refusal) => {
                    answer::put_refusal(&refusal, "FATAL", output);
                    return SessionEnd::Close;
                }
            }
        }
        self.drive_request(new_lease, io);
        SessionEnd::Continue
    }

    fn time_limit(&self) -> Duration {
        let login = self.login.as_ref();
        login.map_or(Duration::ZERO, |login| login.parameters.values.deadline_ms.into())
    }

    /// Answers a request that needs no back end, or keeps it for one.
    fn take_up(&mut self, mut request: Request, io: &mut Io) {
        if self.set_request_key(&request, io) {
            return;
        }
        if let Err(refusal) = self.check(&request) {
            self.refuse_request(&refusal, io);
            return;
        }
        let output = &mut self.connection.output;
        let ends = matches!(request.class(), StatementClass::Commit | StatementClass::Rollback);
        if self.transaction_lost && request.executes && ends {
            self.transaction_lost = false;
            self.transaction = TransactionState::Idle;
        } else if self.transaction_lost && !request.is_local {
            let detail = "the transaction was lost; roll it back";
            let refusal = Refusal::new(ResultCode::TransactionLost, detail);
            answer::put_refusal(&refusal, "ERROR", output);
            answer::put_ready(self.transaction, output);
            return;
        } else if !request.is_local {
            if let Err(refusal) = self.take_key(&mut request) {
                self.refuse_request(&refusal, io);
                return;
            }
            self.request = Some(request);
            self.repeats.on_first_attempt();
            return;
        }
        output.extend_from_slice(&request.rollback_replies);
        answer::put_ready(self.transaction, output);
    }

    fn check(&self, request: &Request) -> Result<(), Refusal> {
        if !request.executes {
            return Ok(());
        }
        let in_transaction = self.transaction != TransactionState::Idle;
        self.state
            .check(&request.facts, in_transaction)
            .map_err(|reason| Refusal::new(ResultCode::NotSupported, reason.to_string()))
    }

    /// Refuses a request that never reached a back end. An open transaction is given up, because
    /// the caller must not be able to commit the part of it that came before.
    pub(super) fn refuse_request(&mut self, refusal: &Refusal, io: &mut Io) {
        if self.transaction != TransactionState::Idle && !self.transaction_lost {
            self.abandon(io);
            self.transaction_lost = true;
            self.transaction = TransactionState::Failed;
            self.state.on_end(&[], UNDONE);
        }
        counting::refused(refusal, io);
        answer::put_refusal(refusal, "ERROR", &mut self.connection.output);
        answer::put_ready(self.transaction, &mut self.connection.output);
    }
}
