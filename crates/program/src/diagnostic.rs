//! Diagnostics that point at the invalid line of an operator's TOML file.

use std::ops::Range;

use kestrellock_core::outcome::ResultCode;
use miette::{Diagnostic, LabeledSpan, NamedSource};
use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// An error in a file, with its result code and its location if that is known.
#[derive(Debug, Error)]
#[error("{code}: {message}")]
pub struct FileDiagnostic {
    /// Result code.
    pub code: ResultCode,
    /// Description of the error.
    pub message: String,
    /// Byte range of the invalid value in the file.
    pub span: Option<Range<usize>>,
    file: Box<NamedSource<String>>,
}

impl FileDiagnostic {
    /// Creates a diagnostic about `text`, which was read from the file called `name`.
    pub fn new(
        code: ResultCode,
        message: impl Into<String>,
        span: Option<Range<usize>>,
        name: &str,
        text: &str,
    ) -> Self {
        let file = Box::new(NamedSource::new(name, text.to_owned()));
        Self { code, message: message.into(), span, file }
    }
}

impl Diagnostic for FileDiagnostic {
    fn code<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        Some(Box::new(self.code))
    }

    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        self.span.as_ref().map(|_| self.file.as_ref() as &dyn miette::SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = self.span.clone()?;
        let label = LabeledSpan::new(Some("here".to_owned()), span.start, span.len().max(1));
        Some(Box::new(std::iter::once(label)))
    }
}

/// Byte range of the value at `path`, such as `instances[1].slots`, in `text`. If the value is
/// absent, the range of the nearest enclosing value; `None` if there is none or `text` is not TOML.
pub fn span_of(text: &str, path: &str) -> Option<Range<usize>> {
    let table = DeTable::parse(text).ok()?;
    let mut span = None;
    let mut current: Option<&DeValue> = None;
    for step in steps(path) {
        let next = match (step, current) {
            (Step::Key(key), None) => table.get_ref().get(key),
            (Step::Key(key), Some(value)) => value.as_table().and_then(|table| table.get(key)),
            (Step::Index(index), Some(value)) => {
                value.as_array().and_then(|array| array.get(index))
            }
            (Step::Index(_), None) => None,
        };
        let Some(next) = next else { break };
        span = Some(next.span());
        current = Some(next.get_ref());
    }
    span
}

enum Step<'a> {
    Key(&'a str),
    Index(usize),
}

fn steps(path: &str) -> impl Iterator<Item = Step<'_>> {
    path.split('.').flat_map(|part| {
        let (key, indices) = part.split_once('[').unwrap_or((part, ""));
        let indices = indices.split(['[', ']']).filter_map(|index| index.parse().ok());
        std::iter::once(Step::Key(key)).chain(indices.map(Step::Index))
    })
}
