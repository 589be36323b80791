//! A record of what clients sent and were answered, for the check of statements.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use kestrellock_peer::message::TransactionState;

use crate::check::statements;
use crate::check::statements::record::{RouteKind, SentStatement};
use crate::check::statements::violation::StatementViolation;
use crate::standin::instances::InstanceGroup;

#[derive(Debug, Default)]
struct Contents {
    /// Statements; those of one session are in the order in which they were sent.
    statements: Vec<SentStatement>,
    names: HashSet<String>,
}

/// What all recorded clients of a run sent.
#[derive(Debug, Default)]
pub struct ClientRecord(Mutex<Contents>);

impl ClientRecord {
    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().expect("a holder of the record's lock panicked")
    }

    /// Begins the record of a session. If its name is already in use, it gets another one, so that its
    /// statement ids are unique.
    pub fn session(self: &Arc<Self>, name: &str, route: RouteKind) -> SessionRecorder {
        let mut contents = self.contents();
        let mut unique = name.to_owned();
        let mut number = 1;
        while !contents.names.insert(unique.clone()) {
            number += 1;
            unique = format!("{name}.{number}");
        }
        drop(contents);
        SessionRecorder {
            record: self.clone(),
            session: unique,
            route,
            transaction: None,
            unanswered: VecDeque::new(),
        }
    }

    /// Compares what the instances of `groups` ran with what was sent.
    pub fn violations(&self, groups: &[InstanceGroup]) -> Vec<StatementViolation> {
        // The instances first: what they have run by then has been sent.
        let groups: Vec<_> = groups.iter().map(InstanceGroup::statements).collect();
        let sent = self.contents().statements.clone();
        groups.iter().flat_map(|group| statements::check(&sent, group)).collect()
    }
}

/// Records the statements of one session.
#[derive(Debug)]
pub struct SessionRecorder {
    record: Arc<ClientRecord>,
    session: String,
    route: RouteKind,
    /// Id of the `BEGIN` of the transaction in which the client takes itself to be.
    transaction: Option<String>,
    /// Indexes of the statements without an answer, in the order in which they were sent; `None` for a
    /// line that is no statement.
    unanswered: VecDeque<Option<usize>>,
}

impl SessionRecorder {
    /// Name of the session, which begins its statement ids.
    pub fn session(&self) -> &str {
        &self.session
    }

    /// Records a statement that is about to be sent.
    pub fn on_send(&mut self, id: &str, text: &str) {
        if matches!(text, "BEGIN" | "BEGIN READ") && self.transaction.is_none() {
            self.transaction = Some(id.to_owned());
        }
        let statement = SentStatement {
            session: self.session.clone(),
            route: self.route,
            id: id.to_owned(),
            text: text.to_owned(),
            transaction: self.transaction.clone(),
            sent: Instant::now(),
            acknowledged: None,
        };
        if matches!(text, "COMMIT" | "ROLLBACK") {
            self.transaction = None;
        }
        let statements = &mut self.record.contents().statements;
        self.unanswered.push_back(Some(statements.len()));
        statements.push(statement);
    }

    /// Records that a line is about to be sent that is no statement.
    pub fn on_send_malformed(&mut self) {
        self.unanswered.push_back(None);
    }

    /// Records the answer to the oldest unanswered statement. If it shows that the transaction of that
    /// statement is over, the client sends its next statement outside of it.
    pub fn on_answer(&mut self, is_success: bool, state: TransactionState) {
        let Some(line) = self.unanswered.pop_front() else { return };
        let Some(index) = line else {
            if state == TransactionState::Idle && self.unanswered.is_empty() {
                self.transaction = None;
            }
            return;
        };
        let statement = &mut self.record.contents().statements[index];
        statement.acknowledged = is_success.then(Instant::now);
        if state == TransactionState::Idle && statement.transaction == self.transaction {
            self.transaction = None;
        }
    }
}
