//! What the database groups hold when a run is over, and what reached them on the way.

use super::history::{GroupId, InstanceId, OperationId, RowKey, RunTime};

/// Place of a commit in a group's log: term first, then offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPlace {
    /// Term under which it was written.
    pub term: u32,
    /// Offset just after it.
    pub offset: u64,
}

/// A change that a commit made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// A register or seat got the id of the operation that wrote it.
    Set {
        /// The row.
        row: RowKey,
        /// Who wrote it.
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
    /// The operation that made it.
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
    /// Where it stands.
    pub place: LogPlace,
    /// What it changed.
    pub changes: Vec<RowChange>,
}

/// What a statement does to the transaction of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatementKind {
    /// Opens a transaction block.
    Begin,
    /// Ends the block, by commit or rollback.
    End,
    /// Neither.
    Other,
}

/// A statement that reached an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When.
    pub at: RunTime,
    /// Instance it reached.
    pub instance: InstanceId,
    /// Connection of that instance that carried it.
    pub connection: u64,
    /// Operation named in its text; `None` for statements of the proxy's own.
    pub operation: Option<OperationId>,
    /// What it does to the transaction.
    pub kind: StatementKind,
}

/// An instance that operators took out of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedInstance {
    /// The instance.
    pub instance: InstanceId,
    /// When the change was accepted.
    pub since: RunTime,
}

/// The record of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRecord {
    /// The group.
    pub group: GroupId,
    /// Commits of the history that survived, in order.
    pub surviving: Vec<Commit>,
    /// Commits that some primary made and that did not survive.
    pub discarded: Vec<Commit>,
    /// Statements in order of arrival on each connection.
    pub arrivals: Vec<Arrival>,
    /// Instances that were leaving.
    pub leaving: Vec<RemovedInstance>,
}

/// The records of all groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinalState {
    /// One for each group.
    pub groups: Vec<GroupRecord>,
}
