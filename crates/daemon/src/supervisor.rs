//! Supervision of threads. A child that panics is restarted with exponential backoff. A child that
//! panics more than `MAX_RESTARTS` times within `RESTART_WINDOW` stops all children, and the
//! supervisor's parent is informed through [`StopFlag::has_failed`].

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use prometheus_client::metrics::counter::Counter;

const MIN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Restarts of a child within [`RESTART_WINDOW`] before the supervisor escalates.
const MAX_RESTARTS: usize = 10;
const RESTART_WINDOW: Duration = Duration::from_secs(60);

/// Interval of checks of the pause flag while paused.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Asks children to stop or pause, and informs the parent if a child failed for good.
#[derive(Clone, Debug, Default)]
pub struct StopFlag {
    stopping: Arc<AtomicBool>,
    failed: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
    restarts: Counter,
    /// Wakes sleeping children when they must stop.
    stop_signal: Arc<(Mutex<()>, Condvar)>,
}

impl StopFlag {
    /// Asks every child to stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        let (lock, wakeup) = &*self.stop_signal;
        // A child holds the lock between its check of the flag and its wait. Taking the lock here
        // ensures that it does not miss the notification.
        drop(lock.lock().unwrap_or_else(PoisonError::into_inner));
        wakeup.notify_all();
    }

    /// Whether children must stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Pauses or resumes every child that calls [`StopFlag::wait_while_paused`]. This simulates a
    /// process that the operating system does not schedule for a while.
    pub fn set_paused(&self, paused: bool) {
        self.paused.store(paused, Ordering::Release);
    }

    /// Returns once the children are not paused, or must stop.
    pub fn wait_while_paused(&self) {
        while self.paused.load(Ordering::Acquire) && !self.is_stopping() {
            thread::sleep(PAUSE_CHECK_INTERVAL);
        }
    }

    /// Whether a child exceeded its restarts.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::Acquire)
    }

    /// Sleeps for `time`, or until the children must stop.
    pub fn sleep(&self, time: Duration) {
        let (lock, wakeup) = &*self.stop_signal;
        let guard = lock.lock().unwrap_or_else(PoisonError::into_inner);
        // The only error is a poisoned lock, which is harmless because the lock protects no data.
        drop(wakeup.wait_timeout_while(guard, time, |()| !self.is_stopping()));
    }

    /// Counter of restarts of children after a panic.
    pub fn restarts(&self) -> Counter {
        self.restarts.clone()
    }

    fn escalate(&self) {
        self.failed.store(true, Ordering::Release);
        self.stop();
    }
}

/// A group of child threads that are started and stopped together.
#[derive(Debug)]
pub struct Supervisor {
    name: &'static str,
    stop: StopFlag,
    children: Vec<JoinHandle<()>>,
}

impl Supervisor {
    /// A supervisor without children.
    pub fn new(name: &'static str, stop: StopFlag) -> Self {
        Self { name, stop, children: Vec::new() }
    }

    /// Starts a child. The child is finished once `body` returns; after a panic, `body` runs again.
    pub fn spawn(&mut self, child: impl Into<String>, body: impl FnMut() + Send + 'static) {
        let stop = self.stop.clone();
        let name = format!("{}/{}", self.name, child.into());
        let thread_name = name.clone();
        let thread = thread::Builder::new()
            .name(thread_name)
            .spawn(move || run_child(&name, &stop, body))
            .expect("the operating system could not create a thread");
        self.children.push(thread);
    }

    /// Waits until every child has finished.
    pub fn join(self) {
        for child in self.children {
            // `run_child` catches the panics of `body`, so an error here is a bug in this module.
            let _ = child.join();
        }
    }
}

fn run_child(name: &str, stop: &StopFlag, mut body: impl FnMut()) {
    let mut restarts: Vec<Instant> = Vec::new();
    let mut backoff = MIN_BACKOFF;
    while catch_unwind(AssertUnwindSafe(&mut body)).is_err() {
        stop.restarts.inc();
        let now = Instant::now();
        restarts.retain(|at| now.duration_since(*at) < RESTART_WINDOW);
        restarts.push(now);
        if restarts.len() > MAX_RESTARTS {
            log::error!("{name} panicked more than {MAX_RESTARTS} times in a minute; stopping");
            stop.escalate();
            return;
        }
        log::error!("{name} panicked; restarting in {backoff:?}");
        thread::sleep(backoff);
        backoff = (backoff * 2).min(MAX_BACKOFF);
        if stop.is_stopping() {
            return;
        }
    }
}
