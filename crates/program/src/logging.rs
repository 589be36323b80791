//! Logging: text or JSON lines on standard output, at a level chosen by flag.
//!
//! Whoever logs never waits: lines go through a bounded queue to a thread that writes them. When
//! the queue is half full lines of ordinary successes are dropped, when it is full all are; how many
//! were dropped is told in a line of its own once there is room again.

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

/// Target of lines that tell the ordinary success of a request.
pub const ROUTINE_TARGET: &str = "kestrellock::ordinary";
/// Lines that may wait for the writer.
pub const QUEUE_LINES: usize = 4096;
/// Longest wait for the writer when the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);
const FLUSH_STEP: Duration = Duration::from_millis(2);

/// Shape of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is neither text nor json")),
        }
    }
}

/// Counters of the queue.
#[derive(Debug, Default)]
struct Counters {
    /// Lines dropped since the process began.
    dropped: AtomicU64,
    /// Of those, the ones that a line has told.
    told: AtomicU64,
    /// Lines handed to the writer and not written yet.
    pending: AtomicU64,
}

/// An appender that never blocks: it hands lines to a thread.
#[derive(Debug)]
pub struct QueuedAppender {
    layout: Box<dyn Layout>,
    lines: Sender<Vec<u8>>,
    counters: Arc<Counters>,
}

impl QueuedAppender {
    /// Lines in `layout`, written to `output` by a thread of their own.
    pub fn new(
        layout: impl Into<Box<dyn Layout>>,
        output: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (lines, queue) = bounded(QUEUE_LINES);
        let counters = Arc::new(Counters::default());
        let written = counters.clone();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || write_lines(&queue, output, &written))?;
        Ok(Self { layout: layout.into(), lines, counters })
    }

    /// Lines dropped since the process began.
    pub fn dropped(&self) -> u64 {
        self.counters.dropped.load(Ordering::Relaxed)
    }

    fn put(&self, line: Vec<u8>, is_ordinary: bool) {
        let is_half_full = self.lines.len() >= QUEUE_LINES / 2;
        self.counters.pending.fetch_add(1, Ordering::AcqRel);
        let outcome = match is_ordinary && is_half_full {
            true => Err(TrySendError::Full(line)),
            false => self.lines.try_send(line),
        };
        if outcome.is_err() {
            self.counters.pending.fetch_sub(1, Ordering::AcqRel);
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The line that tells how many were dropped, if any were since the last one.
    fn report_of_dropped(&self) -> Option<Vec<u8>> {
        let dropped = self.dropped();
        let told = self.counters.told.load(Ordering::Relaxed);
        if dropped == told || self.lines.len() >= QUEUE_LINES / 2 {
            return None;
        }
        let swap = self.counters.told.compare_exchange(
            told,
            dropped,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        let count = dropped - told;
        swap.ok().map(|_| format!("{{\"event\":\"lines_dropped\",\"count\":{count}}}").into_bytes())
    }
}

impl Append for QueuedAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if let Some(report) = self.report_of_dropped() {
            self.put(report, false);
        }
        let line = self.layout.format(record, diagnostics)?;
        self.put(line, record.target() == ROUTINE_TARGET);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let end = Instant::now() + FLUSH_LIMIT;
        while self.counters.pending.load(Ordering::Acquire) > 0 && Instant::now() < end {
            thread::sleep(FLUSH_STEP);
        }
        Ok(())
    }
}

/// Writes lines until nobody can send any more. A reader that has gone away ends nothing else.
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

/// Starts logging for the whole process. A second call changes nothing.
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

/// Waits a moment for the lines that are still to be written.
pub fn flush() {
    log::logger().flush();
}
