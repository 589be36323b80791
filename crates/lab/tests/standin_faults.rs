//! Faults of a running group, as a client of it meets them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use kestrellock_core::ids::ZoneName;
use kestrellock_lab::standin::group::DatabaseGroup;
use kestrellock_lab::standin::group::events::GroupEventKind;
use kestrellock_lab::standin::group::options::GroupOptions;
use kestrellock_lab::standin::group::service::{ServiceTime, ServiceTimes};
use kestrellock_lab::standin::network::Network;
use postgres::{Client, Config, NoTls};

const PATIENCE: Duration = Duration::from_secs(30);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
const POLL: Duration = Duration::from_millis(2);

fn group(options: GroupOptions) -> DatabaseGroup {
    DatabaseGroup::start(GroupOptions { election_timeout: ELECTION_TIMEOUT, ..options })
        .expect("the group starts")
}

fn connect(address: SocketAddr) -> Client {
    Config::new()
        .host(&address.ip().to_string())
        .port(address.port())
        .user("user")
        .dbname("database")
        .connect(NoTls)
        .expect("the instance accepts a connection")
}

/// Options of a group with an instance in each of three zones, and their network.
fn three_zones() -> (Vec<ZoneName>, Arc<Network>, GroupOptions) {
    let zones: Vec<ZoneName> = ["north", "south", "east"].map(ZoneName::new).into();
    let network = Network::new(&zones, 1).expect("the network starts");
    let options = GroupOptions {
        zones: zones.clone(),
        network: Some(network.clone()),
        ..GroupOptions::default()
    };
    (zones, network, options)
}

fn with_table(options: GroupOptions) -> (DatabaseGroup, Client) {
    let group = group(options);
    let mut client = connect(group.addresses[0]);
    client.batch_execute("CREATE TABLE seats (id BIGINT PRIMARY KEY)").expect("creates");
    assert!(group.wait_for_replicas(PATIENCE));
    (group, client)
}

fn insert(client: &mut Client, id: i64) -> Result<u64, postgres::Error> {
    client.execute("INSERT INTO seats VALUES ($1)", &[&id])
}

fn ids(group: &DatabaseGroup) -> Vec<String> {
    let rows = group.final_rows("seats").expect("a primary with the table");
    rows.into_iter().filter_map(|row| row.into_iter().next().flatten()).collect()
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let limit = std::time::Instant::now() + PATIENCE;
    while !condition() {
        assert!(std::time::Instant::now() < limit, "not in time: {what}");
        thread::sleep(POLL);
    }
}

#[test]
fn a_killed_primary_is_replaced_and_its_connections_break() {
    let (group, mut client) = with_table(GroupOptions::default());
    insert(&mut client, 1).expect("inserts");
    assert!(group.wait_for_replicas(PATIENCE));
    group.kill(0);
    assert!(insert(&mut client, 2).is_err());
    let refused = std::net::TcpStream::connect(group.addresses[0]).expect_err("refused");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let primary = group.wait_for_term(2, PATIENCE).expect("a new primary");
    assert_ne!(primary, 0);
    insert(&mut connect(group.addresses[primary]), 3).expect("the new primary takes writes");
    group.restart(0);
    assert!(group.wait_for_replicas(PATIENCE));
    assert_eq!(ids(&group), ["1", "3"]);
    let mut returned = connect(group.addresses[0]);
    assert_eq!(returned.query("SELECT * FROM seats", &[]).expect("reads").len(), 2);
    let kinds: Vec<GroupEventKind> = group.events().iter().map(|event| event.kind).collect();
    assert_eq!(
        kinds,
        [
            GroupEventKind::FirstWrite { index: 0, term: 1 },
            GroupEventKind::PrimaryLost { index: 0, term: 1 },
            GroupEventKind::Elected { index: primary, term: 2 },
            GroupEventKind::FirstWrite { index: primary, term: 2 },
        ]
    );
}

