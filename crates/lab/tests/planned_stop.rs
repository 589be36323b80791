//! Callers of a node that is stopped as planned, on the users' platform, where a session ends without a word.

use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::ZoneName;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};
use kestrellock_lab::standin::network::Network;

/// Time that bytes take between the caller and its node: as over a link that is full.
const WAY: Duration = Duration::from_millis(150);
const SEED: u64 = 1;

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
    assert_eq!(caller.next_message().expect("the end"), None, "it ends right behind the answer");
    stopping.join().expect("it stops");
}

/// A caller that has not asked for a while is not about to ask: it hears at once that it is to go elsewhere.
#[test]
fn a_session_that_rests_ends_when_its_node_begins_to_leave() {
    let mut platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    let database = database(GROUPS[0], Consistency::Primary);
    let mut caller =
        LineSession::open(platform.client_addresses[0], &database, "caller").expect("it opens");
    assert!(caller.run("READ page").expect("an answer").is_success());
    let context = platform.nodes().next().expect("a node").context.clone();
    let stopping = std::thread::spawn(move || platform.stop_node(0));
    wait("the node leaves", || context.is_leaving()).expect("in time");
    assert_eq!(caller.next_message().expect("the end"), None, "closed without a word");
    stopping.join().expect("it stops");
}
