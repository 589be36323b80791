//! Log of the events in a group, and the signal that wakes its replicator.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// An event in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupEvent {
    /// When it happened.
    pub at: Instant,
    /// What happened.
    pub kind: GroupEventKind,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupEventKind {
    /// The primary lost contact with the majority.
    PrimaryLost {
        /// Its index.
        index: usize,
        /// Its term.
        term: u32,
    },
    /// The primary regained contact with a majority before another one was elected.
    PrimaryRegained {
        /// Its index.
        index: usize,
        /// Its term.
        term: u32,
    },
    /// An instance was elected and accepts writes.
    Elected {
        /// Its index.
        index: usize,
        /// Its term.
        term: u32,
    },
    /// An old primary learned of its replacement and accepts no more writes.
    SteppedDown {
        /// Its index.
        index: usize,
        /// Term that it led.
        term: u32,
    },
    /// A primary made its first commit in a term.
    FirstWrite {
        /// Index of the primary.
        index: usize,
        /// Its term.
        term: u32,
    },
}

/// The events of a group in chronological order.
#[derive(Debug, Default)]
pub struct EventLog {
    events: Mutex<Vec<GroupEvent>>,
}

impl EventLog {
    fn locked(&self) -> MutexGuard<'_, Vec<GroupEvent>> {
        self.events.lock().expect("a holder of the event lock panicked")
    }

    /// Records an event that happens now.
    pub fn add(&self, kind: GroupEventKind) {
        self.locked().push(GroupEvent { at: Instant::now(), kind });
    }

    /// All events so far.
    pub fn all(&self) -> Vec<GroupEvent> {
        self.locked().clone()
    }
}

/// Wakes the replicator when there are records to ship.
#[derive(Debug, Default)]
pub struct Signal {
    raised: Mutex<bool>,
    changed: Condvar,
}

impl Signal {
    /// Wakes the waiting thread.
    pub fn raise(&self) {
        let mut raised = self.raised.lock().expect("a holder of the signal lock panicked");
        if !*raised {
            *raised = true;
            self.changed.notify_one();
        }
    }

    /// Waits up to `limit` until the signal is raised, then resets it.
    pub fn wait(&self, limit: Duration) {
        let raised = self.raised.lock().expect("a holder of the signal lock panicked");
        let waited = self.changed.wait_timeout_while(raised, limit, |raised| !*raised);
        *waited.expect("a holder of the signal lock panicked").0 = false;
    }
}
