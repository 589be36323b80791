//! The trace of one run: events of instances, nodes and attempts, one per line.

/// The recorded events of a run, if tracing is enabled.
#[derive(Debug, Default)]
pub struct Trace {
    is_enabled: bool,
    lines: Vec<String>,
}

impl Trace {
    /// Creates a trace that records events.
    pub fn enabled() -> Self {
        Self { is_enabled: true, lines: Vec::new() }
    }

    /// Records an event at `now`, in milliseconds.
    pub fn record(&mut self, now: u64, line: impl FnOnce() -> String) {
        if self.is_enabled {
            self.lines.push(format!("{now:>6} {}", line()));
        }
    }

    /// The recorded lines.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }
}
