//! State of one instance: its role, its term, its log and its tables.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::locks::LockTable;
use super::tables::{Change, Tables};

/// Offset of the start of the log. Not zero, as on a real server.
const FIRST_OFFSET: u64 = 0x0100_0000;
/// Bytes by which a record advances the log offset, without its changes.
const RECORD_BYTES: u64 = 48;
/// Bytes by which each change in a record advances the log offset.
const CHANGE_BYTES: u64 = 80;

/// One committed transaction in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Log offset just after the record.
    pub end: u64,
    /// Term in which it was written.
    pub term: u32,
    /// Its changes; empty in the first record of a new primary.
    pub changes: Vec<Change>,
    /// When the primary flushed it.
    pub committed: Instant,
}

/// A record in the log of one instance.
#[derive(Clone, Debug)]
pub struct LogEntry {
    /// The record.
    pub record: Arc<Record>,
    /// When this instance received it.
    pub received: Instant,
    /// Its own lag, if the lag is drawn for each record.
    pub lag: Option<Duration>,
}

/// Incremented when an instance is killed, restarts or steps down. Transactions of an earlier
/// generation cannot commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation(pub u64);

/// State of an instance.
#[derive(Debug)]
pub struct State {
    /// Whether it accepts writes.
    pub primary: bool,
    /// Its term: that of the primary it follows, or the one it leads.
    pub term: u32,
    /// Highest term that it has voted for or followed. It accepts no log records from a lower one.
    pub promised: u32,
    /// Its log, which counts as flushed.
    pub log: Vec<LogEntry>,
    /// Number of log records that are applied to its tables.
    pub applied: usize,
    /// Its tables.
    pub tables: Tables,
    /// Locks of its open transactions.
    pub locks: LockTable,
    /// Records that it dropped because the primary of a newer term did not have them.
    pub discarded: Vec<Arc<Record>>,
    /// Its current generation.
    pub generation: Generation,
    /// Whether it has committed a transaction in the term that it leads.
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

    /// Offset up to which its log is flushed.
    pub fn flushed(&self) -> u64 {
        self.log.last().map_or(FIRST_OFFSET, |entry| entry.record.end)
    }

    /// Term of its last record, or zero if its log is empty.
    pub fn last_term(&self) -> u32 {
        self.log.last().map_or(0, |entry| entry.record.term)
    }

    /// Offset up to which its log is applied and visible to readers.
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

    /// Applies the next unapplied record.
    pub fn apply_next(&mut self) {
        let record = self.log[self.applied].record.clone();
        for change in &record.changes {
            self.tables.apply(change);
        }
        self.applied += 1;
    }

    /// Drops the records after the first `kept`. Rebuilds the tables if they contain any of them.
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

    /// Aborts every open transaction, as a restart does.
    pub fn start_new_generation(&mut self) {
        self.generation.0 += 1;
        self.locks.clear();
    }

    /// Applies all its records, then becomes primary of `term`.
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

    /// Becomes a replica and aborts every open transaction.
    pub fn step_down(&mut self) {
        self.primary = false;
        self.start_new_generation();
    }
}
