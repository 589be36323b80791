//! Evidence from replicas whose pool has no idle connection for a status query.

use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::InstanceName;
use kestrellock_daemon::metrics::StatusConnectionEvent;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::judged::JudgedPlatform;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, ZONES, database, wait};

/// Longer than evidence covers arrivals.
const REST: Duration = Duration::from_millis(1_200);
/// Reads of each open transaction within a rest, so that it is not ended because it is idle.
const READS_WITHIN_REST: u32 = 4;
/// Open transactions at the replica: more than its pool keeps connections without work.
const TRANSACTIONS: usize = 4;
/// Statements that each follow a rest.
const STATEMENTS: usize = 3;

fn start() -> JudgedPlatform {
    let platform = JudgedPlatform(Platform::start(PlatformOptions::default()).expect("it starts"));
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn open(platform: &Platform, node: usize, consistency: Consistency, name: &str) -> LineSession {
    let database = database(GROUPS[0], consistency);
    platform.open_session(node, &database, name).expect("it opens")
}

fn zone_of(platform: &Platform, instance: &str) -> String {
    let catalog = platform.nodes().next().expect("a node").context.catalog.load();
    let (_, instance) = catalog.instance(&InstanceName::new(instance)).expect("it is announced");
    instance.zone.to_string()
}

fn count(platform: &Platform, node: usize, event: StatusConnectionEvent) -> u64 {
    let node = platform.nodes().nth(node).expect("a node");
    node.context.metrics.status_connections.get(event)
}

fn wait_for_write(writer: &mut LineSession) {
    wait("a write is answered", || {
        writer.run("WRITE thing before").is_ok_and(|answer| answer.is_success())
    })
    .expect("in time");
}

/// Guards against writes that are refused as long as transactions use every connection of the node
/// to the only replica that lives: it was not queried, and only writes renewed the evidence.
#[test]
fn writes_are_answered_while_all_connections_to_the_replica_are_in_use() {
    let platform = start();
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let mut replicas = group.instances().into_iter().filter(|name| *name != primary);
    let (replica, dead) = (replicas.next().expect("one"), replicas.next().expect("another"));
    let zone = zone_of(&platform, &replica);
    let node = ZONES.iter().position(|name| *name == zone).expect("a node beside the replica");
    let mut writer = open(&platform, node, Consistency::Primary, "writer");
    wait_for_write(&mut writer);
    let mut transactions = Vec::new();
    wait("transactions at the replica are open", || {
        let name = format!("reader{}", transactions.len());
        let mut session = open(&platform, node, Consistency::Bounded, &name);
        let has_begun = session.run("BEGIN READ").is_ok_and(|answer| answer.is_success());
        let id = session.next_statement_id();
        let has_read = session.run("READ thing").is_ok_and(|answer| answer.is_success());
        let runs = group.executed_statements();
        if has_begun && has_read && runs.iter().any(|run| run.id == id && run.instance == replica) {
            transactions.push(session);
        }
        transactions.len() == TRANSACTIONS
    })
    .expect("in time");
    group.kill(&dead);
    for _ in 0..STATEMENTS {
        for _ in 0..READS_WITHIN_REST {
            std::thread::sleep(REST / READS_WITHIN_REST);
            for session in &mut transactions {
                let answer = session.run("READ thing").expect("an answer");
                assert!(answer.is_success(), "{:?}", answer.outcome);
            }
        }
        let answer = writer.run("WRITE thing after").expect("an answer");
        assert!(answer.is_success(), "{:?}", answer.outcome);
    }
    assert!(count(&platform, node, StatusConnectionEvent::Queried) > 0);
}

/// Guards against connections that are opened although the pools have idle ones, and against ones
/// that stay open when they are no longer needed.
#[test]
fn a_separate_connection_is_opened_only_without_an_idle_one_and_closed_when_it_is_not_used() {
    let platform = start();
    let group = &platform.groups[0];
    let mut writer = open(&platform, 0, Consistency::Primary, "writer");
    wait_for_write(&mut writer);
    let opened = count(&platform, 0, StatusConnectionEvent::Opened);
    for _ in 0..STATEMENTS {
        std::thread::sleep(REST);
        assert!(writer.run("READ thing").expect("an answer").is_success());
    }
    assert_eq!(count(&platform, 0, StatusConnectionEvent::Opened), opened);
    let primary = group.primary().expect("a primary");
    for leaving in group.instances().iter().filter(|name| **name != primary) {
        group.leave(leaving);
    }
    wait("reports of leaving replicas are queried", || {
        let is_answered = writer.run("READ thing").is_ok_and(|answer| answer.is_success());
        is_answered && count(&platform, 0, StatusConnectionEvent::Queried) > 0
    })
    .expect("in time");
    wait("the connections are closed", || {
        let closed = count(&platform, 0, StatusConnectionEvent::Closed);
        closed > 0 && closed == count(&platform, 0, StatusConnectionEvent::Opened)
    })
    .expect("in time");
}
