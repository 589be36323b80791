//! The operator removes a group while statements of it run, and adds it again. What the instances
//! answered while the group was not configured was dropped, so that the gateway counted the slots
//! of these statements as taken for good: after a few changes it refused every statement. The end of
//! a client's session was dropped as well, so that its transaction stayed open.

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

/// Connections that an instance accepts, and transactions that are abandoned.
const CONNECTIONS: usize = 5;

/// Adds or removes the second group and waits until all nodes have the change active.
fn set_group(platform: &mut Platform, has_group: bool) {
    platform.configure_groups(if has_group { &GROUPS } else { &GROUPS[..1] });
    wait("the change is active on all nodes", || {
        let group = GroupName::new(GROUPS[1]);
        platform
            .nodes()
            .all(|node| node.context.catalog.load().groups.contains_key(&group) == has_group)
    })
    .expect("in time");
}

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
                set_group(&mut platform, has_group);
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

#[test]
fn transactions_whose_clients_leave_while_their_group_is_removed_end() {
    let options = PlatformOptions { max_connections: CONNECTIONS, ..Default::default() };
    let mut platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    let addresses = platform.client_addresses.clone();
    let mut sessions = Vec::new();
    for number in 0..CONNECTIONS {
        let database = database(GROUPS[1], Consistency::Primary);
        let address = addresses[number % addresses.len()];
        let session = LineSession::open(address, &database, &format!("t{number}"));
        let mut session = session.expect("it opens");
        let begins = session.run("BEGIN").is_ok_and(|answer| answer.is_success());
        let runs = begins && session.run("WRITE seat held").is_ok_and(|answer| answer.is_success());
        if runs {
            sessions.push(session);
        }
    }
    assert!(!sessions.is_empty(), "a transaction is open");
    set_group(&mut platform, false);
    drop(sessions);
    thread::sleep(AWAY);
    set_group(&mut platform, true);
    for (number, address) in addresses.iter().enumerate() {
        wait(&format!("node {number} serves the group"), || write(*address, "last"))
            .expect("in time");
    }
}
