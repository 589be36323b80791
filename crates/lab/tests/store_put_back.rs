//! A store that comes back from an older copy: what the operator writes then is in force on every node, and
//! nothing older is in force in between.

use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, ZONES, database, wait};
use kestrellock_platform::configuration::DRAINS_PREFIX;

/// Time for which the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(500);
/// Time in which a node that goes back to something older would be seen to.
const WATCHED: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(5);

fn start() -> Platform {
    let platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn first() -> String {
    database(GROUPS[0], Consistency::Primary)
}

fn second() -> String {
    database(GROUPS[1], Consistency::Primary)
}

/// Somebody writes keys that nobody reads.
fn write_others(platform: &Platform, count: usize) {
    for number in 0..count {
        platform.store.put("others/key", number.to_string().as_bytes());
    }
}

fn is_on_all_nodes(platform: &Platform, database: &str) -> bool {
    platform.nodes().all(|node| node.context.catalog.load().open_database(database).is_some())
}

fn is_on_no_node(platform: &Platform, database: &str) -> bool {
    platform.nodes().all(|node| node.context.catalog.load().open_database(database).is_none())
}

/// The operator takes a database away after the store has come back, which the nodes know at a revision that is
/// `lost` higher than the copy's, and `others` keys are written besides.
fn is_in_force_after(lost: usize, others: usize) {
    let mut platform = start();
    let copy = platform.store.snapshot();
    write_others(&platform, lost);
    platform.configure(&[&second()]);
    wait("the change is in force", || is_on_no_node(&platform, &second())).expect("in time");
    platform.restore_store(&copy, AWAY);
    platform.configure(&[&first()]);
    write_others(&platform, others);
    wait("the change after the return is in force", || {
        is_on_no_node(&platform, &first()) && is_on_all_nodes(&platform, &second())
    })
    .expect("in time");
}

/// Statements of a route that a change had taken away were still run seconds later. The store had come back with
/// revisions below those that nodes knew; what it answered was dropped as older than their copy, sixteen times a
/// second, and no change reached any node.
#[test]
fn a_change_at_revisions_below_the_known_ones_is_in_force() {
    is_in_force_after(40, 0);
}

/// The same where the store arrives at the very number that nodes know, which then means two things.
#[test]
fn a_change_at_a_revision_that_is_given_out_again_is_in_force() {
    is_in_force_after(10, 10);
}

/// The same where the store has passed the known number before a node asks again: no answer says that history
/// is gone, and the watch goes on behind the change.
#[test]
fn a_change_that_is_passed_over_by_later_revisions_is_in_force() {
    is_in_force_after(10, 60);
}

/// The copy holds an older configuration than the one in force: it stays out of force until the operator writes
/// again.
#[test]
fn a_configuration_that_the_copy_lacks_stays_in_force() {
    let mut platform = start();
    let copy = platform.store.snapshot();
    platform.configure(&[&second()]);
    wait("the change is in force", || is_on_no_node(&platform, &second())).expect("in time");
    platform.restore_store(&copy, AWAY);
    let end = std::time::Instant::now() + WATCHED;
    while std::time::Instant::now() < end {
        assert!(is_on_no_node(&platform, &second()), "a node went back to the older one");
        std::thread::sleep(STEP);
    }
    platform.configure(&[]);
    wait("the next one is in force", || is_on_all_nodes(&platform, &second())).expect("in time");
}

/// Two returns right behind each other, the second from an older copy than the first.
#[test]
fn a_change_after_two_returns_is_in_force() {
    let mut platform = start();
    let older = platform.store.snapshot();
    write_others(&platform, 20);
    let newer = platform.store.snapshot();
    platform.configure(&[&second()]);
    wait("the change is in force", || is_on_no_node(&platform, &second())).expect("in time");
    platform.restore_store(&newer, AWAY);
    write_others(&platform, 3);
    platform.restore_store(&older, Duration::from_millis(100));
    platform.configure(&[&first()]);
    wait("the change after both is in force", || {
        is_on_no_node(&platform, &first()) && is_on_all_nodes(&platform, &second())
    })
    .expect("in time");
}

/// A node stands still while the store comes back, and wakes with what it knew before.
#[test]
fn a_node_that_stands_still_through_a_return_has_the_change() {
    let mut platform = start();
    let copy = platform.store.snapshot();
    write_others(&platform, 20);
    platform.configure(&[&second()]);
    wait("the change is in force", || is_on_no_node(&platform, &second())).expect("in time");
    platform.set_paused(0, true);
    platform.restore_store(&copy, AWAY);
    platform.configure(&[&first()]);
    std::thread::sleep(AWAY);
    platform.set_paused(0, false);
    wait("the change is in force on all", || {
        is_on_no_node(&platform, &first()) && is_on_all_nodes(&platform, &second())
    })
    .expect("in time");
}

/// A node that starts on the copy gets what operators wrote last from the others, and brings nothing older to them.
/// It does not: it knows of nobody yet when it first looks whom to ask, reads the store, and has the older edition in
/// force at a revision that is no lower than theirs. Nodes compare revisions alone when they exchange.
#[test]
fn a_node_that_starts_on_the_copy_has_nothing_older_than_the_others() {
    let mut platform = start();
    let copy = platform.store.snapshot();
    write_others(&platform, 20);
    platform.configure(&[&second()]);
    wait("the change is in force", || is_on_no_node(&platform, &second())).expect("in time");
    platform.kill_node(1);
    platform.restore_store(&copy, AWAY);
    platform.restart_node(1).expect("it starts");
    let end = std::time::Instant::now() + WATCHED;
    while std::time::Instant::now() < end {
        assert!(is_on_no_node(&platform, &second()), "an older one is in force");
        std::thread::sleep(STEP);
    }
    assert!(is_on_all_nodes(&platform, &first()), "the node that started has the configuration");
}

/// A drain that the copy lacks is in force again once the operator has written it again.
#[test]
fn a_drain_that_is_written_again_is_in_force() {
    let platform = start();
    let copy = platform.store.snapshot();
    let key = format!("{DRAINS_PREFIX}{}", ZONES[0]);
    let is_drained = |platform: &Platform| {
        platform.nodes().all(|node| !node.context.catalog.load().drained_zones().is_empty())
    };
    platform.store.put(&key, b"{}");
    wait("the drain is in force", || is_drained(&platform)).expect("in time");
    platform.restore_store(&copy, AWAY);
    platform.store.put(&key, b"{}");
    wait("the drain is in force again", || is_drained(&platform)).expect("in time");
    platform.store.remove(&key);
    wait("the drain is over", || {
        platform.nodes().all(|node| node.context.catalog.load().drained_zones().is_empty())
    })
    .expect("in time");
}
