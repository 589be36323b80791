//! When a gateway opens a connection of its own for status queries of an instance.

use std::time::{Duration, Instant};

use kestrellock_daemon::gateway::status_connection::{PoolConnections, StatusConnection};

const KEY: usize = 7;
/// Longer than a query waits for a connection that is in use.
const LONG: Duration = Duration::from_millis(100);
/// Longer than any delay between attempts.
const VERY_LONG: Duration = Duration::from_secs(2);
/// Median of the jitter.
const RANDOM: u64 = u64::MAX / 2;

/// Guards against an instance that leaves and is never asked.
#[test]
fn one_is_opened_at_once_if_the_pool_keeps_none() {
    let now = Instant::now();
    let connection = StatusConnection::default();
    assert!(connection.should_open(PoolConnections::NotKept, now, now));
}

/// Guards against connections that are opened while those of the pool carry short statements.
#[test]
fn a_query_first_waits_for_connections_that_are_in_use() {
    let now = Instant::now();
    let connection = StatusConnection::default();
    assert!(!connection.should_open(PoolConnections::InUse, now, now));
    assert!(connection.should_open(PoolConnections::InUse, now, now + LONG));
}

/// Guards against further attempts at an instance to which the pool cannot connect either.
#[test]
fn none_is_opened_while_the_pool_opens_its_own() {
    let now = Instant::now();
    let connection = StatusConnection::default();
    assert!(!connection.should_open(PoolConnections::Opening, now, now + VERY_LONG));
}

/// Guards against more than one connection of a node to an instance.
#[test]
fn none_is_opened_beside_the_one_that_exists() {
    let now = Instant::now();
    let mut connection = StatusConnection::default();
    connection.on_opening(KEY);
    assert!(!connection.should_open(PoolConnections::NotKept, now, now + VERY_LONG));
    assert_eq!(connection.take_idle(), None, "it starts up");
    connection.on_ready(KEY);
    assert!(!connection.should_open(PoolConnections::NotKept, now, now + VERY_LONG));
    assert_eq!(connection.take_idle(), Some(KEY));
    assert_eq!(connection.take_idle(), None, "it carries a query");
    connection.on_closed();
    assert!(connection.should_open(PoolConnections::NotKept, now, now));
}

/// Guards against a flood of attempts at an instance that refuses connections, or that accepts them
/// and answers nothing.
#[test]
fn attempts_slow_down_until_a_query_is_answered() {
    let mut now = Instant::now();
    let mut connection = StatusConnection::default();
    let mut delays = Vec::new();
    for _ in 0..8 {
        connection.on_opening(KEY);
        connection.on_ready(KEY);
        assert!(connection.on_lost(KEY, now, RANDOM));
        let failed_at = now;
        while !connection.should_open(PoolConnections::NotKept, failed_at, now) {
            now += Duration::from_millis(1);
        }
        delays.push(now - failed_at);
    }
    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays[0] >= Duration::from_millis(50), "{delays:?}");
    assert!(delays[7] >= Duration::from_millis(500), "{delays:?}");
    connection.on_opening(KEY);
    connection.on_ready(KEY);
    assert_eq!(connection.take_idle(), Some(KEY));
    connection.on_answer(KEY);
    assert!(connection.on_lost(KEY, now, RANDOM));
    assert!(connection.should_open(PoolConnections::NotKept, now, now + delays[0]));
}

/// Guards against the loss of a pooled connection that counts as one of the separate connection.
#[test]
fn the_loss_of_another_connection_changes_nothing() {
    let now = Instant::now();
    let mut connection = StatusConnection::default();
    connection.on_opening(KEY);
    assert!(!connection.on_lost(KEY + 1, now, RANDOM));
    assert!(connection.is_open());
}
