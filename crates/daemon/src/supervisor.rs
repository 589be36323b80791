//! Supervision of threads: a child that panics is restarted with backoff; a child that keeps
//! panicking brings its supervisor down, which is its own parent's matter.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use prometheus_client::metrics::counter::Counter;

const FIRST_BACKOFF: Duration = Duration::from_millis(10);
const LAST_BACKOFF: Duration = Duration::from_secs(1);
/// Restarts allowed within [`RESTART_WINDOW`] before the supervisor escalates.
const MAX_RESTARTS: usize = 10;
const RESTART_WINDOW: Duration = Duration::from_secs(60);

/// Time between looks at the pause flag while paused.
const PAUSE_CHECK: Duration = Duration::from_millis(1);

/// Tells children to finish, and the parent that a child gave up.
#[derive(Clone, Debug, Default)]
pub struct StopFlag {
    stopping: Arc<AtomicBool>,
    failed: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
    restarts: Counter,
    /// Wakes children that sleep when they are to finish.
    waker: Arc<(Mutex<()>, Condvar)>,
}

impl StopFlag {
    /// Asks every child to finish.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        let (lock, wakes) = &*self.waker;
        // Whoever is between its look at the flag and its wait holds the lock.
        drop(lock.lock().unwrap_or_else(PoisonError::into_inner));
        wakes.notify_all();
    }

    /// Whether children are to finish.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Freezes or thaws every child that calls [`StopFlag::wait_while_paused`]: stands for a
    /// process that the operating system does not run for a while.
    pub fn set_paused(&self, paused: bool) {
        self.paused.store(paused, Ordering::Release);
    }

    /// Returns once the children are not paused, or are to finish.
    pub fn wait_while_paused(&self) {
        while self.paused.load(Ordering::Acquire) && !self.is_stopping() {
            thread::sleep(PAUSE_CHECK);
        }
    }

    /// Whether a child exceeded its restarts.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::Acquire)
    }

    /// Sleeps for `time`, or until the children are to finish.
    pub fn sleep(&self, time: Duration) {
        let (lock, wakes) = &*self.waker;
        let guard = lock.lock().unwrap_or_else(PoisonError::into_inner);
        // Only a poisoned lock is an error, and nothing is kept under this one.
        drop(wakes.wait_timeout_while(guard, time, |()| !self.is_stopping()));
    }

    /// Counts the restarts of children after a panic.
    pub fn restarts(&self) -> Counter {
        self.restarts.clone()
    }

    fn escalate(&self) {
        self.failed.store(true, Ordering::Release);
        self.stop();
    }
}

/// A group of child threads with one life.
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

    /// Starts a child. `body` runs until it returns (then the child is done) and again after a
    /// panic.
    pub fn spawn(&mut self, child: impl Into<String>, body: impl FnMut() + Send + 'static) {
        let stop = self.stop.clone();
        let name = format!("{}/{}", self.name, child.into());
        let thread_name = name.clone();
        let thread = thread::Builder::new()
            .name(thread_name)
            .spawn(move || run_child(&name, &stop, body))
            .expect("the operating system refused a thread");
        self.children.push(thread);
    }

    /// Waits until every child has finished.
    pub fn join(self) {
        for child in self.children {
            // A child's panics are caught inside it; what remains is a bug in this module.
            let _ = child.join();
        }
    }
}

fn run_child(name: &str, stop: &StopFlag, mut body: impl FnMut()) {
    let mut restarts: Vec<Instant> = Vec::new();
    let mut backoff = FIRST_BACKOFF;
    while catch_unwind(AssertUnwindSafe(&mut body)).is_err() {
        stop.restarts.inc();
        let now = Instant::now();
        restarts.retain(|at| now.duration_since(*at) < RESTART_WINDOW);
        restarts.push(now);
        if restarts.len() > MAX_RESTARTS {
            log::error!("{name} panicked {MAX_RESTARTS} times in a minute; its supervisor stops");
            stop.escalate();
            return;
        }
        log::error!("{name} panicked; restarted in {backoff:?}");
        thread::sleep(backoff);
        backoff = (backoff * 2).min(LAST_BACKOFF);
        if stop.is_stopping() {
            return;
        }
    }
}
