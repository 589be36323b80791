//! Checks of individual catalog fields: valid names, texts and ranges.

use std::fmt::Display;
use std::ops::RangeInclusive;

use super::InvalidField;
use crate::scram::Verifier;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Valid numbers of slots of an instance.
pub(super) const SLOTS: RangeInclusive<u64> = 1..=1_000;
/// Valid numbers of connections of an instance.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=10_000;
/// Valid numbers of statements that a tenant may run at once.
pub(super) const CAPACITY: RangeInclusive<u64> = 1..=100_000;
/// Valid statement deadlines, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=600_000;
/// Valid limits on the staleness of a read, in milliseconds.
pub const MAX_STALENESS_MS: RangeInclusive<u64> = 0..=3_600_000;

/// Whether `text` is a valid name of a node, zone, group, instance, template or tenant: lower-case
/// letters, digits, hyphens and underscores, beginning with a letter.
pub fn is_name(text: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(&byte);
    text.len() <= MAX_NAME_BYTES
        && text.as_bytes().first().is_some_and(u8::is_ascii_lowercase)
        && text.bytes().all(is_allowed)
}

/// Result of a check.
pub(super) type CheckResult = Result<(), InvalidField>;

pub(super) fn check_name(field: &dyn Display, name: &str) -> CheckResult {
    match is_name(name) {
        true => Ok(()),
        false => Err(InvalidField::new(
            field,
            format!(
                "{} must be 1 to {MAX_NAME_BYTES} lower-case letters, digits, - or _, \
                 and begin with a letter",
                quoted(name)
            ),
        )),
    }
}

/// The start of `text` in quotation marks, and its length if it is longer than a name may be. A
/// reported name may be as long as the largest value of the store, and errors are logged.
fn quoted(text: &str) -> String {
    let end = text.floor_char_boundary(MAX_NAME_BYTES);
    match end < text.len() {
        true => format!("{:?}... ({} bytes)", &text[..end], text.len()),
        false => format!("{text:?}"),
    }
}

/// Checks a name that PostgreSQL interprets, such as a database or a role.
pub(super) fn check_text(field: &dyn Display, text: &str) -> CheckResult {
    let is_valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    match is_valid_length && !text.chars().any(char::is_control) {
        true => Ok(()),
        false => Err(InvalidField::new(
            field,
            format!("must be 1 to {MAX_NAME_BYTES} bytes without control characters"),
        )),
    }
}

/// Checks the name of an account. Customers choose these names, and instances receive them in
/// protocols where whitespace ends a field.
pub(super) fn check_account_name(field: &dyn Display, name: &str) -> CheckResult {
    match name.contains(char::is_whitespace) {
        true => Err(InvalidField::new(field, "must not contain whitespace")),
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

/// Checks the form of a verifier. The error message never contains the verifier.
pub(super) fn check_verifier(field: &dyn Display, verifier: &str) -> CheckResult {
    match verifier.parse::<Verifier>() {
        Ok(_) => Ok(()),
        Err(_) => Err(InvalidField::new(
            field,
            "must have the form SCRAM-SHA-256$iterations:salt$stored:server",
        )),
    }
}
