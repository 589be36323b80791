//! Status queries to restarted instances and their primary, which show whether the restarted
//! instances have received the log again.

use crate::messages::Work;
use crate::node::{group_name, instance_number};
use crate::world::World;

/// Interval between two status queries.
const QUERY_INTERVAL_MS: u64 = 600;

impl World {
    /// Queries the status of restarted instances and their primary, if there are any.
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
