//! Checks of single fields of a catalog.

use std::fmt::Display;
use std::ops::RangeInclusive;

use super::InvalidField;
use crate::scram::Verifier;

/// Longest name of anything, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
pub(super) const SLOTS: RangeInclusive<u64> = 1..=1_000;
/// Connections that an instance may accept.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=10_000;
pub(super) const CAPACITY: RangeInclusive<u64> = 1..=100_000;
/// Time within which a statement may have to be answered, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=600_000;
/// Staleness that a read may have, in milliseconds.
pub const MAX_STALENESS_MS: RangeInclusive<u64> = 0..=3_600_000;

/// Whether `text` may name a node, zone, group, instance, template or tenant: lower-case letters,
/// digits, hyphens and underscores, beginning with a letter.
pub fn is_name(text: &str) -> bool {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(&byte);
    text.len() <= MAX_NAME_BYTES
        && text.as_bytes().first().is_some_and(u8::is_ascii_lowercase)
        && text.bytes().all(allowed)
}

/// Whether something is as it must be.
pub(super) type CheckResult = Result<(), InvalidField>;

pub(super) fn check_name(field: &dyn Display, name: &str) -> CheckResult {
    match is_name(name) {
        true => Ok(()),
        false => Err(InvalidField::new(
            field,
            format!(
                "{name:?} must be 1 to {MAX_NAME_BYTES} lower-case letters, digits, - or _, \
                 and begin with a letter"
            ),
        )),
    }
}

/// A name that PostgreSQL gives meaning to, such as a database or a role.
pub(super) fn check_text(field: &dyn Display, text: &str) -> CheckResult {
    let whole = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    match whole && !text.chars().any(char::is_control) {
        true => Ok(()),
        false => Err(InvalidField::new(
            field,
            format!("must be 1 to {MAX_NAME_BYTES} bytes without control characters"),
        )),
    }
}

/// The customers' own names; back ends are told them, in protocols where a blank ends a field.
pub(super) fn check_account_name(field: &dyn Display, name: &str) -> CheckResult {
    match name.contains(char::is_whitespace) {
        true => Err(InvalidField::new(field, "must not contain blanks")),
        false => check_text(field, name),
    }
}

pub(super) fn check_range(
    field: &dyn Display,
    value: u64,
    range: &RangeInclusive<u64>,
) -> CheckResult {
    match range.contains(&value) {
        true => Ok(()),
        false => Err(InvalidField::new(
            field,
            format!("{value} is not {} to {}", range.start(), range.end()),
        )),
    }
}

/// The verifier's value is never part of the complaint.
pub(super) fn check_verifier(field: &dyn Display, verifier: &str) -> CheckResult {
    match verifier.parse::<Verifier>() {
        Ok(_) => Ok(()),
        Err(_) => Err(InvalidField::new(
            field,
            "must have the form SCRAM-SHA-256$iterations:salt$stored:server",
        )),
    }
}
