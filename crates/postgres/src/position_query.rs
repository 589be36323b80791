//! Queries an instance's role, term and log offsets with PostgreSQL's built-in functions.

use kestrellock_core::position::{LogOffset, Position, PositionError, Term};
use kestrellock_core::routing::Role;
use kestrellock_protocol::backend::Report;
use thiserror::Error;

/// Returns role, flushed offset, applied offset and timeline in one row, on a primary or a
/// replica.
pub const POSITION_QUERY: &str = "SELECT pg_is_in_recovery(), \
     CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_flush_lsn() END, \
     CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END, \
     CASE WHEN pg_is_in_recovery() THEN (SELECT lpad(to_hex(received_tli), 8, '0') FROM pg_stat_wal_receiver) \
     ELSE pg_walfile_name(pg_current_wal_lsn()) END";

const COLUMNS: usize = 4;

/// Why an answer to [`POSITION_QUERY`] is unusable.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ReportError {
    /// Not a row of four non-null columns.
    #[error("position row is malformed")]
    Row,
    /// A column's text is not a position.
    #[error(transparent)]
    Position(#[from] PositionError),
}

/// Reads the body of the `DataRow` that answers [`POSITION_QUERY`].
pub fn parse_row(body: &[u8]) -> Result<Report, ReportError> {
    let columns = text_columns(body).ok_or(ReportError::Row)?;
    let [role, flushed, applied, timeline] = columns.as_slice() else {
        return Err(ReportError::Row);
    };
    let role = if *role == "t" { Role::Replica } else { Role::Primary };
    let term = Term::from_log_file_name(timeline)?;
    let flushed = Position { term, offset: flushed.parse::<LogOffset>()? };
    let applied = Position { term, offset: applied.parse::<LogOffset>()? };
    Ok(Report { role, flushed, applied, min_term: Term::default() })
}

/// The columns of a `DataRow` body in text format; `None` if one is null or truncated.
fn text_columns(body: &[u8]) -> Option<Vec<&str>> {
    let (count, mut rest) = body.split_first_chunk::<2>()?;
    if usize::from(u16::from_be_bytes(*count)) != COLUMNS {
        return None;
    }
    let mut columns = Vec::with_capacity(COLUMNS);
    for _ in 0..COLUMNS {
        let (length, after) = rest.split_first_chunk::<4>()?;
        let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
        let (value, after) = after.split_at_checked(length)?;
        columns.push(std::str::from_utf8(value).ok()?);
        rest = after;
    }
    Some(columns)
}
