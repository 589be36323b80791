//! How far the readers of a replica stay behind what it has received.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::state::LogEntry;

/// How long a record waits between being received and being seen by readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lag {
    /// The same for every record; [`Duration::MAX`] stops application.
    Fixed(Duration),
    /// Drawn for each record, evenly between two bounds. Records stay in order.
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

/// A [`Lag`] with its source of randomness.
#[derive(Debug)]
pub struct LagSource {
    lag: Lag,
    random: StdRng,
}

impl LagSource {
    /// A lag whose draws follow from `seed`.
    pub fn new(lag: Lag, seed: u64) -> Self {
        Self { lag, random: StdRng::seed_from_u64(seed) }
    }

    /// Draws the lag of a record, where each has its own.
    pub fn draw(&mut self) -> Option<Duration> {
        match self.lag {
            Lag::Fixed(_) => None,
            Lag::Uniform { shortest, longest } => {
                let spread = longest.saturating_sub(shortest);
                Some(shortest + spread.mul_f64(self.random.random::<f64>()))
            }
        }
    }

    /// The lag of a record.
    pub fn for_entry(&self, entry: &LogEntry) -> Duration {
        match self.lag {
            Lag::Fixed(lag) => lag,
            Lag::Uniform { shortest, .. } => entry.lag.unwrap_or(shortest),
        }
    }
}
