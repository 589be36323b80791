//! Nodes of a zone that is cut off, with real connections over the simulated network.
//!
//! Guards against nodes that stay ready behind a network partition: load balancers keep sending
//! them clients, whose statements wait for nearly half of their time before they are refused.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use kestrellock_daemon::context::NodeContext;
use kestrellock_daemon::metrics::IsolationEvent;
use kestrellock_daemon::policy::Policy;
use kestrellock_lab::scenario::caller::connection::{Connection, Endpoint};
use kestrellock_lab::scenario::definition::Scenario;
use kestrellock_lab::scenario::deployment::Cluster;

const SEED: u64 = 1;
const LIMIT: Duration = Duration::from_secs(30);
const INTERVAL: Duration = Duration::from_millis(10);
const NODES: usize = 8;
const NODES_PER_ZONE: usize = 2;
/// The zone that is cut off, not the one with the first node.
const CUT_ZONE: usize = 2;

fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {LIMIT:?}: {what}");
        std::thread::sleep(INTERVAL);
    }
}

fn start(tolerated_zone_losses: u32) -> Cluster {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios");
    let mut scenario = Scenario::load(&directory.join("zone-isolated.toml")).expect("valid");
    scenario.deployment.tolerated_zone_losses = tolerated_zone_losses;
    let cluster = Cluster::start(&scenario, SEED, Policy::Standard).expect("it starts");
    wait("every node knows all others", || {
        (0..NODES).all(|node| inspect(&cluster, node, |context| context.live.load().len() == NODES))
    });
    cluster
}

fn inspect<T>(cluster: &Cluster, node: usize, look: impl Fn(&NodeContext) -> T) -> T {
    look(&cluster.nodes[node].running().as_ref().expect("the node runs").context)
}

fn is_isolated(cluster: &Cluster, node: usize) -> bool {
    inspect(cluster, node, |context| context.isolation.is_isolated())
}

fn in_cut_zone(node: usize) -> bool {
    node / NODES_PER_ZONE == CUT_ZONE
}

/// Opens a session at a node, from the node's zone.
fn connect(cluster: &Cluster, node: usize) -> Connection {
    let endpoint = Endpoint {
        address: cluster.nodes[node].address,
        from: Some(cluster.caller_address(cluster.nodes[node].zone)),
        user: "atlas".to_owned(),
        database: "tickets".to_owned(),
    };
    let deadline = Instant::now() + LIMIT;
    loop {
        match Connection::connect(&endpoint, None, LIMIT) {
            Ok(connection) => return connection,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        std::thread::sleep(INTERVAL);
    }
}

/// The text of an error answer, or an empty text on success.
fn run(connection: &mut Connection, statement: &str) -> String {
    let reply = connection.query(statement, Instant::now() + LIMIT).expect("an answer");
    reply.error.map(|error| error.message).unwrap_or_default()
}

/// The answer of a node to `/readyz`.
fn readiness(cluster: &Cluster, node: usize) -> String {
    let address: SocketAddr =
        inspect(cluster, node, |context| context.membership.members.load()[0].admin_address);
    let mut stream = TcpStream::connect(address).expect("the admin port is open");
    stream.write_all(b"GET /readyz HTTP/1.0\r\n\r\n").expect("it is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Cuts the zone off and waits for its nodes. The time is printed and not judged.
fn isolate(cluster: &Cluster) {
    let start = Instant::now();
    cluster.network.cut_zone(&cluster.zones[CUT_ZONE]);
    wait("the nodes of the zone are isolated", || {
        (0..NODES).filter(|node| in_cut_zone(*node)).all(|node| is_isolated(cluster, node))
    });
    println!("isolated after {:?}", start.elapsed());
}

#[test]
fn isolated_nodes_refuse_at_once_close_sessions_and_serve_again_after_the_partition() {
    let cluster = start(1);
    let node = CUT_ZONE * NODES_PER_ZONE;
    let mut session = connect(&cluster, node);
    wait("the node serves", || run(&mut session, "SELECT 1").is_empty());
    wait("the node is ready", || readiness(&cluster, node).contains("200 OK"));
    isolate(&cluster);
    let answer = readiness(&cluster, node);
    assert!(answer.contains(" 503 ") && answer.contains("isolated"), "{answer}");
    let mut fresh = connect(&cluster, node);
    let refusal = run(&mut fresh, "UPDATE registers SET value = 1 WHERE id = 1");
    assert!(refusal.starts_with("KL1302 not run") && refusal.contains("isolated"), "{refusal}");
    wait("the idle session is closed", || session.is_closed());
    (0..NODES).filter(|node| !in_cut_zone(*node)).for_each(|node| {
        let isolations = inspect(&cluster, node, |context| {
            context.metrics.isolation.get(IsolationEvent::Isolated)
        });
        assert_eq!(isolations, 0, "node {node} reaches most of the others");
    });
    cluster.network.heal_zone(&cluster.zones[CUT_ZONE]);
    wait("the isolation ends", || (0..NODES).all(|node| !is_isolated(&cluster, node)));
    wait("the node is ready", || readiness(&cluster, node).contains("200 OK"));
    let mut session = connect(&cluster, node);
    wait("the node serves", || run(&mut session, "SELECT 1").is_empty());
    cluster.stop();
}

/// A node behind a partition in one direction still receives or still sends, but gets no answers.
#[test]
fn a_partition_in_one_direction_isolates_the_nodes_of_the_zone_and_no_others() {
    for outgoing in [true, false] {
        let cluster = start(1);
        let cut = &cluster.zones[CUT_ZONE];
        let others = cluster.zones.iter().filter(|zone| *zone != cut);
        others.for_each(|other| match outgoing {
            true => cluster.network.cut_one_way(cut, other),
            false => cluster.network.cut_one_way(other, cut),
        });
        wait("the nodes of the zone are isolated", || {
            (0..NODES).filter(|node| in_cut_zone(*node)).all(|node| is_isolated(&cluster, node))
        });
        for node in (0..NODES).filter(|node| !in_cut_zone(*node)) {
            assert!(!is_isolated(&cluster, node), "node {node}, outgoing {outgoing}");
        }
        cluster.stop();
    }
}

#[test]
fn without_the_setting_a_node_behind_a_network_partition_stays_ready() {
    let cluster = start(0);
    cluster.network.cut_zone(&cluster.zones[CUT_ZONE]);
    wait("the partition is noticed", || {
        inspect(&cluster, CUT_ZONE * NODES_PER_ZONE, |context| {
            context.live.load().len() == NODES_PER_ZONE
        })
    });
    assert!((0..NODES).all(|node| !is_isolated(&cluster, node)));
    let answer = readiness(&cluster, CUT_ZONE * NODES_PER_ZONE);
    assert!(answer.contains("200 OK"), "{answer}");
    cluster.stop();
}
