//! Configuration reaches every node, with few requests to the store, and without it.

mod cluster;

use std::time::{Duration, Instant};

use cluster::Cluster;
use kestrellock_core::catalog::Revision;
use kestrellock_core::ids::TemplateName;
use kestrellock_daemon::metrics::{ConfigurationEvent, StoreResult};
use kestrellock_daemon::node::Node;
use kestrellock_daemon::shared::stage::Stage;
use kestrellock_lab::standin::store::PlatformStore;

const ZONES: usize = 3;
const NODES: usize = 12;
/// Two a zone.
const FOLLOWERS: usize = 6;
const OUTAGE: Duration = Duration::from_secs(8);

fn zones() -> Vec<String> {
    (0..NODES).map(|number| format!("zone-{}", number % ZONES)).collect()
}

fn start(test: &str) -> (PlatformStore, Cluster, String) {
    let store = PlatformStore::start().expect("a store");
    let zones = zones();
    let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
    let cluster = Cluster::start(test, &store, &zones);
    let path = format!("{}/../../examples/catalog-lagos.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the example is there");
    let file = cluster.files.write("catalog.toml", &text.replace("\"10.", "\"127."));
    cluster.ctl(0, &["config", "apply", &file, "--wait"]).done();
    (store, cluster, file)
}

fn requests(node: &Node) -> u64 {
    let store = &node.context.metrics.store;
    let results = [
        StoreResult::Answered,
        StoreResult::Unreachable,
        StoreResult::Unanswered,
        StoreResult::RateLimited,
        StoreResult::Protocol,
    ];
    results.into_iter().map(|result| store.get(result)).sum()
}

#[test]
fn the_store_s_return_brings_no_rush_and_the_next_change_reaches_every_node() {
    let (store, cluster, file) = start("return");
    let asked = |cluster: &Cluster| cluster.nodes.iter().map(requests).collect::<Vec<u64>>();
    let before = asked(&cluster);
    store.set_outage(true);
    std::thread::sleep(OUTAGE);
    let counted = store.counters();
    store.set_outage(false);
    let returned = Instant::now();
    let text = std::fs::read_to_string(&file).expect("the file");
    let changed = cluster.files.write("c.toml", &text.replacen("capacity = 3", "capacity = 7", 1));
    cluster.ctl(1, &["template", "apply", &changed]).done();
    let name = TemplateName::new("resale");
    cluster
        .wait_for("the change", |node| node.context.catalog.load().templates[&name].capacity == 7);
    let took = returned.elapsed();
    let after = asked(&cluster);
    let made: Vec<u64> = after.iter().zip(&before).map(|(after, before)| after - before).collect();
    let askers = made.iter().filter(|made| **made > 0).count();
    let arrived = store.counters().requests - counted.requests;
    println!("in force everywhere {took:?} after the return; {arrived} requests arrived; {made:?}");
    // The followers, and the node that took the change.
    assert!(askers <= FOLLOWERS + 1, "{made:?}");
    // Each follower opens a watch and reads once or twice; the change itself takes a few.
    assert!(arrived <= 8 * FOLLOWERS as u64, "{arrived} requests after the return");
    assert!(made.iter().all(|made| *made <= 40), "backoff during the outage: {made:?}");
    cluster.stop();
}

#[test]
fn a_node_that_boots_while_the_store_is_down_takes_the_newest_from_its_peers() {
    let (store, mut cluster, _) = start("boot");
    let revision = cluster.nodes[0].context.catalog.load().revision;
    assert!(revision > Revision::default());
    store.set_outage(true);
    cluster.restart(NODES - 1);
    cluster.wait_for("the configuration", |node| node.context.catalog.load().revision == revision);
    let told = cluster.ctl(NODES - 1, &["tenant", "list"]).done();
    assert!(told.contains("the store does not answer") && told.contains("gidanmu"), "{told}");
    cluster.stop();
}

#[test]
fn nodes_that_are_being_stopped_ask_nobody_to_take_the_configuration_from_them() {
    /// All but one node of each zone.
    const STOPPING: usize = NODES - ZONES;
    let (_store, cluster, file) = start("stopping");
    let announced = |cluster: &Cluster| -> Vec<u64> {
        let stopping = cluster.nodes.iter().take(STOPPING);
        let announced =
            |node: &Node| node.context.metrics.configuration.get(ConfigurationEvent::Announced);
        stopping.map(announced).collect()
    };
    for node in cluster.nodes.iter().take(STOPPING) {
        node.context.stage.advance_to(Stage::Notice);
    }
    let before = announced(&cluster);
    let text = std::fs::read_to_string(&file).expect("the file");
    let changed = cluster.files.write("c.toml", &text.replacen("capacity = 3", "capacity = 7", 1));
    cluster.ctl(STOPPING, &["template", "apply", &changed]).done();
    let name = TemplateName::new("resale");
    cluster
        .wait_for("the change", |node| node.context.catalog.load().templates[&name].capacity == 7);
    assert_eq!(announced(&cluster), before);
    cluster.stop();
}
