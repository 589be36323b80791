//! Entries of other writers under the prefixes that nodes read beside the instances': each stands for nobody.
//! One under the key of whoever replaces primaries had no lease, so it never ended, and nobody could replace a
//! primary any more; one among the nodes' was waited for by each replacement.

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, ZONES, database, wait};
use kestrellock_platform::nodes::NODES_PREFIX;
use kestrellock_platform::standin::foreign::{broken_node_entries, foreign_entries};
use kestrellock_platform::standin::odd_values::odd_values;

#[test]
fn entries_that_cannot_be_read_hold_neither_changes_nor_replacements_back() {
    let mut platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    for (_, value) in odd_values() {
        for (key, value) in foreign_entries(GROUPS[0], platform.store.era(), &value) {
            platform.store.put(&key, &value);
        }
    }
    for (number, (_, value)) in broken_node_entries(ZONES[0]).iter().enumerate() {
        platform.store.put(&format!("{NODES_PREFIX}odd-{number}"), value);
    }
    for (key, value) in foreign_entries(GROUPS[0], platform.store.era(), b"\xff{") {
        platform.store.put(&key, &value);
    }
    let gone = database(GROUPS[1], Consistency::Bounded);
    platform.configure(&[&gone]);
    wait("the change is in force", || {
        platform.nodes().all(|node| node.context.catalog.load().open_database(&gone).is_none())
    })
    .expect("in time");
    let listed = |platform: &Platform| {
        let counts = platform.nodes().map(|node| node.context.listed_nodes.load().len());
        counts.collect::<Vec<_>>()
    };
    assert_eq!(listed(&platform), [3, 3, 3], "the broken entries name no node");
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    group.kill(&primary);
    wait("another primary leads", || group.primary().is_some_and(|one| one != primary))
        .expect("in time");
    wait("writes go on", || {
        let database = database(GROUPS[0], Consistency::Primary);
        let session = LineSession::open(platform.client_addresses[0], &database, "w");
        session.is_ok_and(|mut session| {
            session.run("WRITE seat taken").is_ok_and(|answer| answer.is_success())
        })
    })
    .expect("in time");
}
