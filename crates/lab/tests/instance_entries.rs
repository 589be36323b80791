//! Instances crashed and started again at their addresses, so that for seconds two entries told one
//! address. Nodes refused the whole configuration for it, and with it every change that the operator made
//! meanwhile: routes that had been added were answered "no such database", for up to nine seconds, until the
//! old entry went. Six nodes that read the store said the same at the same moments:
//!
//! ```text
//! configuration revision 165 refused: groups.nyka83h.instances[3].address: already the address of i-3a895d21c5
//! ```
//!
//! Whatever an instance says of itself must concern that instance alone.

use std::net::SocketAddr;

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::routing::Role;
use kestrellock_daemon::metrics::ConfigurationEvent;
use kestrellock_daemon::node::Node;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, ZONES, database, wait};
use kestrellock_platform::standin::entries::InstanceEntry;
use kestrellock_platform::standin::foreign::broken_entries;

fn start() -> Platform {
    let platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    platform
}

/// The operator takes a route away and brings it back; every node has both in force.
fn change_routes(platform: &mut Platform, case: &str) {
    let gone = database(GROUPS[1], Consistency::Bounded);
    for (without, is_there) in [(vec![gone.as_str()], false), (Vec::new(), true)] {
        platform.configure(&without);
        wait(&format!("a change in force on every node, {case}"), || {
            let mut nodes = platform.nodes();
            nodes.all(|node| node.context.catalog.load().open_database(&gone).is_some() == is_there)
        })
        .expect("in time");
    }
}

/// Names of a group's instances that every node knows.
fn known_instances(platform: &Platform, group: &str) -> Vec<String> {
    let node = platform.nodes().next().expect("a node");
    let catalog = node.context.catalog.load();
    let group = &catalog.groups[&GroupName::new(group)];
    group.instances.iter().map(|instance| instance.name.to_string()).collect()
}

fn open(platform: &Platform, node: usize, consistency: Consistency, name: &str) -> LineSession {
    let database = database(GROUPS[0], consistency);
    LineSession::open(platform.client_addresses[node], &database, name).expect("it opens")
}

fn replica_zone(platform: &Platform, instance: &str) -> String {
    let node = platform.nodes().next().expect("a node");
    let catalog = node.context.catalog.load();
    let (_, instance) = catalog.instance(&InstanceName::new(instance)).expect("it is known");
    instance.zone.to_string()
}

#[test]
fn an_instance_that_starts_again_at_its_address_under_another_name_holds_no_change_back() {
    let mut platform = start();
    let primary = platform.groups[0].primary().expect("a primary");
    let replica = platform.groups[0]
        .instances()
        .into_iter()
        .find(|instance| *instance != primary)
        .expect("a replica");
    platform.groups[0].kill(&replica);
    platform.groups[0].restart_as(&replica, "i-again");
    wait("the new instance is known", || {
        known_instances(&platform, GROUPS[0]).contains(&"i-again".to_owned())
    })
    .expect("in time");
    change_routes(&mut platform, "with two instances at one address");
    let mut writer = open(&platform, 0, Consistency::Primary, "w");
    assert!(writer.run("WRITE seat taken").expect("an answer").is_success());
    // The node of the replica's zone reads there.
    let node = ZONES.iter().position(|zone| replica_zone(&platform, "i-again") == *zone);
    let mut reader = open(&platform, node.expect("a zone"), Consistency::Session, "r");
    wait("the new instance serves", || {
        let answer = reader.run("READ seat").expect("an answer");
        assert!(answer.is_success(), "{answer:?}");
        platform.groups[0].executed_statements().iter().any(|run| run.instance == "i-again")
    })
    .expect("in time");
}

#[test]
fn a_primary_that_starts_again_at_its_address_takes_writes_while_its_old_entry_stands() {
    for successor in ["i-a-before-the-old-name", "i-z-behind-the-old-name"] {
        let platform = start();
        let primary = platform.groups[0].primary().expect("a primary");
        let mut writer = open(&platform, 0, Consistency::Primary, "w");
        assert!(writer.run("WRITE seat free").expect("an answer").is_success());
        platform.groups[0].kill(&primary);
        platform.groups[0].restart_as(&primary, successor);
        wait(&format!("writes go on with {successor}"), || {
            let Ok(mut writer) = LineSession::open(
                platform.client_addresses[1],
                &database(GROUPS[0], Consistency::Primary),
                "v",
            ) else {
                return false;
            };
            writer.run("WRITE seat taken").is_ok_and(|answer| answer.is_success())
        })
        .expect("in time");
        let leads = platform.groups[0].primary().expect("a primary");
        assert!(platform.groups[0].log(&leads).len() >= 2, "the first write is kept");
    }
}

