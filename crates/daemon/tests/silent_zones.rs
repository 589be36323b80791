//! Owners in a zone with several silent nodes are avoided: each statement that went to one of them
//! waited for 300 ms until its silence was noticed, once for each owner of the zone.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::rendezvous::Candidate;
use kestrellock_daemon::routing_overrides::RoutingOverrides;

fn owner(node: &str, zone: &str) -> Candidate {
    Candidate { node: NodeName::new(node), zone: ZoneName::new(zone), link_mbps: 0 }
}

/// Three owners in the zone "cut", and one in another one.
fn owners() -> [Candidate; 4] {
    [owner("a", "cut"), owner("b", "cut"), owner("c", "cut"), owner("d", "far")]
}

fn nearest(overrides: &RoutingOverrides, owners: &[Candidate], now: Instant) -> Vec<String> {
    let nearest = overrides.nearest(owners, &ZoneName::new("cut"), now);
    nearest.into_iter().map(|node| node.as_str().to_owned()).collect()
}

fn silence(overrides: &RoutingOverrides, node: &str, now: Instant) {
    overrides.avoid(&NodeName::new(node), now);
    overrides.on_silent_node(&NodeName::new(node), &ZoneName::new("cut"), now);
}

#[test]
fn a_further_owner_is_not_tried_once_two_nodes_of_its_zone_are_silent() {
    let (overrides, owners, now) = (RoutingOverrides::default(), owners(), Instant::now());
    silence(&overrides, "a", now);
    assert_eq!(nearest(&overrides, &owners, now), ["b", "c"], "one node may be frozen");
    silence(&overrides, "b", now);
    assert_eq!(nearest(&overrides, &owners, now), ["d"]);
    let later = now + Duration::from_secs(2);
    assert_eq!(nearest(&overrides, &owners, later), ["d"], "nothing of the zone has answered");
    overrides.on_zone_answer(&ZoneName::new("cut"));
    assert_eq!(nearest(&overrides, &owners, later), ["a", "b", "c"]);
}

#[test]
fn owners_of_a_silent_zone_are_used_where_no_other_owner_answers() {
    let (overrides, owners, now) = (RoutingOverrides::default(), owners(), Instant::now());
    silence(&overrides, "a", now);
    silence(&overrides, "b", now);
    overrides.avoid(&NodeName::new("d"), now);
    assert_eq!(nearest(&overrides, &owners, now).len(), 3, "the nearest of all avoided ones");
}

#[test]
fn without_reports_of_silence_only_the_avoided_node_is_passed_over() {
    let (overrides, owners, now) = (RoutingOverrides::default(), owners(), Instant::now());
    overrides.avoid(&NodeName::new("a"), now);
    overrides.avoid(&NodeName::new("b"), now);
    assert_eq!(nearest(&overrides, &owners, now), ["c"], "as without the setting");
}
