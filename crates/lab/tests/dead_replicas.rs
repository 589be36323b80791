//! Statements at the primary of a group with a dead replica, after a rest in which all evidence that
//! the primary leads has expired.

use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_daemon::metrics::ChoiceEvidence;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};

/// Longer than evidence covers arrivals, and not long enough that the group counts as unused.
const REST: Duration = Duration::from_millis(1_200);
/// After such a rest the group has not been used for longer than its evidence is renewed.
const LONG_REST: Duration = Duration::from_millis(4_500);
/// Statements on each session, each after a rest.
const STATEMENTS: usize = 3;

/// Asserts that `text` succeeds after each rest, with a dead replica, and returns the platform.
fn assert_is_answered_after_rests(text: &str, rest: Duration, store_is_down: bool) -> Platform {
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
    // The end of the replica broke connections, which ends the evidence. This gains it again.
    wait("it is answered", || session.run(text).expect("an answer").is_success()).expect("in time");
    for _ in 0..STATEMENTS {
        std::thread::sleep(rest);
        let answer = session.run(text).expect("an answer");
        assert!(answer.is_success(), "{text}: {:?}", answer.outcome);
    }
    platform
}

/// Number of choices that were made on that evidence, or that waited.
fn choices(platform: &Platform, label: ChoiceEvidence) -> u64 {
    platform.nodes().map(|node| node.context.metrics.choices.get(label)).sum()
}

/// Guards against refused reads: no store confirms the report of the replica that lives, which
/// covers what arrived before it was requested.
#[test]
fn a_read_is_answered_while_a_replica_is_dead_and_the_store_is_down() {
    assert_is_answered_after_rests("READ thing", REST, true);
    assert_is_answered_after_rests("READ thing", LONG_REST, true);
}

/// Guards against writes that wait for evidence which only writes renew, and against a counter that
/// does not show on which evidence writes are sent: the primary and the running replica
/// renew it while the group is in use.
#[test]
fn a_write_is_answered_while_a_replica_is_dead_and_the_store_is_down() {
    let platform = assert_is_answered_after_rests("WRITE thing after", REST, true);
    let renewed = choices(&platform, ChoiceEvidence::WriteByRenewedReports);
    assert!(renewed >= STATEMENTS as u64, "{renewed}");
}

/// Guards against writes that are refused for good once the evidence has expired: the check by the
/// other nodes, of which there are none here, confirms the report of the replica that lives. Guards
/// as well against a counter that does not show that such writes wait for it.
#[test]
fn a_write_is_answered_after_a_long_rest_while_a_replica_is_dead_and_the_store_is_down() {
    let platform = assert_is_answered_after_rests("WRITE thing after", LONG_REST, true);
    let checked = choices(&platform, ChoiceEvidence::WriteBySomeReplicas);
    assert!(checked >= STATEMENTS as u64, "{checked}");
    assert!(choices(&platform, ChoiceEvidence::WriteWaits) >= STATEMENTS as u64);
}

/// The same while the store is up.
#[test]
fn a_write_is_answered_while_a_replica_is_dead() {
    assert_is_answered_after_rests("WRITE thing after", REST, false);
    assert_is_answered_after_rests("WRITE thing after", LONG_REST, false);
}
