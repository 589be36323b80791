//! Counters that count what should not happen are looked at: refused configurations had been counted for many
//! landings before anybody saw one.

use kestrellock_daemon::node::Node;
use kestrellock_lab::fault_events::{FaultEvents, nonzero_fault_counters};
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, wait};
use kestrellock_platform::standin::entries::InstanceEntry;

fn moved(platform: &Platform) -> Vec<(&'static str, u64)> {
    platform.nodes().flat_map(|node| nonzero_fault_counters(&node.context.metrics)).collect()
}

/// On the code that refused configurations whole, `configurations refused` moves on every node that reads
/// the store.
#[test]
fn counters_rest_while_an_instance_starts_again_before_its_old_entry_has_lapsed() {
    let mut platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    assert_eq!(moved(&platform), []);
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let old = group.instances().into_iter().find(|one| *one != primary).expect("a replica");
    group.kill(&old);
    group.restart_as(&old, "i-again");
    platform.configure(&[]);
    wait("the new instance is known, or a counter moves", || {
        let is_known = |node: &Node| {
            let catalog = node.context.catalog.load();
            catalog.groups[GROUPS[0]].instances.iter().any(|one| one.name.as_str() == "i-again")
        };
        !moved(&platform).is_empty() || platform.nodes().all(is_known)
    })
    .expect("in time");
    assert_eq!(moved(&platform), []);
    platform.store.remove(&InstanceEntry::key(&old));
    platform.store.put(&InstanceEntry::key("i-broken"), b"{");
    wait("the broken entry is counted", || !moved(&platform).is_empty()).expect("in time");
    assert!(moved(&platform).iter().all(|(name, _)| *name == "configurations unreadable"));
}

#[test]
fn events_that_should_rest_are_told_with_who_and_when() {
    let mut unrest = FaultEvents::default();
    let line = |node: &str, second: u32, event: &str| {
        format!(
            "  1.0{second} {node} {{\"timestamp\":\"2026-01-01T00:00:0{second}Z\",\"level\":\"WARN\",\
             \"message\":\"m\",\"kvs\":{{\"event\":\"{event}\"}}}}"
        )
    };
    unrest.add_line(&line("front-b", 2, "peer_silent"), "x");
    unrest.add_line(&line("front-a", 1, "peer_silent"), "x");
    unrest.add_line(&line("front-a", 3, "answered"), "x");
    unrest.add_line(&line("front-a", 4, "entry_unreadable"), "x");
    unrest.add_line("no line of a log that tells of peer_silent", "x");
    let told = unrest.report(&["entry_unreadable".to_owned()]);
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].starts_with(
        "peer_silent: 2 times on 2 nodes from 2026-01-01T00:00:01Z to 2026-01-01T00:00:02Z"
    ));
    assert_eq!(unrest.report(&[]).len(), 2);
    assert!(FaultEvents::default().report(&[]).is_empty());
}
