//! The instances that an attempt works with, and how many of them must be stopped so that no
//! acknowledged commit is lost and the old primary cannot acknowledge another one.

use crate::ids::InstanceName;
use crate::incarnation::InstanceIncarnation;

/// One instance that may have acknowledged commits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub name: InstanceName,
    /// Whether the instance or its zone is being taken out of use.
    pub leaving: bool,
    /// Whether its entry has disappeared.
    pub has_vanished: bool,
    /// Whether it was leaving when its entry disappeared. It has either terminated, or is cut off
    /// from the store and still receives commits, so that the primary can acknowledge them.
    pub has_left: bool,
    /// Whether it has left and its process has ended, so that its log is lost. It counts until the
    /// others are known to hold every commit for which it may have counted. An instance that was
    /// not leaving may return with its log, as a crashed primary does.
    pub has_ended: bool,
    /// Whether it reports that it is the primary.
    pub leads: bool,
    /// Whether another member is registered at the same address: one of the two has terminated.
    pub shares_address: bool,
    /// Incarnation of its process, if the platform reports it.
    pub incarnation: Option<InstanceIncarnation>,
    /// Whether it was restarted, which loses its log, and may not have received the lost part
    /// again.
    pub is_refilling: bool,
}

/// The instances of a group as the platform reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// All instances, including the old primary if it is still reported.
    pub all: Vec<Member>,
    /// Number of replicas that must have received a commit before the primary acknowledges it.
    pub synchronous: u32,
    /// Whether this node has observed them for long enough to know which of them were restarted.
    pub knows_restarts: bool,
    /// Whether `all` includes every instance that may hold a commit that the others lack. Not so at
    /// a node that has begun to observe the group after such an instance ended, and has not seen
    /// since that the others hold its commits.
    pub knows_log_holders: bool,
}

impl Members {
    /// The member of that name.
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.all.iter().find(|member| member.name == *name)
    }

    /// Every member but the old primary.
    pub fn replicas<'a>(
        &'a self,
        old_primary: Option<&'a InstanceName>,
    ) -> impl Iterator<Item = &'a Member> {
        self.all.iter().filter(move |member| old_primary != Some(&member.name))
    }

    /// How many instances must be stopped in a group of `replicas` replicas and a primary, so that
    /// the primary cannot acknowledge another commit and at least one stopped instance has every
    /// acknowledged commit. A commit is on the primary and on `synchronous` replicas when it is
    /// acknowledged. It does not matter which instances are stopped, as long as they still have
    /// their logs; the old primary counts as well once it is a replica.
    pub fn required_stops(&self, replicas: usize) -> usize {
        let spare = (self.synchronous as usize).saturating_sub(1);
        replicas.saturating_sub(spare).max(1)
    }
}
