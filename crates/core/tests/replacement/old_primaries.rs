//! Demotion of old primaries: a node that knows of a newer term demotes each instance that still
//! leads a lower one.

use kestrellock_core::promotion::Command;
use kestrellock_core::routing::Role;

use crate::messages::Work;
use crate::node::{group_name, instance_name, instance_number};
use crate::plan::PlantedFault;
use crate::world::World;

/// Interval between two demotions of the old primaries of a group.
const DEMOTE_INTERVAL_MS: u64 = 100;

impl World {
    /// Demotes old primaries. If the term of a primary is not known, its status is queried first.
    pub fn demote_old_primaries(&mut self, node: usize) {
        // Otherwise the old primary is demoted too early to show the effect of the missing check.
        if self.planted_fault == PlantedFault::NoReplacementCheck {
            return;
        }
        let own = &self.nodes[node];
        let term = own.evidence.highest_led();
        let was_sent_recently = self.now < own.demotions_sent_at + DEMOTE_INTERVAL_MS;
        let Some(group) = own.catalog.groups.get(&group_name()).filter(|_| !was_sent_recently)
        else {
            return;
        };
        let leading = group
            .instances
            .iter()
            .filter(|instance| instance.announced_role == Some(Role::Primary));
        let leading: Vec<usize> = leading.map(|instance| instance_number(&instance.name)).collect();
        let is_old = |instance: &usize| own.terms.get(instance).is_some_and(|known| *known < term);
        let is_unknown = |instance: &usize| {
            !own.terms.contains_key(instance) && !group.is_last_promoted(&instance_name(*instance))
        };
        let old: Vec<usize> = leading.iter().copied().filter(is_old).collect();
        let unknown: Vec<usize> = leading.iter().copied().filter(is_unknown).collect();
        if old.is_empty() && unknown.is_empty() {
            return;
        }
        self.nodes[node].demotions_sent_at = self.now;
        for instance in old {
            let demote = Command::Demote { instance: instance_name(instance), term };
            let request = self.next_number();
            self.send_request(node, instance, request, Work::Command(demote));
        }
        for instance in unknown {
            let request = self.next_number();
            self.send_request(node, instance, request, Work::StatusQuery);
        }
    }
}
