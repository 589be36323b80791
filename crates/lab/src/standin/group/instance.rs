//! One instance of a group: its state, its connections and its injected faults.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use kestrellock_core::ids::ZoneName;

use super::arrivals::ArrivalLog;
use super::connections::Connections;
use super::events::{EventLog, GroupEventKind, Signal};
use super::lag::{Lag, LagSource};
use super::service::ServiceQueue;
use super::state::{LogEntry, Record, State};
use super::tables::Change;

/// Interval at which a connection checks whether its instance is reachable again.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_micros(500);

/// How the response to a commit that has taken effect is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostResponse {
    /// No response is sent, and the connection stays open.
    Silent,
    /// The connection is reset.
    Reset,
}

/// One server process of a group.
#[derive(Debug)]
pub struct Instance {
    /// Its index in the group.
    pub index: usize,
    /// Its zone.
    pub zone: ZoneName,
    /// Its client connections.
    pub connections: Connections,
    /// Statements that reached it.
    pub arrivals: ArrivalLog,
    /// Its execution slots.
    pub service: ServiceQueue,
    /// Maximum number of client connections.
    pub connection_limit: usize,
    /// Time that it takes to establish a connection.
    pub connection_setup: Duration,
    state: Mutex<State>,
    locks_released: Condvar,
    lag: Mutex<LagSource>,
    alive: AtomicBool,
    paused: AtomicBool,
    isolated: AtomicBool,
    receiving: AtomicBool,
    lost_responses: Mutex<Vec<LostResponse>>,
    events: Arc<EventLog>,
    signal: Arc<Signal>,
}

/// Configuration of an instance.
#[derive(Debug)]
pub struct InstanceConfig {
    /// Its index in the group; the first instance starts as primary.
    pub index: usize,
    /// Its zone.
    pub zone: ZoneName,
    /// Its execution slots.
    pub service: ServiceQueue,
    /// Maximum number of client connections.
    pub connection_limit: usize,
    /// Time that it takes to establish a connection.
    pub connection_setup: Duration,
    /// Its replication lag while it is a replica.
    pub lag: LagSource,
    /// Event log of the group.
    pub events: Arc<EventLog>,
    /// Wakes the group's replicator.
    pub signal: Arc<Signal>,
}

impl Instance {
    /// Creates an empty instance at term 1.
    pub fn new(parts: InstanceConfig) -> Self {
        let state = State::new(parts.index == 0);
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
            lost_responses: Mutex::default(),
            events: parts.events,
            signal: parts.signal,
        }
    }

    /// Locks its state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the instance lock panicked")
    }

    /// Whether it accepts writes.
    pub fn is_primary(&self) -> bool {
        self.state().primary
    }

    /// Commits changes: appends them to the log and applies them.
    pub fn append(&self, state: &mut State, changes: Vec<Change>) {
        state.append(changes);
        if !state.wrote_in_term {
            state.wrote_in_term = true;
            self.events.add(GroupEventKind::FirstWrite { index: self.index, term: state.term });
        }
        self.signal.raise();
    }

    /// Waits up to `limit` until locks are released.
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

    /// Changes the replication lag, also for records already received.
    pub fn set_lag(&self, lag: Lag, seed: u64) {
        *self.lag() = LagSource::new(lag, seed);
        self.signal.raise();
    }

    /// Appends a record received from the primary.
    pub fn receive(&self, state: &mut State, record: Arc<Record>, now: Instant) {
        let lag = self.lag().draw();
        state.log.push(LogEntry { record, received: now, lag });
    }

    /// Applies the records whose lag has elapsed. Returns when the next record is due.
    pub fn apply_due(&self, now: Instant) -> Option<Instant> {
        let mut state = self.state();
        let lag = self.lag();
        while let Some(entry) = state.log.get(state.applied) {
            let due = entry.received.checked_add(lag.for_entry(entry));
            match due {
                Some(due) if due <= now => state.apply_next(),
                other => return other,
            }
        }
        None
    }

    /// Whether its process exists, even if it is paused.
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::Acquire)
    }

    /// Whether its process exists and is not paused.
    pub fn is_running(&self) -> bool {
        self.is_alive() && !self.paused.load(Ordering::Acquire)
    }

    /// Whether it is isolated from everything outside its zone.
    pub fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Acquire)
    }

    /// Whether it accepts log records from the primary.
    pub fn is_receiving(&self) -> bool {
        self.receiving.load(Ordering::Acquire)
    }

    /// Kills its process. The log survives.
    pub fn kill(&self) {
        let mut state = self.state();
        self.alive.store(false, Ordering::Release);
        state.start_new_generation();
        drop(state);
        self.connections.reset_all();
        self.signal.raise();
    }

    /// Restarts its process as a replica with the log it had.
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

    /// Pauses or resumes its process wherever it is.
    pub fn set_paused(&self, paused: bool) {
        self.paused.store(paused, Ordering::Release);
        self.signal.raise();
    }

    /// Isolates it from everything outside its zone, or ends the isolation.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.store(isolated, Ordering::Release);
        self.signal.raise();
    }

    /// Sets whether it accepts log records from the primary.
    pub fn set_receiving(&self, receiving: bool) {
        self.receiving.store(receiving, Ordering::Release);
        self.signal.raise();
    }

    /// Loses the response to the next commit after the commit has taken effect.
    pub fn lose_next_response(&self, lost: LostResponse) {
        self.lost_responses.lock().expect("a holder of the faults lock panicked").push(lost);
    }

    /// Returns how the response to the commit just made is to be lost, if it is.
    pub fn take_lost_response(&self) -> Option<LostResponse> {
        self.lost_responses.lock().expect("a holder of the faults lock panicked").pop()
    }

    /// Waits while the process is paused or, for a `cross_zone` connection, isolated. Returns false
    /// once the process is killed.
    pub fn wait_until_reachable(&self, cross_zone: bool) -> bool {
        loop {
            if !self.is_alive() {
                return false;
            }
            if self.is_running() && !(cross_zone && self.is_isolated()) {
                return true;
            }
            std::thread::sleep(PAUSE_POLL_INTERVAL);
        }
    }
}
