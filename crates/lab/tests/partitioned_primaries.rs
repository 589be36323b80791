//! Random partitions with the primary and a node on one side. Guards against statements at a former
//! primary: a node that hears of nothing else keeps sending there, and the successor's commits, which
//! were acknowledged before, are not in that log.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::check::statements::record::ReceivedStatement;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::client_record::ClientRecord;
use kestrellock_lab::platform::judged::{JudgedPlatform, open_recorded};
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};
use kestrellock_lab::standin::instances::InstanceGroup;
use rand::rngs::ChaCha8Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

const NODES: usize = 5;
/// A majority of the nodes stays with the store.
const NODES_INSIDE: usize = 2;
const CLIENTS: usize = 100;
/// Longest pause of a client between two statements.
const MAX_REST_MS: u64 = 2_000;
/// Time until a client that was refused a session tries again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a partition lasts after the successor leads.
const TIME_WITH_SUCCESSOR: Duration = Duration::from_millis(1_200);
const TEXTS: [&str; 4] = ["WRITE t1 x", "WRITE t2 y", "EXECUTE w t1 z", "READ t1"];

/// A client of one node, which rests between its statements.
struct Client {
    random: ChaCha8Rng,
    number: usize,
    address: SocketAddr,
    record: Arc<ClientRecord>,
    stopping: Arc<AtomicBool>,
}

impl Client {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns the number of statements that succeeded.
    fn run(mut self) -> usize {
        let mut succeeded = 0;
        while !self.is_stopping() {
            match self.open() {
                Ok(session) => succeeded += self.use_session(session),
                Err(_) => thread::sleep(RETRY_DELAY),
            }
        }
        succeeded
    }

    fn open(&mut self) -> miette::Result<LineSession> {
        let kinds = [Consistency::Primary, Consistency::Bounded, Consistency::Session];
        let kind = *kinds.choose(&mut self.random).expect("a kind");
        let name = format!("p{}", self.number);
        let database = database(GROUPS[0], kind);
        let mut session = open_recorded(self.address, &database, &name, &self.record)?;
        session.run("PREPARE w WRITE shape")?;
        Ok(session)
    }

    /// Runs statements until the session breaks.
    fn use_session(&mut self, mut session: LineSession) -> usize {
        let mut succeeded = 0;
        while !self.is_stopping() {
            thread::sleep(Duration::from_millis(self.random.random_range(0..MAX_REST_MS)));
            let text = TEXTS.choose(&mut self.random).expect("a text");
            match session.run(text) {
                Ok(answer) => succeeded += usize::from(answer.is_success()),
                Err(_) => break,
            }
        }
        succeeded
    }
}

fn start_clients(
    seed: u64,
    platform: &Platform,
    stopping: &Arc<AtomicBool>,
) -> Vec<JoinHandle<usize>> {
    let clients = (0..CLIENTS).map(|number| {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(number as u64 + 1);
        let client = Client {
            random,
            number,
            address: platform.client_addresses[number % platform.client_addresses.len()],
            record: platform.clients.clone(),
            stopping: stopping.clone(),
        };
        thread::spawn(move || client.run())
    });
    clients.collect()
}

/// Separates the primary and some nodes from everything else until a while after the others have
/// replaced the primary.
fn play_partition(random: &mut ChaCha8Rng, platform: &Platform) {
    let group = &platform.groups[0];
    let former = group.primary().expect("a primary");
    let instance = group.instances().iter().position(|name| *name == former).expect("its number");
    let mut nodes: Vec<usize> = (0..NODES).collect();
    nodes.shuffle(random);
    nodes.truncate(NODES_INSIDE);
    let ran_before = runs_at(group, &former);
    let began = Instant::now();
    platform.partition(&nodes, instance);
    wait("the others replace the primary", || group.primary().as_ref() != Some(&former))
        .expect("in time");
    let replaced_after = began.elapsed();
    let ran_alone = runs_at(group, &former) - ran_before;
    let received = group.statements().received.len();
    thread::sleep(TIME_WITH_SUCCESSOR);
    let [inside, outside] = sources_at(&group.statements().received[received..], &former);
    assert!(inside.is_disjoint(&outside), "{inside:?} and {outside:?} are not separated");
    let ran_beside = runs_at(group, &former) - ran_before - ran_alone;
    platform.heal_partition(&nodes, instance);
    println!(
        "nodes {nodes:?} inside, replaced after {replaced_after:?}, {ran_alone} statements ran at the former primary before and {ran_beside} after"
    );
    assert!(ran_alone > 0, "the nodes inside do not reach the primary");
}

/// The addresses from which statements reached an instance, and those from which they reached others.
fn sources_at(received: &[ReceivedStatement], instance: &str) -> [BTreeSet<IpAddr>; 2] {
    [true, false].map(|is_at| {
        let found = received.iter().filter(|received| (received.instance == instance) == is_at);
        found.map(|received| received.source).collect()
    })
}

/// Number of reads and writes of clients that an instance has run.
fn runs_at(group: &InstanceGroup, instance: &str) -> usize {
    group.executed_statements().iter().filter(|run| run.instance == instance).count()
}

fn play(seed: u64) {
    let options = PlatformOptions {
        nodes: NODES,
        relayed: true,
        partitionable: true,
        ..PlatformOptions::default()
    };
    let platform = JudgedPlatform(Platform::start(options).expect("it starts"));
    platform.wait_until_ready().expect("it is ready");
    let stopping = Arc::new(AtomicBool::new(false));
    let clients = start_clients(seed, &platform, &stopping);
    let group = &platform.groups[0];
    let has_commits = || group.statements().commits.len() >= CLIENTS;
    wait("writes are committed", has_commits).expect("in time");
    play_partition(&mut ChaCha8Rng::seed_from_u64(seed), &platform);
    stopping.store(true, Ordering::Release);
    let succeeded: usize = clients.into_iter().map(|client| client.join().expect("it ends")).sum();
    let commits = group.statements().commits.len();
    println!("seed {seed}: {succeeded} statements succeeded, {commits} commits");
    assert!(succeeded > 0, "the clients were not served");
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays `SEEDS` seeds from `FIRST_SEED`. Each takes a few seconds.
#[test]
fn no_statement_runs_on_the_old_log_of_a_partitioned_primary() {
    let first = number("FIRST_SEED", 31);
    (first..first + number("SEEDS", 3)).for_each(play);
}
