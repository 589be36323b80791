//! One instance: its log, its tables and its role.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::tables::{Change, Tables};

/// Where the log begins; a real server's first offset is not zero either.
const FIRST_OFFSET: u64 = 0x0100_0000;
/// Log bytes counted for a record and for each change in it.
const RECORD_BYTES: u64 = 48;
const CHANGE_BYTES: u64 = 80;

/// One committed transaction in the log.
#[derive(Clone, Debug)]
pub struct Record {
    /// Offset just after the record.
    pub end: u64,
    /// Term under which it was written.
    pub term: u32,
    /// Its changes.
    pub changes: Vec<Change>,
    /// When this instance received it.
    pub received: Instant,
}

/// Number of a client connection of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionNumber(pub u64);

/// What an instance holds.
#[derive(Debug)]
pub struct State {
    /// Whether it accepts writes.
    pub primary: bool,
    /// Its term.
    pub term: u32,
    /// Its log, flushed.
    pub log: Vec<Record>,
    /// How many records of the log its tables contain.
    pub applied: usize,
    /// Its tables.
    pub tables: Tables,
    /// The connection whose transaction holds the write lock.
    pub writer: Option<ConnectionNumber>,
    /// Number for the next row.
    pub next_row: u64,
}

impl State {
    /// Offset up to which the log is flushed.
    pub fn flushed(&self) -> u64 {
        self.log.last().map_or(FIRST_OFFSET, |record| record.end)
    }

    /// Offset up to which readers see the log.
    pub fn applied_offset(&self) -> u64 {
        match self.applied {
            0 => FIRST_OFFSET,
            count => self.log[count - 1].end,
        }
    }

    /// Appends a committed transaction and applies it.
    pub fn commit(&mut self, changes: Vec<Change>) {
        let end = self.flushed() + RECORD_BYTES + CHANGE_BYTES * changes.len() as u64;
        let received = Instant::now();
        for change in &changes {
            self.tables.apply(change);
        }
        self.log.push(Record { end, term: self.term, changes, received });
        self.applied = self.log.len();
    }
}

/// One back-end server.
#[derive(Debug)]
pub struct Instance {
    state: Mutex<State>,
    writer_left: Condvar,
    lag: Mutex<Duration>,
}

impl Instance {
    /// An empty instance at term 1.
    pub fn new(primary: bool, lag: Duration) -> Self {
        let state = State {
            primary,
            term: 1,
            log: Vec::new(),
            applied: 0,
            tables: Tables::default(),
            writer: None,
            next_row: 1,
        };
        Self { state: Mutex::new(state), writer_left: Condvar::new(), lag: Mutex::new(lag) }
    }

    /// The state, locked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the instance lock panicked")
    }

    /// Whether it accepts writes.
    pub fn is_primary(&self) -> bool {
        self.state().primary
    }

    /// How long a record waits between being received and being seen by readers.
    pub fn set_lag(&self, lag: Duration) {
        *self.lag.lock().expect("a holder of the lag lock panicked") = lag;
    }

    /// Waits for the write lock and takes it for `connection`.
    pub fn lock_writes(&self, connection: ConnectionNumber) {
        let mut state = self.state();
        while state.writer.is_some_and(|holder| holder != connection) {
            state = self.writer_left.wait(state).expect("a holder of the instance lock panicked");
        }
        state.writer = Some(connection);
    }

    /// Gives the write lock back if `connection` holds it.
    pub fn unlock_writes(&self, connection: ConnectionNumber) {
        let mut state = self.state();
        if state.writer == Some(connection) {
            state.writer = None;
            self.writer_left.notify_all();
        }
    }

    /// Takes over what the primary has and this instance lacks, and applies what is old enough.
    pub fn receive_from(&self, primary: &Instance) {
        let have = self.state().log.len();
        let (term, missing) = {
            let source = primary.state();
            (source.term, source.log.get(have..).unwrap_or_default().to_vec())
        };
        let lag = *self.lag.lock().expect("a holder of the lag lock panicked");
        let now = Instant::now();
        let mut state = self.state();
        state.term = term;
        for mut record in missing {
            record.received = now;
            state.log.push(record);
        }
        while state.applied < state.log.len() {
            let record = state.log[state.applied].clone();
            if now.duration_since(record.received) < lag {
                break;
            }
            for change in &record.changes {
                state.tables.apply(change);
            }
            state.applied += 1;
        }
    }
}
