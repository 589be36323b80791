//! The log, the tables and the role of one instance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::locks::LockTable;
use super::tables::{Change, Tables};

/// Where the log begins; a real server's first offset is not zero either.
const FIRST_OFFSET: u64 = 0x0100_0000;
/// Log bytes counted for a record and for each change in it.
const RECORD_BYTES: u64 = 48;
const CHANGE_BYTES: u64 = 80;
/// One committed transaction in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Offset just after the record.
    pub end: u64,
    /// Term under which it was written.
    pub term: u32,
    /// Its changes; none in the record that a new primary begins with.
    pub changes: Vec<Change>,
    /// When the primary flushed it.
    pub committed: Instant,
}

/// A record as one instance has it.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// The record.
    pub record: Arc<Record>,
    /// When this instance received it.
    pub received: Instant,
    /// How long it waits before readers see it, if that was drawn for it alone.
    pub lag: Option<Duration>,
}

/// One life of an instance; a restart or a step down begins the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation(pub u64);

/// What an instance holds.
#[derive(Debug)]
pub struct State {
    /// Whether it accepts writes.
    pub primary: bool,
    /// Its term: that of the primary it follows, or its own.
    pub term: u32,
    /// Highest term it has voted for or followed; it takes no log from a lower one.
    pub promised: u32,
    /// Its log, flushed.
    pub log: Vec<LogEntry>,
    /// How many records of the log its tables contain.
    pub applied: usize,
    /// Its tables.
    pub tables: Tables,
    /// Locks of its open transactions.
    pub locks: LockTable,
    /// Records that a newer primary did not have and that were dropped for it.
    pub discarded: Vec<Arc<Record>>,
    /// Its present life.
    pub generation: Generation,
    /// Whether it has committed in the term that it leads.
    pub wrote_in_term: bool,
}

impl State {
    /// An empty instance at term 1.
    pub fn new(primary: bool) -> Self {
        Self {
            primary,
            term: 1,
            promised: 1,
            log: Vec::new(),
            applied: 0,
            tables: Tables::default(),
            locks: LockTable::default(),
            generation: Generation::default(),
            wrote_in_term: false,
            discarded: Vec::new(),
        }
    }

    /// Offset up to which the log is flushed.
    pub fn flushed(&self) -> u64 {
        self.log.last().map_or(FIRST_OFFSET, |entry| entry.record.end)
    }

    /// Term of the last record.
    pub fn last_term(&self) -> u32 {
        self.log.last().map_or(0, |entry| entry.record.term)
    }

    /// Offset up to which readers see the log.
    pub fn applied_offset(&self) -> u64 {
        match self.applied {
            0 => FIRST_OFFSET,
            count => self.log[count - 1].record.end,
        }
    }

    /// Appends a committed transaction and applies it.
    pub fn append(&mut self, changes: Vec<Change>) {
        let end = self.flushed() + RECORD_BYTES + CHANGE_BYTES * changes.len() as u64;
        let committed = Instant::now();
        for change in &changes {
            self.tables.apply(change);
        }
        let record = Arc::new(Record { end, term: self.term, changes, committed });
        self.log.push(LogEntry { record, received: committed, lag: None });
        self.applied = self.log.len();
    }

    /// Applies the record after those already applied.
    pub fn apply_next(&mut self) {
        let record = self.log[self.applied].record.clone();
        for change in &record.changes {
            self.tables.apply(change);
        }
        self.applied += 1;
    }

    /// Drops the records after the first `kept`, and what they did to the tables.
    pub fn truncate(&mut self, kept: usize) {
        if kept >= self.log.len() {
            return;
        }
        let dropped = self.log.drain(kept..);
        self.discarded.extend(dropped.map(|entry| entry.record));
        if self.applied <= kept {
            return;
        }
        self.tables = Tables::default();
        self.applied = 0;
        while self.applied < kept {
            self.apply_next();
        }
    }

    /// Ends every open transaction, as a restart does.
    pub fn start_new_generation(&mut self) {
        self.generation.0 += 1;
        self.locks.clear();
    }

    /// Becomes primary at `term`, once every record it has is applied.
    pub fn promote(&mut self, term: u32) {
        while self.applied < self.log.len() {
            self.apply_next();
        }
        self.primary = true;
        self.term = term;
        self.promised = term;
        self.wrote_in_term = false;
        self.append(Vec::new());
    }

    /// Stops being primary.
    pub fn step_down(&mut self) {
        self.primary = false;
        self.start_new_generation();
    }
}
