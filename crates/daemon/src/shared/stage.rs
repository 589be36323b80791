//! Stages of a planned stop of the node.

use std::sync::atomic::{AtomicU8, Ordering};

/// Stage of a node's planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The node serves clients.
    Running,
    /// The node still serves clients and announces that it is about to stop, because load balancers
    /// have not noticed that yet.
    Notice,
    /// The node finishes open work and accepts nothing new.
    Leaving,
    /// The node runs no work.
    Closed,
}

/// The stage, shared by all threads.
#[derive(Debug, Default)]
pub struct SharedStage(AtomicU8);

impl SharedStage {
    /// The current stage.
    pub fn load(&self) -> Stage {
        match self.0.load(Ordering::Acquire) {
            0 => Stage::Running,
            1 => Stage::Notice,
            2 => Stage::Leaving,
            _ => Stage::Closed,
        }
    }

    /// Advances to `stage`; a stage before the current one has no effect.
    pub fn advance_to(&self, stage: Stage) {
        self.0.fetch_max(stage as u8, Ordering::AcqRel);
    }
}
