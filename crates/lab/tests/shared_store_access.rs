//! Votes on primaries go from owner to owner, so that they do not depend on the store and cause no
//! calls to it. Owners without `share_store_access` still get them from the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use kestrellock_core::catalog::Consistency;
use kestrellock_daemon::metrics::{StorePurpose, StoreResult, VoteEvent};
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};

const NODES: usize = 5;

fn start(share_store_access: Vec<bool>) -> Platform {
    let options =
        PlatformOptions { nodes: NODES, share_store_access, ..PlatformOptions::default() };
    let platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    platform
}

/// Clients of every node that write until told to stop, so that every owner notices the primary's
/// death by itself.
fn writers(platform: &Platform, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let database = database(GROUPS[0], Consistency::Primary);
    let write = |address| {
        let (stop, database) = (stop.clone(), database.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                let Ok(mut session) = LineSession::open(address, &database, "writer") else {
                    continue;
                };
                let mut is_open = true;
                while is_open && !stop.load(Ordering::Acquire) {
                    let id = session.next_statement_id();
                    is_open = session.run(&format!("WRITE thing {id}")).is_ok();
                }
            }
        })
    };
    platform.client_addresses.iter().map(|address| write(*address)).collect()
}

/// Kills the primary of a group under load, and waits until another instance leads.
fn replace_dead_primary(platform: &Platform) {
    let group = &platform.groups[0];
    let old = group.primary().expect("a primary");
    let stop = Arc::new(AtomicBool::new(false));
    let writers = writers(platform, &stop);
    wait("writes arrive", || group.log(&old).len() > NODES).expect("in time");
    group.kill(&old);
    let replaced = wait("another primary leads", || group.primary().is_some_and(|one| one != old));
    stop.store(true, Ordering::Release);
    writers.into_iter().for_each(|writer| writer.join().expect("it ends"));
    replaced.expect("in time");
}

fn vote_calls(platform: &Platform) -> u64 {
    let calls = platform.nodes().map(|node| {
        node.context.metrics.store_calls.get(StorePurpose::Vote, StoreResult::Answered)
    });
    calls.sum()
}

fn votes(platform: &Platform, event: VoteEvent) -> u64 {
    platform.nodes().map(|node| node.context.metrics.votes.get(event)).sum()
}

/// Guards against votes that all go through the store: each of them costs one call by every node.
#[test]
fn owners_that_share_access_send_votes_to_each_other() {
    let platform = start(vec![true; NODES]);
    replace_dead_primary(&platform);
    assert!(votes(&platform, VoteEvent::Received) > 0);
    assert!(votes(&platform, VoteEvent::Confirmed) > 0);
    // A vote that is confirmed late may go through the store as well, but not every vote.
    assert!(votes(&platform, VoteEvent::InStore) < votes(&platform, VoteEvent::Sent));
    println!("{} calls for votes", vote_calls(&platform));
}

/// Guards against owners without the setting that never learn of the votes of the others.
#[test]
fn owner_that_does_not_share_access_gets_the_votes_from_the_store() {
    let platform = start(vec![true, true, true, false, true]);
    replace_dead_primary(&platform);
    assert!(votes(&platform, VoteEvent::InStore) > 0);
    assert!(vote_calls(&platform) > 0);
}

/// Guards against direct votes of nodes that are not set to send them.
#[test]
fn without_the_setting_all_votes_go_through_the_store() {
    let platform = start(vec![false; NODES]);
    replace_dead_primary(&platform);
    assert_eq!(votes(&platform, VoteEvent::Sent), 0);
    assert!(vote_calls(&platform) > 0);
    println!("{} calls for votes", vote_calls(&platform));
}
