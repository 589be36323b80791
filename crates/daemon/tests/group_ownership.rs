//! Owners of a group as computed from the nodes that a node knows, and the choice among them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use kestrellock_core::catalog::{Catalog, Elector, Group, IndexedCatalog, Instance};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::rendezvous::Candidate;
use kestrellock_core::routing::Role;
use kestrellock_daemon::ownership::{OwnershipCache, OwnershipSnapshot};
use kestrellock_daemon::routing_overrides::RoutingOverrides;
use kestrellock_daemon::shared::live::{LiveNode, Shared};

const GROUP: &str = "orders";
const NODES: usize = 90;

fn node(number: usize) -> LiveNode {
    let zone = ZoneName::new(format!("zone-{}", number % 3));
    LiveNode {
        candidate: Candidate { node: NodeName::new(format!("node-{number}")), zone, link_mbps: 0 },
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
        accepts_work: true,
    }
}

fn catalog() -> IndexedCatalog {
    let instance = |number: u16| Instance {
        name: InstanceName::new(format!("i-{number}")),
        zone: ZoneName::new(format!("zone-{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
        slots: 3,
        connections: 63,
        leaving: false,
        incarnation: None,
        announced_role: Some(if number == 0 { Role::Primary } else { Role::Replica }),
    };
    let group = Group {
        database: GROUP.to_owned(),
        user: "kestrellock".to_owned(),
        instances: (0..3).map(instance).collect(),
        confirmation: ConfirmationRule::Answered,
        elector: Elector::Proxy,
        synchronous_replicas: 1,
        connections: 63,
        promoted: None,
    };
    let mut catalog = Catalog::default();
    catalog.groups.insert(GroupName::new(GROUP), group);
    IndexedCatalog::new(catalog)
}

/// Ownership as computed by `own` just after its start.
fn owners_by(own: usize, live: &[usize], listed: &[usize]) -> Arc<OwnershipSnapshot> {
    owners_in(&OwnershipCache::default(), own, live, listed)
}

fn owners_in(
    cache: &OwnershipCache,
    own: usize,
    live: &[usize],
    listed: &[usize],
) -> Arc<OwnershipSnapshot> {
    let nodes =
        |numbers: &[usize]| Shared::new(numbers.iter().map(|number| node(*number)).collect());
    let own = node(own).candidate.node;
    let (live, listed) = (nodes(live), nodes(listed));
    cache.current(&live, &Shared::new(catalog()), &own, None, &listed)
}

fn names(snapshot: &OwnershipSnapshot) -> Vec<NodeName> {
    let owners = snapshot.owners_of(&GroupName::new(GROUP)).iter();
    owners.map(|owner| owner.node.clone()).collect()
}

/// After all machines of a large cluster lost power, each node knew only a few others for half a
/// second and considered itself an owner of every group. Instances reset 8,265 connections above
/// their limit.
#[test]
fn a_starting_node_does_not_own_groups_in_place_of_listed_nodes_it_does_not_know_yet() {
    let all: Vec<usize> = (0..NODES).collect();
    let expected = names(&owners_by(0, &all, &all));
    assert_eq!(expected.len(), 9);
    for live in [&[][..], &[5], &[5, 17, 40], &all[..60]] {
        assert_eq!(names(&owners_by(5, live, &all)), expected, "{} live", live.len());
    }
    let claimants = |live: &dyn Fn(usize) -> Vec<usize>| {
        let claims = |own: &usize| {
            let snapshot = owners_by(*own, &live(*own), &all);
            snapshot.share(&InstanceName::new("i-0")).is_some()
        };
        all.iter().copied().filter(|own| claims(own)).count()
    };
    assert_eq!(claimants(&|own| vec![own]), 9, "each node knows only itself");
    assert_eq!(claimants(&|own| vec![own, (own + 1) % NODES]), 9);
}

#[test]
fn a_missing_node_stops_being_owner_once_most_other_nodes_are_known() {
    let all: Vec<usize> = (0..NODES).collect();
    let missing: NodeName = names(&owners_by(0, &all, &all))[0].clone();
    let live: Vec<usize> =
        all.iter().copied().filter(|number| node(*number).candidate.node != missing).collect();
    let owners = names(&owners_by(live[0], &live, &all));
    assert_eq!(owners.len(), 9);
    assert!(!owners.contains(&missing));
}

#[test]
fn without_a_machine_list_owners_are_chosen_among_live_nodes() {
    assert!(names(&owners_by(0, &[], &[])).is_empty());
    assert_eq!(names(&owners_by(0, &[0], &[])), [NodeName::new("node-0")]);
}

#[test]
fn work_goes_to_reachable_owners_of_the_same_zone_first() {
    let all: Vec<usize> = (0..NODES).collect();
    let snapshot = owners_by(0, &all, &all);
    let owners = snapshot.owners_of(&GroupName::new(GROUP));
    let (routing_overrides, now) = (RoutingOverrides::default(), Instant::now());
    let zone = ZoneName::new("zone-1");
    let choose =
        |random| routing_overrides.choose_among(owners, &zone, random, now).expect("an owner");
    let zone_of = |name: &NodeName| {
        owners.iter().find(|owner| owner.node == *name).map(|owner| owner.zone.clone())
    };
    let nearby: Vec<&NodeName> = (0..12).map(choose).collect();
    assert!(nearby.iter().all(|name| zone_of(name).as_ref() == Some(&zone)));
    assert!(nearby.iter().any(|name| **name != *nearby[0]), "all work goes to one owner");
    for name in &nearby {
        routing_overrides.avoid(name, now);
    }
    let distant = routing_overrides.choose_among(owners, &zone, 0, now).expect("an owner");
    assert!(zone_of(distant).is_some_and(|found| found != zone));
    assert_eq!(routing_overrides.choose_among(&[], &zone, 0, now), None);
}

/// Guards against refused connections after all nodes lost power: a node that has just started must
/// use only the restart part of its share where zones may be lost.
#[test]
fn a_starting_node_uses_the_restart_part_of_its_share_where_zones_may_be_lost() {
    let all: Vec<usize> = (0..NODES).collect();
    let owner = &names(&owners_by(0, &all, &all))[0];
    let own = all.iter().copied().find(|number| node(*number).candidate.node == *owner);
    let own = own.expect("an owner is a node");
    let largest = |tolerated_zone_losses| {
        let cache = OwnershipCache::new(tolerated_zone_losses);
        let snapshot = owners_in(&cache, own, &[own], &all);
        snapshot.share(&InstanceName::new("i-0")).expect("it is an owner").max
    };
    assert_eq!([largest(0), largest(1)], [5, 2]);
}
