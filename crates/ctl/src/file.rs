//! Operators' TOML files with configuration entries.

use std::path::Path;

use kestrellock_core::admin::configuration::{Change, EntryKind};
use kestrellock_core::catalog::Catalog;
use kestrellock_core::outcome::ResultCode;
use kestrellock_program::diagnostic::{FileDiagnostic, span_of};
use miette::{IntoDiagnostic, Result, WrapErr};

/// A parsed file.
pub struct EntriesFile {
    name: String,
    text: String,
    /// Its entries. The revision is zero unless the file states one.
    pub catalog: Catalog,
}

impl EntriesFile {
    /// Reads and parses a file.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err(format!("cannot read {name}"))?;
        let catalog = toml::from_str(&text).map_err(|error| {
            let code = ResultCode::ConfigurationInvalid;
            FileDiagnostic::new(code, error.message(), error.span(), &name, &text)
        })?;
        Ok(Self { name, text, catalog })
    }

    /// The entries of `kinds`; an error if there are none.
    pub fn changes(&self, kinds: &[EntryKind]) -> Result<Vec<Change>> {
        let changes: Vec<Change> =
            kinds.iter().flat_map(|kind| self.catalog.entries(*kind)).collect();
        if changes.is_empty() {
            let tables: Vec<&str> = kinds.iter().map(|kind| kind.table()).collect();
            let problem = format!("{} has no entry under {}", self.name, tables.join(", "));
            return Err(self.diagnostic(ResultCode::ConfigurationInvalid, &problem, None).into());
        }
        Ok(changes)
    }

    /// Creates a diagnostic that points at `field`, if the file contains it.
    pub fn diagnostic(
        &self,
        code: ResultCode,
        problem: &str,
        field: Option<&str>,
    ) -> FileDiagnostic {
        let span = field.and_then(|field| span_of(&self.text, field));
        FileDiagnostic::new(code, problem, span, &self.name, &self.text)
    }
}
