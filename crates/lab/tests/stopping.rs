//! A planned stop: every node is replaced in turn while callers work, and no statement fails.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use kestrellock_daemon::node::Node;
use kestrellock_daemon::policy::Policy;
use kestrellock_lab::logins::password_of;
use kestrellock_lab::scenario::definition::Scenario;
use kestrellock_lab::scenario::deployment::Cluster;
use postgres::{Client, Config, NoTls, SimpleQueryMessage};

const SEED: u64 = 11;
const CALLERS: usize = 6;
const DATABASE: &str = "orders";
const TENANT: &str = "atlas";
const CONDITION_LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Statements of each caller between two replacements.
const STATEMENTS_BETWEEN: usize = 40;
const STOPPING: &str = "KL1404";

fn start() -> Cluster {
    let file =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios/rolling-restart.toml");
    let mut scenario = Scenario::load(&file).expect("the scenario is valid");
    scenario.deployment.deadline_ms = 20_000;
    Cluster::start(&scenario, SEED, Policy::Standard).expect("the cluster starts")
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let limit = Instant::now() + CONDITION_LIMIT;
    while !condition() {
        assert!(Instant::now() < limit, "not in time: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A caller that connects to the nodes in turn.
struct Caller<'a> {
    cluster: &'a Cluster,
    /// The node it is connected to.
    node: usize,
    next_node: usize,
    client: Option<Client>,
}

impl<'a> Caller<'a> {
    fn new(cluster: &'a Cluster, next_node: usize) -> Self {
        Self { cluster, node: 0, next_node: next_node % cluster.nodes.len(), client: None }
    }

    /// The connection; connects to the next node that accepts callers if there is none.
    fn client(&mut self) -> &mut Client {
        let limit = Instant::now() + CONDITION_LIMIT;
        if self.client.as_ref().is_some_and(Client::is_closed) {
            self.client = None;
        }
        while self.client.is_none() {
            assert!(Instant::now() < limit, "no node accepts callers");
            self.node = self.next_node;
            let address = self.cluster.nodes[self.node].address;
            self.next_node = (self.next_node + 1) % self.cluster.nodes.len();
            self.client = Config::new()
                .host(&address.ip().to_string())
                .port(address.port())
                .user(TENANT)
                .password(password_of(TENANT))
                .dbname(DATABASE)
                .connect(NoTls)
                .ok();
            if self.client.is_none() {
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        self.client.as_mut().expect("it was just made")
    }

    /// Runs a statement, on another node if this one said that it stops and has not run it.
    fn run(&mut self, sql: &str) -> Result<Vec<SimpleQueryMessage>, postgres::Error> {
        loop {
            match self.client().simple_query(sql) {
                Err(error) if is_stopping(&error) => self.client = None,
                result => return result,
            }
        }
    }

    /// Runs a transaction of two statements; one that the node did not begin goes elsewhere.
    fn transact(&mut self, statements: [&str; 2]) -> Result<(), postgres::Error> {
        self.run("BEGIN")?;
        let client = self.client.as_mut().expect("BEGIN has run on it");
        for sql in statements {
            client.simple_query(sql)?;
        }
        client.simple_query("COMMIT").map(|_| ())
    }
}

fn is_stopping(error: &postgres::Error) -> bool {
    error.as_db_error().is_some_and(|error| error.message().starts_with(STOPPING))
}

/// One caller's share of the load until `over`; what failed.
fn work(number: usize, cluster: &Cluster, done: &AtomicUsize, over: &AtomicBool) -> Vec<String> {
    let mut caller = Caller::new(cluster, number);
    let mut failed = Vec::new();
    let mut id = number * 1_000_000;
    while !over.load(Ordering::Acquire) {
        id += 2;
        let first = format!("INSERT INTO work VALUES ({id}, 'first')");
        let second = format!("INSERT INTO work VALUES ({}, 'second')", id + 1);
        let select = format!("SELECT body FROM work WHERE id = {id}");
        let mut check = |what: &str, result: Result<(), postgres::Error>| match result {
            Ok(()) => drop(done.fetch_add(1, Ordering::AcqRel)),
            Err(error) => failed.push(format!("{what}: {error:?}")),
        };
        if id.is_multiple_of(4) {
            check("transaction", caller.transact([&first, &second]));
        } else {
            check("insert", caller.run(&first).map(drop));
        }
        check("select", caller.run(&select).map(drop));
    }
    failed
}

fn counted(done: &AtomicUsize) -> usize {
    done.load(Ordering::Acquire)
}

#[test]
fn replacing_every_node_fails_no_statement() {
    let cluster = start();
    Caller::new(&cluster, 0)
        .run("CREATE TABLE work (id BIGINT PRIMARY KEY, body TEXT)")
        .expect("the table is made");
    let (done, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let failed: Vec<String> = std::thread::scope(|scope| {
        let (cluster, done, over) = (&cluster, &done, &over);
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| scope.spawn(move || work(number, cluster, done, over)))
            .collect();
        for (number, slot) in cluster.nodes.iter().enumerate() {
            let goal = counted(done) + CALLERS * STATEMENTS_BETWEEN;
            wait_until("callers work", || counted(done) >= goal);
            let node = slot.running().take().expect("it runs");
            node.stop();
            cluster.start_node(number).expect("it starts again");
        }
        let goal = counted(done) + CALLERS * STATEMENTS_BETWEEN;
        wait_until("callers work after the last replacement", || counted(done) >= goal);
        over.store(true, Ordering::Release);
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller ends")).collect()
    });
    cluster.stop();
    assert_eq!(failed, Vec::<String>::new());
}

#[test]
fn an_open_transaction_outlasts_the_stop_of_its_node() {
    let cluster = start();
    let mut caller = Caller::new(&cluster, 0);
    caller.run("CREATE TABLE work (id BIGINT PRIMARY KEY, body TEXT)").expect("the table is made");
    caller.run("BEGIN").expect("it begins");
    caller.run("INSERT INTO work VALUES (1, 'first')").expect("it runs");
    let node: Node = cluster.nodes[caller.node].running().take().expect("it runs");
    let context = node.context.clone();
    std::thread::scope(|scope| {
        let stopping = scope.spawn(|| node.stop());
        wait_until("the node leaves", || context.is_leaving());
        let client = caller.client.as_mut().expect("the transaction is on it");
        client.simple_query("INSERT INTO work VALUES (2, 'second')").expect("it still runs");
        assert!(!stopping.is_finished(), "the node waits for the transaction");
        client.simple_query("COMMIT").expect("it commits");
        stopping.join().expect("the node stops");
        let error = client.simple_query("SELECT 1").expect_err("the caller was sent away");
        assert!(is_stopping(&error), "{error:?}");
    });
    let rows = Caller::new(&cluster, caller.node + 1)
        .run("SELECT id FROM work")
        .expect("another node serves");
    let rows = rows.iter().filter(|message| matches!(message, SimpleQueryMessage::Row(_))).count();
    cluster.stop();
    assert_eq!(rows, 2);
}
