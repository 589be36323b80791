//! Writes entries: `apply` and `rollback`, with conflicts, retries and the wait until the change is
//! active on all nodes.

use std::io::Write;
use std::time::Duration;

use kestrellock_core::admin::AdminError;
use kestrellock_core::admin::configuration::{Applied, ApplyRequest, Change, EntryKind, RequestId};
use kestrellock_core::catalog::Revision;
use kestrellock_core::outcome::ResultCode;
use miette::{Result, miette};

use crate::arguments::{ApplyArguments, RollbackArguments};
use crate::client::{Client, ClientError};
use crate::file::EntriesFile;
use crate::{entries, line, nodes, show};

/// Maximum number of times that a request is sent when its answers are lost.
const MAX_ATTEMPTS: usize = 3;

/// Applies a file's entries of one kind and ignores the others.
pub fn apply_kind(
    client: &Client,
    kind: EntryKind,
    arguments: &ApplyArguments,
    output: &mut dyn Write,
) -> Result<()> {
    apply_file(client, &[kind], arguments, output)
}

/// Applies all entries of a file.
pub fn apply_all(
    client: &Client,
    arguments: &ApplyArguments,
    output: &mut dyn Write,
) -> Result<()> {
    apply_file(client, &EntryKind::ALL, arguments, output)
}

fn apply_file(
    client: &Client,
    kinds: &[EntryKind],
    arguments: &ApplyArguments,
    output: &mut dyn Write,
) -> Result<()> {
    let file = EntriesFile::read(&arguments.file)?;
    let changes = file.changes(kinds)?;
    let base = match (arguments.revision, file.catalog.revision) {
        (Some(revision), _) => Revision(revision),
        (None, Revision(0)) => entries::read_all(client, kinds[0])?.revision,
        (None, revision) => revision,
    };
    let request = ApplyRequest {
        request: RequestId(arguments.request.clone().unwrap_or_else(new_request_id)),
        author: author(arguments.author.as_deref()),
        base,
        changes,
    };
    match send(client, &request) {
        Ok(applied) => {
            report(&applied, &request, output)?;
            wait(client, applied.revision, arguments.wait, arguments.wait_seconds, output)
        }
        Err(ClientError::Refused(error)) => {
            show_conflicts(&error, &request.changes, output)?;
            let code = code_of(&error);
            let diagnostic = file.diagnostic(code, &error.message, error.field.as_deref());
            Err(diagnostic.into())
        }
        Err(error) => Err(error.into()),
    }
}

/// Applies an earlier version of an entry again.
pub fn rollback(
    client: &Client,
    kind: EntryKind,
    arguments: &RollbackArguments,
    output: &mut dyn Write,
) -> Result<()> {
    let base = entries::read_all(client, kind)?.revision;
    let versions = entries::read_history(client, kind, &arguments.name)?;
    let earlier = versions
        .into_iter()
        .find(|entry| entry.authorship.version == arguments.version)
        .ok_or_else(|| {
            miette!("version {} of {} is not in the history", arguments.version, arguments.name)
        })?;
    let request = ApplyRequest {
        request: RequestId(new_request_id()),
        author: author(arguments.author.as_deref()),
        base,
        changes: vec![Change { name: earlier.name, value: earlier.value }],
    };
    let applied = send(client, &request)?;
    report(&applied, &request, output)?;
    wait(client, applied.revision, arguments.wait, arguments.wait_seconds, output)
}

/// Sends the request and retries if no answer arrives. The request id keeps the change from being
/// made twice.
fn send(client: &Client, request: &ApplyRequest) -> Result<Applied, ClientError> {
    let mut attempt = 1;
    loop {
        match client.post("/v1/apply", request) {
            Err(ClientError::Unanswered { .. }) if attempt < MAX_ATTEMPTS => attempt += 1,
            other => return other,
        }
    }
}

fn report(applied: &Applied, request: &ApplyRequest, output: &mut dyn Write) -> Result<()> {
    match applied.changed {
        true => line(
            output,
            format!("accepted at revision {} (request {})", applied.revision.0, request.request),
        ),
        false => line(output, format!("nothing to change at revision {}", applied.revision.0)),
    }
}

fn show_conflicts(error: &AdminError, changes: &[Change], output: &mut dyn Write) -> Result<()> {
    for current in &error.conflicting {
        let ours = changes.iter().find(|change| {
            change.name == current.name && change.value.kind() == current.value.kind()
        });
        let Some(ours) = ours else { continue };
        let authorship = &current.authorship;
        let title =
            format!("{} by {} at revision {}", ours.id(), authorship.author, current.revision.0);
        let difference = show::difference(
            &title,
            &show::toml(&current.name, &current.value)?,
            "yours",
            &show::toml(&ours.name, &ours.value)?,
        );
        line(output, difference.trim_end())?;
    }
    Ok(())
}

fn code_of(error: &AdminError) -> ResultCode {
    let known = ResultCode::ALL.iter().find(|code| code.to_string() == error.code);
    known.copied().unwrap_or(ResultCode::AdminRequestRefused)
}

fn wait(
    client: &Client,
    revision: Revision,
    enabled: bool,
    seconds: u64,
    output: &mut dyn Write,
) -> Result<()> {
    match enabled {
        true => nodes::wait(client, revision, Duration::from_secs(seconds), output),
        false => Ok(()),
    }
}

fn new_request_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn author(named: Option<&str>) -> String {
    let user = || std::env::var("USER").ok();
    named.map(str::to_owned).or_else(user).unwrap_or_else(|| "unknown".to_owned())
}
