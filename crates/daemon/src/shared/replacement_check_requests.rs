//! Groups that need a replacement check: reports of their replicas are evidence for the primary only
//! once the store, or every other node, has confirmed that it is not being replaced
//! (`core::primary_evidence`).

use std::collections::BTreeSet;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use kestrellock_core::ids::GroupName;

/// Least time between two steps of the thread that makes the checks. Groups whose checks cannot be
/// confirmed now are requested again with each statement.
const MIN_WAIT: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct State {
    /// Groups that wait for the next check; one check serves them all.
    groups: BTreeSet<GroupName>,
    /// Whether a group has been added or a check has ended since the last wait.
    has_news: bool,
}

/// Groups that wait for the next replacement check. The thread that makes the checks sleeps here, so
/// that statements and commits do not wait for its next step.
#[derive(Debug, Default)]
pub struct ReplacementCheckRequests {
    state: Mutex<State>,
    wakeup: Condvar,
}

impl ReplacementCheckRequests {
    /// Requests a check for a group.
    pub fn request(&self, group: &GroupName) {
        let mut state = self.lock();
        if !state.groups.contains(group) {
            state.groups.insert(group.clone());
            self.wake(state);
        }
    }

    /// A check has ended, and its result can be processed.
    pub fn on_check_ended(&self) {
        self.wake(self.lock());
    }

    /// Takes the waiting groups, for a check that begins now.
    pub fn take(&self) -> BTreeSet<GroupName> {
        std::mem::take(&mut self.lock().groups)
    }

    /// Keeps groups for a later check, which is not begun earlier for that.
    pub fn keep(&self, groups: BTreeSet<GroupName>) {
        self.lock().groups.extend(groups);
    }

    /// Whether any group waits.
    pub fn is_waiting(&self) -> bool {
        !self.lock().groups.is_empty()
    }

    /// Sleeps for `time`, or until a group is added or a check ends, but for `MIN_WAIT` at least.
    pub fn wait(&self, time: Duration) {
        thread::sleep(MIN_WAIT.min(time));
        let time = time.saturating_sub(MIN_WAIT);
        let waited = self.wakeup.wait_timeout_while(self.lock(), time, |state| !state.has_news);
        // The state is a set and a flag, which stay valid if a thread panics.
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.has_news = false;
    }

    fn wake(&self, mut state: MutexGuard<'_, State>) {
        state.has_news = true;
        drop(state);
        self.wakeup.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
