//! Replacement checks of nodes that run: when they call the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{Intent, Reason, ReplacementId};
use kestrellock_daemon::metrics::{StorePurpose, StoreResult};
use kestrellock_daemon::node::Node;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};

const OBSERVED: Duration = Duration::from_millis(1_500);

fn checks(platform: &Platform) -> u64 {
    let purpose = StorePurpose::ReplacementCheck;
    let calls = platform
        .nodes()
        .map(|node| node.context.metrics.store_calls.get(purpose, StoreResult::Answered));
    calls.sum()
}

fn all_know_the_replacement(platform: &Platform) -> bool {
    let group = GroupName::new(GROUPS[0]);
    let knows =
        |node: &Node| node.context.replacements.intents(Instant::now()).contains_key(&group);
    platform.nodes().all(knows)
}

/// Clients of every node that read at the primary until `stop` is set.
fn readers(platform: &Platform, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let read = |address: &SocketAddr| {
        let (address, stop) = (*address, stop.clone());
        let name = database(GROUPS[0], Consistency::Primary);
        thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                let Ok(mut session) = LineSession::open(address, &name, "reader") else {
                    continue;
                };
                while session.run("READ thing").is_ok() && !stop.load(Ordering::Acquire) {}
            }
        })
    };
    platform.client_addresses.iter().map(read).collect()
}

/// A cancelled replacement stays in the store while a replica that it may have stopped cannot be
/// reached. Nodes asked the store ten times a second meanwhile, and could use no answer.
#[test]
fn nodes_make_no_check_of_a_group_whose_replacement_they_know() {
    let platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let replica = group.instances().into_iter().find(|one| *one != primary).expect("a replica");
    group.kill(&replica);
    let stop = Arc::new(AtomicBool::new(false));
    let readers = readers(&platform, &stop);
    wait("checks", || checks(&platform) > 0).expect("in time");
    let intent = Intent {
        holder: NodeName::new("gone"),
        id: ReplacementId { fence: platform.store.position(), attempt: 1 },
        reason: Reason::Leaving,
        former: Some(InstanceName::new(&primary)),
        called_off: true,
        promoting: false,
        awaits_log: false,
        callers: Vec::new(),
    };
    let key = format!("kestrellock/promotion/1/intents/{}", GROUPS[0]);
    platform.store.put(&key, &serde_json::to_vec(&intent).expect("JSON"));
    let known = wait("all nodes know the replacement", || all_know_the_replacement(&platform));
    known.expect("in time");
    // Checks that have begun are answered.
    thread::sleep(Duration::from_millis(300));
    let before = checks(&platform);
    thread::sleep(OBSERVED);
    let during = checks(&platform) - before;
    let is_running = all_know_the_replacement(&platform);
    stop.store(true, Ordering::Release);
    readers.into_iter().for_each(|reader| reader.join().expect("it ends"));
    assert!(is_running, "the replacement ended too soon to be observed");
    assert_eq!(during, 0);
}
