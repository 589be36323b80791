//! What happened in a group, and the signal that wakes its coordinator.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Something that happened in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupEvent {
    /// When.
    pub at: Instant,
    /// What.
    pub kind: GroupEventKind,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupEventKind {
    /// The primary no longer reaches a majority.
    PrimaryLost {
        /// Its index.
        index: usize,
        /// Its term.
        term: u32,
    },
    /// The primary reaches a majority again, and no other was elected meanwhile.
    PrimaryRegained {
        /// Its index.
        index: usize,
        /// Its term.
        term: u32,
    },
    /// An instance was elected and takes writes.
    Elected {
        /// Its index.
        index: usize,
        /// Its term.
        term: u32,
    },
    /// A replaced primary heard of its replacement and takes no more writes.
    SteppedDown {
        /// Its index.
        index: usize,
        /// The term it led.
        term: u32,
    },
    /// The first commit of a term.
    FirstWrite {
        /// Index of the primary.
        index: usize,
        /// Its term.
        term: u32,
    },
}

/// The events of a group, in order.
#[derive(Debug, Default)]
pub struct EventLog {
    events: Mutex<Vec<GroupEvent>>,
}

impl EventLog {
    fn locked(&self) -> MutexGuard<'_, Vec<GroupEvent>> {
        self.events.lock().expect("a holder of the event lock panicked")
    }

    /// Adds an event that happens now.
    pub fn add(&self, kind: GroupEventKind) {
        self.locked().push(GroupEvent { at: Instant::now(), kind });
    }

    /// All events so far.
    pub fn all(&self) -> Vec<GroupEvent> {
        self.locked().clone()
    }
}

/// Wakes the coordinator when there is something to ship.
#[derive(Debug, Default)]
pub struct Signal {
    raised: Mutex<bool>,
    changed: Condvar,
}

impl Signal {
    /// Wakes the waiter.
    pub fn raise(&self) {
        let mut raised = self.raised.lock().expect("a holder of the signal lock panicked");
        if !*raised {
            *raised = true;
            self.changed.notify_one();
        }
    }

    /// Waits until raised, at most `limit`.
    pub fn wait(&self, limit: Duration) {
        let raised = self.raised.lock().expect("a holder of the signal lock panicked");
        let waited = self.changed.wait_timeout_while(raised, limit, |raised| !*raised);
        *waited.expect("a holder of the signal lock panicked").0 = false;
    }
}
