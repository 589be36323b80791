//! What a run of hollow nodes reports, and the slopes between its sizes.

use serde::Serialize;

/// How long changes took from acceptance to being in force, over nodes and changes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ChangeTimes {
    /// Changes, each counted on every node.
    pub count: usize,
    /// Median over nodes and changes, in seconds.
    pub p50_seconds: f64,
    /// 99th percentile.
    pub p99_seconds: f64,
    /// Longest.
    pub max_seconds: f64,
}

impl ChangeTimes {
    /// Quantiles of the times that each node took for each change.
    pub fn of(mut seconds: Vec<f64>) -> Self {
        seconds.sort_by(f64::total_cmp);
        let Some(&max_seconds) = seconds.last() else { return Self::default() };
        let at = |share: f64| seconds[((seconds.len() - 1) as f64 * share) as usize];
        let (p50_seconds, p99_seconds) = (at(0.5), at(0.99));
        Self { count: seconds.len(), p50_seconds, p99_seconds, max_seconds }
    }
}

/// A stretch of time at one size; rates are for one node.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Phase {
    /// Length.
    pub seconds: f64,
    /// Machines restarted or failed.
    pub restarts: usize,
    /// Changes of the configuration, each counted on every node.
    pub configuration_changes: usize,
    /// Processor time, in percent of one core.
    pub processor_percent: f64,
    /// Datagrams sent.
    pub datagrams_per_second: f64,
    /// Bytes of datagrams sent.
    pub datagram_bytes_per_second: f64,
    /// Bytes of datagrams received.
    pub received_bytes_per_second: f64,
    /// Configuration messages sent.
    pub configuration_messages_per_second: f64,
    /// Bytes of configuration messages sent.
    pub configuration_bytes_per_second: f64,
    /// Datagrams refused, by all nodes.
    pub refused_datagrams: u64,
    /// Deaths declared, by all nodes.
    pub deaths_declared: u64,
    /// Times the table of owners was brought up to date.
    pub ownership_updates_per_second: f64,
    /// Reads of the store, by all nodes.
    pub store_reads: u64,
}

/// Everything measured at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SizeReport {
    /// Nodes.
    pub nodes: usize,
    /// Database groups of three instances.
    pub databases: usize,
    /// Time from the start of all nodes at once until all see all and have the configuration.
    pub boot_seconds: f64,
    /// Memory of the process for each node.
    pub resident_bytes_per_node: u64,
    /// Without any event.
    pub quiet: Phase,
    /// With restarts, failures and changes.
    pub churn: Phase,
    /// Times of the changes under churn.
    pub changes: ChangeTimes,
}

/// What the subscription of a front to one instance's status costs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StatusCost {
    /// Bytes of one status message, framed and authenticated.
    pub message_bytes: usize,
    /// Bytes of one more status in the same message.
    pub further_status_bytes: usize,
}

/// The whole report.
#[derive(Clone, Debug, Serialize)]
pub struct HollowReport {
    /// Seed of the run.
    pub seed: u64,
    /// Cost of statuses, encoded as real nodes do.
    pub status: StatusCost,
    /// One entry a size.
    pub sizes: Vec<SizeReport>,
}

impl HollowReport {
    /// Prints a table and the slopes from size to size.
    pub fn print(&self) {
        println!("status message {} B, each further status {} B", self.status.message_bytes, {
            self.status.further_status_bytes
        });
        for size in &self.sizes {
            println!(
                "{} nodes, {} databases: boot {:.1} s, {:.2} MB a node; in force p50 {:.3} s, \
                 p99 {:.3} s, max {:.3} s",
                size.nodes,
                size.databases,
                size.boot_seconds,
                size.resident_bytes_per_node as f64 / 1e6,
                size.changes.p50_seconds,
                size.changes.p99_seconds,
                size.changes.max_seconds,
            );
            for (name, phase) in [("quiet", &size.quiet), ("churn", &size.churn)] {
                println!(
                    "  {name}: {:.3}% of a core, {:.2} datagrams/s, {:.0} B/s sent, {:.0} B/s \
                     received, configuration {:.0} B/s, {} deaths, {} refused, {} store reads",
                    phase.processor_percent,
                    phase.datagrams_per_second,
                    phase.datagram_bytes_per_second,
                    phase.received_bytes_per_second,
                    phase.configuration_bytes_per_second,
                    phase.deaths_declared,
                    phase.refused_datagrams,
                    phase.store_reads,
                );
            }
        }
        for pair in self.sizes.windows(2) {
            print_slopes(&pair[0], &pair[1]);
        }
    }
}

/// What one more node adds to each node, between two sizes.
fn print_slopes(small: &SizeReport, large: &SizeReport) {
    let nodes = (large.nodes - small.nodes) as f64;
    let slope = |value: fn(&SizeReport) -> f64| (value(large) - value(small)) / nodes;
    println!(
        "slope {} to {} nodes, for each more node: {:.5}% of a core, {:.3} B/s quiet, {:.3} B/s \
         under churn, {:.0} B of memory",
        small.nodes,
        large.nodes,
        slope(|size| size.quiet.processor_percent),
        slope(|size| size.quiet.datagram_bytes_per_second),
        slope(|size| size.churn.datagram_bytes_per_second),
        slope(|size| size.resident_bytes_per_node as f64),
    );
}
