//! A connection's transaction: statements, locks, savepoints, commit and rollback.
//!
//! The isolation level is read committed. A statement that needs a lock held by another transaction
//! waits, and is then retried from the start.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sqlparser::ast::{Statement, TransactionAccessMode, TransactionMode};

use super::connections::Control;
use super::dml;
use super::evaluate::SqlError;
use super::instance::Instance;
use super::locks::LockKey;
use super::overlay::Overlay;
use super::select;
use super::service::StatementClass;
use super::state::{Generation, State};
use super::tables::{Column, Row, Value};

/// A statement that waits longer than this for a lock fails with a deadlock error.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a statement that waits for a lock checks for cancellation.
const LOCK_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Result of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementResult {
    /// Columns, if the statement returns rows.
    pub columns: Option<Vec<Column>>,
    /// Rows.
    pub rows: Vec<Row>,
    /// Command tag.
    pub tag: String,
}

impl StatementResult {
    /// Creates a result without rows.
    pub fn with_tag(tag: &str) -> Self {
        Self { tag: tag.to_owned(), ..Self::default() }
    }
}

/// Why the execution of a statement ended without a result.
#[derive(Debug)]
pub enum ExecutionError {
    /// The statement failed.
    Sql(SqlError),
    /// Another transaction holds a lock that the statement needs; it can be retried.
    LockUnavailable,
}

impl From<SqlError> for ExecutionError {
    fn from(error: SqlError) -> Self {
        Self::Sql(error)
    }
}

/// Everything that a statement uses while the instance's state is locked.
pub struct ExecutionContext<'a> {
    /// The instance's state.
    pub state: &'a mut State,
    /// Changes of the transaction so far.
    pub overlay: &'a mut Overlay,
    /// Parameter values.
    pub parameters: &'a [Value],
    /// Process number of the client's connection.
    pub process: i32,
    held: &'a mut Vec<LockKey>,
    control: &'a Control,
}

impl ExecutionContext<'_> {
    /// Acquires a lock, which the transaction holds until it ends.
    pub fn lock(&mut self, lock: LockKey) -> Result<(), ExecutionError> {
        match self.state.locks.take(lock, self.control.number(), self.held) {
            true => Ok(()),
            false => Err(ExecutionError::LockUnavailable),
        }
    }
}

#[derive(Debug)]
struct Savepoint {
    name: String,
    overlay: Overlay,
}

/// A connection's transaction.
#[derive(Debug)]
pub struct Transaction {
    control: Arc<Control>,
    overlay: Overlay,
    held: Vec<LockKey>,
    savepoints: Vec<Savepoint>,
    read_only: bool,
    /// Generation of the instance at the transaction's first lock or change.
    generation: Option<Generation>,
}

impl Transaction {
    /// Creates an empty transaction.
    pub fn new(control: Arc<Control>) -> Self {
        Self {
            control,
            overlay: Overlay::default(),
            held: Vec::new(),
            savepoints: Vec::new(),
            read_only: false,
            generation: None,
        }
    }

    /// Starts a transaction block.
    pub fn begin(&mut self, modes: &[TransactionMode]) {
        self.read_only =
            modes.contains(&TransactionMode::AccessMode(TransactionAccessMode::ReadOnly));
    }

    /// Sets a savepoint.
    pub fn savepoint(&mut self, name: &str) {
        self.savepoints.push(Savepoint { name: name.to_owned(), overlay: self.overlay.clone() });
    }

    fn savepoint_index(&self, name: &str) -> Result<usize, SqlError> {
        self.savepoints
            .iter()
            .rposition(|savepoint| savepoint.name == name)
            .ok_or_else(|| SqlError::new("3B001", format!("savepoint {name:?} does not exist")))
    }

    /// Releases a savepoint and keeps the changes made after it.
    pub fn release(&mut self, name: &str) -> Result<(), SqlError> {
        let index = self.savepoint_index(name)?;
        self.savepoints.truncate(index);
        Ok(())
    }

