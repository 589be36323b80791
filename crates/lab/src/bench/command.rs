//! The commands `bench` and `compare`.

use std::path::{Path, PathBuf};
use std::time::Duration;

use argh::FromArgs;
use miette::miette;

use super::deployment::plan::Site;
use super::deployment::{self, DeploymentOptions};
use super::path::{IDLE_CALLERS, PathOptions};
use super::report::Report;
use super::{compare, confirmation, overload, path};
use crate::scenario::command::PolicyName;

/// measure the proxy
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    #[argh(subcommand)]
    bench: Bench,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Bench {
    Path(PathCommand),
    Atlas(AtlasCommand),
    Gidanmu(GidanmuCommand),
    Overload(OverloadCommand),
    Confirmation(ConfirmationCommand),
}

/// statements a second and latency past the proxy, through one node and through two
#[derive(FromArgs)]
#[argh(subcommand, name = "path")]
struct PathCommand {
    /// length of the run (default 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// earlier report to compare with
    #[argh(option)]
    against: Option<PathBuf>,
    /// directory for report.json
    #[argh(option)]
    out: PathBuf,
}

/// three times more writes than a primary can take: goodput, latency, refusals
#[derive(FromArgs)]
#[argh(subcommand, name = "overload")]
struct OverloadCommand {
    /// length of each of the two phases (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// earlier report to compare with
    #[argh(option)]
    against: Option<PathBuf>,
    /// directory for report.json
    #[argh(option)]
    out: PathBuf,
}

impl OverloadCommand {
    fn run(&self) -> miette::Result<()> {
        let earlier = self.against.as_deref().map(Report::read).transpose()?;
        let report = overload::run(Duration::from_secs(self.seconds.max(1)))?;
        report.print();
        report.write(&self.out)?;
        print_comparison(earlier.as_ref(), &report)
    }
}

/// cost of confirming writes: nothing waited for, term alone, term and flushed offset
#[derive(FromArgs)]
#[argh(subcommand, name = "confirmation")]
struct ConfirmationCommand {
    /// length of one round in milliseconds (default 500)
    #[argh(option, default = "500")]
    round_ms: u64,
    /// directory for report.json
    #[argh(option)]
    out: PathBuf,
}

impl ConfirmationCommand {
    fn run(&self) -> miette::Result<()> {
        let report = confirmation::run(Duration::from_millis(self.round_ms.max(1)))?;
        report.print();
        report.write(&self.out)
    }
}

impl BenchCommand {
    /// Runs the bench, prints its table and writes its report.
    pub fn run(&self) -> miette::Result<()> {
        match &self.bench {
            Bench::Path(command) => command.run(),
            Bench::Atlas(command) => command.run(),
            Bench::Gidanmu(command) => command.run(),
            Bench::Overload(command) => command.run(),
            Bench::Confirmation(command) => command.run(),
        }
    }
}

impl PathCommand {
    fn run(&self) -> miette::Result<()> {
        let earlier = self.against.as_deref().map(Report::read).transpose()?;
        let length = Duration::from_secs(self.seconds.max(1));
        let report = path::run(&PathOptions { length, idle_callers: IDLE_CALLERS })?;
        report.print();
        report.write(&self.out)?;
        print_comparison(earlier.as_ref(), &report)
    }
}

/// Declares the command of one deployment's bench; both take the same options.
macro_rules! deployment_command {
    ($(#[$doc:meta])* $command:ident, $name:tt, $site:expr) => {
        $(#[$doc])*
        #[derive(FromArgs)]
        #[argh(subcommand, name = $name)]
        struct $command {
            /// first seed (default 1)
            #[argh(option, default = "1")]
            seed: u64,
            /// number of seeds, one run each (default 5)
            #[argh(option, default = "5")]
            seeds: u64,
            /// nodes in each zone (default 1)
            #[argh(option, default = "1")]
            nodes: usize,
            /// decisions that are measured (default standard)
            #[argh(option, default = "PolicyName::STANDARD")]
            policy: PolicyName,
            /// earlier report to compare with
            #[argh(option)]
            against: Option<PathBuf>,
            /// directory for report.json and report.html
            #[argh(option)]
            out: PathBuf,
        }

        impl $command {
            fn run(&self) -> miette::Result<()> {
                let options = DeploymentOptions {
                    site: $site,
                    seed: self.seed,
                    seeds: self.seeds.max(1),
                    nodes_per_zone: self.nodes.max(1),
                    policy: self.policy,
                    baselines: baselines()?,
                };
                run_deployment(&options, self.against.as_deref(), &self.out)
            }
        }
    };
}

deployment_command!(
    /// Casablanca: evening proof browsing beside orders, replicas behind, one failover
    AtlasCommand,
    "atlas",
    Site::Atlas
);
deployment_command!(
    /// Lagos: a rush of 3 times capacity for tickets, roaming sessions, one failover
    GidanmuCommand,
    "gidanmu",
    Site::Gidanmu
);

/// Names of the policies that every bench of a deployment compares with.
const BASELINES: [&str; 2] = ["primary-only", "sticky-primary"];

fn baselines() -> miette::Result<Vec<PolicyName>> {
    BASELINES.iter().map(|name| name.parse().map_err(|error| miette!("{error}"))).collect()
}

fn run_deployment(
    options: &DeploymentOptions,
    against: Option<&Path>,
    out: &Path,
) -> miette::Result<()> {
    let earlier = against.map(Report::read).transpose()?;
    let outcome = deployment::bench(options)?;
    outcome.report.print();
    outcome.report.write(out)?;
    deployment::page::write(&outcome, out)?;
    print_comparison(earlier.as_ref(), &outcome.report)
}

/// Prints the comparison with an earlier report; fails if a measure regressed.
fn print_comparison(earlier: Option<&Report>, report: &Report) -> miette::Result<()> {
    let Some(earlier) = earlier else { return Ok(()) };
    let changes = compare::compare(earlier, report);
    println!();
    compare::print(&changes);
    let regressions = compare::regressions(&changes);
    miette::ensure!(regressions == 0, "{regressions} measures regressed");
    Ok(())
}

/// compare two reports of the same bench; exit code 1 if a measure regressed
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct CompareCommand {
    /// the earlier report
    #[argh(positional)]
    before: PathBuf,
    /// the later report
    #[argh(positional)]
    after: PathBuf,
}

impl CompareCommand {
    /// Prints what changed.
    pub fn run(&self) -> miette::Result<()> {
        let before = Report::read(&self.before)?;
        let after = Report::read(&self.after)?;
        if before.bench != after.bench {
            return Err(miette!(
                "the reports are of different benches: {} and {}",
                before.bench,
                after.bench
            ));
        }
        print_comparison(Some(&before), &after)
    }
}
