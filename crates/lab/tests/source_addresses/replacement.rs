//! Guards against connections from an address that belongs to no node: a node that lets the system
//! choose the address sends commands that an instance can attribute to nobody. Shown where several
//! nodes share a machine and each has an address of its own.

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::NodeName;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, node_address, wait};
use kestrellock_lab::standin::listener::Callers;

const NODES: usize = 3;
/// Long enough for a test to kill the node that has sent the promotion before it takes effect.
const PROMOTION_DELAY: Duration = Duration::from_millis(600);
const OUTAGE: Duration = Duration::from_millis(500);
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(200);

fn start() -> Platform {
    let options = PlatformOptions {
        nodes: NODES,
        own_addresses: true,
        promotion_delay: PROMOTION_DELAY,
        ..PlatformOptions::default()
    };
    let platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn write(platform: &Platform, node: usize) -> bool {
    let name = database(GROUPS[0], Consistency::Primary);
    let session = LineSession::open(platform.client_addresses[node], &name, "writer");
    session
        .and_then(|mut session| session.run("WRITE thing 1"))
        .is_ok_and(|answer| answer.is_success())
}

fn wait_for_writes(platform: &Platform, nodes: &[usize]) {
    for node in nodes {
        wait(&format!("node {node} serves writes"), || write(platform, *node)).expect("in time");
    }
}

fn wait_for_replacement(platform: &Platform, old: &str) {
    let group = &platform.groups[0];
    wait("another primary leads", || group.primary().is_some_and(|primary| primary != old))
        .expect("in time");
    wait("every replacement has ended", || {
        platform.nodes().all(|node| node.context.intents.load().is_empty())
    })
    .expect("in time");
}

/// Checks that somebody connected, and that only nodes did.
fn check(what: &str, callers: &Callers, failures: &mut Vec<String>) {
    let nodes: BTreeSet<IpAddr> = (0..NODES).map(node_address).collect();
    if callers.is_empty() || callers.keys().any(|caller| !nodes.contains(caller)) {
        failures.push(format!("{what}: {callers:?}"));
    }
}

fn check_all(platform: &Platform) {
    let mut failures = Vec::new();
    check("store", &platform.store.callers(), &mut failures);
    check("promotion service", &platform.promotions.callers(), &mut failures);
    for group in &platform.groups {
        for (instance, callers) in group.instances().iter().zip(group.callers()) {
            check(instance, &callers, &mut failures);
        }
    }
    assert!(failures.is_empty(), "connections from unknown addresses: {failures:#?}");
}

/// The number of the node that replaces the primary of a group.
fn acting_node(platform: &Platform) -> usize {
    let mut acting = None;
    wait("a promotion is called", || {
        acting = platform.promotions.arrivals().last().map(|(_, call)| call.coordinator.clone());
        acting.is_some()
    })
    .expect("in time");
    let acting = acting.expect("a node");
    acting.trim_start_matches("node-").parse().expect("a number")
}

/// Listens in place of a node until a connection ends that has sent nothing, as a probe for a
/// process does. Returns the addresses of all connections.
fn callers_until_probe(address: SocketAddr) -> Callers {
    let mut bound = None;
    wait("the address of the node is free", || {
        bound = TcpListener::bind(address).ok();
        bound.is_some()
    })
    .expect("in time");
    let listener = bound.expect("a listener");
    listener.set_nonblocking(true).expect("it does not block");
    let mut callers = Callers::new();
    wait("a process is probed for", || match listener.accept() {
        Ok((mut stream, caller)) => {
            *callers.entry(caller.ip()).or_default() += 1;
            stream.set_nonblocking(false).expect("it blocks");
            stream.set_read_timeout(Some(FIRST_BYTE_TIMEOUT)).expect("a timeout");
            matches!(stream.read(&mut [0]), Ok(0))
        }
        Err(error) => {
            assert_eq!(error.kind(), ErrorKind::WouldBlock, "{error}");
            false
        }
    })
    .expect("in time");
    callers
}

#[test]
fn replacements_a_store_outage_and_a_new_configuration_come_from_the_nodes_addresses() {
    let mut platform = start();
    wait_for_writes(&platform, &[0, 1, 2]);
    platform.configure(&[&database(GROUPS[1], Consistency::Bounded)]);
    platform.store.set_outage(true);
    std::thread::sleep(OUTAGE);
    platform.store.set_outage(false);
    wait_for_writes(&platform, &[0, 1, 2]);
    // The old primary goes on and has to be demoted.
    let leaving = platform.groups[0].primary().expect("a primary");
    platform.groups[0].leave(&leaving);
    wait_for_replacement(&platform, &leaving);
    wait_for_writes(&platform, &[0, 1, 2]);
    let killed = platform.groups[0].primary().expect("a primary");
    platform.groups[0].kill(&killed);
    wait_for_replacement(&platform, &killed);
    wait_for_writes(&platform, &[0, 1, 2]);
    check_all(&platform);
}

#[test]
fn probes_for_the_process_of_a_coordinator_come_from_the_nodes_addresses() {
    let mut platform = start();
    wait_for_writes(&platform, &[0, 1, 2]);
    let old = platform.groups[0].primary().expect("a primary");
    platform.groups[0].kill(&old);
    let acting = acting_node(&platform);
    let name = NodeName::new(format!("node-{acting}"));
    let address = platform.nodes().find_map(|node| node.context.peer_address(&name));
    platform.kill_node(acting);
    let callers = callers_until_probe(address.expect("the address of a live node"));
    let mut failures = Vec::new();
    check("probes", &callers, &mut failures);
    assert!(failures.is_empty(), "connections from unknown addresses: {failures:#?}");
    wait_for_replacement(&platform, &old);
    check_all(&platform);
}
