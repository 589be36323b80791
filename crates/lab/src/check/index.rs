//! Index of all commits of a run by the operation that made them, and of the owners of seats.

use std::collections::HashMap;

use super::final_state::{FinalState, LogPlace, RowChange};
use super::history::{GroupId, OperationId, RowKey};

/// Positions of an operation's commits in the log of its group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperationCommits {
    /// Commits in the log at the end of the run.
    pub surviving: Vec<LogPlace>,
    /// Commits that were lost with an old primary.
    pub discarded: Vec<LogPlace>,
}

impl OperationCommits {
    /// The latest surviving commit, or the latest discarded one if none survived.
    pub fn latest_place(&self) -> Option<LogPlace> {
        self.surviving.iter().max().or(self.discarded.iter().max()).copied()
    }
}

/// All commits of a run by operation, and the operations that wrote each seat.
#[derive(Debug, Default)]
pub struct CommitIndex {
    traces: HashMap<OperationId, OperationCommits>,
    owners: HashMap<(GroupId, RowKey), Vec<OperationId>>,
}

static NO_COMMITS: OperationCommits =
    OperationCommits { surviving: Vec::new(), discarded: Vec::new() };

impl CommitIndex {
    /// Indexes the records of all groups.
    pub fn new(state: &FinalState) -> Self {
        let mut index = Self::default();
        for group in &state.groups {
            for commit in &group.surviving {
                for operation in operations_of(&commit.changes) {
                    index.entry(operation).surviving.push(commit.place);
                }
                index.add_owners(&group.group, &commit.changes);
            }
            for commit in &group.discarded {
                for operation in operations_of(&commit.changes) {
                    index.entry(operation).discarded.push(commit.place);
                }
            }
        }
        index
    }

    fn entry(&mut self, operation: &OperationId) -> &mut OperationCommits {
        self.traces.entry(operation.clone()).or_default()
    }

    fn add_owners(&mut self, group: &GroupId, changes: &[RowChange]) {
        for change in changes {
            if let RowChange::Set { row: row @ RowKey::Seat(_), operation } = change {
                let owners = self.owners.entry((group.clone(), *row)).or_default();
                owners.push(operation.clone());
            }
        }
    }

    /// Commits that `operation` made.
    pub fn commits_of(&self, operation: &OperationId) -> &OperationCommits {
        self.traces.get(operation).unwrap_or(&NO_COMMITS)
    }

    /// Operations that became owner of each seat in surviving commits, in log order.
    pub fn seat_owners(&self) -> &HashMap<(GroupId, RowKey), Vec<OperationId>> {
        &self.owners
    }
}

/// The operation of each change. The parts of one transaction count once. Two changes of another
/// kind by the same operation count twice, because the operation then took effect twice.
fn operations_of(changes: &[RowChange]) -> Vec<&OperationId> {
    let mut found = Vec::new();
    for change in changes {
        let operation = change.operation();
        let is_part = matches!(change, RowChange::Part { .. });
        if !is_part || !found.contains(&operation) {
            found.push(operation);
        }
    }
    found
}
