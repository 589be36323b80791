//! Logging: text or JSON lines on standard output.
//!
//! Logging never blocks the calling thread: lines go through a bounded queue to a thread that
//! writes them. When the queue is half full, routine lines are dropped; when it is full, all lines
//! are dropped. The number of dropped lines is logged in a separate line once the queue is less
//! than half full again.

use std::io::Write;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use log::LevelFilter;
use logforth::append::Append;
use logforth::layout::{JsonLayout, Layout, TextLayout};
use logforth::record::Record;
use logforth::{Diagnostic, Error, starter_log};

/// Log target of routine lines, which report successful requests.
pub const ROUTINE_TARGET: &str = "kestrellock::ordinary";
/// Capacity of the queue to the writer thread, in lines.
pub const QUEUE_LINES: usize = 4096;
/// Longest time that a flush waits for the writer thread, so that a blocked output does not delay
/// the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is not a log format; use text or json")),
        }
    }
}

/// Counters of the queue.
#[derive(Debug, Default)]
struct Counters {
    /// Lines dropped since the process started.
    dropped: AtomicU64,
    /// Dropped lines that have been reported in the log.
    reported: AtomicU64,
    /// Lines sent to the writer thread and not written yet.
    pending: AtomicU64,
}

/// A non-blocking appender that sends lines to a writer thread.
#[derive(Debug)]
pub struct QueuedAppender {
    layout: Box<dyn Layout>,
    lines: Sender<Vec<u8>>,
    counters: Arc<Counters>,
}

impl QueuedAppender {
    /// Creates an appender that formats lines with `layout`, and starts the thread that writes them
    /// to `output`.
    pub fn new(
        layout: impl Into<Box<dyn Layout>>,
        output: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (lines, queue) = bounded(QUEUE_LINES);
        let counters = Arc::new(Counters::default());
        let writer_counters = counters.clone();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&queue, output, &writer_counters))?;
        Ok(Self { layout: layout.into(), lines, counters })
    }

    /// Lines dropped since the process started.
    pub fn dropped(&self) -> u64 {
        self.counters.dropped.load(Ordering::Relaxed)
    }

    fn put(&self, line: Vec<u8>, is_routine: bool) {
        let is_half_full = self.lines.len() >= QUEUE_LINES / 2;
        self.counters.pending.fetch_add(1, Ordering::AcqRel);
        let outcome = match is_routine && is_half_full {
            true => Err(TrySendError::Full(line)),
            false => self.lines.try_send(line),
        };
        if outcome.is_err() {
            self.counters.pending.fetch_sub(1, Ordering::AcqRel);
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The line that reports how many lines were dropped since the last report. `None` if there are
    /// none, or while the queue is at least half full.
    fn dropped_lines_report(&self) -> Option<Vec<u8>> {
        let dropped = self.dropped();
        let reported = self.counters.reported.load(Ordering::Relaxed);
        if dropped == reported || self.lines.len() >= QUEUE_LINES / 2 {
            return None;
        }
        let swap = self.counters.reported.compare_exchange(
            reported,
            dropped,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        let count = dropped - reported;
        swap.ok().map(|_| format!("{{\"event\":\"lines_dropped\",\"count\":{count}}}").into_bytes())
    }
}

impl Append for QueuedAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if let Some(report) = self.dropped_lines_report() {
            self.put(report, false);
        }
        let line = self.layout.format(record, diagnostics)?;
        self.put(line, record.target() == ROUTINE_TARGET);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.counters.pending.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}

/// Writes lines until all senders are gone. Write errors are ignored, so that a closed output does
/// not stop the process.
fn write_lines(queue: &Receiver<Vec<u8>>, mut output: impl Write, counters: &Counters) {
    for mut line in queue {
        line.push(b'\n');
        let _ = output.write_all(&line);
        if queue.is_empty() {
            let _ = output.flush();
        }
        counters.pending.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Starts logging for the whole process. A second call has no effect.
pub fn start(level: LevelFilter, format: LogFormat) {
    let output = std::io::BufWriter::new(std::io::stdout());
    let queued = match format {
        LogFormat::Text => QueuedAppender::new(TextLayout::default(), output),
        LogFormat::Json => QueuedAppender::new(JsonLayout::default(), output),
    };
    let Ok(queued) = queued else { return };
    let builder = starter_log::builder().dispatch(|dispatch| dispatch.append(queued));
    if builder.try_apply().is_ok() {
        log::set_max_level(level);
    }
}

/// Waits until the pending lines are written, 200 ms at most.
pub fn flush() {
    log::logger().flush();
}
