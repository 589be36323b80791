//! `kestrellockctl`: the operators' command line.

mod client;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use kestrellock_core::admin::NodeStatus;
use kestrellock_program::command_line;
use miette::{IntoDiagnostic, Result};

use client::Client;

/// kestrellock operators' command line
#[derive(FromArgs)]
struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    #[allow(dead_code, reason = "answered before the arguments are parsed")]
    version: bool,
    /// admin address of any node (default 127.0.0.1:7433)
    #[argh(option, short = 'n', default = "SocketAddr::from(([127, 0, 0, 1], 7433))")]
    node: SocketAddr,
    /// file that holds the administration token (default: variable KESTRELLOCK_ADMIN_TOKEN)
    #[argh(option)]
    token_file: Option<PathBuf>,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Status(StatusArguments),
}

/// show what the node says of itself
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArguments {}

fn main() -> ExitCode {
    command_line::run("kestrellockctl", run)
}

fn run(arguments: Arguments) -> Result<()> {
    let client = Client::new(arguments.node, arguments.token_file)?;
    match arguments.command {
        Command::Status(StatusArguments {}) => {
            let status: NodeStatus = client.get("/status")?;
            println!("{}", serde_json::to_string_pretty(&status).into_diagnostic()?);
            Ok(())
        }
    }
}
