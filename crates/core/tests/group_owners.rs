//! Which nodes own a group.

use std::collections::BTreeSet;

use kestrellock_core::group_owners::GroupOwnerTable;
use kestrellock_core::ids::{GroupName, NodeName, ZoneName};
use kestrellock_core::rendezvous::Candidate;
use proptest::prelude::*;

/// `counts` nodes in each zone.
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

/// The owners of a group, computed from all nodes at once.
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
fn work_of_many_groups_spreads_over_the_nodes() {
    let candidates = nodes(&[30, 30, 30]);
    let mut owned = std::collections::BTreeMap::<NodeName, usize>::new();
    for number in 0..550 {
        let group = GroupName::new(format!("group-{number}"));
        for owner in owners(&group, &candidates, 9) {
            *owned.entry(owner.node.clone()).or_default() += 1;
        }
    }
    assert_eq!(owned.len(), 90, "each node owns something");
    assert!(owned.values().all(|count| (25..=90).contains(count)), "{owned:?}");
}

/// As many groups as `count`, each with nine owners.
fn groups(count: usize) -> Vec<(GroupName, usize)> {
    (0..count).map(|number| (GroupName::new(format!("group-{number}")), 9)).collect()
}

fn update(table: &mut GroupOwnerTable, candidates: &[Candidate], groups: &[(GroupName, usize)]) {
    table.update(candidates, groups.iter().map(|(group, count)| (group, *count)));
}

/// Weights computed when one node joins, when one leaves, and when nothing about the nodes has changed.
fn weights_of_changes(zones: &[usize], group_count: usize) -> (u64, u64, u64) {
    let groups = groups(group_count);
    let all = nodes(zones);
    let (last, without) = all.split_last().expect("some nodes");
    let mut table = GroupOwnerTable::default();
    update(&mut table, without, &groups);
    let weights_since = |table: &mut GroupOwnerTable, candidates: &[Candidate]| {
        let before = table.computed_weights();
        update(table, candidates, &groups);
        table.computed_weights() - before
    };
    let joined = weights_since(&mut table, &all);
    let same = weights_since(&mut table, &all);
    let left = weights_since(&mut table, without);
    println!("{last:?}: {joined} joined, {left} left, {same} same");
    (joined, left, same)
}

/// What happened: each change of the list of 985 nodes, or of one instance, had every node weigh all nodes
/// for all of 1,000 groups, 985,000 weights; while all started nothing else got the processor.
#[test]
fn a_change_costs_weights_by_what_it_changes_at_any_size() {
    for (zones, group_count) in [([10, 10, 10, 10, 10], 50), ([197, 197, 197, 197, 197], 1_000)] {
        let (joined, left, same) = weights_of_changes(&zones, group_count);
        assert_eq!(same, 0, "nothing about the nodes has changed");
        assert_eq!(joined, group_count as u64, "one weight for each group");
        // A node is among the two greatest claims of its zone for two of as many groups as the zone has nodes;
        // for each of those its zone is weighed. Four times that is allowed for.
        let expected = (2 * group_count) as u64;
        assert!(left <= 4 * expected, "{left} weights where {expected} are expected");
    }
}

proptest! {
    /// Differences lead to the same owners as all nodes at once.
    #[test]
    fn owners_by_differences_are_those_of_all_nodes(
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
    fn all_of_few_nodes_are_owners(counts in prop::collection::vec(0_usize..5, 1..5)) {
        let candidates = nodes(&counts);
        let all: BTreeSet<NodeName> =
            candidates.iter().map(|candidate| candidate.node.clone()).collect();
        prop_assert_eq!(names(&GroupName::new("group"), &candidates, candidates.len()), all);
    }

    /// Whoever goes leaves a place for another; everybody else stays.
    #[test]
    fn a_node_that_goes_moves_its_own_place_only(
        counts in prop::collection::vec(2_usize..12, 1..4),
        gone in any::<prop::sample::Index>(),
        count in 1_usize..10,
    ) {
        let group = GroupName::new("group");
        let before = nodes(&counts);
        let gone = before[gone.index(before.len())].clone();
        let after: Vec<Candidate> =
            before.iter().filter(|candidate| **candidate != gone).cloned().collect();
        let (one, other) = (names(&group, &before, count), names(&group, &after, count));
        let left: Vec<&NodeName> = one.difference(&other).collect();
        prop_assert!(left.iter().all(|node| **node == gone.node), "{:?} left", left);
    }
}
