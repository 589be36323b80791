//! Formats output: JSON, TOML, differences and times.

use std::io::Write;

use jiff::Timestamp;
use kestrellock_core::admin::configuration::{EntryKind, EntryValue};
use kestrellock_core::catalog::Catalog;
use miette::{IntoDiagnostic, Result};
use serde::Serialize;
use similar::TextDiff;

use crate::line;

/// Prints a value as indented JSON.
pub fn json(value: &impl Serialize, output: &mut dyn Write) -> Result<()> {
    line(output, serde_json::to_string_pretty(value).into_diagnostic()?)
}

/// Formats an entry as TOML, as in a file that can be applied.
pub fn toml(name: &str, value: &EntryValue) -> Result<String> {
    let mut catalog = Catalog::default();
    catalog.insert(name, value.clone());
    let text = toml::to_string_pretty(&catalog).into_diagnostic()?;
    let kinds = EntryKind::ALL.map(|kind| format!("[{}]", kind.table()));
    let belongs_to_entry =
        |line: &&str| !line.starts_with("revision = ") && !kinds.iter().any(|empty| line == empty);
    let lines: Vec<&str> = text.lines().filter(belongs_to_entry).collect();
    Ok(lines.join("\n").trim_start().to_owned() + "\n")
}

/// Unified diff of two texts; empty if they are equal.
pub fn difference(old_name: &str, old: &str, new_name: &str, new: &str) -> String {
    TextDiff::from_lines(old, new).unified_diff().header(old_name, new_name).to_string()
}

/// Formats a time in milliseconds since the Unix epoch; a dash if it is zero, which means unknown.
pub fn time(at_ms: u64) -> String {
    match at_ms {
        0 => "-".to_owned(),
        _ => Timestamp::from_millisecond(at_ms as i64)
            .map_or_else(|_| at_ms.to_string(), |time| time.to_string()),
    }
}
