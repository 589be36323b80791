//! SQL operators and functions on values in text format.

use std::cmp::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sqlparser::ast::BinaryOperator;

use super::evaluate::{Scope, SqlError, boolean};
use super::tables::Value;
use super::values::timestamp_text;

/// Seconds from the Unix epoch to PostgreSQL's epoch, 2000-01-01.
const POSTGRES_EPOCH_UNIX_SECONDS: u64 = 946_684_800;

/// Compares two values. Values that both parse as numbers compare numerically, unless `textual`
/// says that an operand has type text.
pub fn compare(left: &str, right: &str, textual: bool) -> Ordering {
    if textual {
        return left.cmp(right);
    }
    match (left.parse::<i64>(), right.parse::<i64>()) {
        (Ok(left), Ok(right)) => left.cmp(&right),
        _ => match (left.parse::<f64>(), right.parse::<f64>()) {
            (Ok(left), Ok(right)) => left.total_cmp(&right),
            _ => left.cmp(right),
        },
    }
}

fn number(text: &str) -> Result<i64, SqlError> {
    text.parse().map_err(|_| {
        SqlError::new("22P02", format!("invalid input syntax for type bigint: {text:?}"))
    })
}

/// Applies a binary operator other than AND and OR to two non-null values.
pub fn binary(
    left: &str,
    operator: &BinaryOperator,
    right: &str,
    textual: bool,
) -> Result<Value, SqlError> {
    let ordering = || compare(left, right, textual);
    match operator {
        BinaryOperator::Eq => Ok(boolean(ordering().is_eq())),
        BinaryOperator::NotEq => Ok(boolean(ordering().is_ne())),
        BinaryOperator::Lt => Ok(boolean(ordering().is_lt())),
        BinaryOperator::LtEq => Ok(boolean(ordering().is_le())),
        BinaryOperator::Gt => Ok(boolean(ordering().is_gt())),
        BinaryOperator::GtEq => Ok(boolean(ordering().is_ge())),
        BinaryOperator::StringConcat => Ok(Some(format!("{left}{right}"))),
        _ => arithmetic(number(left)?, operator, number(right)?),
    }
}

fn arithmetic(left: i64, operator: &BinaryOperator, right: i64) -> Result<Value, SqlError> {
    let divides = matches!(operator, BinaryOperator::Divide | BinaryOperator::Modulo);
    if divides && right == 0 {
        return Err(SqlError::new("22012", "division by zero"));
    }
    let result = match operator {
        BinaryOperator::Plus => left.checked_add(right),
        BinaryOperator::Minus => left.checked_sub(right),
        BinaryOperator::Multiply => left.checked_mul(right),
        BinaryOperator::Divide => left.checked_div(right),
        BinaryOperator::Modulo => left.checked_rem(right),
        other => return Err(SqlError::unsupported(other)),
    };
    match result {
        Some(result) => Ok(Some(result.to_string())),
        None => Err(SqlError::new("22003", "bigint out of range")),
    }
}

/// Whether a function is an aggregate.
pub fn is_aggregate(name: &str) -> bool {
    matches!(name, "count" | "sum" | "max" | "min")
}

/// Applies an aggregate function to the non-null values of a group.
pub fn aggregate(name: &str, values: &[String], textual: bool) -> Result<Value, SqlError> {
    match name {
        "count" => Ok(Some(values.len().to_string())),
        "sum" => {
            let mut sum = 0_i64;
            for value in values {
                sum = sum
                    .checked_add(number(value)?)
                    .ok_or_else(|| SqlError::new("22003", "bigint out of range"))?;
            }
            Ok((!values.is_empty()).then(|| sum.to_string()))
        }
        "max" => Ok(values.iter().max_by(|left, right| compare(left, right, textual)).cloned()),
        _ => Ok(values.iter().min_by(|left, right| compare(left, right, textual)).cloned()),
    }
}

/// Whether `text` matches a LIKE pattern.
pub fn like(text: &str, pattern: &str) -> bool {
    let mut rest = pattern.chars();
    match rest.next() {
        None => text.is_empty(),
        Some('%') => {
            let rest = rest.as_str();
            let mut starts = text.char_indices().map(|(index, _)| index).chain([text.len()]);
            starts.any(|start| like(&text[start..], rest))
        }
        Some(wanted) => {
            let mut left = text.chars();
            left.next().is_some_and(|found| {
                (wanted == '_' || wanted == found) && like(left.as_str(), rest.as_str())
            })
        }
    }
}

/// Calls a scalar function.
pub fn call(scope: &Scope, name: &str, arguments: &[Value]) -> Result<Value, SqlError> {
    let state = scope.state;
    match (name, arguments) {
        ("pg_is_in_recovery", []) => Ok(boolean(!state.primary)),
        ("pg_current_wal_lsn" | "pg_current_wal_flush_lsn", []) if !state.primary => {
            Err(SqlError::new("55000", "recovery is in progress"))
        }
        ("pg_current_wal_lsn" | "pg_current_wal_flush_lsn", []) => Ok(offset(state.flushed())),
        ("pg_last_wal_receive_lsn", []) => Ok(offset(state.flushed())),
        ("pg_last_wal_replay_lsn", []) => Ok(offset(state.applied_offset())),
        ("pg_walfile_name", [Some(at)]) => Ok(Some(log_file_name(state.term, at))),
        ("pg_backend_pid", []) => Ok(Some(scope.process.to_string())),
        ("pg_sleep", [_]) => Ok(Some(String::new())),
        ("version", []) => Ok(Some("PostgreSQL 16.4 (stand-in)".into())),
        ("now" | "clock_timestamp" | "current_timestamp" | "transaction_timestamp", []) => {
            Ok(Some(timestamp_text(now_micros())))
        }
        ("to_hex", [Some(value)]) => Ok(Some(format!("{:x}", number(value)?))),
        ("lpad", [Some(text), Some(width), Some(fill)]) => {
            let missing = usize::try_from(number(width)?).unwrap_or(0).saturating_sub(text.len());
            let padding: String = fill.chars().cycle().take(missing).collect();
            Ok(Some(padding + text))
        }
        ("coalesce", values) => Ok(values.iter().flatten().next().cloned()),
        ("length" | "char_length", [Some(text)]) => Ok(Some(text.chars().count().to_string())),
        ("upper", [Some(text)]) => Ok(Some(text.to_uppercase())),
        ("lower", [Some(text)]) => Ok(Some(text.to_lowercase())),
        ("abs", [Some(value)]) => Ok(Some(number(value)?.unsigned_abs().to_string())),
        ("length" | "char_length" | "upper" | "lower" | "abs" | "to_hex", [None]) => Ok(None),
        _ => Err(SqlError::new("42883", format!("function {name} does not exist"))),
    }
}

fn now_micros() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.saturating_sub(Duration::from_secs(POSTGRES_EPOCH_UNIX_SECONDS)).as_micros() as i64
}

fn offset(value: u64) -> Value {
    Some(format!("{:X}/{:X}", value >> 32, value & 0xFFFF_FFFF))
}

fn log_file_name(term: u32, at: &str) -> String {
    let (high, low) = at.split_once('/').unwrap_or(("0", "0"));
    let segment = u64::from_str_radix(low, 16).unwrap_or(0) >> 24;
    format!("{term:08X}{high:0>8}{segment:08X}")
}