#[test]
fn what_one_entry_says_concerns_its_instance_alone() {
    let mut platform = start();
    let primary = platform.groups[0].primary().expect("a primary");
    let right = InstanceEntry {
        name: "i-right",
        group: GROUPS[0],
        address: platform.groups[0].address(&primary).expect("an address"),
        zone: ZONES[0],
        slots: 3,
        leaving: false,
        role: Role::Replica,
        incarnation: Some(1_790_000_000_000),
    };
    platform.store.put(&InstanceEntry::key("i-right"), &right.value());
    let broken = broken_entries(&right);
    for entry in &broken {
        platform.store.put(&entry.key, &entry.value);
    }
    change_routes(&mut platform, "with entries that name no instance");
    // One after the other as well, each as the newest that the store has. Each change makes all
    // nodes parse all entries, so the others are removed meanwhile.
    broken.iter().for_each(|entry| platform.store.remove(&entry.key));
    for entry in &broken {
        platform.store.put(&entry.key, &entry.value);
        change_routes(&mut platform, &entry.fault);
        platform.store.remove(&entry.key);
    }
    for entry in &broken {
        platform.store.put(&entry.key, &entry.value);
    }
    for number in 0..20 {
        let name = format!("i-many-{number}");
        let address = SocketAddr::from(([127, 0, 0, 9], 5_000 + number));
        let entry = InstanceEntry { name: &name, address, ..right.clone() };
        platform.store.put(&InstanceEntry::key(&name), &entry.value());
    }
    change_routes(&mut platform, "with twenty instances more");
    let known = known_instances(&platform, GROUPS[0]);
    for name in platform.groups[0].instances() {
        assert!(known.contains(&name), "{name} is known");
    }
    for entry in &broken {
        assert!(!known.contains(&entry.name), "{} is not used", entry.fault);
    }
    let used = known.len() - platform.groups[0].instances().len();
    assert_eq!(used, 21, "the right ones are known: {known:?}");
    let told = platform.nodes().map(|node| {
        let counters = &node.context.metrics.configuration;
        counters.get(ConfigurationEvent::LeftOut) + counters.get(ConfigurationEvent::Unreadable)
    });
    let told: u64 = told.max().expect("a node");
    assert!(told >= broken.len() as u64, "a node that reads the store counts each: {told}");
    let refused = |node: &Node| node.context.metrics.configuration.get(ConfigurationEvent::Refused);
    assert_eq!(platform.nodes().map(refused).sum::<u64>(), 0);
}

#[test]
fn a_replica_that_starts_again_with_nothing_serves_nothing_old_and_loses_nothing() {
    let platform = start();
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let replicas: Vec<String> =
        group.instances().into_iter().filter(|instance| *instance != primary).collect();
    let mut session = open(&platform, 1, Consistency::Session, "s");
    for round in 0..4 {
        let data = format!("taken-{round}");
        assert!(session.run(&format!("WRITE seat {data}")).expect("an answer").is_success());
        group.kill(&replicas[round % 2]);
        group.restart_empty(&replicas[round % 2]);
        for _ in 0..20 {
            let answer = session.run("READ seat").expect("an answer");
            // A read may be refused while an instance is away, never answered with less.
            assert!(!answer.is_success() || answer.rows == [data.as_str()], "{answer:?}");
        }
        wait("the instance has received everything again", || {
            group.log(&replicas[round % 2]) == group.log(&primary)
        })
        .expect("in time");
    }
    group.kill(&primary);
    wait("another primary leads", || group.primary().is_some_and(|one| one != primary))
        .expect("in time");
    let leads = group.primary().expect("a primary");
    assert_eq!(group.log(&leads).len(), 4, "every acknowledged write is kept");
}
