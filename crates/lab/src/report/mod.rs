//! The report on one or several runs: measurements, and the violations that the checker found.

pub mod latency;
pub mod measurement;

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};

use self::latency::Quantiles;
use self::measurement::Measurement;
use crate::check::violation::{Invariant, Verdict};

/// File name of the report within its directory.
pub const REPORT_FILE: &str = "report.json";
/// Maximum number of violations whose details are included in a report.
const DETAILS_LIMIT: usize = 100;

/// Duration of one primary replacement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailoverGap {
    /// Seed of the run.
    pub seed: u64,
    /// Group whose primary was replaced.
    pub group: String,
    /// Time from the loss of the old primary until the new primary accepted writes, in
    /// milliseconds.
    pub election: f64,
    /// Time from then until a client received the first acknowledgement of a write, in
    /// milliseconds; `None` if no later write was acknowledged.
    pub added: Option<f64>,
}

/// A violation, and the seed of the run in which it occurred.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedViolation {
    /// Seed of the run.
    pub seed: u64,
    /// The violated invariant.
    pub invariant: Invariant,
    /// The operation, node or commit concerned, and what was observed.
    pub detail: String,
}

/// Result of one run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Seed of the run.
    pub seed: u64,
    /// Counts and times.
    pub measurement: Measurement,
    /// Verdict of the checker.
    pub verdict: Verdict,
    /// Text trace of the run; `None` if no invariant was violated.
    pub trace: Option<String>,
}

/// The contents of `report.json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario or bench.
    pub scenario: String,
    /// Policy of the nodes' decisions: that of the product (`standard`) or a baseline.
    pub policy: String,
    /// Seeds that were run.
    pub seeds: Vec<u64>,
    /// Seeds with at least one violation.
    pub failed_seeds: Vec<u64>,
    /// Share of reads that replicas served, from 0 to 1; `None` without reads.
    pub replica_read_share: Option<f64>,
    /// Every primary replacement.
    pub failover_gap_ms: Vec<FailoverGap>,
    /// Median time that the proxy added to the groups' own elections, in milliseconds.
    pub failover_added_median_ms: Option<f64>,
    /// Maximum time that the proxy added to a group's own election, in milliseconds.
    pub failover_added_max_ms: Option<f64>,
    /// Acknowledged requests that may change data.
    pub acknowledged: u64,
    /// Requests that may change data and were reported as not run.
    pub not_run: u64,
    /// Requests that may change data and whose first outcome left them in doubt, including closed
    /// connections.
    pub in_doubt: u64,
    /// Requests in doubt that carried a request key.
    pub in_doubt_keyed: u64,
    /// Requests in doubt for which a later attempt got a final outcome.
    pub in_doubt_resolved: u64,
    /// Longest time from an outcome in doubt to the final outcome, in milliseconds.
    pub longest_resolution_ms: f64,
    /// Reads answered.
    pub reads: u64,
    /// Reads that ended with an error or a closed connection.
    pub reads_failed: u64,
    /// Reads that returned an older version than an earlier read of the same row by the same
    /// session. These are no violations.
    pub read_regressions: u64,
    /// Number of attempts without an answer, by error number, SQLSTATE or `disconnected`.
    pub results: BTreeMap<String, u64>,
    /// Latency by class of statement, measured from the time at which the statement was due.
    pub latency_ms: BTreeMap<String, Quantiles>,
    /// Number of violations of each invariant, including zero.
    pub violations: BTreeMap<Invariant, u64>,
    /// Details of the first violations.
    pub details: Vec<ReportedViolation>,
}

impl Report {
    /// Combines the runs of one scenario under one policy.
    pub fn new(scenario: &str, policy: &str, runs: &[RunResult]) -> Self {
        let mut total = Measurement::default();
        let mut report = Self {
            scenario: scenario.to_owned(),
            policy: policy.to_owned(),
            violations: Verdict::default().counts(),
            ..Self::default()
        };
        for run in runs {
            total.merge(&run.measurement);
            report.add_verdict(run);
        }
        report.set_totals(&total);
        report
    }

    fn add_verdict(&mut self, run: &RunResult) {
        self.seeds.push(run.seed);
        if !run.verdict.violations.is_empty() {
            self.failed_seeds.push(run.seed);
        }
        self.read_regressions += run.verdict.read_regressions;
        for (invariant, count) in run.verdict.counts() {
            *self.violations.entry(invariant).or_default() += count;
        }
        for violation in &run.verdict.violations {
            if self.details.len() < DETAILS_LIMIT {
                self.details.push(ReportedViolation {
                    seed: run.seed,
                    invariant: violation.invariant,
                    detail: violation.detail.clone(),
                });
            }
        }
    }

    fn set_totals(&mut self, total: &Measurement) {
        self.replica_read_share = total.replica_read_share();
        self.failover_gap_ms = total.failovers.clone();
        let mut added: Vec<f64> = total.failovers.iter().filter_map(|gap| gap.added).collect();
        added.sort_by(f64::total_cmp);
        self.failover_added_median_ms = added.get(added.len() / 2).copied();
        self.failover_added_max_ms = added.last().copied();
        self.acknowledged = total.acknowledged;
        self.not_run = total.not_run;
        self.in_doubt = total.in_doubt;
        self.in_doubt_keyed = total.in_doubt_keyed;
        self.in_doubt_resolved = total.in_doubt_resolved;
        self.longest_resolution_ms = total.longest_resolution_ms;
        self.reads = total.reads;
        self.reads_failed = total.reads_failed;
        self.results = total.results.clone();
        self.latency_ms = total.latency.quantiles();
    }

    /// Number of violations of all invariants.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }

    /// A one-line summary of the runs and of the outcomes for clients.
    pub fn summary(&self) -> String {
        let Self { scenario, policy, seeds, acknowledged, not_run, in_doubt, .. } = self;
        format!(
            "{scenario} ({policy}): {} seeds, {acknowledged} writes acknowledged, {not_run} not run, \
             {in_doubt} in doubt ({} resolved), {} reads, {} violations",
            seeds.len(),
            self.in_doubt_resolved,
            self.reads,
            self.violation_count(),
        )
    }

    /// The violated invariants with their number of violations, and the details of the first one.
    pub fn broken_invariants(&self) -> String {
        let broken = self.violations.iter().filter(|(_, count)| **count > 0);
        let counts: Vec<String> =
            broken.map(|(invariant, count)| format!("{invariant:?}: {count}")).collect();
        let first = self.details.first();
        let first = first.map(|first| format!("; seed {}: {}", first.seed, first.detail));
        format!("{}{}", counts.join(", "), first.unwrap_or_default())
    }

    /// Writes the traces of the runs that violated an invariant to `directory`.
    pub fn write_traces(directory: &Path, runs: &[RunResult]) -> std::io::Result<()> {
        for run in runs {
            if let Some(trace) = &run.trace {
                std::fs::create_dir_all(directory)?;
                std::fs::write(directory.join(format!("seed-{}.txt", run.seed)), trace)?;
            }
        }
        Ok(())
    }

    /// Writes the report to `directory`, creating the directory if necessary.
    pub fn write(&self, directory: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(directory)?;
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(directory.join(REPORT_FILE), text)
    }
}
