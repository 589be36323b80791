//! Reads entries: `get`, `list`, `diff` and `history`.

use std::io::Write;
use std::path::Path;

use kestrellock_core::admin::configuration::{Entry, EntryKind, Listing, Source};
use miette::Result;

use crate::client::{Client, ClientError};
use crate::file::EntriesFile;
use crate::{line, show};

/// Reads all entries of a kind.
pub fn read_all(client: &Client, kind: EntryKind) -> Result<Listing, ClientError> {
    client.get(&format!("/v1/configuration/{}", kind.table()))
}

/// Reads the stored versions of an entry, newest first.
pub fn read_history(
    client: &Client,
    kind: EntryKind,
    name: &str,
) -> Result<Vec<Entry>, ClientError> {
    client.get(&format!("/v1/history/{}/{name}", kind.table()))
}

/// Prints one entry in the form that `apply` reads, with the revision at which it was read.
pub fn get(client: &Client, kind: EntryKind, name: &str, output: &mut dyn Write) -> Result<()> {
    let listing: Listing = client.get(&format!("/v1/configuration/{}/{name}", kind.table()))?;
    print_source(&listing, output)?;
    for entry in &listing.entries {
        line(output, format!("revision = {}\n", listing.revision.0))?;
        line(output, show::toml(&entry.name, &entry.value)?.trim_end())?;
    }
    Ok(())
}

/// Prints a line for each entry.
pub fn list(client: &Client, kind: EntryKind, output: &mut dyn Write) -> Result<()> {
    let listing = read_all(client, kind)?;
    print_source(&listing, output)?;
    line(output, format!("# revision {}", listing.revision.0))?;
    for entry in &listing.entries {
        line(output, describe(entry))?;
    }
    Ok(())
}

fn print_source(listing: &Listing, output: &mut dyn Write) -> Result<()> {
    match listing.source {
        Source::Store => Ok(()),
        Source::Active => {
            line(output, "# the store does not answer: this is the active configuration")
        }
    }
}

fn describe(entry: &Entry) -> String {
    let authorship = &entry.authorship;
    let author = if authorship.author.is_empty() { "-" } else { &authorship.author };
    format!(
        "{}\tversion {}\trevision {}\t{author}\t{}",
        entry.name,
        authorship.version,
        entry.revision.0,
        show::time(authorship.at_ms)
    )
}

/// Prints what applying a file would change.
pub fn diff(client: &Client, kind: EntryKind, file: &Path, output: &mut dyn Write) -> Result<()> {
    let file = EntriesFile::read(file)?;
    let listing = read_all(client, kind)?;
    for change in file.changes(&[kind])? {
        let current = listing.entries.iter().find(|entry| entry.name == change.name);
        let old = current.map(|entry| show::toml(&entry.name, &entry.value)).transpose()?;
        let new = show::toml(&change.name, &change.value)?;
        let id = change.id();
        let difference = show::difference(
            &format!("{id} in force"),
            &old.unwrap_or_default(),
            &format!("{id} in the file"),
            &new,
        );
        if !difference.is_empty() {
            line(output, difference.trim_end())?;
        }
    }
    Ok(())
}

/// Prints the versions of an entry, newest first, each with author, time and difference to the
/// version before it.
pub fn history(client: &Client, kind: EntryKind, name: &str, output: &mut dyn Write) -> Result<()> {
    let versions = read_history(client, kind, name)?;
    for (index, entry) in versions.iter().enumerate() {
        line(output, describe(entry))?;
        let Some(older) = versions.get(index + 1) else { continue };
        let difference = show::difference(
            &format!("version {}", older.authorship.version),
            &show::toml(&older.name, &older.value)?,
            &format!("version {}", entry.authorship.version),
            &show::toml(&entry.name, &entry.value)?,
        );
        line(output, difference.trim_end())?;
    }
    Ok(())
}
