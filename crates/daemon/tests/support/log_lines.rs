//! The log lines that a test causes on its own thread.

use std::cell::RefCell;
use std::sync::Once;

use log::{LevelFilter, Log, Metadata, Record};

/// What a test examines of a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The event.
    pub event: String,
    /// For a line that states suppressed ones: the event of those.
    pub suppressed: Option<String>,
    /// For a line that states suppressed ones: their number.
    pub count: Option<u64>,
}

thread_local! {
    static LINES: RefCell<Vec<LogLine>> = const { RefCell::new(Vec::new()) };
}

struct Collector;

impl Log for Collector {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let values = record.key_values();
        let text = |key: &str| values.get(key.into()).map(|value| value.to_string());
        let Some(event) = text("event") else { return };
        let count = values.get("count".into()).and_then(|value| value.to_u64());
        let line = LogLine { event, suppressed: text("lines"), count };
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

/// Starts to collect lines, and drops those that this thread has logged so far.
pub fn collect() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&Collector).expect("no other logger");
        log::set_max_level(LevelFilter::Info);
    });
    LINES.take();
}

/// Number of lines of an event that this thread has logged.
pub fn lines_of(event: &str) -> usize {
    LINES.with_borrow(|lines| lines.iter().filter(|line| line.event == event).count())
}

/// The numbers that this thread has logged of suppressed lines of an event.
pub fn suppressed(event: &str) -> Vec<u64> {
    let is_of_event = |line: &&LogLine| line.suppressed.as_deref() == Some(event);
    LINES.with_borrow(|lines| lines.iter().filter(is_of_event).filter_map(|l| l.count).collect())
}