#[test]
fn a_cut_off_primary_takes_writes_that_are_dropped_later() {
    let (group, mut client) = with_table(GroupOptions::default());
    group.isolate(0);
    insert(&mut client, 1).expect("it still believes that it leads");
    let primary = group.wait_for_term(2, PATIENCE).expect("a new primary");
    insert(&mut connect(group.addresses[primary]), 2).expect("inserts");
    insert(&mut client, 3).expect("it does so after the election too");
    group.rejoin(0);
    wait_until("it steps down", || !group.instances[0].is_primary());
    wait_until("its connections break", || insert(&mut client, 4).is_err());
    assert!(group.wait_for_replicas(PATIENCE));
    assert_eq!(ids(&group), ["2"]);
}

#[test]
fn a_cut_off_primary_answers_callers_of_its_own_zone_only() {
    let (zones, network, options) = three_zones();
    let (group, _) = with_table(options);
    let connect_from = |zone: &ZoneName| {
        let address = group.addresses[0];
        let source = network.address(zone, 5);
        source_client(source.into(), address)
    };
    let mut near = connect_from(&zones[0]);
    let mut far = connect_from(&zones[1]);
    insert(&mut near, 1).expect("inserts");
    insert(&mut far, 2).expect("inserts");
    group.isolate(0);
    insert(&mut near, 3).expect("a caller of its zone is answered");
    let hanging = thread::spawn(move || insert(&mut far, 4));
    thread::sleep(Duration::from_millis(50));
    assert!(!hanging.is_finished(), "a caller of another zone was answered");
    group.wait_for_term(2, PATIENCE).expect("a new primary");
    group.rejoin(0);
    wait_until("it steps down", || !group.instances[0].is_primary());
    // The frozen request may be served before the step down, or its connection be broken by it.
    let _ = hanging.join().expect("no panic");
    assert!(group.wait_for_replicas(PATIENCE));
    let kept = ids(&group);
    assert!(!kept.contains(&"3".to_owned()) && !kept.contains(&"4".to_owned()), "{kept:?}");
}

/// A client connected from an address of its own, over a forwarder on loopback.
fn source_client(source: std::net::IpAddr, address: SocketAddr) -> Client {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let local = listener.local_addr().expect("has an address");
    thread::spawn(move || {
        let (near, _) = listener.accept().expect("accepts");
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.bind(&SocketAddr::new(source, 0).into()).expect("binds");
        socket.connect(&address.into()).expect("connects");
        let far: std::net::TcpStream = socket.into();
        let copy = |mut from: std::net::TcpStream, mut to: std::net::TcpStream| {
            // The copy ends with either connection.
            let _ = std::io::copy(&mut from, &mut to);
            let _ = to.shutdown(std::net::Shutdown::Both);
        };
        let (near_copy, far_copy) =
            (near.try_clone().expect("clones"), far.try_clone().expect("clones"));
        thread::spawn(move || copy(near_copy, far_copy));
        copy(far, near);
    });
    connect(local)
}

#[test]
fn a_paused_primary_answers_nothing_and_steps_down_when_it_goes_on() {
    let (group, mut client) = with_table(GroupOptions::default());
    group.pause(0);
    let hanging = thread::spawn(move || insert(&mut client, 1));
    group.wait_for_term(2, PATIENCE).expect("a new primary");
    assert!(!hanging.is_finished(), "a paused instance answered");
    group.resume(0);
    wait_until("it steps down", || !group.instances[0].is_primary());
    assert!(group.wait_for_replicas(PATIENCE));
    // Its connection may have been served before the step down, or been broken by it.
    let _ = hanging.join().expect("no panic");
    assert!(ids(&group).is_empty());
}

