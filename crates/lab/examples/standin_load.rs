//! Measures a stand-in group alone, driven by a PostgreSQL client library.
//!
//! Usage: `cargo run --release -p kestrellock-lab --example standin_load [connections]`

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_core::ids::ZoneName;
use kestrellock_lab::standin::group::DatabaseGroup;
use kestrellock_lab::standin::group::options::GroupOptions;
use kestrellock_lab::standin::group::wire::THREAD_NAME;
use kestrellock_lab::standin::network::Network;
use postgres::{Client, Config, NoTls};

const ROWS: i64 = 1000;
const LENGTH: Duration = Duration::from_secs(3);
const DEFAULT_CONNECTIONS: usize = 24;
const ROUND_TRIPS: usize = 500;
/// A message that the server answers with one byte, as often as it comes.
const ENCRYPTION_REQUEST: &[u8] = &[0, 0, 0, 8, 4, 210, 22, 47];
const CONNECTION_LIMIT: usize = 4096;
/// Length of a tick of the operating system's accounts.
const TICK: Duration = Duration::from_millis(10);
/// Positions of user and system time after the name of a thread in its account.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

fn connect(address: SocketAddr) -> Client {
    Config::new()
        .host(&address.ip().to_string())
        .port(address.port())
        .user("user")
        .dbname("database")
        .connect(NoTls)
        .expect("the instance accepts a connection")
}

/// Processor time that the threads serving connections have used, in ticks.
fn processor_ticks() -> u64 {
    let mut ticks = 0;
    for task in std::fs::read_dir("/proc/self/task").expect("the threads are listed").flatten() {
        // A thread may end while it is looked at.
        let Ok(stat) = std::fs::read_to_string(task.path().join("stat")) else { continue };
        let Some((name, rest)) = stat.split_once(") ") else { continue };
        if name.ends_with(&format!("({THREAD_NAME}")) {
            let fields: Vec<&str> = rest.split_whitespace().collect();
            let used = |field: usize| fields[field].parse::<u64>().unwrap_or(0);
            ticks += used(USER_FIELD) + used(SYSTEM_FIELD);
        }
    }
    ticks
}

/// What each caller does again and again.
type Work = fn(&mut Client, caller: i64, round: i64);

fn simple_read(client: &mut Client, caller: i64, round: i64) {
    let id = (caller * 37 + round) % ROWS;
    client.simple_query(&format!("SELECT body FROM rows WHERE id = {id}")).expect("reads");
}

fn prepared_read(client: &mut Client, caller: i64, round: i64) {
    let id = (caller * 37 + round) % ROWS;
    client
        .query_typed("SELECT body FROM rows WHERE id = $1", &[(&id, postgres::types::Type::INT8)])
        .expect("reads");
}

fn write(client: &mut Client, caller: i64, round: i64) {
    let id = caller * 10_000_000 + round + ROWS;
    client.simple_query(&format!("INSERT INTO rows VALUES ({id}, 'body')")).expect("writes");
}

fn measure(name: &str, addresses: &[SocketAddr], connections: usize, work: Work) {
    let stop = Arc::new(AtomicBool::new(false));
    let done = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..connections)
        .map(|caller| {
            let mut client = connect(addresses[caller % addresses.len()]);
            let (stop, done) = (stop.clone(), done.clone());
            thread::spawn(move || {
                let mut round = 0;
                while !stop.load(Ordering::Relaxed) {
                    work(&mut client, caller as i64, round);
                    round += 1;
                }
                done.fetch_add(round as u64, Ordering::Relaxed);
            })
        })
        .collect();
    let start = Instant::now();
    let before = processor_ticks();
    thread::sleep(LENGTH);
    let ticks = processor_ticks() - before;
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().expect("no panic"));
    let rate = done.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64();
    let statements = rate * LENGTH.as_secs_f64();
    let cost = ticks as f64 * TICK.as_secs_f64() * 1e6 / statements;
    println!(
        "{name}: {rate:.0} statements/s over {connections} connections, \
         {cost:.1} us of the stand-in's processor time a statement"
    );
}

/// Round trips of one small query over a link with a one-way delay.
fn measure_link(delay: Duration) {
    let zones: Vec<ZoneName> = ["here", "there"].map(ZoneName::new).into();
    let network = Network::new(&zones, 0).expect("the network starts");
    network.set_delay_everywhere(delay);
    let options = GroupOptions {
        zones: vec![zones[1].clone(); 3],
        network: Some(network.clone()),
        ..GroupOptions::default()
    };
    let group = DatabaseGroup::start(options).expect("the group starts");
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let source = SocketAddr::new(network.address(&zones[0], 2).into(), 0);
    socket.bind(&source.into()).expect("binds");
    socket.connect(&group.addresses[0].into()).expect("connects");
    let mut stream: TcpStream = socket.into();
    stream.set_nodelay(true).expect("sets the option");
    stream.write_all(ENCRYPTION_REQUEST).expect("writes");
    let mut answer = [0_u8; 1];
    stream.read_exact(&mut answer).expect("reads");
    let mut times: Vec<Duration> = (0..ROUND_TRIPS)
        .map(|_| {
            let start = Instant::now();
            stream.write_all(ENCRYPTION_REQUEST).expect("writes");
            stream.read_exact(&mut answer).expect("reads");
            start.elapsed()
        })
        .collect();
    times.sort();
    println!(
        "round trip over a link of {delay:?} one way: p50 {:?}, p99 {:?}",
        times[ROUND_TRIPS / 2],
        times[ROUND_TRIPS * 99 / 100]
    );
}

fn main() {
    for delay in [Duration::ZERO, Duration::from_micros(1500), Duration::from_millis(3)] {
        measure_link(delay);
    }
    let connections = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let connections = connections.unwrap_or(DEFAULT_CONNECTIONS);
    let options = GroupOptions { connections: CONNECTION_LIMIT, ..GroupOptions::default() };
    let group = DatabaseGroup::start(options).expect("the group starts");
    let mut client = connect(group.addresses[0]);
    client.batch_execute("CREATE TABLE rows (id BIGINT PRIMARY KEY, body TEXT)").expect("creates");
    for id in 0..ROWS {
        client.batch_execute(&format!("INSERT INTO rows VALUES ({id}, 'body')")).expect("writes");
    }
    assert!(group.wait_for_replicas(Duration::from_secs(30)));
    measure("simple reads, one instance", &group.addresses[..1], connections, simple_read);
    measure("simple reads, three instances", &group.addresses, connections, simple_read);
    measure(
        "unnamed prepared reads, three instances",
        &group.addresses,
        connections,
        prepared_read,
    );
    measure("single-row writes", &group.addresses[..1], connections, write);
}
