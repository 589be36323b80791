//! Medians, spreads and latency quantiles.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency recorded, in microseconds; a longer one counts as this long.
const LONGEST_MICROSECONDS: u64 = 120_000_000;
/// Significant decimal digits kept of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Share of the samples left out of the spread at either end.
const SPREAD_TAIL: f64 = 0.1;

/// The value at `quantile` (0 to 1) of `samples`, by nearest rank; `None` without samples.
pub fn quantile(samples: &[f64], quantile: f64) -> Option<f64> {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().checked_sub(1)?;
    let rank = (quantile.clamp(0.0, 1.0) * last as f64).round() as usize;
    Some(sorted[rank])
}

/// The middle of several samples and how far they scatter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Tenth percentile; the least of fewer than six samples.
    pub low: f64,
    /// Ninetieth percentile; the greatest of fewer than six samples.
    pub high: f64,
}

/// Median and spread of `samples`; `None` without samples.
pub fn spread(samples: &[f64]) -> Option<Spread> {
    Some(Spread {
        median: quantile(samples, 0.5)?,
        low: quantile(samples, SPREAD_TAIL)?,
        high: quantile(samples, 1.0 - SPREAD_TAIL)?,
    })
}

/// Latencies at microsecond resolution.
#[derive(Clone, Debug)]
pub struct Latencies {
    microseconds: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        let microseconds = Histogram::new_with_bounds(1, LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants that the library accepts");
        Self { microseconds }
    }
}

impl Latencies {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        self.microseconds.saturating_record(latency.as_micros() as u64);
    }

    /// Takes in everything that `other` recorded.
    pub fn add(&mut self, other: &Self) {
        self.microseconds
            .add(&other.microseconds)
            .expect("both have the same bounds, so that every value fits");
    }

    /// Number of latencies recorded.
    pub fn count(&self) -> u64 {
        self.microseconds.len()
    }

    /// Latency in microseconds at `quantile`; zero if none was recorded.
    pub fn at(&self, quantile: f64) -> f64 {
        self.microseconds.value_at_quantile(quantile) as f64
    }
}
