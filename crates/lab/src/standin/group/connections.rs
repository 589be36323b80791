//! The client connections of one instance: their cancel keys, and ways to end them.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::evaluate::SqlError;

/// Longest time between two looks at whether a waiting statement was cancelled.
pub const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(2);

static NEXT_PROCESS: AtomicI32 = AtomicI32::new(1000);

/// Number of a client connection, unique in the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionNumber(pub i32);

/// What others may do to a connection.
#[derive(Debug)]
pub struct Control {
    /// Process number told to the client.
    pub process: i32,
    /// Secret that a cancel request must carry.
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

    /// A new statement begins: a cancel request for an earlier one is void.
    pub fn begin_statement(&self) {
        self.cancelled.store(false, Ordering::Release);
    }

    /// An error if the statement under way was cancelled.
    pub fn check_cancelled(&self) -> Result<(), SqlError> {
        if self.cancelled.swap(false, Ordering::AcqRel) {
            return Err(SqlError::new("57014", "canceling statement due to user request"));
        }
        Ok(())
    }

    /// Sleeps, unless cancelled.
    pub fn sleep(&self, time: Duration) -> Result<(), SqlError> {
        let end = Instant::now() + time;
        loop {
            self.check_cancelled()?;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(CANCEL_CHECK_INTERVAL));
        }
    }

    /// Breaks the connection off.
    pub fn reset(&self) {
        if let Some(stream) = &self.stream {
            // The connection may be gone already.
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

    /// Notes a new connection.
    pub fn open(&self, stream: &TcpStream) -> Arc<Control> {
        let process = NEXT_PROCESS.fetch_add(1, Ordering::Relaxed);
        // Each `RandomState` is keyed from the operating system's randomness.
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

    /// Forgets a connection.
    pub fn close(&self, control: &Control) {
        self.locked().remove(&control.process);
    }

    /// Admits a connection unless `limit` others are admitted already. Those that only cancel
    /// or are refused take no place.
    pub fn admit(&self, control: &Control, limit: usize) -> bool {
        let open = self.locked();
        let is_admitted = |control: &&Arc<Control>| control.admitted.load(Ordering::Acquire);
        let fits = open.values().filter(is_admitted).count() < limit;
        control.admitted.store(fits, Ordering::Release);
        fits
    }

    /// How many are admitted.
    pub fn count(&self) -> usize {
        let open = self.locked();
        open.values().filter(|control| control.admitted.load(Ordering::Acquire)).count()
    }

    /// Cancels the statement that the connection runs, if the secret is right.
    pub fn cancel(&self, process: i32, secret: i32) {
        if let Some(control) =
            self.locked().get(&process).filter(|control| control.secret == secret)
        {
            control.cancelled.store(true, Ordering::Release);
        }
    }

    /// Breaks every connection off.
    pub fn reset_all(&self) {
        self.locked().values().for_each(|control| control.reset());
    }
}
