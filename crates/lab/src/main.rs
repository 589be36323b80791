//! `kestrellock-lab`: demonstration, scenarios and benches.

use std::process::ExitCode;

use argh::FromArgs;
use kestrellock_lab::demo::{Demo, check};

/// stand-ins, demonstration and benches for kestrellock
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(DemoArguments),
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
    let arguments: Arguments = argh::from_env();
    let Command::Demo(demo) = arguments.command;
    match run_demo(&demo) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
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
