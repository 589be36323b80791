//! Compares every statement that the instances of a group received, and every commit that they made,
//! with what clients sent.
//!
//! An instance must run only what a client sent, with the text, in the transaction and with the session
//! values in which it was sent, commit only what the client asked to commit, and run each statement on a log that holds the
//! commits that were acknowledged before the statement's first byte. The proxy's own statements are
//! limited to those that its protocol needs.
//!
//! Pure: it shares no code with the proxy, and its inputs are records of clients and of instances.

mod commits;
mod connections;
pub mod record;
mod staleness;
mod texts;
mod values;
pub mod violation;

use std::collections::HashMap;

use self::record::{GroupStatements, SentStatement};
use self::texts::{Meaning, meanings};
use self::values::{SessionValues, session_values};
use self::violation::StatementViolation;

/// A statement that a client sent, and what it means after the client's prepared names are resolved.
struct Sent<'a> {
    statement: &'a SentStatement,
    meaning: Meaning,
    /// Values of its session.
    values: SessionValues,
}

type SentById<'a> = HashMap<&'a str, Sent<'a>>;

/// Checks the records of one group's instances against all that clients sent.
pub fn check(sent: &[SentStatement], group: &GroupStatements) -> Vec<StatementViolation> {
    let by_id: SentById = sent
        .iter()
        .zip(meanings(sent))
        .zip(session_values(sent))
        .map(|((statement, meaning), values)| {
            (statement.id.as_str(), Sent { statement, meaning, values })
        })
        .collect();
    let mut violations = Vec::new();
    connections::check(&by_id, group, &mut violations);
    commits::check(&by_id, &group.commits, &mut violations);
    staleness::check(&by_id, group, &mut violations);
    violations
}
