//! Members other than the old primary that say they lead: the successor, or primaries of before.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Attempt, Repeated};
use crate::ids::InstanceName;
use crate::promotion::{Command, Members, ReplicationStatus};
use crate::routing::Role;

/// What is known of those that say they lead and have not been chosen.
#[derive(Clone, Debug, Default)]
pub(super) struct OtherLeaders {
    /// Those that said at the beginning that they lead: they led before the old primary did, and are not its
    /// successor unless they stop saying so.
    pub outdated: BTreeSet<InstanceName>,
    /// Those that said, after a promotion was sent, that they lead a term at least as high as replicas are stopped
    /// with: the platform has promoted them.
    promoted: BTreeSet<InstanceName>,
    /// Those that said then that they lead a lower term: old primaries that have started again under other names.
    pub returned: BTreeSet<InstanceName>,
}

impl OtherLeaders {
    /// At the beginning.
    pub fn new(outdated: BTreeSet<InstanceName>) -> Self {
        Self { outdated, ..Self::default() }
    }
}

impl Attempt {
    /// The member that leads in place of the old primary.
    pub(super) fn successor(&self) -> Option<InstanceName> {
        let leading = leading(&self.members, self.old_primary());
        let may_be =
            |name: &InstanceName| !self.leaders.outdated.contains(name) && self.may_succeed(name);
        let told = leading.into_iter().find(may_be);
        told.or_else(|| Some(self.leads_by_its_word.clone()?.instance))
    }

    /// Whether a member that says it leads can be the successor. Once a promotion has been sent, its own
    /// one is; another one only if it shows a term that it got by a promotion: an old primary that has
    /// started again under another name would answer writes that the promotion rolls back.
    fn may_succeed(&self, name: &InstanceName) -> bool {
        match &self.chosen {
            Some(chosen) => chosen == name || self.leaders.promoted.contains(name),
            None => true,
        }
    }

    /// Asks members other than the chosen one that say they lead which term that is, and has those step
    /// down that lead an old one.
    pub(super) fn question_other_leaders(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let leading = leading(&self.members, self.old_primary());
        let other = |name: &&InstanceName| {
            self.chosen.as_ref() != Some(*name) && !self.leaders.outdated.contains(*name)
        };
        let others: Vec<InstanceName> = leading.iter().filter(other).cloned().collect();
        for name in others {
            if self.leaders.returned.contains(&name) {
                self.demote(&name, now, commands);
            } else {
                self.send(&name, Repeated::Ask, now, commands, Command::QueryStatus);
            }
        }
    }

    /// What an instance that is neither the old primary nor the chosen one says of leading.
    pub(super) fn judge_other_leader(
        &mut self,
        instance: &InstanceName,
        standing: &ReplicationStatus,
    ) {
        if !self.is_committed() || standing.role == Role::Replica {
            self.leaders.returned.remove(instance);
            return;
        }
        match standing.term >= self.term {
            true => self.leaders.promoted.insert(instance.clone()),
            false => self.leaders.returned.insert(instance.clone()),
        };
    }
}

/// Members other than the old primary that say they lead.
pub(super) fn leading(members: &Members, former: Option<&InstanceName>) -> BTreeSet<InstanceName> {
    let leading = members.replicas(former).filter(|member| member.leads);
    leading.map(|member| member.name.clone()).collect()
}
