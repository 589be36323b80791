//! An operation's token, where its account has a quota.

use std::time::Duration;

use kestrellock_core::ids::AccountName;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::quota::{ANSWER_LIMIT, Take, Ticket};
use kestrellock_peer::message::TransactionState;

use super::Session;
use crate::event::Io;

/// Longest wait for an answer about tokens: each of the nodes that may grant has its time.
const TOKEN_WAIT: Duration = ANSWER_LIMIT.saturating_mul(3);
/// When to come back after nobody answered.
const UNANSWERED_RETRY: Duration = Duration::from_millis(100);

impl Session {
    /// A request was taken up: whether it begins an operation, and so needs a token.
    pub(super) fn begin_operation(&mut self) {
        let begins = self.lease.is_none() && self.transaction == TransactionState::Idle;
        self.needs_token = begins && self.account.is_some();
        self.ticket = Ticket::default();
    }

    /// The operation runs once more, and is counted once more.
    pub(super) fn repeat_operation(&mut self) {
        self.needs_token = self.account.is_some();
        self.ticket = Ticket::default();
    }

    /// The request under way ends with a refusal that says that it has not run: its token is given back, if
    /// it began an operation.
    pub(super) fn give_token_back(&self, io: &Io) {
        let begins = self.transaction == TransactionState::Idle && self.request.is_some();
        if let Some(account) = self.account.as_ref().filter(|_| begins && !self.needs_token) {
            io.context.quotas.return_token(account);
        }
    }

    /// Whether it waits for a token of one of these accounts.
    pub fn waits_for_token(&self, accounts: &[AccountName]) -> bool {
        let account = self.account.as_ref().filter(|_| self.needs_token && self.request.is_some());
        account.is_some_and(|account| accounts.contains(account))
    }

    /// Whether the operation may go on: it has its token, or needs none. One beyond the quota ends at once.
    pub(super) fn has_token(&mut self, io: &mut Io) -> bool {
        let (Some(account), Some(request)) = (&self.account, &self.request) else { return true };
        if !self.needs_token {
            return true;
        }
        let refusal = match io.context.quotas.take(account, &mut self.ticket, io.context, io.now) {
            Take::Taken => {
                self.needs_token = false;
                return true;
            }
            Take::Waits if io.now < request.arrived + TOKEN_WAIT => return false,
            Take::Waits => {
                let detail = "no node has said whether the account may ask for more";
                Refusal::new(ResultCode::QuotaUnanswered, detail).retry_after(UNANSWERED_RETRY)
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
