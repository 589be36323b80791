//! Callers of a node that is stopped as planned, on the users' platform, where a notice ends a session.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::ZoneName;
use kestrellock_lab::platform::client::{LineSession, QUIET_TIME};
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};
use kestrellock_lab::standin::network::Network;

/// Time that bytes take between the caller and its node: as over a link that is full.
const WAY: Duration = Duration::from_millis(150);
const SEED: u64 = 1;
/// Longest time after which a node that leaves tells a session that its client does not use: the time over which a node
/// spreads this, and the one for which a session has to rest.
const NOTICE_LIMIT: Duration = Duration::from_millis(1_200);

/// What happened (hunt-f39c-3 of the grown Atlas): callers whose node was being stopped got their connection closed
/// instead of an answer. The node had begun to leave at 25.30 s; requests were sent between 25.21 and 25.43 s; the
/// connections were closed between 25.68 and 25.72 s, without a line in the node's log.
///
/// Cause: as soon as it left, the node ended every session that had asked before and had nothing under way, also one
/// that had got its last answer a moment before. Whatever was on its way to the node met the end of the stream, was read
/// and thrown away. A full link makes that time long: the end of the stream waits behind all else.
#[test]
fn a_request_that_is_on_its_way_when_its_node_begins_to_leave_is_answered() {
    let mut platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    let zone = ZoneName::new("callers");
    let network = Network::new(std::slice::from_ref(&zone), SEED).expect("a network");
    network.set_delay(&zone, &zone, WAY);
    let address = network.expose_tcp(&zone, platform.client_addresses[0]).expect("a relay");
    let database = database(GROUPS[0], Consistency::Primary);
    let mut caller = LineSession::open(address, &database, "caller").expect("it opens");
    assert!(caller.run("READ page").expect("an answer").is_success());
    let stopping = std::thread::spawn(move || platform.stop_node(0));
    let answer = caller.run("WRITE page 1").expect("an answer");
    assert!(answer.is_success(), "{answer:?}");
    let answered = Instant::now();
    caller.await_end_notice("BUSY").expect("the session ends behind the answer");
    assert!(answered.elapsed() < WAY + QUIET_TIME, "it ends right behind the answer");
    drop(caller);
    stopping.join().expect("it stops");
}

/// Guards against a session without requests that outlasts its node, and against one that the node closes
/// before its client: a request that is on its way at that moment would get neither an answer nor a refusal.
#[test]
fn a_session_that_rests_is_told_that_it_ends_when_its_node_begins_to_leave() {
    let mut platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    let database = database(GROUPS[0], Consistency::Primary);
    let mut caller =
        LineSession::open(platform.client_addresses[0], &database, "caller").expect("it opens");
    assert!(caller.run("READ page").expect("an answer").is_success());
    let context = platform.nodes().next().expect("a node").context.clone();
    let stopping = std::thread::spawn(move || platform.stop_node(0));
    wait("the node leaves", || context.is_leaving()).expect("in time");
    let left = Instant::now();
    caller.await_end_notice("BUSY").expect("it is told to go elsewhere, and nothing else");
    assert!(left.elapsed() < NOTICE_LIMIT + QUIET_TIME, "told after {:?}", left.elapsed());
    assert!(!stopping.is_finished(), "the node waits for its client");
    drop(caller);
    stopping.join().expect("it stops");
}
