//! Queries of a coordinator about promotions that earlier processes sent.

use kestrellock_core::promotion::{Event, PromotionCaller};

use crate::store::node_name;
use crate::world::World;

impl World {
    /// A node that runs answers at once. Promotions are delivered within milliseconds in these
    /// worlds, so none is open by then.
    pub fn query_caller(&mut self, node: usize, caller: PromotionCaller) {
        let runs = |index: &usize| {
            let other = &self.nodes[*index];
            node_name(*index) == caller.node && other.alive && !other.frozen
        };
        if (0..self.nodes.len()).any(|index| runs(&index)) {
            self.on_event(node, Event::CallsEnded(caller));
        }
    }
}
