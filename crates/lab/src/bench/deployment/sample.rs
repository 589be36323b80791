//! Regular looks at the instances while a run goes on: connections, statements present, lag.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::scenario::deployment::Cluster;
use crate::standin::group::instance::Instance;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// What the instances showed at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// When, after the run began.
    pub at: Duration,
    /// Connections open to all instances.
    pub connections: usize,
    /// Connections open to the instance that has most.
    pub most_connections: usize,
    /// Statements that run or wait inside the instances.
    pub present: u64,
    /// Age of the oldest log record that readers do not see yet, over all replicas: the median.
    pub median_lag: Duration,
    /// The same, the greatest.
    pub greatest_lag: Duration,
}

/// Samples until `over`.
pub fn follow(cluster: &Cluster, began: Instant, over: &AtomicBool) -> Vec<Sample> {
    let mut samples = Vec::new();
    while !over.load(Ordering::Acquire) {
        samples.push(take(cluster, began));
        thread::sleep(SAMPLE_INTERVAL);
    }
    samples
}

fn take(cluster: &Cluster, began: Instant) -> Sample {
    let mut sample = Sample { at: began.elapsed(), ..Sample::default() };
    let mut lags = Vec::new();
    for instance in cluster.groups.iter().flat_map(|group| &group.servers.instances) {
        let connections = instance.connections.count();
        sample.connections += connections;
        sample.most_connections = sample.most_connections.max(connections);
        sample.present += instance.service.in_progress();
        lags.extend(lag_of(instance));
    }
    lags.sort();
    sample.median_lag = lags.get(lags.len() / 2).copied().unwrap_or_default();
    sample.greatest_lag = lags.last().copied().unwrap_or_default();
    sample
}

/// `None` for a primary.
fn lag_of(instance: &Instance) -> Option<Duration> {
    let state = instance.state();
    if state.primary {
        return None;
    }
    let oldest = state.log.get(state.applied);
    Some(oldest.map_or(Duration::ZERO, |entry| entry.received.elapsed()))
}
