//! Whose word counts when a primary is suspected.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::promotion::Electorate;

fn nodes(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| NodeName::new(format!("node-{number}"))).collect()
}

/// Gidanmu with six of eight machines gone for good: the two left never were most of eight, and a dead
/// primary was not replaced before its entry vanished.
#[test]
fn machines_that_were_lost_for_good_count_no_more_after_a_while() {
    let start = Instant::now();
    let listed = nodes(8);
    let live = nodes(2);
    let mut electorate = Electorate::default();
    assert_eq!(electorate.eligible(&listed, &listed, start), listed);
    let cut_off = start + Duration::from_secs(10);
    assert_eq!(electorate.eligible(&listed, &live, cut_off), listed, "they may be cut off");
    let later = start + Duration::from_secs(40);
    assert_eq!(electorate.eligible(&listed, &live, later), live);
    assert_eq!(electorate.eligible(&listed, &listed, later), listed, "they are back");
}

#[test]
fn a_node_that_has_just_started_counts_those_that_it_does_not_know_yet() {
    let listed = nodes(8);
    let mut electorate = Electorate::default();
    assert_eq!(electorate.eligible(&listed, &nodes(1), Instant::now()), listed);
}

#[test]
fn a_node_that_is_not_listed_does_not_count() {
    let mut electorate = Electorate::default();
    assert_eq!(electorate.eligible(&nodes(2), &nodes(3), Instant::now()), nodes(2));
}
