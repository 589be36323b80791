//! Secrets: values that come from files or environment variables and are never shown.

use std::fmt;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// A value that shows in no log, status or error.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps `text`.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into().into_boxed_str())
    }

    /// The value itself, for the one place that needs it.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Whether `candidate` is this secret, in a time that does not depend on where they differ.
    pub fn matches(&self, candidate: &str) -> bool {
        self.0.as_bytes().ct_eq(candidate.as_bytes()).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(hidden)")
    }
}

/// Where a secret is read from: exactly one of the fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSource {
    /// A file whose first line is the secret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
    /// An environment variable that holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub variable: Option<String>,
}

/// Why a secret is not to be had.
#[derive(Debug, Error)]
pub enum SecretError {
    /// None or both of the two sources are named.
    #[error("name either a file or a variable")]
    Ambiguous,
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The variable is not set, or not text.
    #[error("environment variable {0} is not set")]
    Variable(String),
    /// The secret has no characters.
    #[error("the secret is empty")]
    Empty,
}

impl SecretSource {
    /// Whether exactly one source is named.
    pub fn check(&self) -> Result<(), SecretError> {
        match (&self.file, &self.variable) {
            (Some(_), None) | (None, Some(_)) => Ok(()),
            _ => Err(SecretError::Ambiguous),
        }
    }

    /// Reads the secret.
    pub fn read(&self) -> Result<Secret, SecretError> {
        let text = match (&self.file, &self.variable) {
            (Some(path), None) => std::fs::read_to_string(path)
                .map_err(|source| SecretError::File { path: path.clone(), source })?,
            (None, Some(name)) => {
                std::env::var(name).map_err(|_| SecretError::Variable(name.clone()))?
            }
            _ => return Err(SecretError::Ambiguous),
        };
        match text.lines().next().unwrap_or_default().trim() {
            "" => Err(SecretError::Empty),
            line => Ok(Secret::new(line)),
        }
    }
}
