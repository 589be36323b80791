//! All nodes start again at once: who reads what from the store.

use kestrellock_daemon::metrics::ConfigurationEvent;
use kestrellock_lab::platform::{Platform, PlatformOptions, ZONES};

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