#[test]
fn an_answer_is_lost_after_the_commit_has_taken_effect() {
    let (group, mut client) = with_table(GroupOptions::default());
    group.reset_after_commit(0);
    insert(&mut client, 1).expect_err("the connection is reset");
    wait_until("the commit takes effect", || ids(&group) == ["1"]);
    let mut client = connect(group.addresses[0]);
    group.hang_after_commit(0);
    let hanging = thread::spawn(move || insert(&mut client, 2));
    wait_until("the commit takes effect", || ids(&group) == ["1", "2"]);
    thread::sleep(Duration::from_millis(30));
    assert!(!hanging.is_finished(), "the answer was not lost");
    group.reset_connections(0);
    hanging.join().expect("no panic").expect_err("the connection is broken off");
    insert(&mut connect(group.addresses[0]), 3).expect("later commits are answered");
}

#[test]
fn readers_of_a_replica_stay_behind_as_told() {
    let (group, mut client) = with_table(GroupOptions::default());
    let mut replica = connect(group.addresses[1]);
    let mut count =
        || -> i64 { replica.query_one("SELECT count(*) FROM seats", &[]).expect("counts").get(0) };
    group.set_lag(1, Duration::MAX);
    insert(&mut client, 1).expect("inserts");
    let end = group.committed_log().and_then(|log| Some(log.last()?.end)).expect("a log");
    wait_until("it receives", || group.instances[1].state().flushed() >= end);
    assert_eq!(count(), 0);
    group.set_lag(1, Duration::ZERO);
    wait_until("it catches up", || count() == 1);
    group.set_lag_distribution(1, Duration::from_millis(1), Duration::from_millis(20), 3);
    insert(&mut client, 2).expect("inserts");
    wait_until("it catches up", || count() == 2);
}

#[test]
fn no_more_statements_run_at_once_than_there_are_slots() {
    const CALLERS: usize = 6;
    const SLOTS: usize = 2;
    let time = ServiceTime::Fixed(Duration::from_millis(30));
    let times = ServiceTimes { read: time, ..ServiceTimes::default() };
    let options = GroupOptions { slots: SLOTS, service_times: times, ..GroupOptions::default() };
    let (group, _client) = with_table(options);
    let address = group.addresses[0];
    let start = std::time::Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| thread::spawn(move || connect(address).query("SELECT * FROM seats", &[])))
        .collect();
    for caller in callers {
        caller.join().expect("no panic").expect("reads");
    }
    assert!(start.elapsed() >= Duration::from_millis(30) * (CALLERS / SLOTS) as u32);
    assert_eq!(group.instances[0].service.in_progress(), 0);
}

#[test]
fn log_reaches_a_replica_after_the_delay_of_the_link() {
    let (zones, network, options) = three_zones();
    let (group, mut client) = with_table(options);
    network.set_delay(&zones[0], &zones[1], Duration::from_secs(3600));
    insert(&mut client, 1).expect("inserts");
    let end = group.committed_log().and_then(|log| Some(log.last()?.end)).expect("a log");
    let has_it = |index: usize| group.instances[index].state().flushed() >= end;
    wait_until("the near replica has it", || has_it(2));
    assert!(!has_it(1), "the far replica has it already");
    network.set_delay(&zones[0], &zones[1], Duration::ZERO);
    wait_until("the far replica has it", || has_it(1));
    assert_eq!(group.primary(), Some(0), "a slow link is no lost primary");
}

#[test]
fn a_zone_that_is_cut_off_loses_its_primary_to_the_others() {
    let (zones, network, options) = three_zones();
    let (group, _client) = with_table(options);
    network.cut_zone(&zones[0]);
    let elected = group.wait_for_term(2, PATIENCE).expect("a new primary");
    assert_ne!(elected, 0);
    assert!(group.instances[0].is_primary(), "the old one cannot know");
    network.heal_zone(&zones[0]);
    wait_until("the old one steps down", || !group.instances[0].is_primary());
    assert!(group.wait_for_replicas(PATIENCE));
    let stepped_down = GroupEventKind::SteppedDown { index: 0, term: 1 };
    assert!(group.events().iter().any(|event| event.kind == stepped_down));
}
