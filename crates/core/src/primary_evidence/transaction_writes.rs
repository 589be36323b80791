//! Which answers of a session acknowledge a commit that wrote.

use crate::classify::StatementClass;

/// Tracks whether a session's transaction has written, to determine which answers acknowledge a
/// commit of writes.
///
/// Only such a commit is evidence. A commit without writes waits for no replica, so an old primary
/// acknowledges it as well.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransactionWrites {
    in_transaction: bool,
    wrote: bool,
}

impl TransactionWrites {
    /// Handles the answer to an exchange; `open` is whether a transaction is open after it. Returns
    /// whether the answer acknowledges a commit of writes.
    pub fn on_answer(&mut self, class: StatementClass, failed: bool, open: bool) -> bool {
        let writes = class == StatementClass::Write && !failed;
        let commits = class == StatementClass::Commit && !failed;
        let wrote_before = self.in_transaction && self.wrote;
        let commits_writes = match (self.in_transaction, open) {
            (_, true) => false,
            (false, false) => writes,
            (true, false) => commits && wrote_before,
        };
        *self = Self { in_transaction: open, wrote: open && (writes || wrote_before) };
        commits_writes
    }

    /// Whether an exchange of this class commits writes if it succeeds.
    pub fn would_commit(&self, class: StatementClass) -> bool {
        match self.in_transaction {
            true => class == StatementClass::Commit && self.wrote,
            false => class == StatementClass::Write,
        }
    }

    /// The open transaction, if there was one, is lost.
    pub fn on_lost(&mut self) {
        *self = Self::default();
    }
}
