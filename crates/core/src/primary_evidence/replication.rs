//! How many instances of a group receive a commit, and how many reports that makes necessary.

/// How a group replicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replication {
    /// Number of replicas that must have received a commit before the primary acknowledges it.
    pub synchronous: u32,
    /// Number of instances, including the primary.
    pub instances: usize,
}

impl Replication {
    /// Number of instances other than the primary.
    pub fn replicas(&self) -> usize {
        self.instances.saturating_sub(1)
    }

    /// How many replicas must show that no other primary acknowledges commits. At least as many as
    /// are synchronous, so that a coordinator has to stop one of them; and so many that another
    /// primary does not find enough replicas among the rest, since a replica that does not learn of
    /// it follows the old primary.
    pub fn replicas_needed(&self) -> usize {
        let synchronous = self.synchronous as usize;
        self.replicas().saturating_sub(synchronous).max(synchronous).max(1)
    }
}
