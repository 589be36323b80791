//! What an isolated node does with statements on the users' platform, where owners of groups choose
//! the instances. The state of isolation is set by hand.
//!
//! Guards against statements that wait for evidence which cannot arrive before they are refused.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::{GroupName, InstanceName, ZoneName};
use kestrellock_daemon::context::NodeContext;
use kestrellock_daemon::shared::isolation::IsolationState;
use kestrellock_lab::platform::client::{LineSession, QUIET_TIME};
use kestrellock_lab::platform::judged::JudgedPlatform;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, ZONES, database};

/// Time since the isolation was found, after which sessions are closed.
const LONG: Duration = Duration::from_secs(3);

fn start() -> JudgedPlatform {
    let platform = JudgedPlatform(Platform::start(PlatformOptions::default()).expect("it starts"));
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn open(platform: &Platform, consistency: Consistency, name: &str) -> LineSession {
    let database = database(GROUPS[0], consistency);
    platform.open_session(0, &database, name).expect("it opens")
}

/// Makes the first node isolated, with its own zone as the reached part.
fn isolate(context: &NodeContext, found_ago: Duration) {
    let since = Instant::now().checked_sub(found_ago).expect("the machine has run for longer");
    let reached_zones = BTreeSet::from([ZoneName::new(ZONES[0])]);
    context.isolation.publish(Some(IsolationState { since, reached_zones }));
}

fn first(platform: &Platform) -> &NodeContext {
    &platform.nodes().next().expect("a node").context
}

#[test]
fn writes_and_reads_at_the_primary_are_refused_without_having_run() {
    let platform = start();
    let mut session = open(&platform, Consistency::Primary, "s");
    assert!(session.run("WRITE page 1").expect("an answer").is_success());
    isolate(first(&platform), Duration::ZERO);
    for statement in ["WRITE page 2", "READ page"] {
        let id = session.next_statement_id();
        let answer = session.run(statement).expect("an answer");
        let (_, text) = answer.outcome.expect_err("it is refused");
        assert!(text.contains("isolated"), "{statement}: {text}");
        let runs = platform.groups[0].executed_statements();
        assert!(runs.iter().all(|run| run.id != id), "{statement} has not run");
    }
    first(&platform).isolation.publish(None);
    assert!(session.run("WRITE page 3").expect("an answer").is_success());
}

#[test]
fn reads_that_are_still_proven_fresh_run_at_the_instance_that_is_reached() {
    let platform = start();
    let mut writer = open(&platform, Consistency::Primary, "w");
    let mut reader = open(&platform, Consistency::Bounded, "r");
    // Evidence expires after a second, so the read follows directly.
    let mut served = 0;
    for _ in 0..10 {
        assert!(writer.run("WRITE page 1").expect("an answer").is_success());
        assert!(reader.run("READ page").expect("an answer").is_success());
        isolate(first(&platform), Duration::ZERO);
        let id = reader.next_statement_id();
        let answer = reader.run("READ page").expect("an answer");
        first(&platform).isolation.publish(None);
        if !answer.is_success() {
            continue;
        }
        let runs = platform.groups[0].executed_statements();
        let run = runs.iter().find(|run| run.id == id).expect("it ran");
        let catalog = first(&platform).catalog.load();
        let (_, instance) = catalog.instance(&InstanceName::new(&run.instance)).expect("known");
        assert_eq!(instance.zone.as_str(), ZONES[0], "only this zone is reached");
        served += 1;
    }
    assert!(served > 0, "reads within their staleness are served");
}

#[test]
fn an_open_transaction_commits_before_its_session_is_closed() {
    let platform = start();
    let mut session = open(&platform, Consistency::Primary, "t");
    assert!(session.run("BEGIN").expect("an answer").is_success());
    assert!(session.run("WRITE page 1").expect("an answer").is_success());
    isolate(first(&platform), LONG);
    assert!(session.run("COMMIT").expect("an answer").is_success());
    let answered = Instant::now();
    session.await_end_notice("BUSY").expect("the session ends behind the answer");
    assert!(answered.elapsed() < 2 * QUIET_TIME, "it ends right behind the answer");
}

/// A transaction whose owner is behind the partition is reported as lost at once, and never
/// commits.
#[test]
fn an_open_transaction_at_an_owner_that_is_not_reached_is_lost() {
    let options = PlatformOptions { nodes: 6, max_connections: 16, ..PlatformOptions::default() };
    let platform = JudgedPlatform(Platform::start(options).expect("it starts"));
    platform.wait_until_ready().expect("it is ready");
    let group = GroupName::new(GROUPS[0]);
    let node = platform.nodes().position(|node| !node.context.owns(&group)).expect("three own it");
    let context = &platform.nodes().nth(node).expect("a node").context;
    let database = database(GROUPS[0], Consistency::Primary);
    let mut session = platform.open_session(node, &database, "t").expect("it opens");
    assert!(session.run("BEGIN").expect("an answer").is_success());
    assert!(session.run("WRITE page lost").expect("an answer").is_success());
    context
        .isolation
        .publish(Some(IsolationState { since: Instant::now(), reached_zones: BTreeSet::new() }));
    let answer = session.run("COMMIT").expect("an answer");
    assert_eq!(answer.error_code(), Some("ABORTED"), "{answer:?}");
    context.isolation.publish(None);
    let answer = session.run("READ page").expect("an answer");
    assert!(answer.is_success(), "{answer:?}");
    assert_ne!(answer.rows, ["lost"], "it has not committed");
}

#[test]
fn sessions_end_behind_an_answer_once_load_balancers_know_and_not_before() {
    let platform = start();
    let mut session = open(&platform, Consistency::Primary, "s");
    assert!(session.run("WRITE page 1").expect("an answer").is_success());
    // As if the isolation began later, so that a slow run does not reach the time of the close.
    let state = IsolationState { since: Instant::now() + LONG, reached_zones: BTreeSet::new() };
    first(&platform).isolation.publish(Some(state));
    for _ in 0..3 {
        assert!(!session.run("WRITE page 2").expect("an answer").is_success());
    }
    isolate(first(&platform), LONG);
    assert!(!session.run("WRITE page 3").expect("an answer").is_success());
    let answered = Instant::now();
    session.await_end_notice("BUSY").expect("the session ends behind the answer");
    assert!(answered.elapsed() < 2 * QUIET_TIME, "it ends right behind the answer");
    first(&platform).isolation.publish(None);
    let mut session = open(&platform, Consistency::Primary, "n");
    assert!(session.run("WRITE page 4").expect("an answer").is_success());
}
