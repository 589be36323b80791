//! Which nodes count as voters when a primary is suspected.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::promotion::Electorate;

fn nodes(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| NodeName::new(format!("node-{number}"))).collect()
}

/// Guards against a crashed primary that is not replaced after most machines were lost. With six of
/// eight machines permanently gone, the remaining two never formed a majority of eight, and the
/// primary was not replaced before its entry vanished.
#[test]
fn permanently_lost_machines_stop_counting() {
    let start = Instant::now();
    let listed = nodes(8);
    let live = nodes(2);
    let mut electorate = Electorate::default();
    assert_eq!(electorate.eligible(&listed, &listed, start), listed);
    let cut_off = start + Duration::from_secs(10);
    assert_eq!(electorate.eligible(&listed, &live, cut_off), listed, "the others may be cut off");
    let later = start + Duration::from_secs(40);
    assert_eq!(electorate.eligible(&listed, &live, later), live);
    assert_eq!(electorate.eligible(&listed, &listed, later), listed, "the others have returned");
}

#[test]
fn newly_started_node_counts_nodes_that_it_has_not_seen_yet() {
    let listed = nodes(8);
    let mut electorate = Electorate::default();
    assert_eq!(electorate.eligible(&listed, &nodes(1), Instant::now()), listed);
}

#[test]
fn unlisted_node_does_not_count() {
    let mut electorate = Electorate::default();
    assert_eq!(electorate.eligible(&nodes(2), &nodes(3), Instant::now()), nodes(2));
}
