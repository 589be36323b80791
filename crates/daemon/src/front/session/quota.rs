//! Acquires a token for each operation of an account that has a quota.
//!
//! An operation is a statement outside a transaction or a whole transaction; it takes one token
//! before its first exchange is sent. A request that is refused without having run returns its
//! token. The quota limits the operations of an account across all nodes.

use std::time::Duration;

use kestrellock_core::ids::AccountName;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::quota::{ANSWER_TIMEOUT, Take, Ticket};
use kestrellock_peer::message::TransactionState;

use super::Session;
use crate::event::Io;

/// Longest wait for tokens. It allows three nodes, which may become the quota allocator in turn,
/// the full time to answer.
const TOKEN_TIMEOUT: Duration = ANSWER_TIMEOUT.saturating_mul(3);
/// Retry delay suggested to a client whose operation ended because no allocator answered.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Session {
    /// Determines whether a new request begins an operation, and so needs a token.
    pub(super) fn begin_operation(&mut self) {
        let begins = self.lease.is_none() && self.transaction == TransactionState::Idle;
        self.needs_token = begins && self.account.is_some();
        self.ticket = Ticket::default();
    }

    /// Makes an operation that runs a second time take a second token.
    pub(super) fn restart_operation(&mut self) {
        self.needs_token = self.account.is_some();
        self.ticket = Ticket::default();
    }

    /// Returns the token of a request that began an operation and is refused without having run.
    pub(super) fn return_token(&self, io: &Io) {
        let begins = self.transaction == TransactionState::Idle && self.request.is_some();
        if let Some(account) = self.account.as_ref().filter(|_| begins && !self.needs_token) {
            io.context.quotas.return_token(account);
        }
    }

    /// Whether the current request waits for a token of one of these accounts.
    pub fn waits_for_token(&self, accounts: &[AccountName]) -> bool {
        let account = self.account.as_ref().filter(|_| self.needs_token && self.request.is_some());
        account.is_some_and(|account| accounts.contains(account))
    }

    /// Takes a token if the operation needs one. Returns whether the operation may proceed. An
    /// operation beyond the quota is refused immediately.
    pub(super) fn acquire_token(&mut self, io: &mut Io) -> bool {
        let (Some(account), Some(request)) = (&self.account, &self.request) else { return true };
        if !self.needs_token {
            return true;
        }
        let refusal = match io.context.quotas.take(account, &mut self.ticket, io.context, io.now) {
            Take::Taken => {
                self.needs_token = false;
                return true;
            }
            Take::Pending if io.now < request.arrived + TOKEN_TIMEOUT => return false,
            Take::Pending => {
                let detail = "no node has said whether the account may ask for more";
                Refusal::new(ResultCode::QuotaUnanswered, detail)
                    .retry_after(UNANSWERED_RETRY_DELAY)
            }
            Take::Refused(wait) => {
                let detail = "the account has asked for as much as it may";
                Refusal::new(ResultCode::QuotaUsedUp, detail).retry_after(wait)
            }
        };
        self.settle_or_refuse(refusal, io);
        self.needs_token = false;
        false
    }
}
