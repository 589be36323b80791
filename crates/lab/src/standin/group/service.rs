//! Execution slots of an instance, and the time for which each class of statement occupies one.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sqlparser::ast::{SetExpr, Statement};

use super::connections::{CANCEL_CHECK_INTERVAL, Control};
use super::evaluate::SqlError;

/// Class of a statement, which determines its service time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementClass {
    /// Reads a table.
    Read,
    /// Changes or locks rows or table definitions.
    Write,
    /// Flushes a transaction to the log. Occupies no slot.
    Commit,
    /// Accesses no table. Occupies no slot and takes no time.
    Control,
}

impl StatementClass {
    /// The class of a statement that is not a transaction control statement.
    pub fn of(statement: &Statement) -> Self {
        let Statement::Query(query) = statement else { return Self::Write };
        if !query.locks.is_empty() {
            return Self::Write;
        }
        match query.body.as_ref() {
            SetExpr::Select(select) if select.from.is_empty() => Self::Control,
            _ => Self::Read,
        }
    }
}

/// Distribution of the time for which a statement occupies its slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ServiceTime {
    /// No time beyond its execution, and no slot.
    #[default]
    None,
    /// A constant time.
    Fixed(Duration),
    /// Uniformly distributed between two bounds.
    Uniform {
        /// Lower bound.
        shortest: Duration,
        /// Upper bound.
        longest: Duration,
    },
    /// Exponentially distributed.
    Exponential {
        /// Mean.
        mean: Duration,
    },
}

impl ServiceTime {
    /// Draws a service time; zero for [`ServiceTime::None`].
    pub fn draw(self, random: &mut StdRng) -> Duration {
        match self {
            Self::None => Duration::ZERO,
            Self::Fixed(time) => time,
            Self::Uniform { shortest, longest } => {
                shortest + longest.saturating_sub(shortest).mul_f64(random.random::<f64>())
            }
            Self::Exponential { mean } => {
                mean.mul_f64(-(1.0 - random.random::<f64>()).max(f64::MIN_POSITIVE).ln())
            }
        }
    }
}

/// Service times of the statement classes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTimes {
    /// Statements that read a table.
    pub read: ServiceTime,
    /// Statements that change or lock rows.
    pub write: ServiceTime,
    /// Commits. They occupy no slot, since a transaction that ends releases locks for which other
    /// statements wait.
    pub commit: ServiceTime,
}

#[derive(Debug)]
struct QueueState {
    times: ServiceTimes,
    random: StdRng,
    slots: u64,
    next_ticket: u64,
    finished: u64,
}

/// The execution slots of one instance. Statements get a slot in order of arrival.
#[derive(Debug)]
pub struct ServiceQueue {
    queue: Mutex<QueueState>,
    statement_finished: Condvar,
}

impl ServiceQueue {
    /// Creates a queue that serves `slots` statements concurrently.
    pub fn new(slots: usize, times: ServiceTimes, seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        let queue = QueueState { times, random, slots: slots as u64, next_ticket: 0, finished: 0 };
        Self { queue: Mutex::new(queue), statement_finished: Condvar::new() }
    }

    fn queue(&self) -> MutexGuard<'_, QueueState> {
        self.queue.lock().expect("a holder of the slot lock panicked")
    }

    /// Changes the service times of later statements.
    pub fn set_times(&self, times: ServiceTimes) {
        self.queue().times = times;
    }

    /// Number of statements that occupy a slot or wait for one.
    pub fn in_progress(&self) -> u64 {
        let queue = self.queue();
        queue.next_ticket - queue.finished
    }

    /// Waits for a slot if the class needs one, and occupies it for the service time.
    pub fn serve(&self, class: StatementClass, control: &Control) -> Result<(), SqlError> {
        let mut queue = self.queue();
        let times = queue.times;
        let time = match class {
            StatementClass::Read => times.read,
            StatementClass::Write => times.write,
            StatementClass::Commit => times.commit,
            StatementClass::Control => ServiceTime::None,
        };
        if time == ServiceTime::None {
            return Ok(());
        }
        let time = time.draw(&mut queue.random);
        if class == StatementClass::Commit {
            drop(queue);
            std::thread::sleep(time);
            return Ok(());
        }
        let ticket = queue.next_ticket;
        queue.next_ticket += 1;
        let outcome = self.wait_for_slot(queue, ticket, control);
        let outcome = outcome.and_then(|()| control.sleep(time));
        self.queue().finished += 1;
        self.statement_finished.notify_all();
        outcome
    }

    fn wait_for_slot(
        &self,
        mut queue: MutexGuard<'_, QueueState>,
        ticket: u64,
        control: &Control,
    ) -> Result<(), SqlError> {
        while ticket >= queue.finished + queue.slots {
            control.check_cancelled()?;
            let waited = self.statement_finished.wait_timeout(queue, CANCEL_CHECK_INTERVAL);
            queue = waited.expect("a holder of the slot lock panicked").0;
        }
        Ok(())
    }
}
