//! The operator removes a group while statements of it run, and adds it again. What the instances
//! answered while the group was not configured was dropped, so that the gateway counted the slots
//! of these statements as taken for good: after a few changes it refused every statement.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::GroupName;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};

/// Changes after which an instance with three slots has none left if each change loses one.
const CHANGES: usize = 8;
/// Time for which the group is away: longer than a statement runs.
const AWAY: Duration = Duration::from_millis(60);
/// Statements that run at the same time.
const WRITERS: usize = 4;

fn write(platform_address: std::net::SocketAddr, name: &str) -> bool {
    let database = database(GROUPS[1], Consistency::Primary);
    let session = LineSession::open(platform_address, &database, name);
    session
        .and_then(|mut session| session.run("WRITE seat taken"))
        .is_ok_and(|answer| answer.is_success())
}

#[test]
fn a_group_that_is_removed_and_added_again_is_served() {
    let options = PlatformOptions { replica_lag: Duration::from_millis(20), ..Default::default() };
    let mut platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    let addresses = platform.client_addresses.clone();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for writer in 0..WRITERS {
            let (addresses, stop) = (&addresses, &stop);
            scope.spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    write(addresses[writer % addresses.len()], &format!("w{writer}"));
                }
            });
        }
        for _ in 0..CHANGES {
            for has_group in [false, true] {
                platform.configure_groups(if has_group { &GROUPS } else { &GROUPS[..1] });
                wait("the change is active on all nodes", || {
                    let group = GroupName::new(GROUPS[1]);
                    platform.nodes().all(|node| {
                        node.context.catalog.load().groups.contains_key(&group) == has_group
                    })
                })
                .expect("in time");
                let changed = Instant::now();
                while changed.elapsed() < AWAY {
                    thread::sleep(Duration::from_millis(5));
                }
            }
        }
        stop.store(true, Ordering::Release);
    });
    for (number, address) in addresses.iter().enumerate() {
        wait(&format!("node {number} serves the group"), || write(*address, "last"))
            .expect("in time");
    }
}
