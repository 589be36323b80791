//! The report of a run or of several: what was measured, and what the checker found.

pub mod latency;
pub mod measurement;

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};

use self::latency::Quantiles;
use self::measurement::Measurement;
use crate::check::violation::{Invariant, Verdict};

/// Name of the report within its directory.
pub const REPORT_FILE: &str = "report.json";
/// Violations whose details a report spells out, at most.
const DETAILS_LIMIT: usize = 100;

/// One change of primary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailoverGap {
    /// Seed of the run it happened in.
    pub seed: u64,
    /// Group that changed its primary.
    pub group: String,
    /// From the loss of the old primary until the new one took writes, in milliseconds.
    pub election: f64,
    /// From then until the first write acknowledged to a caller, in milliseconds; `None` if no
    /// write was acknowledged any more.
    pub added: Option<f64>,
}

/// A violation and the seed that showed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedViolation {
    /// Seed of the run.
    pub seed: u64,
    /// Invariant that was broken.
    pub invariant: Invariant,
    /// Where and how.
    pub detail: String,
}

/// What one run gave.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Its seed.
    pub seed: u64,
    /// What was measured.
    pub measurement: Measurement,
    /// What the checker found.
    pub verdict: Verdict,
    /// What happened, as text, where an invariant was broken.
    pub trace: Option<String>,
}

/// The report, as `report.json` holds it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario or bench.
    pub scenario: String,
    /// Decisions the nodes took: the product's (`standard`) or a baseline's.
    pub policy: String,
    /// Seeds that were run.
    pub seeds: Vec<u64>,
    /// Seeds with at least one violation.
    pub failed_seeds: Vec<u64>,
    /// Share of the reads that a replica served, from 0 to 1; `None` without reads.
    pub replica_read_share: Option<f64>,
    /// Every change of primary.
    pub failover_gap_ms: Vec<FailoverGap>,
    /// Median of what the proxy added to the groups' own elections, in milliseconds.
    pub failover_added_median_ms: Option<f64>,
    /// Largest of them, in milliseconds.
    pub failover_added_max_ms: Option<f64>,
    /// Requests that may change something and were acknowledged.
    pub acknowledged: u64,
    /// Requests that were told that they had not run.
    pub not_run: u64,
    /// Requests whose first outcome left them in doubt, a broken connection included.
    pub in_doubt: u64,
    /// Those of them that carried a request key.
    pub in_doubt_keyed: u64,
    /// Those in doubt that later got a final outcome.
    pub in_doubt_resolved: u64,
    /// Longest time from doubt to its resolution, in milliseconds.
    pub longest_resolution_ms: f64,
    /// Reads answered.
    pub reads: u64,
    /// Reads that ended with an error or a broken connection.
    pub reads_failed: u64,
    /// Reads that saw an older version than an earlier read of the same session; not judged.
    pub read_regressions: u64,
    /// How often each numbered result was told, by its number.
    pub results: BTreeMap<String, u64>,
    /// Latency by class of statement, from the time at which it was due.
    pub latency_ms: BTreeMap<String, Quantiles>,
    /// Violations of each invariant, zeros included.
    pub violations: BTreeMap<Invariant, u64>,
    /// The first violations in full.
    pub details: Vec<ReportedViolation>,
}

impl Report {
    /// Sums up runs of one scenario under one policy.
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

    /// One line on what was run and how it ended for callers.
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

    /// The invariants that were broken, how often, and the first case in full.
    pub fn broken_invariants(&self) -> String {
        let broken = self.violations.iter().filter(|(_, count)| **count > 0);
        let counts: Vec<String> =
            broken.map(|(invariant, count)| format!("{invariant:?}: {count}")).collect();
        let first = self.details.first();
        let first = first.map(|first| format!("; seed {}: {}", first.seed, first.detail));
        format!("{}{}", counts.join(", "), first.unwrap_or_default())
    }

    /// Writes the traces of the runs that broke an invariant to `directory`.
    pub fn write_traces(directory: &Path, runs: &[RunResult]) -> std::io::Result<()> {
        for run in runs {
            if let Some(trace) = &run.trace {
                std::fs::create_dir_all(directory)?;
                std::fs::write(directory.join(format!("seed-{}.txt", run.seed)), trace)?;
            }
        }
        Ok(())
    }

    /// Writes the report to `directory`, which is made if it is not there.
    pub fn write(&self, directory: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(directory)?;
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(directory.join(REPORT_FILE), text)
    }
}
