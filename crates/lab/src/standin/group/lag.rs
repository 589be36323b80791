//! Replication lag: the delay between receiving a log record and applying it.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::state::LogEntry;

/// How long a record waits, after it was received, until readers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lag {
    /// The same lag for every record; [`Duration::MAX`] stops the application of records.
    Fixed(Duration),
    /// Drawn for each record uniformly between two bounds. Records are still applied in order.
    Uniform {
        /// Lower bound.
        shortest: Duration,
        /// Upper bound.
        longest: Duration,
    },
}

impl Default for Lag {
    fn default() -> Self {
        Self::Fixed(Duration::ZERO)
    }
}

/// A [`Lag`] and its random number generator.
#[derive(Debug)]
pub struct LagSource {
    lag: Lag,
    random: StdRng,
}

impl LagSource {
    /// Creates a lag source that draws reproducibly from `seed`.
    pub fn new(lag: Lag, seed: u64) -> Self {
        Self { lag, random: StdRng::seed_from_u64(seed) }
    }

    /// Draws the lag of a new record. `None` if the lag is fixed.
    pub fn draw(&mut self) -> Option<Duration> {
        match self.lag {
            Lag::Fixed(_) => None,
            Lag::Uniform { shortest, longest } => {
                let spread = longest.saturating_sub(shortest);
                Some(shortest + spread.mul_f64(self.random.random::<f64>()))
            }
        }
    }

    /// The lag that applies to a received record.
    pub fn for_entry(&self, entry: &LogEntry) -> Duration {
        match self.lag {
            Lag::Fixed(lag) => lag,
            Lag::Uniform { shortest, .. } => entry.lag.unwrap_or(shortest),
        }
    }
}
