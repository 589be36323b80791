//! Owner and standby of instances: a node that leaves moves only its own instances, and incremental
//! updates of the table agree with a full computation.

use std::collections::BTreeSet;

use kestrellock_core::ids::{InstanceName, NodeName, ZoneName};
use kestrellock_core::rendezvous::{Candidate, OwnershipTable, ownership};
use proptest::prelude::*;

const ZONES: usize = 3;

fn zone(number: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", number % ZONES))
}

fn candidate(number: usize) -> Candidate {
    Candidate { node: NodeName::new(format!("node-{number}")), zone: zone(number), link_mbps: 0 }
}

fn instance(number: usize) -> (InstanceName, ZoneName) {
    (InstanceName::new(format!("instance-{number}")), zone(number))
}

proptest! {
    #[test]
    fn incremental_updates_agree_with_a_full_computation(
        histories in prop::collection::vec(
            (
                prop::collection::btree_set(0..12_usize, 0..12),
                prop::collection::btree_set(0..20_usize, 0..20),
            ),
            1..8,
        ),
    ) {
        let mut table = OwnershipTable::default();
        for (nodes, instances) in histories {
            let candidates: Vec<Candidate> = nodes.into_iter().map(candidate).collect();
            let placed: Vec<_> = instances.iter().copied().map(instance).collect();
            table.update(&candidates, placed.iter().map(|(name, zone)| (name, zone)));
            for (name, zone) in &placed {
                prop_assert_eq!(table.get(name).cloned(), ownership(name, zone, &candidates));
            }
            for other in (0..20).filter(|number| !instances.contains(number)) {
                prop_assert_eq!(table.get(&instance(other).0), None);
            }
        }
    }

    #[test]
    fn a_node_that_leaves_moves_only_its_own_instances(nodes in 3..30_usize, removed in 0..30_usize) {
        let removed = removed % nodes;
        let before: Vec<Candidate> = (0..nodes).map(candidate).collect();
        let after: Vec<Candidate> =
            (0..nodes).filter(|number| *number != removed).map(candidate).collect();
        for (name, zone) in (0..100).map(instance) {
            let old = ownership(&name, &zone, &before).expect("nodes live");
            let new = ownership(&name, &zone, &after).expect("nodes live");
            if old.owner == candidate(removed).node {
                prop_assert_eq!(Some(new.owner), old.standby, "the standby becomes the owner");
            } else {
                prop_assert_eq!(new.owner, old.owner);
            }
        }
    }
}

#[test]
fn owners_are_in_the_zone_of_the_instance_if_it_has_nodes() {
    let candidates: Vec<Candidate> = (0..9).map(candidate).collect();
    for (name, zone) in (0..50).map(instance) {
        let chosen = ownership(&name, &zone, &candidates).expect("nodes live");
        let local: BTreeSet<&NodeName> = candidates
            .iter()
            .filter(|candidate| candidate.zone == zone)
            .map(|candidate| &candidate.node)
            .collect();
        assert!(local.contains(&chosen.owner));
        assert!(chosen.standby.is_some_and(|standby| local.contains(&standby)));
    }
}
