//! Registry of an instance's client connections: admission, cancel requests and resets.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::evaluate::SqlError;

/// Interval at which a waiting statement checks for cancellation.
pub const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(2);

static NEXT_PROCESS: AtomicI32 = AtomicI32::new(1000);

/// Number of a client connection, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionNumber(pub i32);

/// Handle with which other threads cancel a connection's statement or reset the connection.
#[derive(Debug)]
pub struct Control {
    /// Process number sent to the client in BackendKeyData.
    pub process: i32,
    /// Secret key that a cancel request must carry.
    pub secret: i32,
    admitted: AtomicBool,
    cancelled: AtomicBool,
    stream: Option<TcpStream>,
}

impl Control {
    /// The connection's number.
    pub fn number(&self) -> ConnectionNumber {
        ConnectionNumber(self.process)
    }

    /// Starts a new statement: discards a cancel request for an earlier one.
    pub fn begin_statement(&self) {
        self.cancelled.store(false, Ordering::Release);
    }

    /// Fails if the current statement was cancelled, and resets the cancel flag.
    pub fn check_cancelled(&self) -> Result<(), SqlError> {
        if self.cancelled.swap(false, Ordering::AcqRel) {
            return Err(SqlError::new("57014", "canceling statement due to user request"));
        }
        Ok(())
    }

    /// Sleeps for `time`. Fails early if the statement is cancelled.
    pub fn sleep(&self, time: Duration) -> Result<(), SqlError> {
        let end = Instant::now() + time;
        loop {
            self.check_cancelled()?;
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            std::thread::sleep(remaining.min(CANCEL_CHECK_INTERVAL));
        }
    }

    /// Shuts the connection down.
    pub fn reset(&self) {
        if let Some(stream) = &self.stream {
            // The connection may already be closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The open connections of an instance.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<HashMap<i32, Arc<Control>>>,
}

impl Connections {
    fn locked(&self) -> MutexGuard<'_, HashMap<i32, Arc<Control>>> {
        self.open.lock().expect("a holder of the connections lock panicked")
    }

    /// Registers a new connection.
    pub fn open(&self, stream: &TcpStream) -> Arc<Control> {
        let process = NEXT_PROCESS.fetch_add(1, Ordering::Relaxed);
        // Each `RandomState` has keys from the operating system's random number generator.
        let secret = RandomState::new().hash_one(process) as i32;
        let control = Arc::new(Control {
            process,
            secret,
            admitted: AtomicBool::new(false),
            cancelled: AtomicBool::new(false),
            stream: stream.try_clone().ok(),
        });
        self.locked().insert(process, control.clone());
        control
    }

    /// Removes a closed connection.
    pub fn close(&self, control: &Control) {
        self.locked().remove(&control.process);
    }

    /// Admits a connection unless `limit` others are admitted. Connections that only carry a cancel
    /// request, and rejected ones, do not count towards the limit.
    pub fn admit(&self, control: &Control, limit: usize) -> bool {
        let open = self.locked();
        let is_admitted = |control: &&Arc<Control>| control.admitted.load(Ordering::Acquire);
        let fits = open.values().filter(is_admitted).count() < limit;
        control.admitted.store(fits, Ordering::Release);
        fits
    }

    /// Number of admitted connections.
    pub fn count(&self) -> usize {
        let open = self.locked();
        open.values().filter(|control| control.admitted.load(Ordering::Acquire)).count()
    }

    /// Cancels the current statement of a connection if the secret matches.
    pub fn cancel(&self, process: i32, secret: i32) {
        if let Some(control) =
            self.locked().get(&process).filter(|control| control.secret == secret)
        {
            control.cancelled.store(true, Ordering::Release);
        }
    }

    /// Shuts every connection down.
    pub fn reset_all(&self) {
        self.locked().values().for_each(|control| control.reset());
    }
}
