//! The story of one seed: what happened to instances, nodes and attempts, line by line.

/// Lines of a run, if it is traced.
#[derive(Debug, Default)]
pub struct Trace {
    is_enabled: bool,
    lines: Vec<String>,
}

impl Trace {
    /// A trace that keeps what it is told.
    pub fn enabled() -> Self {
        Self { is_enabled: true, lines: Vec::new() }
    }

    /// Something happened at `now`, in milliseconds.
    pub fn record(&mut self, now: u64, line: impl FnOnce() -> String) {
        if self.is_enabled {
            self.lines.push(format!("{now:>6} {}", line()));
        }
    }

    /// What was noted.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }
}
