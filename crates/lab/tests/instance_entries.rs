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

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_lab::platform::caller::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};
use serde_json::{Value, json};

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
    LineSession::open(platform.callers[node], &database, name).expect("it opens")
}

/// An entry of an instance of the first group as it would be right, but for its name.
fn right_entry(platform: &Platform) -> Value {
    let primary = platform.groups[0].primary().expect("a primary");
    json!({
        "service": GROUPS[0],
        "address": platform.groups[0].address(&primary).expect("an address"),
        "zone": "casa-ain",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "coldRemainingMs": 0,
        "dbRole": "replica",
        "callSeq": 1,
    })
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
    platform.groups[0].start_again_as(&replica, "i-again");
    wait("the new instance is known", || {
        known_instances(&platform, GROUPS[0]).contains(&"i-again".to_owned())
    })
    .expect("in time");
    change_routes(&mut platform, "with two instances at one address");
    let mut writer = open(&platform, 0, Consistency::Primary, "w");
    assert!(writer.run("WRITE seat taken").expect("an answer").is_success());
    let mut reader = open(&platform, 0, Consistency::Session, "r");
    wait("the new instance serves", || {
        let answer = reader.run("READ seat").expect("an answer");
        assert!(answer.is_success(), "{answer:?}");
        platform.groups[0].runs().iter().any(|run| run.instance == "i-again")
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
        platform.groups[0].start_again_as(&primary, successor);
        wait(&format!("writes go on with {successor}"), || {
            let Ok(mut writer) = LineSession::open(
                platform.callers[1],
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
    let right = right_entry(&platform);
    let with = |field: &str, value: Value| {
        let mut entry = right.clone();
        entry[field] = value;
        entry
    };
    // Key, entry.
    let cases: Vec<(&str, Value)> = vec![
        ("i-same-address", right.clone()),
        ("I.Upper", right.clone()),
        ("i-port", with("address", json!("127.0.0.1:0"))),
        ("i-everywhere", with("address", json!("0.0.0.0:5432"))),
        ("i-host", with("address", json!("localhost:5432"))),
        ("i-zone", with("zone", json!("Casa Ain"))),
        ("i-no-zone", with("zone", json!(""))),
        ("i-slots-huge", with("slots", json!(4_000_000_000_u64))),
        ("i-slots-many", with("slots", json!(1_001))),
        ("i-slots-none", with("slots", json!(0))),
        ("i-slots-negative", with("slots", json!(-1))),
        ("i-state", with("state", json!("sleeping"))),
        ("i-role", with("dbRole", json!("witness"))),
        ("i-service", with("service", json!("none"))),
        ("i-type", with("service", json!(7))),
    ];
    for (name, entry) in &cases {
        platform.store.put(&format!("servers/{name}"), entry.to_string().as_bytes());
        change_routes(&mut platform, name);
    }
    for number in 0..20 {
        let entry = with("address", json!(format!("127.0.0.9:{}", 5_000 + number)));
        platform.store.put(&format!("servers/i-many-{number}"), entry.to_string().as_bytes());
    }
    change_routes(&mut platform, "with twenty instances");
    for broken in [&b"{"[..], b"", b"\xff\xfe", b"null", b"[]"] {
        platform.store.put("servers/i-bytes", broken);
        change_routes(&mut platform, "with bytes that cannot be read");
    }
    let known = known_instances(&platform, GROUPS[0]);
    for name in platform.groups[0].instances() {
        assert!(known.contains(&name), "{name} is known");
    }
    for (name, _) in cases.iter().filter(|(name, _)| *name != "i-same-address") {
        assert!(!known.contains(&(*name).to_owned()), "{name} is not used");
    }
    let catalog = platform.nodes().next().expect("a node").context.catalog.load();
    assert!(catalog.instance(&InstanceName::new("i-same-address")).is_some());
}
