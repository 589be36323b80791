//! The instances that an attempt deals with.

use crate::ids::InstanceName;
use crate::incarnation::InstanceIncarnation;

/// One instance that may hold answered commits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub name: InstanceName,
    /// Whether it is being taken out of use, or its zone is.
    pub leaving: bool,
    /// Whether it was leaving when its entry went: it has ended, or it is cut off from the store and goes on,
    /// receives commits and lets the primary answer them.
    pub has_left: bool,
    /// Whether it says that it is the primary.
    pub leads: bool,
    /// Whether another member is told at its address: one of the two has ended.
    pub shares_address: bool,
    /// Which start of its process is told.
    pub incarnation: Option<InstanceIncarnation>,
    /// Whether it has started again: what it held before is gone, and it may not have received all of that
    /// again.
    pub is_refilling: bool,
}

/// The instances of a group as the platform tells them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// All of them, the old primary among them if it is still told.
    pub all: Vec<Member>,
    /// Replicas that must have received a commit before the primary answers it.
    pub synchronous: u32,
    /// Whether this node has watched them for long enough to know which of them have started again.
    pub knows_restarts: bool,
}

impl Members {
    /// The member of that name.
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.all.iter().find(|member| member.name == *name)
    }

    /// Every member but the old primary.
    pub fn replicas<'a>(
        &'a self,
        former: Option<&'a InstanceName>,
    ) -> impl Iterator<Item = &'a Member> {
        self.all.iter().filter(move |member| former != Some(&member.name))
    }

    /// How many instances must be stopped in a group of `replicas` replicas and a primary, so that it can
    /// answer no further commit and one of those stopped holds every commit that was answered. A commit was
    /// held by the primary and `synchronous` replicas when it was answered; it does not matter which instances
    /// are stopped, the primary once it follows among them, if only they still have their logs.
    pub fn required_stops(&self, replicas: usize) -> usize {
        let spare = (self.synchronous as usize).saturating_sub(1);
        replicas.saturating_sub(spare).max(1)
    }
}
