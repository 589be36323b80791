//! The `run` command: one or many seeds of a scenario, and the report.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Mutex;
use std::thread;

use argh::FromArgs;
use kestrellock_daemon::policy::Policy;
use miette::{IntoDiagnostic, ensure, miette};

use super::definition::Scenario;
use super::run::run;
use crate::report::{Report, RunResult};

/// run a fault scenario, judge it and write DIR/report.json
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "run")]
pub struct RunCommand {
    /// scenario file
    #[argh(positional)]
    file: PathBuf,
    /// seed; the file's own if not given
    #[argh(option)]
    seed: Option<u64>,
    /// run every seed of A..B, B not included
    #[argh(option)]
    seeds: Option<SeedRange>,
    /// runs at the same time (default 1)
    #[argh(option, default = "1")]
    jobs: usize,
    /// decisions of the nodes: standard, primary-only, sticky-primary, round-robin,
    /// no-confirmation or resend-on-error
    #[argh(option, default = "PolicyName::STANDARD")]
    policy: PolicyName,
    /// directory for the report
    #[argh(option)]
    out: PathBuf,
}

/// Seeds from one up to, not including, another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SeedRange {
    first: u64,
    end: u64,
}

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (first, end) = text.split_once("..").ok_or("expected A..B")?;
        let number = |text: &str| text.parse::<u64>().map_err(|error| error.to_string());
        Ok(Self { first: number(first)?, end: number(end)? })
    }
}

/// A policy as users name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyName {
    /// Its name.
    pub name: &'static str,
    /// The policy.
    pub policy: Policy,
}

impl PolicyName {
    /// The product's own decisions.
    pub const STANDARD: Self = Self { name: "standard", policy: Policy::Standard };
    /// Every policy.
    pub const ALL: [Self; 6] = [
        Self::STANDARD,
        Self { name: "primary-only", policy: Policy::PrimaryOnly },
        Self { name: "sticky-primary", policy: Policy::StickyPrimary },
        Self { name: "round-robin", policy: Policy::RoundRobin },
        Self { name: "no-confirmation", policy: Policy::NoConfirmation },
        Self { name: "resend-on-error", policy: Policy::ResendOnError },
    ];
}

impl FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|known| known.name == text);
        found.ok_or_else(|| format!("no policy {text:?}"))
    }
}

impl RunCommand {
    /// Runs the seeds and writes the report. An error if an invariant was broken.
    pub fn run(&self) -> miette::Result<()> {
        let scenario = Scenario::load(&self.file)?;
        let seeds: Vec<u64> = match self.seeds {
            Some(range) => (range.first..range.end).collect(),
            None => vec![self.seed.unwrap_or(scenario.seed)],
        };
        let runs = run_seeds(&scenario, &seeds, self.jobs, self.policy.policy)?;
        let report = Report::new(&scenario.name, self.policy.name, &runs);
        report.write(&self.out).into_diagnostic()?;
        Report::write_traces(&self.out, &runs).into_diagnostic()?;
        println!("{}", report.summary());
        ensure!(report.violation_count() == 0, "{}", report.broken_invariants());
        Ok(())
    }
}

/// Runs seeds, `jobs` at a time. The results come in order of the seeds.
pub fn run_seeds(
    scenario: &Scenario,
    seeds: &[u64],
    jobs: usize,
    policy: Policy,
) -> miette::Result<Vec<RunResult>> {
    let waiting: Mutex<VecDeque<u64>> = Mutex::new(seeds.iter().copied().collect());
    let next = || waiting.lock().ok().and_then(|mut seeds| seeds.pop_front());
    let worker = || {
        let mut results = Vec::new();
        while let Some(seed) = next() {
            results.push(run(scenario, seed, policy)?);
        }
        Ok(results)
    };
    let mut results = Vec::new();
    let ended: Vec<miette::Result<Vec<RunResult>>> = thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(worker)).collect();
        let join = |worker: thread::ScopedJoinHandle<'_, _>| {
            worker.join().unwrap_or_else(|_| Err(miette!("a run panicked")))
        };
        workers.into_iter().map(join).collect()
    });
    for ended in ended {
        results.extend(ended?);
    }
    results.sort_by_key(|result| result.seed);
    Ok(results)
}
