//! Counts and times of a run, computed from its history.

use std::collections::BTreeMap;
use std::time::Duration;

use super::FailoverGap;
use super::latency::Latencies;
use crate::check::history::{
    Action, Attempt, GroupId, History, OperationId, Outcome, RunTime, Told,
};

const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// Counts and times of one run, or of several merged runs.
#[derive(Clone, Debug, Default)]
pub struct Measurement {
    /// Writes acknowledged.
    pub acknowledged: u64,
    /// Writes reported as not run.
    pub not_run: u64,
    /// Writes whose first outcome left them in doubt.
    pub in_doubt: u64,
    /// Writes in doubt that carried a request key.
    pub in_doubt_keyed: u64,
    /// Writes in doubt for which a later attempt got a final outcome.
    pub in_doubt_resolved: u64,
    /// Longest time from an outcome in doubt to the final outcome, in milliseconds.
    pub longest_resolution_ms: f64,
    /// Reads answered.
    pub reads: u64,
    /// Reads that failed.
    pub reads_failed: u64,
    /// Reads that reached a primary, as counted by the instances.
    pub reads_at_primary: u64,
    /// Reads that reached a replica, as counted by the instances.
    pub reads_at_replica: u64,
    /// Number of attempts without an answer, by error number, SQLSTATE or `disconnected`.
    pub results: BTreeMap<String, u64>,
    /// Latency by class of statement.
    pub latency: Latencies,
    /// Primary replacements.
    pub failovers: Vec<FailoverGap>,
}

/// A replacement of a group's primary, as recorded by the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failover {
    /// The group.
    pub group: GroupId,
    /// When the old primary was lost.
    pub lost: RunTime,
    /// When the new primary accepted writes.
    pub promoted: RunTime,
}

/// Class of an action's statements in reports.
pub fn class_name(action: &Action) -> &'static str {
    match action {
        Action::Read(_) => "read",
        Action::Write(_) => "write",
        Action::Deposit => "deposit",
        Action::Purchase(_) => "purchase",
        Action::Transaction { .. } => "transaction",
    }
}

fn milliseconds(from: RunTime, to: RunTime) -> f64 {
    to.0.saturating_sub(from.0) as f64 / MICROSECONDS_PER_MILLISECOND
}

impl Measurement {
    /// Computes the measurement of a run from its history.
    pub fn new(seed: u64, history: &History, failovers: &[Failover]) -> Self {
        let mut measurement = Self::default();
        let mut writes: BTreeMap<&OperationId, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &history.attempts {
            measurement.count_result(&attempt.outcome);
            if attempt.action.may_write() {
                writes.entry(&attempt.operation).or_default().push(attempt);
            } else {
                measurement.count_read(attempt);
            }
        }
        writes.values().for_each(|attempts| measurement.count_write(attempts));
        for failover in failovers {
            measurement.failovers.push(failover_gap(seed, failover, history));
        }
        measurement
    }

    /// Records the latency of one operation.
    pub fn record_latency(&mut self, action: &Action, latency: Duration) {
        self.latency.record(class_name(action), latency);
    }

    fn count_result(&mut self, outcome: &Outcome) {
        let name = match outcome {
            Outcome::Answered(_) => return,
            Outcome::Disconnected => "disconnected".to_owned(),
            Outcome::NotRun(error)
            | Outcome::InDoubt(error)
            | Outcome::AlreadyRan(error)
            | Outcome::Abandoned(error) => result_name(error),
        };
        *self.results.entry(name).or_default() += 1;
    }

    fn count_read(&mut self, attempt: &Attempt) {
        match attempt.outcome {
            Outcome::Answered(_) => self.reads += 1,
            _ => self.reads_failed += 1,
        }
    }

    /// Counts one operation by its first outcome. If that left it in doubt, also counts the first
    /// later outcome that resolved the doubt.
    fn count_write(&mut self, attempts: &[&Attempt]) {
        let Some(first) = attempts.first() else { return };
        let is_final = |attempt: &Attempt| {
            !matches!(
                attempt.outcome,
                Outcome::InDoubt(_) | Outcome::Disconnected | Outcome::NotRun(_)
            )
        };
        match &first.outcome {
            Outcome::Answered(_) | Outcome::AlreadyRan(_) => self.acknowledged += 1,
            Outcome::NotRun(_) | Outcome::Abandoned(_) => self.not_run += 1,
            Outcome::InDoubt(_) | Outcome::Disconnected => {
                self.in_doubt += 1;
                self.in_doubt_keyed += u64::from(first.keyed);
                if let Some(resolved) = attempts.iter().find(|attempt| is_final(attempt)) {
                    self.in_doubt_resolved += 1;
                    let time = milliseconds(first.completed, resolved.completed);
                    self.longest_resolution_ms = self.longest_resolution_ms.max(time);
                }
            }
        }
    }

    /// Share of reads that replicas served, from 0 to 1; `None` without reads.
    pub fn replica_read_share(&self) -> Option<f64> {
        let total = self.reads_at_primary + self.reads_at_replica;
        (total > 0).then(|| self.reads_at_replica as f64 / total as f64)
    }

    /// Adds the counts and times of another run.
    pub fn merge(&mut self, other: &Measurement) {
        self.acknowledged += other.acknowledged;
        self.not_run += other.not_run;
        self.in_doubt += other.in_doubt;
        self.in_doubt_keyed += other.in_doubt_keyed;
        self.in_doubt_resolved += other.in_doubt_resolved;
        self.longest_resolution_ms = self.longest_resolution_ms.max(other.longest_resolution_ms);
        self.reads += other.reads;
        self.reads_failed += other.reads_failed;
        self.reads_at_primary += other.reads_at_primary;
        self.reads_at_replica += other.reads_at_replica;
        for (name, count) in &other.results {
            *self.results.entry(name.clone()).or_default() += count;
        }
        self.latency.merge(&other.latency);
        self.failovers.extend(other.failovers.iter().cloned());
    }
}

fn result_name(error: &Told) -> String {
    match error.number {
        Some(number) => format!("KL{number}"),
        None => format!("SQLSTATE {}", error.sqlstate),
    }
}

fn failover_gap(seed: u64, failover: &Failover, history: &History) -> FailoverGap {
    let first_write = history
        .attempts
        .iter()
        .filter(|attempt| attempt.group == failover.group && attempt.action.may_write())
        .filter(|attempt| attempt.outcome.is_acknowledged(&attempt.action))
        .map(|attempt| attempt.completed)
        .filter(|completed| *completed > failover.promoted)
        .min();
    FailoverGap {
        seed,
        group: failover.group.to_string(),
        election: milliseconds(failover.lost, failover.promoted),
        added: first_write.map(|completed| milliseconds(failover.promoted, completed)),
    }
}
