//! Membership of running nodes: join, death, pause, leave, and foreign senders.

mod support;

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::metrics::MessageEvent;
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::{PeerSettings, Settings};
use kestrellock_daemon::shared::stage::Stage;
use kestrellock_program::secret::Secret;
use kestrellock_store::store::ConfigStore;

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {what}");
        std::thread::sleep(CHECK_INTERVAL);
    }
}

fn store() -> Arc<dyn ConfigStore> {
    let group = support::scripted::ScriptedGroup::start();
    support::store(&group, WAIT_TIMEOUT)
}

fn seed(settings: &Settings) -> PeerSettings {
    PeerSettings {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        address: settings.peer_address,
    }
}

/// Starts a node that joins through `seeds`.
fn start(
    name: &str,
    seeds: &[PeerSettings],
    customize: impl FnOnce(&mut Settings),
) -> (Node, Settings) {
    let mut settings = Settings::loopback(NodeName::new(name), ZoneName::new("zone"));
    customize(&mut settings);
    settings.peers = seeds.to_vec();
    let listeners = Listeners::bind(&mut settings).expect("free ports");
    let node = Node::start(&settings, listeners, store(), Policy::Standard).expect("it starts");
    (node, settings)
}

/// Whether the live nodes that `node` knows are exactly `names`.
fn live_nodes_are(node: &Node, names: &[&str]) -> bool {
    let live = node.context.live.load();
    let mut known: Vec<&str> = live.iter().map(|peer| peer.candidate.node.as_str()).collect();
    known.sort_unstable();
    known == names
}

/// Starts three nodes. The second and third have only the first as a seed.
fn start_three() -> (Vec<Node>, Vec<Settings>) {
    let (first, settings) = start("a", &[], |_| {});
    let seeds = [seed(&settings)];
    let (second, second_settings) = start("b", &seeds, |_| {});
    let (third, third_settings) = start("c", &seeds, |_| {});
    (vec![first, second, third], vec![settings, second_settings, third_settings])
}

#[test]
fn nodes_join_through_one_seed_and_detect_a_death() {
    let (mut nodes, _) = start_three();
    wait_until("every node knows all others", || {
        nodes.iter().all(|node| live_nodes_are(node, &["a", "b", "c"]))
    });
    nodes.remove(0).kill();
    wait_until("the death is known", || nodes.iter().all(|node| live_nodes_are(node, &["b", "c"])));
    nodes.into_iter().for_each(Node::kill);
}

#[test]
fn a_paused_node_is_removed_and_rejoins_with_the_same_incarnation() {
    let (nodes, _) = start_three();
    wait_until("every node knows all others", || {
        nodes.iter().all(|node| live_nodes_are(node, &["a", "b", "c"]))
    });
    nodes[2].set_paused(true);
    wait_until("it is removed", || nodes[..2].iter().all(|node| live_nodes_are(node, &["a", "b"])));
    nodes[2].set_paused(false);
    wait_until("it has rejoined", || {
        nodes.iter().all(|node| live_nodes_are(node, &["a", "b", "c"]))
    });
    let members = nodes[0].context.membership.members.load();
    let rejoined = members.iter().find(|member| member.node.as_str() == "c").expect("known");
    assert_eq!(rejoined.incarnation.process, nodes[2].context.identity.incarnation);
    nodes.into_iter().for_each(Node::kill);
}

#[test]
fn a_leaving_node_gets_no_new_work_and_a_restarted_node_has_a_new_incarnation() {
    let (mut nodes, mut settings) = start_three();
    wait_until("every node knows all others", || {
        nodes.iter().all(|node| live_nodes_are(node, &["a", "b", "c"]))
    });
    let first_incarnation = nodes[1].context.identity.incarnation;
    nodes[1].context.stage.advance_to(Stage::Leaving);
    wait_until("other nodes send it no work", || {
        let live = nodes[0].context.live.load();
        live.iter().any(|peer| peer.candidate.node.as_str() == "b" && !peer.accepts_work)
    });
    nodes.remove(1).kill();
    let deaths_before = nodes[0].context.membership.counters().deaths;
    wait_until("the others know that it has left", || {
        nodes.iter().all(|node| live_nodes_are(node, &["a", "c"]))
    });
    assert_eq!(nodes[0].context.membership.counters().deaths, deaths_before);
    let mut settings = settings.remove(1);
    let listeners = Listeners::bind(&mut settings).expect("its ports are free again");
    let restarted =
        Node::start(&settings, listeners, store(), Policy::Standard).expect("it starts");
    assert!(restarted.context.identity.incarnation > first_incarnation);
    wait_until("every node knows all others", || {
        nodes.iter().all(|node| live_nodes_are(node, &["a", "b", "c"]))
    });
    nodes.into_iter().chain([restarted]).for_each(Node::kill);
}

#[test]
fn datagrams_of_foreign_senders_are_refused_and_counted() {
    let (node, settings) = start("a", &[], |_| {});
    let seeds = [seed(&settings)];
    let (foreign_key, _) = start("b", &seeds, |settings| {
        settings.secrets.cluster_keys = vec![Secret::new("the key of another cluster")];
    });
    let (foreign_cluster, _) =
        start("c", &seeds, |settings| "other".clone_into(&mut settings.cluster));
    let noise = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    noise.send_to(b"noise", settings.peer_address).expect("it is sent");
    let refused = || node.context.metrics.datagrams.get(MessageEvent::Refused);
    wait_until("noise and foreign nodes are counted", || refused() >= 6);
    assert!(live_nodes_are(&node, &["a"]));
    wait_until("the node with another key runs alone", || live_nodes_are(&foreign_key, &["b"]));
    assert_eq!(foreign_cluster.context.metrics.datagrams.get(MessageEvent::Received), 0);
    [node, foreign_key, foreign_cluster].into_iter().for_each(Node::kill);
}
