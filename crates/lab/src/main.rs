//! `kestrellock-lab`: the command line of the demonstration, fault scenarios and benches.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use kestrellock_lab::bench::command::{BenchCommand, CompareCommand};
use kestrellock_lab::demo::{Demo, DemoOptions, check};
use kestrellock_lab::fault_events::FaultEventsCommand;
use kestrellock_lab::platform;
use kestrellock_lab::scenario::command::RunCommand;
use kestrellock_program::command_line::{self, UsageError};
use miette::{IntoDiagnostic, miette};

/// stand-ins, demonstration and benches for kestrellock
#[derive(FromArgs)]
struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    #[allow(dead_code, reason = "answered before the arguments are parsed")]
    version: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(DemoArguments),
    Bench(BenchCommand),
    Compare(CompareCommand),
    Run(RunCommand),
    Resting(FaultEventsCommand),
}

/// start a store, database groups and three nodes on loopback
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArguments {
    /// run checks through a client library, print their counts, and exit
    #[argh(switch)]
    check: bool,
    /// use stand-ins of the users' platform; requires --check
    #[argh(switch)]
    platform: bool,
    /// one-way delay between zones in milliseconds (default: 1.5)
    #[argh(option, default = "1.5")]
    delay_ms: f64,
}

fn main() -> ExitCode {
    command_line::run("kestrellock-lab", |arguments: Arguments| match arguments.command {
        Command::Demo(demo) => run_demo(&demo),
        Command::Bench(bench) => bench.run(),
        Command::Compare(compare) => compare.run(),
        Command::Run(run) => run.run(),
        Command::Resting(resting) => resting.run(),
    })
}

fn run_demo(arguments: &DemoArguments) -> miette::Result<()> {
    if arguments.platform {
        if !arguments.check {
            return Err(UsageError("--platform requires --check".to_owned()).into());
        }
        print!("{}", platform::check::run()?);
        return Ok(());
    }
    let zone_delay = Duration::try_from_secs_f64(arguments.delay_ms / 1000.0).into_diagnostic()?;
    let demo = Demo::start_with(DemoOptions { zone_delay, ..DemoOptions::default() })?;
    if arguments.check {
        let verdict = check::run(&demo);
        demo.stop();
        return report(&verdict);
    }
    for line in demo.connection_instructions() {
        println!("{line}");
    }
    loop {
        std::thread::park();
    }
}

fn report(verdict: &check::Verdict) -> miette::Result<()> {
    print!("{}", verdict.checked);
    for failure in &verdict.failures {
        println!("FAILED  {}: {}", failure.check, failure.problem);
    }
    match verdict.failures.len() {
        0 => Ok(()),
        count => Err(miette!("{count} checks failed")),
    }
}
