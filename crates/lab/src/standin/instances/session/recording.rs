//! Records what a connection receives and runs, for the check of statements and for tests.

use kestrellock_platform::standin::lines::InstanceStatement;

use super::{Outcome, Session};
use crate::check::statements::record::ReceivedStatement;
use crate::standin::instances::state::ExecutedStatement;

impl Session {
    /// Records that a statement was received. Until its outcome is known it counts as one that runs.
    pub(super) fn record_received(
        &mut self,
        id: &str,
        text: String,
        statement: &InstanceStatement,
    ) {
        self.log_end = None;
        let received = ReceivedStatement {
            instance: self.name.clone(),
            connection: self.number,
            source: self.source,
            id: id.to_owned(),
            text,
            is_command: statement.is_command(),
            ran: true,
            log_end: None,
        };
        let record = &mut self.shared.state().statements.received;
        record.push(received);
        self.received = record.len() - 1;
    }

    /// Records a read or write that runs, and the log on which it does.
    pub(super) fn record(&self, id: &str, text: String) {
        let executed = ExecutedStatement {
            id: id.to_owned(),
            instance: self.name.clone(),
            values: self.values.clone(),
            text,
            in_transaction: self.transaction.is_some(),
            connection: self.number,
            account: self.account.clone(),
        };
        let mut state = self.shared.state();
        state.executed_statements.push(executed);
        state.statements.received[self.received].log_end = self.log_end;
    }

    /// Records whether the instance refused the current statement.
    pub(super) fn record_outcome(&self, outcome: &Outcome) {
        let record = &mut self.shared.state().statements.received;
        record[self.received].ran = !matches!(outcome, Outcome::Refused(_));
    }
}
