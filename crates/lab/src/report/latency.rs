//! Latency histograms by class of statement.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Significant figures of recorded latencies.
const SIGNIFICANT_FIGURES: u8 = 3;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// Latency quantiles of one class of statements, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of statements.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

/// Latency histograms of several classes.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    classes: BTreeMap<String, Histogram<u64>>,
}

impl Latencies {
    /// Records the latency of one statement.
    pub fn record(&mut self, class: &str, latency: Duration) {
        self.histogram(class)
            .record(latency.as_micros() as u64)
            .expect("an auto-resizing histogram accepts every value");
    }

    /// Adds all latencies recorded by `other`.
    pub fn merge(&mut self, other: &Latencies) {
        for (class, histogram) in &other.classes {
            self.histogram(class)
                .add(histogram)
                .expect("an auto-resizing histogram can add any other");
        }
    }

    /// Latency quantiles of each class.
    pub fn quantiles(&self) -> BTreeMap<String, Quantiles> {
        let classes = self.classes.iter();
        classes.map(|(class, histogram)| (class.clone(), quantiles_of(histogram))).collect()
    }

    fn histogram(&mut self, class: &str) -> &mut Histogram<u64> {
        self.classes.entry(class.to_owned()).or_insert_with(|| {
            let mut histogram = Histogram::new(SIGNIFICANT_FIGURES)
                .expect("the library supports three significant figures");
            histogram.auto(true);
            histogram
        })
    }
}

fn quantiles_of(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND;
    Quantiles {
        count: histogram.len(),
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        p999: at(0.999),
        max: histogram.max() as f64 / MICROSECONDS_PER_MILLISECOND,
    }
}
