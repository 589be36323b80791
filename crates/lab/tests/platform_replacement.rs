//! Primaries that die or leave on the users' platform: another one takes over, nothing that was
//! acknowledged is lost, and nothing that was refused as not run has run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::judged::{JudgedPlatform, open_recorded};
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};
use kestrellock_lab::standin::instances::InstanceGroup;

fn start(options: PlatformOptions) -> JudgedPlatform {
    let platform = JudgedPlatform(Platform::start(options).expect("it starts"));
    platform.wait_until_ready().expect("it is ready");
    platform
}

/// What writers were told, by the id of the write.
#[derive(Debug, Default)]
struct Told {
    acknowledged: Vec<String>,
    not_run: Vec<String>,
    in_doubt: usize,
}

/// Writes until told to stop, on one node after the other.
fn writer(
    platform: &Platform,
    series: usize,
    number: usize,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<Told> {
    let callers = platform.client_addresses.clone();
    let record = platform.clients.clone();
    let stop = stop.clone();
    let database = database(GROUPS[0], Consistency::Primary);
    std::thread::spawn(move || {
        let mut told = Told::default();
        let mut round = 0;
        while !stop.load(Ordering::Acquire) {
            round += 1;
            let address = callers[(number + round) % callers.len()];
            let name = format!("s{series}w{number}r{round}");
            let opened = open_recorded(address, &database, &name, &record);
            let Ok(mut session) = opened else { continue };
            for _ in 0..10 {
                let id = session.next_statement_id();
                match session.run(&format!("WRITE thing{number} {id}")) {
                    Ok(answer) if answer.is_success() => told.acknowledged.push(id),
                    Ok(answer) if is_promise(answer.error_code()) => told.not_run.push(id),
                    Ok(_) => told.in_doubt += 1,
                    Err(_) => {
                        told.in_doubt += 1;
                        break;
                    }
                }
            }
        }
        told
    })
}

/// Whether a word says that nothing is kept.
fn is_promise(word: Option<&str>) -> bool {
    matches!(word, Some("BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MISROUTED" | "CONNLIMIT"))
}

/// How often each id stands in the log of the primary.
fn kept(platform: &Platform) -> BTreeMap<String, usize> {
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let mut kept = BTreeMap::new();
    for commit in group.log(&primary) {
        for id in commit.ids {
            *kept.entry(id).or_default() += 1;
        }
    }
    kept
}

/// The primary of a group, and its replicas.
fn roles(group: &InstanceGroup) -> (String, Vec<String>) {
    let primary = group.primary().expect("a primary");
    let replicas: Vec<String> =
        group.instances().into_iter().filter(|one| *one != primary).collect();
    (primary, replicas)
}

fn check(platform: &Platform, told: &[Told]) {
    let kept = kept(platform);
    let acknowledged: Vec<&String> = told.iter().flat_map(|told| &told.acknowledged).collect();
    assert!(acknowledged.len() > 20, "too little was written: {}", acknowledged.len());
    for id in acknowledged {
        assert!(kept.contains_key(id), "{id} was acknowledged and is lost");
    }
    for id in told.iter().flat_map(|told| &told.not_run) {
        assert!(!kept.contains_key(id), "{id} was told not to have run, and has");
    }
    assert!(kept.values().all(|count| *count == 1), "a write took effect twice");
}

fn replace(platform: &Platform, disturb: impl FnOnce(&Platform, &str)) {
    let stop = Arc::new(AtomicBool::new(false));
    // Each series of writes has ids of its own.
    let series = platform.promotions.calls().len();
    let writers: Vec<_> = (0..6).map(|number| writer(platform, series, number, &stop)).collect();
    std::thread::sleep(Duration::from_millis(300));
    let group = &platform.groups[0];
    let old = group.primary().expect("a primary");
    disturb(platform, &old);
    wait("another primary leads", || group.primary().is_some_and(|one| one != old))
        .expect("in time");
    std::thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Release);
    let told: Vec<Told> =
        writers.into_iter().map(|writer| writer.join().expect("it ends")).collect();
    check(platform, &told);
    let fences: Vec<u64> = platform.promotions.calls().iter().map(|call| call.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
    let stopped = |name: &String| group.is_stopped(name);
    wait("no replica stays stopped", || !group.instances().iter().any(stopped)).expect("in time");
}

#[test]
fn a_primary_that_dies_is_replaced() {
    let platform = start(PlatformOptions::default());
    replace(&platform, |platform, old| platform.groups[0].kill(old));
}

/// The store lost a hold, its record and who was promoted. The next holder had a fence lower than the platform had seen,
/// and no node took a write of the group afterwards.
#[test]
fn primaries_are_replaced_before_and_after_a_return_of_the_store() {
    let platform = start(PlatformOptions::default());
    for number in 0..60 {
        platform.store.put("others/key", &[number]);
    }
    let copy = platform.store.snapshot();
    for number in 0..60 {
        platform.store.put("others/key", &[number]);
    }
    let first = platform.groups[0].primary().expect("a primary");
    replace(&platform, |platform, old| platform.groups[0].kill(old));
    platform.groups[0].restart(&first);
    platform.restore_store(&copy, Duration::from_millis(500));
    replace(&platform, |platform, old| platform.groups[0].kill(old));
    let name = database(GROUPS[0], Consistency::Primary);
    for node in 0..platform.client_addresses.len() {
        let writes = || {
            let session = platform.open_session(node, &name, "w");
            session.is_ok_and(|mut session| {
                session.run("WRITE seat taken").is_ok_and(|answer| answer.is_success())
            })
        };
        wait(&format!("node {node} takes writes"), writes).expect("in time");
    }
}

/// The same while the replacement is under way: what was begun goes on, and ends.
#[test]
fn a_replacement_goes_on_through_a_return_of_the_store() {
    let options = PlatformOptions {
        promotion_delay: Duration::from_millis(400),
        own_addresses: true,
        ..PlatformOptions::default()
    };
    let platform = start(options);
    let copy = platform.store.snapshot();
    replace(&platform, |platform, old| {
        platform.groups[0].kill(old);
        let begun = || platform.nodes().any(|node| !node.context.intents.load().is_empty());
        wait("a replacement has begun", begun).expect("in time");
        platform.restore_store(&copy, Duration::from_millis(100));
    });
    let over = || platform.nodes().all(|node| node.context.intents.load().is_empty());
    wait("nothing is under way any more", over).expect("in time");
}

/// Guards against commits acknowledged by a node that does not reach the store: whoever replaces a primary tells the
/// others itself.
#[test]
fn whoever_replaces_a_primary_tells_the_other_nodes() {
    let platform = start(PlatformOptions::default());
    replace(&platform, |platform, old| platform.groups[0].kill(old));
    let told = platform.nodes().filter(|node| node.context.metrics.replacement_messages.get() > 0);
    assert!(told.count() >= 2, "all but the one that acts are told");
    let intents = || platform.nodes().all(|node| node.context.intents.load().is_empty());
    wait("nothing is under way any more", intents).expect("in time");
}

#[test]
fn a_primary_that_leaves_is_replaced_and_steps_down() {
    let platform = start(PlatformOptions::default());
    replace(&platform, |platform, old| platform.groups[0].leave(old));
    let intents = || platform.nodes().all(|node| node.context.intents.load().is_empty());
    wait("nothing is under way any more", intents).expect("in time");
}

#[test]
fn the_replica_that_holds_everything_is_chosen() {
    let platform = start(PlatformOptions::default());
    let group = &platform.groups[0];
    let (_, replicas) = roles(group);
    group.set_replication_blocked(&replicas[0], true);
    replace(&platform, |platform, old| platform.groups[0].kill(old));
    assert_eq!(group.primary().as_ref(), Some(&replicas[1]), "the other one lacks commits");
}

#[test]
fn while_a_replica_that_may_hold_the_only_copy_is_away_nobody_is_promoted() {
    let platform = start(PlatformOptions::default());
    let group = &platform.groups[0];
    let (primary, replicas) = roles(group);
    // From here on the second replica alone receives, so it alone holds what is acknowledged.
    group.set_replication_blocked(&replicas[0], true);
    let name = database(GROUPS[0], Consistency::Primary);
    let mut session = platform.open_session(0, &name, "w").expect("it opens");
    assert!(session.run("WRITE only copy").expect("an answer").is_success());
    group.kill(&replicas[1]);
    group.kill(&primary);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(group.primary(), None, "a replica without the commit was promoted");
    group.restart(&replicas[1]);
    wait("the one that holds it leads", || group.primary().as_ref() == Some(&replicas[1]))
        .expect("in time");
    let mut reader = platform.open_session(1, &name, "r").expect("it opens");
    wait("it can be read", || reader.run("READ only").is_ok_and(|answer| answer.rows == ["copy"]))
        .expect("in time");
}

#[test]
fn a_node_that_cannot_reach_a_primary_alone_moves_nobody() {
    let platform = start(PlatformOptions::default());
    let group = &platform.groups[0];
    let old = group.primary().expect("a primary");
    // It stands still, and wakes with answers that look long overdue.
    for _ in 0..3 {
        platform.set_paused(0, true);
        std::thread::sleep(Duration::from_millis(600));
        platform.set_paused(0, false);
        std::thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(group.primary(), Some(old));
    assert!(platform.promotions.calls().is_empty());
}

#[test]
fn the_death_of_whoever_replaces_a_primary_leaves_nothing_undone() {
    kestrellock_program::logging::start(
        log::LevelFilter::Info,
        kestrellock_program::logging::LogFormat::Text,
    );
    let options = PlatformOptions {
        promotion_delay: Duration::from_millis(400),
        own_addresses: true,
        ..PlatformOptions::default()
    };
    let mut platform = start(options);
    let old = platform.groups[0].primary().expect("a primary");
    platform.groups[0].kill(&old);
    let holder = || {
        let nodes = platform.nodes();
        let intents = nodes.flat_map(|node| {
            let intents = node.context.intents.load();
            intents.values().map(|intent| intent.holder.clone()).collect::<Vec<_>>()
        });
        intents.into_iter().next()
    };
    let mut acting = None;
    wait("somebody acts", || {
        acting = holder();
        acting.is_some()
    })
    .expect("in time");
    let acting = acting.expect("a holder");
    let number: usize = acting.as_str().trim_start_matches("node-").parse().expect("a number");
    platform.kill_node(number);
    let group = &platform.groups[0];
    wait("another primary leads", || group.primary().is_some_and(|one| one != old))
        .expect("in time");
    let alive = (number + 1) % 3;
    let name = database(GROUPS[0], Consistency::Primary);
    wait("writes go on", || {
        let session = platform.open_session(alive, &name, "w");
        session.is_ok_and(|mut session| {
            session.run("WRITE x 1").is_ok_and(|answer| answer.is_success())
        })
    })
    .expect("in time");
    wait("nothing is under way any more", || {
        platform.nodes().all(|node| node.context.intents.load().is_empty())
    })
    .expect("in time");
}
