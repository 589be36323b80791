//! Secrets: values that come from files or environment variables and are never printed or logged.

use std::fmt;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// A value that never appears in logs, status pages or errors.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps `text`.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into().into_boxed_str())
    }

    /// The plain value, for the code that must use it.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Whether `candidate` equals this secret. The comparison takes the same time wherever they
    /// differ, so that its duration reveals nothing about the secret.
    pub fn matches(&self, candidate: &str) -> bool {
        self.0.as_bytes().ct_eq(candidate.as_bytes()).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(hidden)")
    }
}

/// Source of a secret. Exactly one of the fields must be set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSource {
    /// A file whose first line is the secret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
    /// An environment variable that holds the secret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub variable: Option<String>,
}

/// Why a secret cannot be read.
#[derive(Debug, Error)]
pub enum SecretError {
    /// Neither or both of the two sources are set.
    #[error("name either a file or a variable")]
    Ambiguous,
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The variable is not set, or its value is not Unicode.
    #[error("environment variable {0} is not set")]
    Variable(String),
    /// The secret is empty.
    #[error("the secret is empty")]
    Empty,
}

impl SecretSource {
    /// Checks that exactly one source is set.
    pub fn check(&self) -> Result<(), SecretError> {
        match (&self.file, &self.variable) {
            (Some(_), None) | (None, Some(_)) => Ok(()),
            _ => Err(SecretError::Ambiguous),
        }
    }

    /// Reads the secret and removes surrounding whitespace.
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
