//! The demand message: an owner's use of an instance, sent to the other owners.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceName;
use crate::incarnation::InstanceIncarnation;

/// Number of priorities.
pub const LEVELS: usize = 3;

/// An owner's statements of one priority for an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelDemand {
    /// Number of running statements.
    pub running: u32,
    /// Number of waiting statements that the owner could run at once if it had all slots.
    pub waiting: u32,
    /// Number of tenants, or accounts of tenants, that have such statements.
    pub flows: u32,
    /// Time left until the earliest deadline of a waiting statement.
    pub earliest: Duration,
    /// Time left until the latest deadline of a waiting statement.
    pub latest: Duration,
    /// Number of statements of higher priorities that have started since one of this priority did,
    /// on all owners as far as the sender knows.
    pub overtaken: u32,
    /// Number of statements of this priority that the sender has started so far. It wraps around.
    pub started: u32,
}

/// An owner's use of an instance, and the statements that wait for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDemand {
    /// The instance.
    pub instance: InstanceName,
    /// Process of the instance, if the sender knows it. What was known of an earlier process does
    /// not apply: the statements that ran there have ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<InstanceIncarnation>,
    /// Number of statements that the sender can run concurrently: its connections and its
    /// concurrency limit allow no more.
    pub limit: u32,
    /// Expected service time of a statement.
    pub service: Duration,
    /// Statements by priority, the highest first.
    pub levels: [LevelDemand; LEVELS],
}

impl InstanceDemand {
    /// Number of waiting statements of all priorities.
    pub fn waiting(&self) -> u32 {
        self.levels.iter().map(|level| level.waiting).fold(0, u32::saturating_add)
    }

    /// Number of running statements of all priorities.
    pub fn running(&self) -> u32 {
        self.levels.iter().map(|level| level.running).fold(0, u32::saturating_add)
    }

    /// The same use without waiting statements, which withdraws an earlier demand.
    pub fn withdrawn(mut self) -> Self {
        self.levels.iter_mut().for_each(|level| level.waiting = 0);
        self
    }
}
