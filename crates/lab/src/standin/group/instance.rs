//! One instance: its state, its connections, and the faults it was told to have.

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

/// Time between two looks at whether a paused instance goes on.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_micros(500);

/// What becomes of the answer to a commit that has taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostResponse {
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
    pub service: ServiceQueue,
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
    lost_responses: Mutex<Vec<LostResponse>>,
    events: Arc<EventLog>,
    signal: Arc<Signal>,
}

/// What an instance is made of.
#[derive(Debug)]
pub struct InstanceConfig {
    /// Its position in the group; the first begins as primary.
    pub index: usize,
    /// Its zone.
    pub zone: ZoneName,
    /// Its slots.
    pub service: ServiceQueue,
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
            let due = entry.received.checked_add(lag.for_entry(entry));
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
        state.start_new_generation();
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
    pub fn lose_next_response(&self, lost: LostResponse) {
        self.lost_responses.lock().expect("a holder of the faults lock panicked").push(lost);
    }

    /// What becomes of the answer to the commit just made.
    pub fn take_lost_response(&self) -> Option<LostResponse> {
        self.lost_responses.lock().expect("a holder of the faults lock panicked").pop()
    }

    /// Waits while the process is paused, or while `outside` and cut off. False once it is dead.
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
