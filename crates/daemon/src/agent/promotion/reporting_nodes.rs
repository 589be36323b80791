//! The nodes whose reports a coordinator needs: those that may use the old primary, and so may read
//! there and acknowledge its commits.

use std::time::Instant;

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::promotion::ReportingNodes;
use kestrellock_store::coordination::Coordination;

use crate::context::NodeContext;

/// The nodes whose reports the coordinator needs to replace the primary of a group; `last_removal`
/// is when a node was last removed from the machine list.
pub(super) fn nodes_to_report(
    group: &GroupName,
    context: &NodeContext,
    coordination: &dyn Coordination,
    last_removal: Option<Instant>,
) -> ReportingNodes {
    ReportingNodes {
        current: nodes_to_await(context, coordination),
        last_removal,
        highest_led: context.statuses.highest_led_term(group),
    }
}

/// The nodes in the machine list that this node has read, and those in the store. This node's list
/// may be seconds old and lack nodes that were added since; the store's list was read again when
/// the intent was recorded. Empty while this node has not read a machine list.
fn nodes_to_await(context: &NodeContext, coordination: &dyn Coordination) -> Vec<NodeName> {
    let mut nodes = context.listed_node_names();
    if nodes.is_empty() {
        return nodes;
    }
    nodes.extend(coordination.view().nodes.iter().cloned());
    nodes.sort();
    nodes.dedup();
    nodes
}
