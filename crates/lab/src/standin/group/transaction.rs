//! One connection's transaction: statements, locks, savepoints, commit and roll-back.
//!
//! Isolation is read committed. A statement that meets a lock waits and is then run anew.

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

/// A wait for a lock longer than this counts as a deadlock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a lock between two looks at the cancel flag.
const LOCK_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// What a statement answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementResult {
    /// Columns, where rows are returned.
    pub columns: Option<Vec<Column>>,
    /// Rows.
    pub rows: Vec<Row>,
    /// Command tag.
    pub tag: String,
}

impl StatementResult {
    /// An answer without rows.
    pub fn with_tag(tag: &str) -> Self {
        Self { tag: tag.to_owned(), ..Self::default() }
    }
}

/// Why an attempt to run a statement ended without an answer.
#[derive(Debug)]
pub enum ExecutionError {
    /// It failed.
    Sql(SqlError),
    /// Another transaction holds a lock that it needs.
    LockUnavailable,
}

impl From<SqlError> for ExecutionError {
    fn from(error: SqlError) -> Self {
        Self::Sql(error)
    }
}

/// What a statement works with while the instance's state is locked.
pub struct ExecutionContext<'a> {
    /// The instance's state.
    pub state: &'a mut State,
    /// Changes of the transaction so far.
    pub overlay: &'a mut Overlay,
    /// Values of the parameters.
    pub parameters: &'a [Value],
    /// Number of the client's process.
    pub process: i32,
    held: &'a mut Vec<LockKey>,
    control: &'a Control,
}

impl ExecutionContext<'_> {
    /// Takes a lock for the transaction.
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
    /// Life of the instance in which the first change was made.
    generation: Option<Generation>,
}

impl Transaction {
    /// An empty transaction.
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

    /// Opens a block.
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

    /// Forgets a savepoint and keeps what followed it.
    pub fn release(&mut self, name: &str) -> Result<(), SqlError> {
        let index = self.savepoint_index(name)?;
        self.savepoints.truncate(index);
        Ok(())
    }

    /// Undoes what followed a savepoint. Its locks stay held.
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

    /// Whether there is something to commit.
    pub fn has_changes(&self) -> bool {
        !self.overlay.changes.is_empty()
    }

    /// Commits.
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

    /// Forgets every change and gives the locks back.
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

    /// Runs one statement other than transaction control.
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
