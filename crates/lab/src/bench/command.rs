//! The commands `bench` and `compare`.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use super::path::{IDLE_CALLERS, PathOptions};
use super::report::Report;
use super::{compare, path};

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

impl BenchCommand {
    /// Runs the bench, prints its table and writes its report.
    pub fn run(&self) -> miette::Result<()> {
        match &self.bench {
            Bench::Path(command) => command.run(),
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
            return Err(miette::miette!(
                "the reports are of different benches: {} and {}",
                before.bench,
                after.bench
            ));
        }
        print_comparison(Some(&before), &after)
    }
}
