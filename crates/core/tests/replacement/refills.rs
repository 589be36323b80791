//! A node asks instances that have started again, and their primary, how much they have received.

use crate::messages::Work;
use crate::node::{group_name, instance_number};
use crate::world::World;

/// Time between two questions.
const QUERY_INTERVAL_MS: u64 = 600;

impl World {
    /// Asks them, if there are any.
    pub fn query_refills(&mut self, node: usize) {
        let own = &self.nodes[node];
        if self.now < own.refills_queried_at + QUERY_INTERVAL_MS {
            return;
        }
        let targets = own.known_instances.refill_status_targets(&group_name());
        if targets.is_empty() {
            return;
        }
        self.nodes[node].refills_queried_at = self.now;
        for instance in &targets {
            let request = self.next_number();
            self.send_request(node, instance_number(instance), request, Work::StatusQuery);
        }
    }
}
