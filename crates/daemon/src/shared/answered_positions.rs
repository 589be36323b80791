//! Positions of a group that the instances reported in answers to clients' statements.

use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::{AnsweredPositions, AnsweredPrimary};

use super::statuses::StatusTable;

impl StatusTable {
    /// What answers show about the position of a group's primary.
    pub fn answered_primary(&self, group: &GroupName) -> AnsweredPrimary {
        let statuses = self.group(group);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        AnsweredPrimary {
            sampled: known.primary_samples.highest().zip(known.primary_samples.newest()),
            committed: known.highest_commit,
        }
    }

    /// Positions that the instances of a group reported in answers to clients' statements.
    pub fn answered_positions(&self, group: &GroupName) -> AnsweredPositions {
        let statuses = self.group(group);
        let known = statuses.read().expect("a thread panicked while it held the status lock");
        let records = known.exchange_records.iter();
        let replicas = records.filter_map(|(instance, record)| {
            let answered = record.last_position.zip(record.last_position_at)?;
            Some((instance.clone(), answered))
        });
        AnsweredPositions {
            primary: known.primary_samples.highest().zip(known.primary_samples.newest()),
            replicas: replicas.collect(),
        }
    }
}
