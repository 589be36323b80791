//! Distinguishes the members other than the old primary that report to be primary: the successor,
//! or earlier primaries. An earlier primary that counted as the successor would acknowledge
//! writes that the promotion rolls back.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Attempt, RetriedCommand};
use crate::ids::InstanceName;
use crate::promotion::{Command, Members, ReplicationStatus};
use crate::routing::Role;

/// What is known of the members that report to be primary and have not been chosen.
#[derive(Clone, Debug, Default)]
pub(super) struct OtherPrimaries {
    /// Members that reported to be primary when the attempt began. They were primary before the old
    /// primary was, and cannot be its successor until they have stopped reporting so.
    pub outdated: BTreeSet<InstanceName>,
    /// Members that reported, after a promotion was sent, that they lead a term not below the one
    /// that the replicas are stopped with: the platform has promoted them.
    promoted: BTreeSet<InstanceName>,
    /// Members that reported then that they lead a lower term: old primaries that restarted under
    /// other names.
    pub returned: BTreeSet<InstanceName>,
}

impl OtherPrimaries {
    /// The state when an attempt begins.
    pub fn new(outdated: BTreeSet<InstanceName>) -> Self {
        Self { outdated, ..Self::default() }
    }
}

impl Attempt {
    /// The member that is primary in place of the old primary.
    pub(super) fn successor(&self) -> Option<InstanceName> {
        let primaries = claimed_primaries(&self.members, self.old_primary());
        let may_be = |name: &InstanceName| {
            !self.other_primaries.outdated.contains(name) && self.may_succeed(name)
        };
        let member = primaries.into_iter().find(may_be);
        member.or_else(|| Some(self.reported_successor.clone()?.instance))
    }

    /// Whether a member that reports to be primary can be the successor. Once an instance has been
    /// chosen, this is the chosen one, or another one whose term shows that it was promoted. An old
    /// primary that restarted under another name must not count as the successor: it would
    /// acknowledge writes that the promotion rolls back.
    fn may_succeed(&self, name: &InstanceName) -> bool {
        match &self.chosen {
            Some(chosen) => chosen == name || self.other_primaries.promoted.contains(name),
            None => true,
        }
    }

    /// Queries the term of members other than the chosen one that report to be primary, and demotes
    /// those that lead an old term.
    pub(super) fn query_other_primaries(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let primaries = claimed_primaries(&self.members, self.old_primary());
        let other = |name: &&InstanceName| {
            self.chosen.as_ref() != Some(*name) && !self.other_primaries.outdated.contains(*name)
        };
        let others: Vec<InstanceName> = primaries.iter().filter(other).cloned().collect();
        for name in others {
            if self.other_primaries.returned.contains(&name) {
                self.demote(&name, now, commands);
            } else {
                self.send(&name, RetriedCommand::QueryStatus, now, commands, Command::QueryStatus);
            }
        }
    }

    /// Processes the status of an instance that is neither the old primary nor the chosen one.
    pub(super) fn classify_other_primary(
        &mut self,
        instance: &InstanceName,
        status: &ReplicationStatus,
    ) {
        if !self.has_chosen() || status.role == Role::Replica {
            self.other_primaries.returned.remove(instance);
            return;
        }
        match status.term >= self.stop_term {
            true => self.other_primaries.promoted.insert(instance.clone()),
            false => self.other_primaries.returned.insert(instance.clone()),
        };
    }
}

/// Members other than the old primary that report to be primary.
pub(super) fn claimed_primaries(
    members: &Members,
    old_primary: Option<&InstanceName>,
) -> BTreeSet<InstanceName> {
    let primaries = members.replicas(old_primary).filter(|member| member.leads);
    primaries.map(|member| member.name.clone()).collect()
}
