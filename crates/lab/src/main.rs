//! `kestrellock-lab`: demonstration, scenarios and benches.

use std::process::ExitCode;

use argh::FromArgs;
use kestrellock_lab::bench::command::{BenchCommand, CompareCommand};
use kestrellock_lab::demo::{Demo, check};
use kestrellock_lab::scenario::command::RunCommand;
use kestrellock_program::command_line;

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
}

/// start store, database groups and three nodes on loopback
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArguments {
    /// drive it through a client library, print what was checked, and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    command_line::run("kestrellock-lab", |arguments: Arguments| match arguments.command {
        Command::Demo(demo) => run_demo(&demo),
        Command::Bench(bench) => bench.run(),
        Command::Compare(compare) => compare.run(),
        Command::Run(run) => run.run(),
    })
}

fn run_demo(arguments: &DemoArguments) -> miette::Result<()> {
    let demo = Demo::start()?;
    if arguments.check {
        let checked = check::run(&demo)?;
        println!("{} writes acknowledged, {} reads saw them", checked.writes, checked.reads);
        demo.stop();
        return Ok(());
    }
    for address in &demo.caller_addresses {
        println!("psql -h {} -p {} -U atlas orders", address.ip(), address.port());
    }
    loop {
        std::thread::park();
    }
}
