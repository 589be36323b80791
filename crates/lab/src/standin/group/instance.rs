//! One instance: its log, its tables, its role, and the faults it was told to have.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use kestrellock_core::ids::ZoneName;

use super::arrivals::ArrivalLog;
use super::connections::Connections;
use super::events::{EventLog, GroupEventKind, Signal};
use super::lag::{Lag, LagSource};
use super::locks::LockTable;
use super::service::Service;
use super::tables::{Change, Tables};

/// Where the log begins; a real server's first offset is not zero either.
const FIRST_OFFSET: u64 = 0x0100_0000;
/// Log bytes counted for a record and for each change in it.
const RECORD_BYTES: u64 = 48;
const CHANGE_BYTES: u64 = 80;
/// Time between two looks at whether a paused instance goes on.
const GATE_INTERVAL: Duration = Duration::from_micros(500);

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
    wrote_in_term: bool,
}

impl State {
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

    fn append(&mut self, changes: Vec<Change>) {
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
    pub fn end_life(&mut self) {
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
        self.end_life();
    }
}

/// What becomes of the answer to a commit that has taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostAnswer {
    /// Nothing is sent, and the connection stays open.
    Silent,
    /// The connection is reset.
    Reset,
}

/// One back-end server.
#[derive(Debug)]
pub struct Instance {
    /// Its position in the group.
    pub index: usize,
    /// Its zone.
    pub zone: ZoneName,
    /// Its client connections.
    pub connections: Connections,
    /// What reached it.
    pub arrivals: ArrivalLog,
    /// Its slots.
    pub service: Service,
    /// Most client connections it accepts.
    pub connection_limit: usize,
    /// How long it takes to set a connection up.
    pub connection_setup: Duration,
    state: Mutex<State>,
    locks_released: Condvar,
    lag: Mutex<LagSource>,
    alive: AtomicBool,
    paused: AtomicBool,
    isolated: AtomicBool,
    receiving: AtomicBool,
    lost_answers: Mutex<Vec<LostAnswer>>,
    events: Arc<EventLog>,
    signal: Arc<Signal>,
}

/// What an instance is made of.
#[derive(Debug)]
pub struct InstanceParts {
    /// Its position in the group; the first begins as primary.
    pub index: usize,
    /// Its zone.
    pub zone: ZoneName,
    /// Its slots.
    pub service: Service,
    /// Most client connections it accepts.
    pub connection_limit: usize,
    /// How long it takes to set a connection up.
    pub connection_setup: Duration,
    /// How far its readers stay behind.
    pub lag: LagSource,
    /// Where events of the group go.
    pub events: Arc<EventLog>,
    /// Wakes the group's coordinator.
    pub signal: Arc<Signal>,
}

impl Instance {
    /// An empty instance at term 1.
    pub fn new(parts: InstanceParts) -> Self {
        let state = State {
            primary: parts.index == 0,
            term: 1,
            promised: 1,
            log: Vec::new(),
            applied: 0,
            tables: Tables::default(),
            locks: LockTable::default(),
            discarded: Vec::new(),
            generation: Generation::default(),
            wrote_in_term: false,
        };
        Self {
            index: parts.index,
            zone: parts.zone,
            connections: Connections::default(),
            arrivals: ArrivalLog::default(),
            service: parts.service,
            connection_limit: parts.connection_limit,
            connection_setup: parts.connection_setup,
            state: Mutex::new(state),
            locks_released: Condvar::new(),
            lag: Mutex::new(parts.lag),
            alive: AtomicBool::new(true),
            paused: AtomicBool::new(false),
            isolated: AtomicBool::new(false),
            receiving: AtomicBool::new(true),
            lost_answers: Mutex::default(),
            events: parts.events,
            signal: parts.signal,
        }
    }

