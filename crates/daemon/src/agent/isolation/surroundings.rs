//! Collects the nodes and instances around this node.

use std::collections::BTreeMap;

use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::ids::NodeName;
use kestrellock_core::isolation::{ListedNode, Surroundings};
use kestrellock_core::membership::{Health, MemberRecord, Membership};

use crate::shared::live::LiveNode;

/// The nodes of the machine list and the members that have not left, and the instances.
///
/// Members count as well, including dead ones: the platform may remove machines from the list that
/// it does not reach itself, and without a machine list the members are all that is known.
pub fn collect(
    membership: &Membership,
    listed: &[LiveNode],
    catalog: &IndexedCatalog,
) -> Surroundings {
    let own = membership.own();
    let is_member = |member: &&MemberRecord| member.health != Health::Left;
    let members = std::iter::once(own).chain(membership.members().filter(is_member));
    let mut nodes: BTreeMap<NodeName, ListedNode> =
        listed.iter().map(listed_node).map(|node| (node.node.clone(), node)).collect();
    nodes.extend(members.map(member_node).map(|node| (node.node.clone(), node)));
    let instances = catalog.groups.values().flat_map(|group| &group.instances);
    let instances = instances.map(|instance| (instance.name.clone(), instance.zone.clone()));
    Surroundings::new(own.zone.clone(), nodes.into_values(), instances)
}

/// A node of the machine list that is not a member.
fn listed_node(listed: &LiveNode) -> ListedNode {
    let (node, zone) = (listed.candidate.node.clone(), listed.candidate.zone.clone());
    ListedNode { node, zone, is_live: false }
}

fn member_node(member: &MemberRecord) -> ListedNode {
    ListedNode {
        node: member.node.clone(),
        zone: member.zone.clone(),
        is_live: member.health.is_live(),
    }
}
