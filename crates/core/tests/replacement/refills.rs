//! A node asks instances that have started again, and their primary, how much they have received.

use crate::messages::Work;
use crate::node::{group_name, instance_number};
use crate::world::World;

/// Time between two questions.
const ASK_EVERY_MS: u64 = 600;

impl World {
    /// Asks them, if there are any.
    pub fn watch_refills(&mut self, node: usize) {
        let own = &self.nodes[node];
        if self.now < own.asked_refills + ASK_EVERY_MS {
            return;
        }
        let asked = own.known.refill_status_targets(&group_name());
        if asked.is_empty() {
            return;
        }
        self.nodes[node].asked_refills = self.now;
        for instance in &asked {
            let request = self.number();
            self.ask(node, instance_number(instance), request, Work::Question);
        }
    }
}
