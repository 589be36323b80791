//! Printing: JSON, TOML, differences, times.

use std::io::Write;

use jiff::Timestamp;
use kestrellock_core::admin::configuration::{EntryKind, EntryValue};
use kestrellock_core::catalog::Catalog;
use miette::{IntoDiagnostic, Result};
use serde::Serialize;
use similar::TextDiff;

use crate::line;

/// Indented JSON.
pub fn json(value: &impl Serialize, output: &mut dyn Write) -> Result<()> {
    line(output, serde_json::to_string_pretty(value).into_diagnostic()?)
}

/// An entry as a file that can be applied has it.
pub fn toml(name: &str, value: &EntryValue) -> Result<String> {
    let mut catalog = Catalog::default();
    catalog.insert(name, value.clone());
    let text = toml::to_string_pretty(&catalog).into_diagnostic()?;
    let kinds = EntryKind::ALL.map(|kind| format!("[{}]", kind.table()));
    let shown =
        |line: &&str| !line.starts_with("revision = ") && !kinds.iter().any(|empty| line == empty);
    let lines: Vec<&str> = text.lines().filter(shown).collect();
    Ok(lines.join("\n").trim_start().to_owned() + "\n")
}

/// Difference between two texts, by lines; empty if there is none.
pub fn difference(old_name: &str, old: &str, new_name: &str, new: &str) -> String {
    TextDiff::from_lines(old, new).unified_diff().header(old_name, new_name).to_string()
}

/// A time in milliseconds since 1970; a dash if it is not known.
pub fn time(at_ms: u64) -> String {
    match at_ms {
        0 => "-".to_owned(),
        _ => Timestamp::from_millisecond(at_ms as i64)
            .map_or_else(|_| at_ms.to_string(), |time| time.to_string()),
    }
}
