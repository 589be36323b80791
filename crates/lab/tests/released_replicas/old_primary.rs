//! The old primary goes on: the released replica confirms its commits.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use kestrellock_lab::platform::wait;

use crate::clients::{Clients, REST};
use crate::world::{CUT_OFF_NODE, World};

const REPLICA_LAG: Duration = Duration::from_millis(5);
/// Time after the stops of the replicas at which another client of the node that is cut off sends a
/// write: evidence still covers it, and it waits at the old primary until a replica is released.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(500);
/// Time for which the released replica confirms commits of the old primary.
const TIME_BESIDE_SUCCESSOR: Duration = Duration::from_millis(200);
/// Time for which the clients go on after the successor has acknowledged a commit.
const TIME_WITH_SUCCESSOR: Duration = Duration::from_millis(800);
/// Statements that wait for no replica.
const UNCOMMITTED: [&str; 4] = ["READ thing", "BEGIN", "WRITE thing uncommitted", "ROLLBACK"];

/// Lets clients of the node that is cut off go on while its primary is replaced. The released replica
/// confirms commits of the old primary for a while, and then reaches the successor and confirms its
/// commits. Returns the writers of that node.
fn play(cut_off: impl Fn(&mut World)) -> (World, Clients) {
    let mut world = World::start(REPLICA_LAG);
    let [inside, others] = [(); 2].map(|()| Clients::at(&world.platform, CUT_OFF_NODE));
    let open = |name| inside.open(name).expect("it opens");
    let [steady, late, uncommitted] = ["steady", "late", "uncommitted"].map(open);
    inside.start(steady, &["WRITE thing steady"], REST);
    wait_for_write(&inside);
    cut_off(&mut world);
    wait_for_write(&inside);
    let group = world.group();
    let log_length = world.wait_for_stops();
    group.set_separated(&world.former, &world.successor, true);
    inside.start(late, &["WRITE thing late"], LATE_WRITE_DELAY);
    world.wait_for_successor();
    wait("the released replica confirms a commit of the old primary", || {
        group.log(&world.released).len() > log_length
    })
    .expect("in time");
    others.start(uncommitted, &UNCOMMITTED, Duration::ZERO);
    thread::sleep(TIME_BESIDE_SUCCESSOR);
    let confirmed = group.log(&world.released).len() - log_length;
    world.connect_successor();
    world.wait_for_commit_of_successor(log_length);
    let ran_before = world.runs_at_former();
    thread::sleep(TIME_WITH_SUCCESSOR);
    let ran = world.runs_at_former() - ran_before;
    println!(
        "{confirmed} commits of the old primary were confirmed beside the successor, and {ran} reads and writes ran there after the successor's first commit"
    );
    [&inside, &others, &world.outside].into_iter().for_each(Clients::stop);
    (world, inside)
}

fn wait_for_write(clients: &Clients) {
    let count = clients.succeeded().len();
    wait("a write is acknowledged", || clients.succeeded().len() > count).expect("in time");
}

/// Asserts that the successor has every commit that a client got as acknowledged.
fn assert_none_is_lost(world: &World, inside: &Clients) {
    let log = world.group().log(&world.successor);
    let kept: BTreeSet<String> = log.into_iter().flat_map(|commit| commit.ids).collect();
    let acknowledged = [inside, &world.outside].map(Clients::succeeded);
    let lost: Vec<&String> = acknowledged.iter().flat_map(|ids| ids.difference(&kept)).collect();
    assert!(lost.is_empty(), "{} acknowledged writes are lost: {lost:?}", lost.len());
}

/// Guards against acknowledged writes that are lost.
#[test]
fn no_commit_is_acknowledged_that_the_successor_lacks() {
    let (world, inside) = play(|world| world.cut_off());
    assert_none_is_lost(&world, &inside);
}

/// Guards against statements that do not see what was acknowledged before they were sent.
#[test]
fn no_statement_runs_on_the_old_log_beside_the_successor() {
    let (world, _) = play(|world| world.cut_off());
    world.assert_statements_ran_on_current_logs();
}

/// Guards against acknowledged writes that are lost because reports of all replicas that the node
/// lists are taken for those of all: the successor has joined since.
#[test]
fn no_commit_is_acknowledged_that_a_joined_successor_lacks() {
    let (world, inside) = play(World::cut_off_beside_joined);
    assert_none_is_lost(&world, &inside);
}
