//! Odd entries that another program has written to the store, with nodes that are processes of
//! `kestrellockd`: entries nested by thousands of levels, numbers that no type holds, and addresses
//! without a usable port. They must neither end a process nor stop it from following the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::routing::Role;
use kestrellock_core::store_era::StoreEra;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{ZONES, wait};
use kestrellock_lab::processes::journal::Journal;
use kestrellock_lab::processes::link::LinkFault;
use kestrellock_lab::processes::node::NodeProcess;
use kestrellock_lab::processes::{GROUPS, ProcessPlatform, PromotionObserver, database_of};
use kestrellock_platform::nodes::NODES_PREFIX;
use kestrellock_platform::standin::entries::InstanceEntry;
use kestrellock_platform::standin::foreign::{
    broken_entries, broken_node_entries, foreign_entries, usable_odd_entries,
};
use kestrellock_platform::standin::odd_values::odd_values;

const NODES: usize = 3;
/// Odd entries that are written between two changes of the configuration.
const ENTRIES_PER_CHANGE: usize = 25;
/// Lines of a log that a failure shows.
const LOG_LINES_SHOWN: usize = 5;
/// Longest line of a log. A line that quotes a value of the store is up to a megabyte long.
const MAX_LOG_LINE_BYTES: usize = 4_096;
/// Lines of a log for each odd entry: one for the entry, and those of other events.
const MAX_LOG_LINES_PER_ENTRY: usize = 6;
/// Time in which every node has to have a change of the configuration active.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(9);

fn start(name: &str) -> ProcessPlatform {
    let links = (0..NODES).map(|_| LinkFault::Partition(Arc::default())).collect();
    let journal = Arc::new(Journal::default());
    let observer: Arc<PromotionObserver> = Arc::new(|_, _| {});
    let mut platform =
        ProcessPlatform::start(name, GROUPS.len(), links, journal, &observer).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn valid_entry(address: SocketAddr) -> InstanceEntry<'static> {
    InstanceEntry {
        name: "i-right",
        group: GROUPS[0],
        address,
        zone: ZONES[0],
        slots: 3,
        leaving: false,
        role: Role::Replica,
        incarnation: Some(1_790_000_000_000),
    }
}

fn odd_instances(platform: &ProcessPlatform) -> Vec<(String, Vec<u8>)> {
    let primary = platform.groups[0].primary().expect("a primary");
    let valid = valid_entry(platform.groups[0].address(&primary).expect("an address"));
    broken_entries(&valid).into_iter().map(|entry| (entry.key, entry.value)).collect()
}

fn odd_own_entries(era: StoreEra) -> Vec<(String, Vec<u8>)> {
    let nodes = broken_node_entries(ZONES[0]).into_iter().enumerate();
    let nodes = nodes.map(|(number, (_, value))| (format!("{NODES_PREFIX}odd-{number}"), value));
    let values = odd_values().into_iter();
    let others = values.flat_map(|(_, value)| foreign_entries(GROUPS[0], era, &value));
    nodes.chain(others).collect()
}

/// The last lines of a node's log.
fn log_end(node: &NodeProcess) -> String {
    let log = node.log();
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..].join("\n")
}

fn is_served(platform: &ProcessPlatform, node: usize, group: &str) -> bool {
    let address = platform.nodes[node].client_address;
    let session = LineSession::open(address, &database_of(group), "probe");
    session
        .and_then(|mut session| session.run("WRITE probe 1"))
        .is_ok_and(|answer| answer.is_success())
}

/// Fails the test, and keeps the logs if the environment asks for them.
fn fail(platform: &ProcessPlatform, node: usize, error: &miette::Report) -> ! {
    platform.keep_logs("odd-entries-failed").expect("the logs are kept");
    panic!("{error}: {}", log_end(&platform.nodes[node]))
}

