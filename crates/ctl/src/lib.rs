//! The implementation of `kestrellockctl`, the operators' command line, as a library so that tests
//! can call it.

pub mod apply;
pub mod arguments;
pub mod client;
pub mod entries;
pub mod explain;
pub mod file;
pub mod nodes;
pub mod show;
pub mod verifier;

use std::io::Write;

use miette::{IntoDiagnostic, Result};

use arguments::{Arguments, Command, ConfigCommand, EntryCommand};
use client::Client;
use kestrellock_core::admin::NodeStatus;
use kestrellock_core::admin::configuration::EntryKind;

/// Runs one command and writes its output to `output`.
pub fn run(arguments: Arguments, output: &mut dyn Write) -> Result<()> {
    let Arguments { node, token_file, command, .. } = arguments;
    let client = || Client::new(node, token_file);
    match command {
        Command::Verifier(verifier) => {
            verifier::print_verifier(&verifier, &mut std::io::stdin().lock(), output)
        }
        Command::Digest(_) => verifier::print_digest(&mut std::io::stdin().lock(), output),
        Command::Explain(explain) => explain::run(&explain, output),
        Command::Status(_) => {
            let status: NodeStatus = client()?.get("/status")?;
            show::json(&status, output)
        }
        Command::Nodes(_) => nodes::list(&client()?, output),
        Command::Groups(_) => {
            let groups: serde_json::Value = client()?.get("/v1/groups")?;
            show::json(&groups, output)
        }
        Command::Config(config) => match config.command {
            ConfigCommand::Status(_) => nodes::status(&client()?, output),
            ConfigCommand::Apply(apply) => apply::apply_all(&client()?, &apply, output),
        },
        Command::Zone(zone) => run_entry(&client()?, EntryKind::Zone, zone.command, output),
        Command::Group(group) => run_entry(&client()?, EntryKind::Group, group.command, output),
        Command::Template(template) => {
            run_entry(&client()?, EntryKind::Template, template.command, output)
        }
        Command::Tenant(tenant) => run_entry(&client()?, EntryKind::Tenant, tenant.command, output),
        Command::Account(account) => {
            run_entry(&client()?, EntryKind::Account, account.command, output)
        }
    }
}

fn run_entry(
    client: &Client,
    kind: EntryKind,
    command: EntryCommand,
    output: &mut dyn Write,
) -> Result<()> {
    match command {
        EntryCommand::Apply(apply) => apply::apply_kind(client, kind, &apply, output),
        EntryCommand::Get(get) => entries::get(client, kind, &get.name, output),
        EntryCommand::List(_) => entries::list(client, kind, output),
        EntryCommand::Diff(diff) => entries::diff(client, kind, &diff.file, output),
        EntryCommand::History(history) => entries::history(client, kind, &history.name, output),
        EntryCommand::Rollback(rollback) => apply::rollback(client, kind, &rollback, output),
    }
}

fn line(output: &mut dyn Write, text: impl std::fmt::Display) -> Result<()> {
    writeln!(output, "{text}").into_diagnostic()
}
