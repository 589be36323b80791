//! `kestrellockctl`: the operators' command line.

use std::process::ExitCode;

use argh::FromArgs;
use miette::{IntoDiagnostic, Result};

/// kestrellock operators' command line
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Status(StatusArguments),
}

/// show what a node says of itself
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArguments {
    /// admin address of the node, such as 127.0.0.1:7433
    #[argh(positional)]
    node: std::net::SocketAddr,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let Command::Status(status) = arguments.command;
    match show_status(&status) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn show_status(arguments: &StatusArguments) -> Result<()> {
    let mut answer =
        ureq::get(format!("http://{}/status", arguments.node)).call().into_diagnostic()?;
    println!("{}", answer.body_mut().read_to_string().into_diagnostic()?);
    Ok(())
}
