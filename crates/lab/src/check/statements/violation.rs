//! The rules on statements at instances, and a violation of one.

use std::fmt;

/// A rule on the statements that instances run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StatementRule {
    /// A client sent a statement with this id (UNASKED).
    IsSent,
    /// The text is the one that the client sent; prepared names may differ if they stand for the same
    /// definition, and `AFTER` may precede a read or a `BEGIN` (UNASKED).
    TextUnchanged,
    /// The statement runs in the transaction in which its client sent it, or by itself if its client
    /// sent it so (PINNED).
    OwnTransaction,
    /// The statement runs with the session values that were acknowledged to its client (PINNED).
    OwnValues,
    /// A commit holds the writes of one transaction whose client sent `COMMIT`, or a single write
    /// (UNASKED).
    CommitAsked,
    /// A statement of the proxy's own is one of those that its protocol needs, and inside a
    /// transaction it is a rollback or establishes the state of the transaction's session (UNASKED).
    OwnStatement,
    /// The connection comes from the address of a node (UNASKED).
    FromNode,
    /// A read runs on a log that holds the acknowledged commits that its route guarantees (STALE).
    ReadCurrent,
    /// A write runs on a log that holds every commit acknowledged before its first byte (STALE).
    WriteCurrent,
}

impl StatementRule {
    /// Every rule.
    pub const ALL: [Self; 9] = [
        Self::IsSent,
        Self::TextUnchanged,
        Self::OwnTransaction,
        Self::OwnValues,
        Self::CommitAsked,
        Self::OwnStatement,
        Self::FromNode,
        Self::ReadCurrent,
        Self::WriteCurrent,
    ];
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementViolation {
    /// The rule.
    pub rule: StatementRule,
    /// The statement or commit concerned, and what was expected.
    pub detail: String,
}

impl StatementViolation {
    /// A violation of `rule`.
    pub fn new(rule: StatementRule, detail: impl Into<String>) -> Self {
        Self { rule, detail: detail.into() }
    }
}

impl fmt::Display for StatementViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.rule, self.detail)
    }
}
