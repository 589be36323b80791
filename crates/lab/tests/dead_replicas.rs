//! Statements at the primary of a group with a dead replica, after a rest in which all evidence that
//! the primary leads has expired.

use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_daemon::metrics::ChoiceEvidence;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};

/// Longer than evidence covers arrivals.
const REST: Duration = Duration::from_millis(1_200);
/// Statements on each session, each after a rest.
const STATEMENTS: usize = 3;

/// Asserts that `text` succeeds after each rest, with a dead replica, and returns the platform.
fn assert_is_answered_after_rests(text: &str, store_is_down: bool) -> Platform {
    let options = PlatformOptions { nodes: 1, ..PlatformOptions::default() };
    let platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    let group = &platform.groups[0];
    let route = database(GROUPS[0], Consistency::Primary);
    let mut session =
        LineSession::open(platform.client_addresses[0], &route, "sparse").expect("it opens");
    wait("a write is answered", || {
        session.run("WRITE thing before").expect("an answer").is_success()
    })
    .expect("in time");
    let primary = group.primary().expect("a primary");
    let replica = group.instances().into_iter().find(|name| *name != primary);
    group.kill(&replica.expect("a replica"));
    platform.store.set_outage(store_is_down);
    for _ in 0..STATEMENTS {
        std::thread::sleep(REST);
        let answer = session.run(text).expect("an answer");
        assert!(answer.is_success(), "{text}: {:?}", answer.outcome);
    }
    platform
}

/// Guards against refused reads: no store confirms the report of the replica that lives, which
/// covers what arrived before it was requested.
#[test]
fn a_read_is_answered_while_a_replica_is_dead_and_the_store_is_down() {
    assert_is_answered_after_rests("READ thing", true);
}

/// Guards against writes that wait for evidence which only writes renew, and against a counter that
/// does not tell operators on which evidence writes are sent.
#[test]
fn a_write_is_answered_while_a_replica_is_dead_and_the_store_is_down() {
    let platform = assert_is_answered_after_rests("WRITE thing after", true);
    let count = |label| -> u64 {
        platform.nodes().map(|node| node.context.metrics.choices.get(label)).sum()
    };
    assert!(count(ChoiceEvidence::WriteByUncheckedReplicas) >= STATEMENTS as u64);
    assert!(count(ChoiceEvidence::WriteWaits) >= STATEMENTS as u64);
}

/// The same while the store is up.
#[test]
fn a_write_is_answered_while_a_replica_is_dead() {
    assert_is_answered_after_rests("WRITE thing after", false);
}
