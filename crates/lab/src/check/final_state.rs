//! The logs of the database groups at the end of a run, and the statements that their instances
//! received during it.

use super::history::{GroupId, InstanceId, OperationId, RowKey, RunTime};

/// Position of a commit in a group's log, ordered by term, then by offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPlace {
    /// Term of the primary that wrote the commit.
    pub term: u32,
    /// Offset of the end of the commit.
    pub offset: u64,
}

/// A change that a commit made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// A register or seat was set to the id of the operation that wrote it.
    Set {
        /// The row.
        row: RowKey,
        /// Operation that wrote it.
        operation: OperationId,
    },
    /// A deposit was inserted.
    Deposit(OperationId),
    /// A part of a transaction was inserted.
    Part {
        /// The transaction.
        operation: OperationId,
        /// Number of the part, from zero.
        part: u32,
    },
}

impl RowChange {
    /// The operation that made the change.
    pub fn operation(&self) -> &OperationId {
        match self {
            Self::Set { operation, .. } | Self::Part { operation, .. } => operation,
            Self::Deposit(operation) => operation,
        }
    }
}

/// One committed transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Position in the group's log.
    pub place: LogPlace,
    /// Rows that it changed.
    pub changes: Vec<RowChange>,
}

/// Effect of a statement on the transaction block of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatementKind {
    /// Opens a transaction block.
    Begin,
    /// Ends the transaction block, by commit or rollback.
    End,
    /// Neither opens nor ends a transaction block.
    Other,
}

/// A statement that reached an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When it arrived.
    pub at: RunTime,
    /// Instance that received it.
    pub instance: InstanceId,
    /// Connection on which the instance received it.
    pub connection: u64,
    /// Operation named in its text; `None` for statements that the proxy itself issues.
    pub operation: Option<OperationId>,
    /// Effect on the connection's transaction block.
    pub kind: StatementKind,
}

/// An instance that operators marked as leaving in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainingInstance {
    /// The instance.
    pub instance: InstanceId,
    /// When that change of configuration was accepted.
    pub since: RunTime,
}

/// The record of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRecord {
    /// The group.
    pub group: GroupId,
    /// Commits in the log at the end of the run, in order.
    pub surviving: Vec<Commit>,
    /// Commits of an old primary that are not in the log at the end of the run.
    pub discarded: Vec<Commit>,
    /// Received statements; those of one connection are in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Instances that were marked as leaving during the run.
    pub leaving: Vec<DrainingInstance>,
}

/// The records of all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinalState {
    /// One record per group.
    pub groups: Vec<GroupRecord>,
}
