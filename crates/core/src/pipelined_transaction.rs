//! Decides which requests are refused because they were sent in a transaction that did not begin.
//!
//! A client may send the statements of a transaction without waiting for the answer to each. If its
//! `BEGIN` is refused, those behind it would run outside a transaction, and a write would commit
//! although its client asked to commit it only together with the others. The requests that have
//! arrived when the refusal is answered are therefore refused as well, up to the end of the
//! transaction. The same holds if an instance ends a transaction whose client has not asked for it.
//!
//! A client that waits for each answer has sent nothing behind the refusal, so that its next request
//! runs. A request that arrives later runs as well, even if its client had not read the refusal when
//! it sent it: the node cannot tell it from the first request of the client's next operation.

use crate::classify::{StatementClass, TextFacts};

/// How a request ended, as far as the requests behind it depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestEnd {
    /// Whether a transaction was open before the request.
    pub was_in_transaction: bool,
    /// Whether a transaction is open, or waits for its end, after the request.
    pub is_in_transaction: bool,
    /// Whether the request was refused as a whole; otherwise an instance answered it.
    pub was_refused: bool,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PipelinedRequest {
    /// It does not belong to a refused transaction.
    Runs,
    /// It belongs to the refused transaction: it is refused.
    Refused,
    /// It ends the refused transaction: it is answered as the end of a transaction that was rolled
    /// back. The requests behind it run.
    EndsTransaction,
}

/// The refused transaction of a session whose requests may still be unread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PipelinedTransaction {
    is_refused: bool,
}

impl PipelinedTransaction {
    /// Whether requests are refused. The input must then be watched for its end.
    pub fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Records the end of a request that executes statements with these facts.
    pub fn on_request_end(&mut self, facts: &TextFacts, end: RequestEnd) {
        let begins = match facts.class {
            StatementClass::Begin | StatementClass::BeginReadOnly => true,
            // If it ran, it may have ended the transaction as well.
            _ => facts.begins && end.was_refused,
        };
        let continues = end.was_in_transaction
            && matches!(facts.class, StatementClass::Read | StatementClass::Write);
        self.is_refused |= (begins || continues) && !end.is_in_transaction;
    }

    /// Records the refusal, outside a transaction, of input that was to begin one.
    pub fn on_invalid_begin(&mut self) {
        self.is_refused = true;
    }

    /// Records that nothing which the client has sent so far is unread. Its next request may answer
    /// the refusal.
    pub fn on_input_read(&mut self) {
        self.is_refused = false;
    }

    /// Decides about a request that executes statements of this class.
    pub fn on_request(&mut self, class: StatementClass) -> PipelinedRequest {
        if !self.is_refused {
            return PipelinedRequest::Runs;
        }
        match class {
            StatementClass::Commit | StatementClass::Rollback => {
                self.is_refused = false;
                PipelinedRequest::EndsTransaction
            }
            _ => PipelinedRequest::Refused,
        }
    }
}
