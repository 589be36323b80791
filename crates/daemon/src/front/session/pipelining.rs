//! Refuses what a client sent in a transaction that did not begin, before it read the refusal. The
//! rules are in `kestrellock_core::pipelined_transaction`.

use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::pipelined_transaction::{PipelinedRequest, RequestEnd};
use kestrellock_peer::message::TransactionState;
use kestrellock_protocol::request::{RefusedRequest, Request};

use super::{Session, counting, decision_log};
use crate::event::Io;
use crate::net::connection::ReadOutcome;

impl Session {
    /// Reads what the client has sent so far, and stops refusing requests once all of it has been
    /// handled. This runs before the refusal is sent, so that a client which waits for it has sent
    /// nothing.
    pub(super) fn read_pipelined_input(&mut self) {
        let is_unread = !self.connection.input.is_empty() || !self.protocol.is_between_requests();
        if !self.pipelined_transaction.is_refused() || is_unread {
            return;
        }
        // The end of the stream is handled at the connection's next event.
        let outcome = self.connection.fill_up_to(self.input_limit());
        self.more_to_read |= outcome == ReadOutcome::Full;
        if self.connection.input.is_empty() {
            self.pipelined_transaction.on_input_read();
        }
    }

    /// Refuses the request if it was sent in a transaction that did not begin. Returns whether it
    /// was.
    pub(super) fn refuse_pipelined(&mut self, request: &Request, io: &Io) -> bool {
        if request.is_local || !request.executes {
            return false;
        }
        match self.pipelined_transaction.on_request(request.class()) {
            PipelinedRequest::Runs => return false,
            PipelinedRequest::EndsTransaction => {
                self.connection.output.extend_from_slice(&request.rollback_replies);
            }
            PipelinedRequest::Refused => {
                let detail = "the transaction in which the statement was sent was refused";
                let refusal = Refusal::new(ResultCode::TransactionLost, detail);
                counting::refused(&refusal, io);
                let (login, account) = (self.login.as_ref(), self.account.as_ref());
                decision_log::log_refused(Some(request), login, account, None, &refusal, io);
                self.put_request_refusal(&refusal);
            }
        }
        self.protocol.put_ready(self.transaction, &mut self.connection.output);
        true
    }

    /// Refuses a request before it is kept to be sent.
    pub(super) fn refuse_accepted(&mut self, request: &Request, refusal: &Refusal, io: &mut Io) {
        let previous = self.transaction;
        self.refuse_request(refusal, io);
        self.track_transaction(request, previous, true);
    }

    /// Refuses input that is no valid request.
    pub(super) fn refuse_invalid(&mut self, refused: &RefusedRequest, io: &mut Io) {
        self.refuse_request(&refused.refusal, io);
        if refused.begins_transaction && self.transaction == TransactionState::Idle {
            self.pipelined_transaction.on_invalid_begin();
        }
    }

    /// Records that `request` has ended, in the transaction state `previous`, and whether it was
    /// refused.
    pub(super) fn track_transaction(
        &mut self,
        request: &Request,
        previous: TransactionState,
        was_refused: bool,
    ) {
        if !request.executes {
            return;
        }
        let end = RequestEnd {
            was_in_transaction: previous != TransactionState::Idle,
            is_in_transaction: self.transaction != TransactionState::Idle,
            was_refused,
        };
        self.pipelined_transaction.on_request_end(&request.facts, end);
    }
}
