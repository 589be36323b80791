//! Zones that operators drain: their instances get nothing more, primaries there are replaced without losing
//! anything, and what only such an instance could run is refused at once.

use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::InstanceName;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::judged::JudgedPlatform;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, ZONES, database, wait};
use kestrellock_lab::standin::instances::InstanceGroup;
use kestrellock_platform::configuration::DRAINS_PREFIX;

/// Longest time for which anything may reach a drained zone.
const LIMIT: Duration = Duration::from_secs(2);

fn start() -> JudgedPlatform {
    let options = PlatformOptions {
        zone_drain_limit: Some(LIMIT),
        own_addresses: true,
        ..PlatformOptions::default()
    };
    let platform = JudgedPlatform(Platform::start(options).expect("it starts"));
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn drain(platform: &Platform, zone: &str) {
    platform.store.put(&format!("{DRAINS_PREFIX}{zone}"), b"{}");
    wait("the drain is in force", || drained_everywhere(platform, zone)).expect("in time");
}

fn take_back(platform: &Platform, zone: &str) {
    platform.store.remove(&format!("{DRAINS_PREFIX}{zone}"));
    wait("the drain is over", || !drained_anywhere(platform, zone)).expect("in time");
}

fn is_drained(node: &kestrellock_daemon::node::Node, zone: &str) -> bool {
    node.context.catalog.load().drained_zones().iter().any(|drained| drained.as_str() == zone)
}

fn drained_everywhere(platform: &Platform, zone: &str) -> bool {
    platform.nodes().all(|node| is_drained(node, zone))
}

fn drained_anywhere(platform: &Platform, zone: &str) -> bool {
    platform.nodes().any(|node| is_drained(node, zone))
}

fn zone_of(platform: &Platform, instance: &str) -> String {
    let node = platform.nodes().next().expect("a node");
    let catalog = node.context.catalog.load();
    let (_, instance) = catalog.instance(&InstanceName::new(instance)).expect("it is told");
    instance.zone.to_string()
}

/// Statements that an instance has run so far.
fn runs_at(group: &InstanceGroup, instance: &str) -> usize {
    group.executed_statements().iter().filter(|run| run.instance == instance).count()
}

fn open(platform: &Platform, node: usize, consistency: Consistency, name: &str) -> LineSession {
    let database = database(GROUPS[0], consistency);
    platform.open_session(node, &database, name).expect("it opens")
}

#[test]
fn a_primary_in_a_drained_zone_is_replaced_and_gets_nothing_more() {
    let platform = start();
    let group = &platform.groups[0];
    let old = group.primary().expect("a primary");
    let mut writer = open(&platform, 0, Consistency::Primary, "w");
    let kept = writer.next_statement_id();
    assert!(writer.run(&format!("WRITE before {kept}")).expect("an answer").is_success());
    drain(&platform, &zone_of(&platform, &old));
    wait("another primary leads", || group.primary().is_some_and(|one| one != old))
        .expect("in time");
    let ran_before = runs_at(group, &old);
    for number in 0..20 {
        let answer = writer.run(&format!("WRITE after{number} x")).expect("an answer");
        assert!(answer.is_success(), "{answer:?}");
        let mut reader = open(&platform, number % 3, Consistency::Bounded, &format!("r{number}"));
        assert!(reader.run("READ before").expect("an answer").is_success());
    }
    assert_eq!(runs_at(group, &old), ran_before, "it got something more");
    let mut reader = open(&platform, 1, Consistency::Primary, "late");
    assert_eq!(reader.run("READ before").expect("an answer").rows, [kept]);
}

#[test]
fn an_open_transaction_in_a_drained_zone_is_rolled_back_at_the_end_of_its_time() {
    let platform = start();
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let home = zone_of(&platform, &primary);
    // Only a replica stands there, so that nothing but the drain ends the transaction.
    let zone = ZONES.into_iter().find(|zone| *zone != home).expect("another zone");
    let named = |name: &String| zone_of(&platform, name) == zone;
    let replica = group.instances().into_iter().find(named).expect("a replica there");
    let mut sessions = Vec::new();
    for number in 0..60 {
        let mut session = open(&platform, number % 3, Consistency::Bounded, &format!("t{number}"));
        assert!(session.run("BEGIN READ").expect("an answer").is_success());
        let id = session.next_statement_id();
        assert!(session.run("READ x").expect("an answer").is_success());
        if group.executed_statements().iter().any(|run| run.id == id && run.instance == replica) {
            sessions.push(session);
            break;
        }
    }
    let mut session = sessions.pop().expect("a transaction at the replica");
    drain(&platform, zone);
    let mut word = None;
    wait("the transaction is over", || {
        let answer = session.run("READ x").expect("an answer");
        word = answer.error_code().map(str::to_owned);
        word.is_some()
    })
    .expect("in time");
    assert_eq!(word.as_deref(), Some("ABORTED"), "nothing of it is kept, and that is said");
}

#[test]
fn what_no_zone_can_serve_is_refused_at_once_and_served_once_one_is_taken_back() {
    let platform = start();
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let home = zone_of(&platform, &primary);
    ZONES.iter().for_each(|zone| drain(&platform, zone));
    let refused_before = group.executed_statements().len();
    let mut writer = open(&platform, 0, Consistency::Primary, "w");
    let answer = writer.run("WRITE x y").expect("an answer");
    let Err((word, text)) = &answer.outcome else { panic!("{answer:?}") };
    assert_eq!(word, "BUSY", "{text}");
    assert!(text.contains("KL1302"), "{text}");
    assert_eq!(group.executed_statements().len(), refused_before, "it has run");
    assert!(platform.promotions.calls().is_empty(), "promoted from one drained zone into another");
    take_back(&platform, &home);
    wait("it is served", || writer.run("WRITE x y").is_ok_and(|answer| answer.is_success()))
        .expect("in time");
    assert_eq!(group.primary().as_deref(), Some(primary.as_str()));
}
