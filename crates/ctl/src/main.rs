//! `kestrellockctl`: the operators' command line.

use std::process::ExitCode;

use argh::FromArgs;
use kestrellock_program::command_line;
use miette::{IntoDiagnostic, Result};

/// kestrellock operators' command line
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
    command_line::run("kestrellockctl", |arguments: Arguments| match arguments.command {
        Command::Status(status) => show_status(&status),
    })
}

fn show_status(arguments: &StatusArguments) -> Result<()> {
    let mut answer =
        ureq::get(format!("http://{}/status", arguments.node)).call().into_diagnostic()?;
    println!("{}", answer.body_mut().read_to_string().into_diagnostic()?);
    Ok(())
}
