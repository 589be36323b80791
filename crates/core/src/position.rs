//! Positions in a database group's write-ahead log.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The term of a primary: PostgreSQL's timeline number. Increases with each promotion.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u32);

/// A byte offset in the log (PostgreSQL's LSN).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogOffset(pub u64);

/// Why a position could not be parsed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PositionError {
    /// The offset is not two hexadecimal numbers with a slash between them.
    #[error("log offset {0:?} is not of the form X/Y in hexadecimal")]
    Offset(String),
    /// The write-ahead-log file name is shorter than its timeline part or not hexadecimal.
    #[error("log file name {0:?} does not begin with a timeline in hexadecimal")]
    FileName(String),
}

impl fmt::Display for LogOffset {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:X}/{:X}", self.0 >> 32, self.0 & 0xFFFF_FFFF)
    }
}

impl FromStr for LogOffset {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || PositionError::Offset(text.to_owned());
        let (high, low) = text.split_once('/').ok_or_else(malformed)?;
        let high = u32::from_str_radix(high, 16).map_err(|_| malformed())?;
        let low = u32::from_str_radix(low, 16).map_err(|_| malformed())?;
        Ok(Self(u64::from(high) << 32 | u64::from(low)))
    }
}

const TIMELINE_DIGITS: usize = 8;

impl Term {
    /// Parses the timeline from a write-ahead-log file name, as `pg_walfile_name` returns it.
    pub fn from_log_file_name(name: &str) -> Result<Self, PositionError> {
        let malformed = || PositionError::FileName(name.to_owned());
        let digits = name.get(..TIMELINE_DIGITS).ok_or_else(malformed)?;
        u32::from_str_radix(digits, 16).map(Self).map_err(|_| malformed())
    }
}

/// A point in a group's log: offset `offset` as written under term `term`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Term of the primary that wrote up to here.
    pub term: Term,
    /// The offset.
    pub offset: LogOffset,
}

impl fmt::Display for Position {
    /// Formats term and offset as decimal numbers separated by a dot.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term.0, self.offset.0)
    }
}

impl Position {
    /// Whether an instance at position `self` has everything up to `bound`.
    ///
    /// Both parts must be reached: an old primary that has a larger offset under an old term does
    /// not have the commits that the new primary confirmed.
    pub fn satisfies(&self, bound: &Position) -> bool {
        self.term >= bound.term && self.offset >= bound.offset
    }

    /// The smallest position that satisfies both positions.
    pub fn join(self, other: Position) -> Position {
        Position { term: self.term.max(other.term), offset: self.offset.max(other.offset) }
    }
}