    /// The state, locked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the instance lock panicked")
    }

    /// Whether it accepts writes.
    pub fn is_primary(&self) -> bool {
        self.state().primary
    }

    /// Commits changes to the log.
    pub fn append(&self, state: &mut State, changes: Vec<Change>) {
        state.append(changes);
        if !state.wrote_in_term {
            state.wrote_in_term = true;
            self.events.add(GroupEventKind::FirstWrite { index: self.index, term: state.term });
        }
        self.signal.raise();
    }

    /// Waits until locks are released, at most `limit`.
    pub fn wait_for_locks<'a>(
        &self,
        mut state: MutexGuard<'a, State>,
        limit: Duration,
    ) -> MutexGuard<'a, State> {
        state.locks.waiting += 1;
        let waited = self.locks_released.wait_timeout(state, limit);
        let mut state = waited.expect("a holder of the instance lock panicked").0;
        state.locks.waiting -= 1;
        state
    }

    /// Wakes the statements that wait for locks.
    pub fn wake_lock_waiters(&self, state: &State) {
        if state.locks.waiting > 0 {
            self.locks_released.notify_all();
        }
    }

    fn lag(&self) -> MutexGuard<'_, LagSource> {
        self.lag.lock().expect("a holder of the lag lock panicked")
    }

    /// Changes how far its readers stay behind, also for records already received.
    pub fn set_lag(&self, lag: Lag, seed: u64) {
        *self.lag() = LagSource::new(lag, seed);
        self.signal.raise();
    }

    /// Adds a record received from the primary.
    pub fn receive(&self, state: &mut State, record: Arc<Record>, now: Instant) {
        let lag = self.lag().draw();
        state.log.push(LogEntry { record, received: now, lag });
    }

    /// Applies the records that are old enough. Returns when the next one will be.
    pub fn apply_due(&self, now: Instant) -> Option<Instant> {
        let mut state = self.state();
        let lag = self.lag();
        while let Some(entry) = state.log.get(state.applied) {
            let due = entry.received.checked_add(lag.of(entry));
            match due {
                Some(due) if due <= now => state.apply_next(),
                other => return other,
            }
        }
        None
    }

    /// Whether its process runs, paused or not.
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::Acquire)
    }

    /// Whether its process runs and is not paused.
    pub fn is_running(&self) -> bool {
        self.is_alive() && !self.paused.load(Ordering::Acquire)
    }

    /// Whether it is cut off from everything outside its zone.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Acquire)
    }

    /// Whether it takes log from the primary.
    pub fn is_receiving(&self) -> bool {
        self.receiving.load(Ordering::Acquire)
    }

    /// Ends its process. The log stays.
    pub fn kill(&self) {
        let mut state = self.state();
        self.alive.store(false, Ordering::Release);
        state.end_life();
        drop(state);
        self.connections.reset_all();
        self.signal.raise();
    }

    /// Starts its process again, as a replica with the log it had.
    pub fn restart(&self) {
        let mut state = self.state();
        state.step_down();
        while state.applied < state.log.len() {
            state.apply_next();
        }
        self.paused.store(false, Ordering::Release);
        self.alive.store(true, Ordering::Release);
        drop(state);
        self.signal.raise();
    }

    /// Stops or continues its process at any point of what it does.
    pub fn set_paused(&self, paused: bool) {
        self.paused.store(paused, Ordering::Release);
        self.signal.raise();
    }

    /// Cuts it off from everything outside its zone, or undoes that.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Release);
        self.signal.raise();
    }

    /// Makes it take log from the primary, or stop doing so.
    pub fn set_receiving(&self, receiving: bool) {
        self.receiving.store(receiving, Ordering::Release);
        self.signal.raise();
    }

    /// The answer to the next commit is lost after the commit has taken effect.
    pub fn lose_answer(&self, lost: LostAnswer) {
        self.lost_answers.lock().expect("a holder of the faults lock panicked").push(lost);
    }

    /// What becomes of the answer to the commit just made.
    pub fn take_lost_answer(&self) -> Option<LostAnswer> {
        self.lost_answers.lock().expect("a holder of the faults lock panicked").pop()
    }

    /// Waits while the process is paused, or while `outside` and cut off. False once it is dead.
    pub fn pass_gate(&self, outside: bool) -> bool {
        loop {
            if !self.is_alive() {
                return false;
            }
            if self.is_running() && !(outside && self.is_isolated()) {
                return true;
            }
            std::thread::sleep(GATE_INTERVAL);
        }
    }
}
