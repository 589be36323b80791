//! A record of what happens in a run, with times that can be compared to those of the nodes' logs.

use std::fmt::Write;
use std::sync::{Mutex, MutexGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const MILLISECONDS_PER_SECOND: u128 = 1_000;
const SECONDS_PER_DAY: u128 = 86_400;

/// Lines in the order in which they are added.
#[derive(Debug)]
pub struct Journal {
    began: Instant,
    lines: Mutex<String>,
}

impl Default for Journal {
    fn default() -> Self {
        Self { began: Instant::now(), lines: Mutex::default() }
    }
}

impl Journal {
    fn lines(&self) -> MutexGuard<'_, String> {
        self.lines.lock().expect("a holder of the journal's lock panicked")
    }

    /// Adds a line with the time of day in UTC and the milliseconds since the journal began.
    pub fn add(&self, text: &str) {
        let line = format!("{} {text}", self.time_of(Instant::now()));
        // Writing to a string does not fail.
        let _ = writeln!(self.lines(), "{line}");
    }

    /// A time that has passed, as in the lines.
    pub fn time_of(&self, at: Instant) -> String {
        let since = at.saturating_duration_since(self.began).as_millis();
        format!("{} {since:>6} ms", time_of_day(at))
    }

    /// All lines so far.
    pub fn text(&self) -> String {
        self.lines().clone()
    }
}

fn time_of_day(at: Instant) -> String {
    let wall_clock = SystemTime::now() - at.elapsed();
    let since_epoch = wall_clock.duration_since(UNIX_EPOCH).unwrap_or_default();
    let milliseconds = since_epoch.as_millis();
    let seconds = milliseconds / MILLISECONDS_PER_SECOND % SECONDS_PER_DAY;
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    format!(
        "{hours:02}:{minutes:02}:{:02}.{:03}",
        seconds % 60,
        milliseconds % MILLISECONDS_PER_SECOND
    )
}