/// The operator removes a route and adds it again; each node has both in force in time.
fn change_routes(platform: &mut ProcessPlatform, version: &mut u64, case: &str) {
    for routes in [1, GROUPS.len()] {
        *version += 1;
        platform.configure(*version, routes);
        let written = Instant::now();
        for node in 0..NODES {
            wait(&format!("version {version} is active on node {node}, {case}"), || {
                is_served(platform, node, GROUPS[1]) == (routes > 1)
            })
            .unwrap_or_else(|error| fail(platform, node, &error));
        }
        assert!(written.elapsed() < CHANGE_TIMEOUT, "{:?}, {case}", written.elapsed());
    }
    check_processes(platform, case);
}

fn check_processes(platform: &mut ProcessPlatform, case: &str) {
    for node in &mut platform.nodes {
        assert!(!node.has_ended().expect("its state"), "{} has ended, {case}", node.name);
        let log = node.log();
        assert!(!log.contains("panicked"), "a thread of {} panicked, {case}", node.name);
    }
}

fn check_logs(platform: &ProcessPlatform, entries: usize) {
    for node in &platform.nodes {
        let log = node.log();
        let longest = log.lines().map(str::len).max().unwrap_or_default();
        assert!(longest < MAX_LOG_LINE_BYTES, "{}: a line of {longest} bytes", node.name);
        let lines = log.lines().count();
        let limit = entries * MAX_LOG_LINES_PER_ENTRY;
        assert!(lines < limit, "{}: {lines} lines for {entries} entries", node.name);
    }
}

fn replace_primary(platform: &ProcessPlatform, case: &str) {
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    group.kill(&primary);
    wait(&format!("another primary leads, {case}"), || {
        group.primary().is_some_and(|one| one != primary)
    })
    .unwrap_or_else(|error| fail(platform, 0, &error));
    for node in 0..NODES {
        platform.wait_until_served(node).unwrap_or_else(|error| fail(platform, node, &error));
    }
    group.restart(&primary);
}

/// Writes `entries`, changing the configuration in between, and then replaces a primary and starts
/// all nodes again while the entries are there.
fn check_entries(name: &str, entries_of: impl Fn(&ProcessPlatform) -> Vec<(String, Vec<u8>)>) {
    let mut platform = start(name);
    let mut version = 1;
    let entries = entries_of(&platform);
    for (number, entries) in entries.chunks(ENTRIES_PER_CHANGE).enumerate() {
        for (key, value) in entries {
            platform.store.put(key, value);
        }
        change_routes(&mut platform, &mut version, &format!("part {number} of the odd entries"));
    }
    replace_primary(&platform, "the nodes have seen the entries being written");
    check_logs(&platform, entries.len());
    for node in &mut platform.nodes {
        node.kill();
        node.run().expect("it starts");
    }
    let ready = platform.wait_until_ready();
    ready.unwrap_or_else(|error| fail(&platform, 0, &error));
    change_routes(&mut platform, &mut version, "the nodes have found the entries at their start");
    replace_primary(&platform, "the nodes have found the entries at their start");
    check_logs(&platform, 2 * entries.len());
    platform.keep_logs(name).expect("the logs are kept");
}

#[test]
fn odd_entries_of_instances_end_no_process_and_hold_nothing_back() {
    check_entries("odd-instances", odd_instances);
}

/// These name instances, which nobody can reach. A replacement of their group's primary would wait
/// for them, as for instances that have crashed.
#[test]
fn entries_of_instances_with_odd_fields_end_no_process() {
    let mut platform = start("odd-fields");
    let primary = platform.groups[0].primary().expect("a primary");
    let address = platform.groups[0].address(&primary).expect("an address");
    for (key, value) in usable_odd_entries(&valid_entry(address)) {
        platform.store.put(&key, &value);
    }
    change_routes(&mut platform, &mut 1, "with entries that have odd fields");
    for node in &mut platform.nodes {
        node.kill();
        node.run().expect("it starts");
    }
    wait("the nodes are ready", || {
        platform.nodes.iter_mut().all(|node| node.is_ready().expect("it runs"))
    })
    .expect("in time");
    check_processes(&mut platform, "the nodes have found the entries at their start");
}

#[test]
fn odd_entries_among_the_own_keys_end_no_process_and_hold_nothing_back() {
    check_entries("odd-own-keys", |platform| odd_own_entries(platform.store.era()));
}
