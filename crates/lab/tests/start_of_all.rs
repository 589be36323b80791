//! All nodes start again at once: who reads what from the store.

use kestrellock_core::catalog::Consistency;
use kestrellock_daemon::metrics::{ConfigurationEvent, ConnectionEvent};
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, ZONES, database, wait};

/// Five a zone, of which two follow the store.
const NODES: usize = 15;
const FOLLOWERS_OF_ZONE: usize = 2;

/// What happened: a node that had just started knew no other, took itself for a follower, and read all that the
/// store holds; 985 of them did so at once.
#[test]
fn nodes_that_start_together_get_the_configuration_from_two_of_their_zone() {
    let options = PlatformOptions { nodes: NODES, ..PlatformOptions::default() };
    let mut platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    (0..NODES).for_each(|number| platform.kill_node(number));
    for number in 0..NODES {
        platform.restart_node(number).expect("it starts again");
    }
    platform.wait_until_ready().expect("it is ready again");
    let pulled = |event| {
        let pulls = |node: &kestrellock_daemon::node::Node| {
            node.context.metrics.configuration.get(event) > 0
        };
        platform.nodes().filter(|node| pulls(node)).count()
    };
    let from_peers = pulled(ConfigurationEvent::Fetched);
    let followers = ZONES.len() * FOLLOWERS_OF_ZONE;
    println!("{from_peers} of {NODES} nodes have it from peers");
    assert!(from_peers >= NODES - followers, "{from_peers} of {NODES} nodes have it from peers");
}

/// Guards against nodes that cannot serve with the few connections that they may open right after a
/// restart of all: an owner needs them for evidence as well as for statements.
#[test]
fn nodes_that_start_together_serve_with_the_restart_part_of_their_shares() {
    let options =
        PlatformOptions { nodes: 6, tolerated_zone_losses: 1, ..PlatformOptions::default() };
    let mut platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    (0..6).for_each(|number| platform.kill_node(number));
    for number in 0..6 {
        platform.restart_node(number).expect("it starts again");
    }
    platform.wait_until_ready().expect("it is ready again");
    let database = database(GROUPS[0], Consistency::Session);
    for number in 0..6 {
        let address = platform.client_addresses[number];
        let name = format!("c-{number}");
        let mut session = LineSession::open(address, &database, &name).expect("it opens");
        for text in [format!("WRITE seat {number}"), "READ seat".to_owned()] {
            wait("the statement runs", || {
                session.run(&text).is_ok_and(|answer| answer.is_success())
            })
            .expect("in time");
        }
    }
    let refused = |node: &kestrellock_daemon::node::Node| {
        node.context.metrics.instance_connections.get(ConnectionEvent::Refused)
    };
    assert_eq!(platform.nodes().map(refused).sum::<u64>(), 0);
}
