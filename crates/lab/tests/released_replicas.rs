//! A promotion releases every replica, also one that does not reach the successor. Guards against a
//! node that takes the commits which such a replica confirms to the old primary for kept, and against
//! statements that it then runs on the old log: it has lost the store and the other nodes, and does not
//! hear of the replacement.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::client_record::ClientRecord;
use kestrellock_lab::platform::judged::open_recorded;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};
use kestrellock_lab::standin::instances::InstanceGroup;
use kestrellock_peer::message::TransactionState;

const NODES: usize = 3;
/// The node that loses the store and the other nodes.
const CUT_OFF_NODE: usize = 0;
/// A node that keeps them.
const OTHER_NODE: usize = 1;
/// Numbers of the first primary, of its successor, and of the replica that does not reach it.
const FORMER: usize = 0;
const SUCCESSOR: usize = 1;
const RELEASED: usize = 2;
/// Rest of a client between two statements.
const REST: Duration = Duration::from_millis(10);
/// Time after the stops of the replicas at which another client of the node that is cut off sends a
/// write: evidence still covers it, and it waits at the old primary until a replica is released.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(500);
/// Time for which the released replica confirms commits of the old primary.
const TIME_BESIDE_SUCCESSOR: Duration = Duration::from_millis(200);
/// Time for which the clients go on after the successor has acknowledged a commit.
const TIME_WITH_SUCCESSOR: Duration = Duration::from_millis(800);
/// Number of violations that a failure shows.
const MAX_SHOWN: usize = 5;
/// Statements that wait for no replica.
const UNCOMMITTED: [&str; 4] = ["READ thing", "BEGIN", "WRITE thing uncommitted", "ROLLBACK"];

/// Clients of one node, which repeat their statements until they are stopped.
#[derive(Clone)]
struct Clients {
    address: SocketAddr,
    record: Arc<ClientRecord>,
    stopping: Arc<AtomicBool>,
    /// Ids of the statements that succeeded.
    succeeded: Arc<Mutex<BTreeSet<String>>>,
}

impl Clients {
    fn at(platform: &Platform, node: usize) -> Self {
        Self {
            address: platform.client_addresses[node],
            record: platform.clients.clone(),
            stopping: Arc::default(),
            succeeded: Arc::default(),
        }
    }

    fn succeeded(&self) -> BTreeSet<String> {
        self.succeeded.lock().expect("no client panics").clone()
    }

    fn open(&self, name: &str) -> miette::Result<LineSession> {
        open_recorded(self.address, &database(GROUPS[0], Consistency::Primary), name, &self.record)
    }

    /// Starts a client that runs `texts` on its session after `delay`, and again after each rest.
    fn start(
        &self,
        mut session: LineSession,
        texts: &'static [&'static str],
        delay: Duration,
    ) -> JoinHandle<()> {
        let clients = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            while !clients.stopping.load(Ordering::Acquire) {
                if clients.run(&mut session, texts).is_err()
                    && let Ok(opened) = clients.open("again")
                {
                    session = opened;
                }
                thread::sleep(REST);
            }
        })
    }

    /// Runs statements until one is refused. The error is that of a broken session.
    fn run(&self, session: &mut LineSession, texts: &[&str]) -> miette::Result<()> {
        for text in texts {
            let id = session.next_statement_id();
            let answer = session.run(text)?;
            if !answer.is_success() {
                if answer.state != TransactionState::Idle {
                    session.run("ROLLBACK")?;
                }
                break;
            }
            self.succeeded.lock().expect("no client panics").insert(id);
        }
        Ok(())
    }
}

/// A platform, and clients of a node that is going to be cut off and of another one.
struct World {
    platform: Platform,
    former: String,
    successor: String,
    /// The replica that does not reach the successor.
    released: String,
    /// Writers at the node that is cut off.
    inside: Clients,
    /// Writers at another node.
    outside: Clients,
    /// Other clients of the node that is cut off.
    others: Clients,
    running: Vec<JoinHandle<()>>,
}

impl World {
    /// Starts a platform whose primary is replaced while a node reaches that primary and one replica
    /// only, and lets clients go on until a while after the successor's first commit.
    fn play() -> Self {
        let mut world = Self::start();
        let uncommitted = world.others.open("uncommitted").expect("it opens");
        let log_length = world.replace_primary();
        world.running.push(world.others.start(uncommitted, &UNCOMMITTED, Duration::ZERO));
        world.go_on(log_length);
        for clients in [&world.inside, &world.outside, &world.others] {
            clients.stopping.store(true, Ordering::Release);
        }
        world.running.drain(..).for_each(|client| client.join().expect("it ends"));
        world
    }

