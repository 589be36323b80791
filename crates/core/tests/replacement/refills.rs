//! Status queries to instances and their primary, which show whether restarted instances have
//! received the log again, and whether the instances hold every acknowledged commit.

use crate::messages::Work;
use crate::node::{group_name, instance_number};
use crate::world::World;

/// Interval between two status queries.
const QUERY_INTERVAL_MS: u64 = 100;

impl World {
    /// Queries the status of the instances, if any of that is open.
    pub fn query_refills(&mut self, node: usize) {
        let own = &self.nodes[node];
        if self.now < own.refills_queried_at + QUERY_INTERVAL_MS {
            return;
        }
        if !own.known_instances.has_status_targets(&group_name()) {
            return;
        }
        let now = self.at(self.now);
        let known = &mut self.nodes[node].known_instances;
        let mut targets = known.refill_status_targets(&group_name());
        targets.extend(known.take_coverage_targets(&group_name(), now));
        targets.sort();
        targets.dedup();
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
