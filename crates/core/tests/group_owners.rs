//! Which nodes own a group.

use std::collections::BTreeSet;

use kestrellock_core::group_owners::owners;
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

proptest! {
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
