//! Log of the statements that reached an instance, with their text and parameters. It is filled
//! only while recording is enabled, for checkers that need it.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use super::connections::ConnectionNumber;

/// Statement texts are truncated to this many bytes.
const TEXT_LIMIT_BYTES: usize = 160;

/// A simple query or an execution of a prepared statement that reached an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementArrival {
    /// When it arrived.
    pub at: Instant,
    /// Connection on which it arrived.
    pub connection: ConnectionNumber,
    /// Whether the instance was primary at that time.
    pub primary: bool,
    /// Start of its text. For a prepared statement, the parameters follow the text.
    pub text: String,
}

/// The statements that reached one instance.
#[derive(Debug, Default)]
pub struct ArrivalLog {
    recording: AtomicBool,
    arrivals: Mutex<Vec<StatementArrival>>,
}

impl ArrivalLog {
    /// Starts recording.
    pub fn record(&self) {
        self.recording.store(true, Ordering::Release);
    }

    /// Whether recording is enabled.
    pub fn is_recording(&self) -> bool {
        self.recording.load(Ordering::Acquire)
    }

    /// Records a statement that arrives now.
    pub fn add(&self, connection: ConnectionNumber, primary: bool, text: &str) {
        let end = text.floor_char_boundary(TEXT_LIMIT_BYTES);
        let text = text[..end].to_owned();
        let arrival = StatementArrival { at: Instant::now(), connection, primary, text };
        self.arrivals.lock().expect("a holder of the arrivals lock panicked").push(arrival);
    }

    /// All recorded statements so far.
    pub fn all(&self) -> Vec<StatementArrival> {
        self.arrivals.lock().expect("a holder of the arrivals lock panicked").clone()
    }
}
