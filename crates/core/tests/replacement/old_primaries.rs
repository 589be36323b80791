//! A node that knows of a newer term tells whoever still leads a lower one to step down.

use kestrellock_core::promotion::Command;
use kestrellock_core::routing::Role;

use crate::messages::Work;
use crate::node::{group_name, instance_name, instance_number};
use crate::plan::Plant;
use crate::world::World;

/// Time between two orders to the old primaries of a group.
const DEMOTE_EVERY_MS: u64 = 100;

impl World {
    /// Tells old primaries to step down; asks first whose term is not known.
    pub fn demote_old_primaries(&mut self, node: usize) {
        // Otherwise the old primary rarely goes on for long enough to show what the look is for.
        if self.plant == Plant::NoLook {
            return;
        }
        let own = &self.nodes[node];
        let term = own.evidence.highest_led();
        let is_early = self.now < own.demoted + DEMOTE_EVERY_MS;
        let Some(group) = own.catalog.groups.get(&group_name()).filter(|_| !is_early) else {
            return;
        };
        let leading =
            group.instances.iter().filter(|one| one.announced_role == Some(Role::Primary));
        let leading: Vec<usize> = leading.map(|one| instance_number(&one.name)).collect();
        let is_old = |one: &usize| own.terms.get(one).is_some_and(|leads| *leads < term);
        let is_unknown = |one: &usize| {
            !own.terms.contains_key(one) && !group.is_last_promoted(&instance_name(*one))
        };
        let old: Vec<usize> = leading.iter().copied().filter(is_old).collect();
        let unknown: Vec<usize> = leading.iter().copied().filter(is_unknown).collect();
        if old.is_empty() && unknown.is_empty() {
            return;
        }
        self.nodes[node].demoted = self.now;
        for one in old {
            let demote = Command::Demote { instance: instance_name(one), term };
            let request = self.number();
            self.ask(node, one, request, Work::Control(demote));
        }
        for one in unknown {
            let request = self.number();
            self.ask(node, one, request, Work::Question);
        }
    }
}
