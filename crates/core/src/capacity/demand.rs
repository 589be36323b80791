//! What one owner tells the others about its use of an instance.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceName;
use crate::incarnation::InstanceIncarnation;

/// Number of priorities.
pub const LEVELS: usize = 3;

/// The statements of one priority that wait at an owner for an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelDemand {
    /// Number of statements that could start if the owner had more slots.
    pub waiting: u32,
    /// Number of tenants, or accounts of tenants, that they belong to.
    pub flows: u32,
    /// Time left until the earliest of their deadlines.
    pub time_left: Duration,
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
    /// Process of the instance, if the sender knows it. A demand for another process does not count:
    /// what ran there has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<InstanceIncarnation>,
    /// Number of statements that the sender runs on the instance.
    pub running: u32,
    /// Expected service time of a statement, after which half of those that run have ended.
    pub service: Duration,
    /// Waiting statements by priority, the highest first.
    pub levels: [LevelDemand; LEVELS],
}

impl InstanceDemand {
    /// Number of waiting statements of all priorities.
    pub fn waiting(&self) -> u32 {
        self.levels.iter().map(|level| level.waiting).fold(0, u32::saturating_add)
    }
}