    fn start() -> Self {
        let options = PlatformOptions {
            nodes: NODES,
            relayed: true,
            partitionable: true,
            ..PlatformOptions::default()
        };
        let platform = Platform::start(options).expect("it starts");
        platform.wait_until_ready().expect("it is ready");
        let names = platform.groups[0].instances();
        let [former, successor, released] =
            [FORMER, SUCCESSOR, RELEASED].map(|number| names[number].clone());
        assert_eq!(platform.groups[0].primary().as_ref(), Some(&former));
        let [inside, outside, others] =
            [CUT_OFF_NODE, OTHER_NODE, CUT_OFF_NODE].map(|node| Clients::at(&platform, node));
        let running = [(&inside, "inside"), (&outside, "outside")].map(|(clients, name)| {
            clients.start(clients.open(name).expect("it opens"), &["WRITE thing kept"], REST)
        });
        let running = running.into();
        let has_served =
            || [&inside, &outside].into_iter().all(|side| !side.succeeded().is_empty());
        wait("both nodes are served", has_served).expect("in time");
        Self { platform, former, successor, released, inside, outside, others, running }
    }

    fn group(&self) -> &InstanceGroup {
        &self.platform.groups[0]
    }

    /// Cuts the node off and waits until the successor leads. Returns how long its log was by then.
    fn replace_primary(&mut self) -> usize {
        let group = &self.platform.groups[0];
        let late = self.inside.open("late").expect("it opens");
        group.set_separated(&self.successor, &self.released, true);
        // So that the other replica has the longer log and is chosen.
        group.set_replication_blocked(&self.released, true);
        let count = self.inside.succeeded().len();
        self.platform.partition_nodes(&[CUT_OFF_NODE], FORMER, RELEASED);
        wait("the node that is cut off is served", || self.inside.succeeded().len() > count)
            .expect("in time");
        wait("the replicas are stopped", || {
            [&self.successor, &self.released].into_iter().all(|name| group.is_stopped(name))
        })
        .expect("in time");
        let log_length = group.log(&self.successor).len();
        group.set_separated(&self.former, &self.successor, true);
        group.set_replication_blocked(&self.released, false);
        self.running.push(self.inside.start(late, &["WRITE thing late"], LATE_WRITE_DELAY));
        wait("the successor leads", || group.primary().as_ref() == Some(&self.successor))
            .expect("in time");
        log_length
    }

    /// The released replica confirms commits of the old primary for a while, and then reaches the
    /// successor and confirms its commits.
    fn go_on(&self, log_length: usize) {
        let group = self.group();
        wait("the released replica confirms a commit of the old primary", || {
            group.log(&self.released).len() > log_length
        })
        .expect("in time");
        thread::sleep(TIME_BESIDE_SUCCESSOR);
        let confirmed = group.log(&self.released).len() - log_length;
        group.set_separated(&self.successor, &self.released, false);
        wait("the successor acknowledges a commit", || {
            let acknowledged = self.outside.succeeded();
            let commits = group.log(&self.successor).split_off(log_length);
            commits.iter().flat_map(|commit| &commit.ids).any(|id| acknowledged.contains(id))
        })
        .expect("in time");
        let ran_before = self.runs_at_former();
        thread::sleep(TIME_WITH_SUCCESSOR);
        let ran = self.runs_at_former() - ran_before;
        println!(
            "{confirmed} commits of the old primary were confirmed beside the successor, and {ran} reads and writes ran there after the successor's first commit"
        );
    }

    /// Number of reads and writes of clients that the old primary has run.
    fn runs_at_former(&self) -> usize {
        let executed = self.group().executed_statements();
        executed.iter().filter(|run| run.instance == self.former).count()
    }
}

/// Guards against acknowledged writes that are lost.
#[test]
fn no_commit_is_acknowledged_that_the_successor_lacks() {
    let world = World::play();
    let log = world.group().log(&world.successor);
    let kept: BTreeSet<String> = log.into_iter().flat_map(|commit| commit.ids).collect();
    let acknowledged = [&world.inside, &world.outside].map(Clients::succeeded);
    let lost: Vec<&String> = acknowledged.iter().flat_map(|ids| ids.difference(&kept)).collect();
    assert!(lost.is_empty(), "{} acknowledged writes are lost: {lost:?}", lost.len());
}

/// Guards against statements that do not see what was acknowledged before they were sent.
#[test]
fn no_statement_runs_on_the_old_log_beside_the_successor() {
    let world = World::play();
    let violations = world.platform.clients.violations(&world.platform.groups);
    let shown: Vec<String> = violations.iter().take(MAX_SHOWN).map(ToString::to_string).collect();
    let count = violations.len();
    assert!(shown.is_empty(), "{count} statements broke a rule:\n{}", shown.join("\n"));
}
