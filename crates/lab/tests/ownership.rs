//! Ownership of instances as nodes come and go: who holds connections, and how many.

use std::path::Path;
use std::time::{Duration, Instant};

use kestrellock_daemon::policy::Policy;
use kestrellock_lab::logins::password_of;
use kestrellock_lab::scenario::definition::Scenario;
use kestrellock_lab::scenario::deployment::Cluster;
use postgres::{Client, Config, NoTls};

const SEED: u64 = 12;
const DATABASE: &str = "orders";
const TENANT: &str = "atlas";
const LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const WRITES: usize = 200;

fn start() -> (Cluster, Scenario) {
    let file =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios/rolling-restart.toml");
    let mut scenario = Scenario::load(&file).expect("the scenario is valid");
    scenario.deployment.deadline_ms = 20_000;
    let cluster = Cluster::start(&scenario, SEED, Policy::Standard).expect("the cluster starts");
    (cluster, scenario)
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let limit = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < limit, "not in time: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn connect(cluster: &Cluster, node: usize) -> Client {
    let address = cluster.nodes[node].address;
    let mut config = Config::new();
    config.host(&address.ip().to_string()).port(address.port());
    config.user(TENANT).dbname(DATABASE).password(password_of(TENANT));
    let limit = Instant::now() + LIMIT;
    loop {
        match config.connect(NoTls) {
            Ok(client) => return client,
            Err(error) => assert!(Instant::now() < limit, "node {node} refuses: {error}"),
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Connections that each instance of the database holds now, of all nodes together.
fn connections(cluster: &Cluster) -> Vec<usize> {
    let group = cluster.group(DATABASE);
    group.servers.instances.iter().map(|instance| instance.connections.count()).collect()
}

#[test]
fn connections_of_all_nodes_stay_within_the_limit_while_owners_change() {
    let (cluster, scenario) = start();
    let deployment = &scenario.deployment;
    let mut client = connect(&cluster, 0);
    client
        .simple_query("CREATE TABLE work (id BIGINT PRIMARY KEY, body TEXT)")
        .expect("the table is made");
    // Owner and standby keep their connections, and both may probe.
    let steady = deployment.slots as usize + 2;
    let settled = || connections(&cluster).iter().all(|count| *count >= steady);
    wait_until("owners and standbys are connected", settled);
    let mut most = 0;
    let mut id = 0;
    for node in [1, 2] {
        cluster.nodes[node].running().take().expect("it runs").kill();
        for _ in 0..WRITES {
            id += 1;
            // Work lost with a gateway is in doubt; what matters here is who holds connections.
            let _ = client.simple_query(&format!("INSERT INTO work VALUES ({id}, 'body')"));
            most = connections(&cluster).into_iter().fold(most, usize::max);
        }
        let statement = format!("INSERT INTO work VALUES ({}, 'last')", id + 1_000_000);
        client.simple_query(&statement).expect("the remaining nodes serve");
        cluster.start_node(node).expect("it starts again");
        connect(&cluster, node);
        wait_until("owners and standbys are connected again", settled);
    }
    let limit = deployment.connections as usize;
    assert!(most <= limit, "{most} connections at once, {limit} allowed");
    let probes = 2 * deployment.instances;
    wait_until("connections of former owners are closed", || {
        connections(&cluster).iter().all(|count| *count <= steady + probes)
    });
    cluster.stop();
}
