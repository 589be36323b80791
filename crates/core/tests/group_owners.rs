//! The choice of group owners: their distribution over zones, and the cost of incremental updates.

use std::collections::BTreeSet;

use kestrellock_core::group_owners::GroupOwnerTable;
use kestrellock_core::ids::{GroupName, NodeName, ZoneName};
use kestrellock_core::rendezvous::Candidate;
use proptest::prelude::*;

/// One zone for each of `counts`, with that number of nodes.
fn nodes(counts: &[usize]) -> Vec<Candidate> {
    let zones = counts.iter().enumerate();
    let named = zones.flat_map(|(zone, count)| {
        (0..*count).map(move |number| Candidate {
            node: NodeName::new(format!("node-{zone}-{number}")),
            zone: ZoneName::new(format!("zone-{zone}")),
            link_mbps: 0,
        })
    });
    named.collect()
}

/// The owners of a group, computed from all nodes in one update.
fn owners(group: &GroupName, candidates: &[Candidate], count: usize) -> Vec<Candidate> {
    let mut table = GroupOwnerTable::default();
    table.update(candidates, [(group, count)]);
    table.owners_of(group).to_vec()
}

fn names(group: &GroupName, candidates: &[Candidate], count: usize) -> BTreeSet<NodeName> {
    owners(group, candidates, count).into_iter().map(|owner| owner.node.clone()).collect()
}

#[test]
fn each_zone_gets_an_owner_before_any_gets_its_second() {
    let candidates = nodes(&[29, 3, 28]);
    for number in 0..50 {
        let group = GroupName::new(format!("group-{number}"));
        let chosen = owners(&group, &candidates, 8);
        assert_eq!(chosen.len(), 8);
        let in_zone =
            |zone: &str| chosen.iter().filter(|owner| owner.zone.as_str() == zone).count();
        for zone in ["zone-0", "zone-1", "zone-2"] {
            assert!((2..=3).contains(&in_zone(zone)), "{group}: {chosen:?}");
        }
    }
}

#[test]
fn ownership_of_many_groups_is_spread_over_the_nodes() {
    let candidates = nodes(&[30, 30, 30]);
    let mut owned = std::collections::BTreeMap::<NodeName, usize>::new();
    for number in 0..550 {
        let group = GroupName::new(format!("group-{number}"));
        for owner in owners(&group, &candidates, 9) {
            *owned.entry(owner.node.clone()).or_default() += 1;
        }
    }
    assert_eq!(owned.len(), 90, "each node owns a group");
    assert!(owned.values().all(|count| (25..=90).contains(count)), "{owned:?}");
}

/// `count` groups, each with nine owners.
fn groups(count: usize) -> Vec<(GroupName, usize)> {
    (0..count).map(|number| (GroupName::new(format!("group-{number}")), 9)).collect()
}

fn update(table: &mut GroupOwnerTable, candidates: &[Candidate], groups: &[(GroupName, usize)]) {
    table.update(candidates, groups.iter().map(|(group, count)| (group, *count)));
}

/// Numbers of weights computed when one node joins, when one leaves, and when no node changes.
fn count_weights(zones: &[usize], group_count: usize) -> (u64, u64, u64) {
    let groups = groups(group_count);
    let all = nodes(zones);
    let (last, without) = all.split_last().expect("some nodes");
    let mut table = GroupOwnerTable::default();
    update(&mut table, without, &groups);
    let weights_of_update = |table: &mut GroupOwnerTable, candidates: &[Candidate]| {
        let before = table.computed_weights();
        update(table, candidates, &groups);
        table.computed_weights() - before
    };
    let joined = weights_of_update(&mut table, &all);
    let same = weights_of_update(&mut table, &all);
    let left = weights_of_update(&mut table, without);
    println!("{last:?}: {joined} joined, {left} left, {same} same");
    (joined, left, same)
}

/// Guards against recomputing all weights at each change. With 985 nodes and 1,000 groups, each
/// change of the node list or of one instance took 985,000 weights on every node. While all nodes
/// started, this used all processor time.
#[test]
fn incremental_updates_compute_few_weights_at_any_size() {
    for (zones, group_count) in [([10, 10, 10, 10, 10], 50), ([197, 197, 197, 197, 197], 1_000)] {
        let (joined, left, same) = count_weights(&zones, group_count);
        assert_eq!(same, 0, "no node has changed");
        assert_eq!(joined, group_count as u64, "one weight for each group");
        // In a zone of n nodes, a node has one of the two highest claims for two of every n groups.
        // For each of these the weights of its n nodes are computed. Four times that is allowed.
        let expected = (2 * group_count) as u64;
        assert!(left <= 4 * expected, "{left} weights where {expected} are expected");
    }
}

proptest! {
    /// Incremental updates must choose the same owners as one update with all nodes.
    #[test]
    fn incremental_updates_agree_with_a_full_computation(
        steps in prop::collection::vec((prop::collection::vec(any::<bool>(), 14), 1_usize..10), 1..6),
    ) {
        let all = nodes(&[6, 5, 3]);
        let mut table = GroupOwnerTable::default();
        for (present, count) in steps {
            let candidates: Vec<Candidate> = all
                .iter()
                .zip(present)
                .filter(|(_, present)| *present)
                .map(|(candidate, _)| candidate.clone())
                .collect();
            let groups: Vec<(GroupName, usize)> =
                groups(8).into_iter().map(|(group, _)| (group, count)).collect();
            update(&mut table, &candidates, &groups);
            for (group, count) in &groups {
                prop_assert_eq!(table.owners_of(group), &owners(group, &candidates, *count)[..]);
            }
        }
    }

    #[test]
    fn all_nodes_own_a_group_if_they_are_few(counts in prop::collection::vec(0_usize..5, 1..5)) {
        let candidates = nodes(&counts);
        let all: BTreeSet<NodeName> =
            candidates.iter().map(|candidate| candidate.node.clone()).collect();
        prop_assert_eq!(names(&GroupName::new("group"), &candidates, candidates.len()), all);
    }

    /// When a node leaves, only its own ownership moves.
    #[test]
    fn a_node_that_leaves_moves_only_its_own_ownership(
        counts in prop::collection::vec(2_usize..12, 1..4),
        removed in any::<prop::sample::Index>(),
        count in 1_usize..10,
    ) {
        let group = GroupName::new("group");
        let before = nodes(&counts);
        let removed = before[removed.index(before.len())].clone();
        let after: Vec<Candidate> =
            before.iter().filter(|candidate| **candidate != removed).cloned().collect();
        let (previous, current) = (names(&group, &before, count), names(&group, &after, count));
        let left: Vec<&NodeName> = previous.difference(&current).collect();
        prop_assert!(left.iter().all(|node| **node == removed.node), "{:?} left", left);
    }
}
