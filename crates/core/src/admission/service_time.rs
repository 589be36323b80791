//! Running estimate of how long a request occupies its slot, from which the scheduler predicts
//! waits.

use std::time::Duration;

/// The mean moves by 1/8 of each difference and the deviation by 1/4, as in TCP's round-trip time
/// estimator.
const MEAN_SHIFT: u32 = 3;
const DEVIATION_SHIFT: u32 = 2;
/// Number of mean deviations above the mean in the tail estimate.
const TAIL_DEVIATIONS: u64 = 4;

/// Exponentially weighted mean and mean deviation of service times. Zero until the first sample.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTime {
    mean: u64,
    deviation: u64,
    sampled: bool,
}

impl ServiceTime {
    /// Records one observed service time.
    pub fn record(&mut self, sample: Duration) {
        let sample = nanoseconds(sample);
        if !self.sampled {
            *self = Self { mean: sample, deviation: sample / 2, sampled: true };
            return;
        }
        let difference = sample.abs_diff(self.mean);
        self.mean = step(self.mean, sample, MEAN_SHIFT);
        self.deviation = step(self.deviation, difference, DEVIATION_SHIFT);
    }

    /// Expected service time.
    pub fn mean(&self) -> Duration {
        Duration::from_nanos(self.mean)
    }

    /// Service time that few requests exceed: the mean plus four mean deviations.
    pub fn tail(&self) -> Duration {
        Duration::from_nanos(
            self.mean.saturating_add(self.deviation.saturating_mul(TAIL_DEVIATIONS)),
        )
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// Moves `current` towards `sample` by a fraction of 1 / 2^shift.
fn step(current: u64, sample: u64, shift: u32) -> u64 {
    if sample >= current {
        current + ((sample - current) >> shift)
    } else {
        current - ((current - sample) >> shift)
    }
}