    /// Undoes the changes made after a savepoint. Locks stay held.
    pub fn roll_back_to(&mut self, name: &str) -> Result<(), SqlError> {
        let index = self.savepoint_index(name)?;
        self.overlay = self.savepoints[index].overlay.clone();
        self.savepoints.truncate(index + 1);
        Ok(())
    }

    /// Columns of a table as the transaction sees it.
    pub fn columns_of(&self, instance: &Instance, table: &str) -> Result<Arc<[Column]>, SqlError> {
        self.overlay.columns(&instance.state(), table)
    }

    /// Whether there are changes to commit.
    pub fn has_changes(&self) -> bool {
        !self.overlay.changes.is_empty()
    }

    /// Commits the changes. Fails if the instance is no longer primary, or was restarted or demoted
    /// since the transaction's first change.
    pub fn commit(&mut self, instance: &Instance) -> Result<(), SqlError> {
        if !self.has_changes() {
            self.roll_back(instance);
            return Ok(());
        }
        instance.service.serve(StatementClass::Commit, &self.control)?;
        let changes = std::mem::take(&mut self.overlay.changes);
        let mut state = instance.state();
        let outcome = if self.generation != Some(state.generation) {
            Err(SqlError::new("57P01", "terminating connection: the server was restarted"))
        } else if !state.primary {
            Err(SqlError::new("25006", "cannot commit in a read-only server"))
        } else {
            instance.append(&mut state, changes);
            Ok(())
        };
        drop(state);
        self.roll_back(instance);
        outcome
    }

    /// Discards all changes and releases all locks.
    pub fn roll_back(&mut self, instance: &Instance) {
        self.overlay = Overlay::default();
        self.savepoints.clear();
        self.read_only = false;
        self.generation = None;
        if !self.held.is_empty() {
            let mut state = instance.state();
            state.locks.release(self.control.number(), &mut self.held);
            instance.wake_lock_waiters(&state);
        }
    }

    /// Executes one statement that is not a transaction control statement.
    pub fn run(
        &mut self,
        instance: &Instance,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<StatementResult, SqlError> {
        let class = StatementClass::of(statement);
        if class == StatementClass::Write && self.read_only {
            return Err(SqlError::new("25006", "cannot execute in a read-only transaction"));
        }
        if let Some(time) = select::sleep_time(statement, parameters)? {
            self.control.sleep(time)?;
        }
        instance.service.serve(class, &self.control)?;
        let limit = Instant::now() + LOCK_TIMEOUT;
        let mut state = instance.state();
        loop {
            if class == StatementClass::Write && !state.primary {
                let message = "cannot execute in a read-only transaction";
                return Err(SqlError::new("25006", message));
            }
            match self.try_run(&mut state, statement, parameters) {
                Ok(result) => return Ok(result),
                Err(ExecutionError::Sql(error)) => return Err(error),
                Err(ExecutionError::LockUnavailable) => {}
            }
            self.control.check_cancelled()?;
            if Instant::now() > limit {
                return Err(SqlError::new("40P01", "deadlock detected"));
            }
            state = instance.wait_for_locks(state, LOCK_CHECK_INTERVAL);
        }
    }

    fn try_run(
        &mut self,
        state: &mut State,
        statement: &Statement,
        parameters: &[Value],
    ) -> Result<StatementResult, ExecutionError> {
        let generation = state.generation;
        if self.generation.is_some_and(|known| known != generation) {
            let message = "terminating connection: the server was restarted";
            return Err(SqlError::new("57P01", message).into());
        }
        let mut context = ExecutionContext {
            state,
            overlay: &mut self.overlay,
            parameters,
            process: self.control.process,
            held: &mut self.held,
            control: &self.control,
        };
        let result = match statement {
            Statement::Query(query) => select::run(&mut context, query),
            other => dml::run(&mut context, other),
        };
        if !self.held.is_empty() || !self.overlay.changes.is_empty() {
            self.generation.get_or_insert(generation);
        }
        result
    }
}
