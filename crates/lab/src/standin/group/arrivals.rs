//! What reached an instance: texts of queries and their parameters, kept only where a judge asks
//! for them.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use super::connections::ConnectionNumber;

/// Longest part of a text that is kept, in bytes.
const TEXT_LIMIT_BYTES: usize = 160;

/// A simple query, or an execution of a prepared statement, that reached an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementArrival {
    /// When.
    pub at: Instant,
    /// Connection that carried it.
    pub connection: ConnectionNumber,
    /// Whether the instance was primary.
    pub primary: bool,
    /// The head of its text; parameters follow the text of a prepared statement.
    pub text: String,
}

/// The arrivals at one instance.
#[derive(Debug, Default)]
pub struct ArrivalLog {
    recording: AtomicBool,
    arrivals: Mutex<Vec<StatementArrival>>,
}

impl ArrivalLog {
    /// Begins to keep arrivals.
    pub fn record(&self) {
        self.recording.store(true, Ordering::Release);
    }

    /// Whether arrivals are kept.
    pub fn is_recording(&self) -> bool {
        self.recording.load(Ordering::Acquire)
    }

    /// Keeps an arrival that happens now.
    pub fn add(&self, connection: ConnectionNumber, primary: bool, text: &str) {
        let end = text.floor_char_boundary(TEXT_LIMIT_BYTES);
        let text = text[..end].to_owned();
        let arrival = StatementArrival { at: Instant::now(), connection, primary, text };
        self.arrivals.lock().expect("a holder of the arrivals lock panicked").push(arrival);
    }

    /// All arrivals so far.
    pub fn all(&self) -> Vec<StatementArrival> {
        self.arrivals.lock().expect("a holder of the arrivals lock panicked").clone()
    }
}
