//! The last messages of sessions that their node ends while a request or a transaction is in
//! progress.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_core::catalog::Consistency;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use kestrellock_lab::logins::password_of;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{Customer, GROUPS, Platform, PlatformOptions, database, wait};
use kestrellock_lab::scenario::definition::Scenario;
use kestrellock_lab::scenario::deployment::Cluster;
use kestrellock_peer::message::TransactionState;
use kestrellock_platform::standin::lines::{self, ServerMessage};
use postgres::{Client, Config, NoTls};

const SEED: u64 = 11;
const TENANT: &str = "atlas";
/// Time limit of a request, longer than a stop.
const REQUEST_LIMIT_MS: u64 = 20_000;
/// Duration of a stop.
const DRAIN_LIMIT: Duration = Duration::from_millis(1_500);
/// Time in which a statement reaches its instance, or a lost connection is noticed. The final
/// refusals come more than a second later.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Time in which replicas receive all commits.
const REPLICATION_LIMIT: Duration = Duration::from_secs(10);
/// Sessions that end while their node leaves.
const LINE_SESSIONS: usize = 8;

/// Forwards one PostgreSQL connection and records what the node sends.
struct Recorder {
    address: SocketAddr,
    received: Arc<Mutex<Vec<u8>>>,
    thread: JoinHandle<()>,
}

impl Recorder {
    fn start(node: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let record = Arc::clone(&received);
        let thread = std::thread::spawn(move || {
            let (mut client, _) = listener.accept().expect("a connection");
            let mut server = TcpStream::connect(node).expect("it connects");
            let mut requests = client.try_clone().expect("a stream");
            let mut target = server.try_clone().expect("a stream");
            std::thread::spawn(move || {
                // Either side may close at any time.
                let _ = std::io::copy(&mut requests, &mut target);
                let _ = target.shutdown(Shutdown::Write);
            });
            let mut chunk = [0; 4096];
            while let Ok(count @ 1..) = server.read(&mut chunk) {
                record.lock().expect("a record").extend_from_slice(&chunk[..count]);
                let _ = client.write_all(&chunk[..count]);
            }
            let _ = client.shutdown(Shutdown::Both);
        });
        Self { address, received, thread }
    }

    /// Waits for the end of the connection; the messages since the first `skipped` bytes.
    fn messages_after(self, skipped: usize) -> Vec<(char, String)> {
        self.thread.join().expect("it ends");
        let received = self.received.lock().expect("a record");
        let (mut rest, mut messages) = (&received[skipped..], Vec::new());
        while let [tag, a, b, c, d, body @ ..] = rest {
            let length = u32::from_be_bytes([*a, *b, *c, *d]) as usize - 4;
            messages.push((*tag as char, String::from_utf8_lossy(&body[..length]).into_owned()));
            rest = &body[length..];
        }
        messages
    }

    fn recorded(&self) -> usize {
        self.received.lock().expect("a record").len()
    }
}

fn start_cluster() -> Cluster {
    let file =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios/rolling-restart.toml");
    let mut scenario = Scenario::load(&file).expect("the scenario is valid");
    scenario.deployment.deadline_ms = REQUEST_LIMIT_MS;
    Cluster::start(&scenario, SEED, Policy::Standard).expect("the cluster starts")
}

fn connect(address: SocketAddr) -> Result<Client, postgres::Error> {
    let mut config = Config::new();
    config.host(&address.ip().to_string()).port(address.port());
    config.user(TENANT).password(password_of(TENANT)).dbname("orders").connect(NoTls)
}

/// Connects to a node once it accepts clients.
fn client_of(cluster: &Cluster, node: usize) -> Client {
    let mut client = None;
    wait("the node accepts clients", || {
        client = connect(cluster.nodes[node].address).ok();
        client.is_some()
    })
    .expect("in time");
    client.expect("it is connected")
}

fn run(client: &mut Client, sql: &str) {
    client.simple_query(sql).unwrap_or_else(|error| panic!("{sql}: {error:?}"));
}

/// Creates a table with the row 0, and the table of the request keys.
fn create_tables(client: &mut Client) {
    run(client, "CREATE TABLE work (id BIGINT PRIMARY KEY, body TEXT)");
    run(client, "SET kestrellock.request_id = 'first'");
    run(client, "INSERT INTO work VALUES (0, 'first')");
}

fn has_rows(cluster: &Cluster, table: &str, count: usize) -> bool {
    cluster.groups[0].servers.final_rows(table).is_some_and(|rows| rows.len() == count)
}

/// Sends a request to the first node, calls `interrupt` while it is in progress, and stops the
/// node. Returns the error that the client library reports, and all messages after the request.
fn refused_at_the_end_of_the_stop(
    cluster: &Cluster,
    before: &[&str],
    sql: &str,
    interrupt: impl FnOnce(),
) -> (String, Vec<(char, String)>) {
    let recorder = Recorder::start(cluster.nodes[0].address);
    let mut client = connect(recorder.address).expect("it connects");
    before.iter().for_each(|sql| run(&mut client, sql));
    let node = cluster.nodes[0].running().take().expect("it runs");
    let mut settings = Settings::loopback(NodeName::new("node"), ZoneName::new("zone"));
    settings.drain_limit = DRAIN_LIMIT;
    node.reload(&settings);
    let skipped = recorder.recorded();
    let error = std::thread::scope(|scope| {
        let request =
            scope.spawn(|| client.simple_query(sql).expect_err("its outcome is not known"));
        interrupt();
        std::thread::sleep(SETTLING_TIME);
        assert!(!request.is_finished(), "the request was answered before the stop");
        node.stop();
        request.join().expect("it is refused")
    });
    let error = error.as_db_error().map_or_else(|| error.to_string(), |one| one.message().into());
    drop(client);
    (error, recorder.messages_after(skipped))
}

fn assert_single_refusal(error: &str, messages: &[(char, String)], start: &str) {
    assert!(error.starts_with(start), "{error}; {messages:?}");
    let [('E', text)] = messages else { panic!("not a single error: {messages:?}") };
    assert!(text.contains(&format!("\0M{start}")), "{text:?}");
}

fn assert_in_doubt(error: &str, messages: &[(char, String)]) {
    assert!(error.starts_with("KL16") && error.contains(" in doubt"), "{error}; {messages:?}");
    assert_single_refusal(error, messages, error);
}

fn keyed_transaction() -> [&'static str; 3] {
    ["SET kestrellock.request_id = 'second'", "BEGIN", "INSERT INTO work VALUES (1, 'second')"]
}

/// A request with a key commits at an instance, whose connections are lost before its answer. The
/// attempt that would determine the outcome finds no instance.
fn assert_commit_in_doubt(before: &[&str], sql: &str) {
    let cluster = start_cluster();
    create_tables(&mut client_of(&cluster, 1));
    let servers = &cluster.groups[0].servers;
    servers.hang_after_commit(servers.primary().expect("a primary"));
    let (error, messages) = refused_at_the_end_of_the_stop(&cluster, before, sql, || {
        wait("it commits", || has_rows(&cluster, "work", 2)).expect("in time");
        (0..3).for_each(|instance| servers.kill(instance));
    });
    (0..3).for_each(|instance| servers.restart(instance));
    cluster.stop();
    assert_in_doubt(&error, &messages);
}

/// Guards against a committed transaction that is refused as not run while its retry is unsent.
#[test]
fn commit_with_a_request_key_that_took_effect_is_not_refused_as_not_run() {
    assert_commit_in_doubt(&keyed_transaction(), "COMMIT");
}

/// Guards against a committed statement that is refused as not run while its retry is unsent.
#[test]
fn statement_with_a_request_key_that_took_effect_is_not_refused_as_not_run() {
    let set_key = ["SET kestrellock.request_id = 'second'"];
    assert_commit_in_doubt(&set_key, "INSERT INTO work VALUES (1, 'second')");
}

/// Guards against a notice behind the refusal of a running retry: libraries report the notice.
#[test]
fn commit_with_a_request_key_whose_retry_is_running_stays_in_doubt() {
    let cluster = start_cluster();
    create_tables(&mut client_of(&cluster, 1));
    let servers = &cluster.groups[0].servers;
    assert!(servers.wait_for_replicas(REPLICATION_LIMIT), "the replicas have the tables");
    let primary = servers.primary().expect("a primary");
    // The commit does not reach a replica, so the retry abandons the transaction at the next
    // primary. No instance answers a commit.
    (0..3).for_each(|instance| servers.hang_after_commit(instance));
    (0..3)
        .filter(|instance| *instance != primary)
        .for_each(|replica| servers.set_receiving(replica, false));
    let before = keyed_transaction();
    let (error, messages) = refused_at_the_end_of_the_stop(&cluster, &before, "COMMIT", || {
        wait("it commits", || has_rows(&cluster, "work", 2)).expect("in time");
        servers.kill(primary);
        (0..3).for_each(|instance| servers.set_receiving(instance, true));
        wait("the retry runs", || {
            has_rows(&cluster, "work", 1) && has_rows(&cluster, "kestrellock_requests", 2)
        })
        .expect("in time");
    });
    servers.restart(primary);
    cluster.stop();
    assert_in_doubt(&error, &messages);
}

/// Guards against a notice behind the refusal of a running write: libraries report the notice.
#[test]
fn write_in_progress_at_the_end_of_the_stop_gets_one_refusal_and_no_notice_behind_it() {
    let cluster = start_cluster();
    let mut holder = client_of(&cluster, 1);
    create_tables(&mut holder);
    run(&mut holder, "BEGIN");
    run(&mut holder, "UPDATE work SET body = 'held' WHERE id = 0");
    let write = "UPDATE work SET body = 'second' WHERE id = 0";
    let (error, messages) = refused_at_the_end_of_the_stop(&cluster, &["SELECT 1"], write, || {});
    drop(holder);
    cluster.stop();
    assert_single_refusal(&error, &messages, "KL1606 in doubt");
}

fn start_platform() -> Platform {
    let platform = Platform::start(PlatformOptions::default()).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn next(session: &mut LineSession) -> Option<ServerMessage> {
    session.next_message().expect("a message or the end of the stream")
}

/// Guards against a refusal that is lost because TERMINATE has arrived behind its request.
#[test]
fn refused_begin_with_terminate_behind_it_gets_its_refusal_before_the_connection_ends() {
    let mut platform = start_platform();
    let name = database(GROUPS[0], Consistency::Primary);
    let open = |number| {
        let name_of_session = format!("session-{number}");
        LineSession::open(platform.client_addresses[0], &name, &name_of_session).expect("it opens")
    };
    let mut sessions: Vec<LineSession> = (0..LINE_SESSIONS).map(open).collect();
    for session in &mut sessions {
        assert!(session.run("READ page").expect("an answer").is_success());
    }
    let context = platform.nodes().next().expect("a node").context.clone();
    std::thread::scope(|scope| {
        scope.spawn(|| platform.stop_node(0));
        wait("the node leaves", || context.is_leaving()).expect("in time");
        for (number, mut session) in sessions.into_iter().enumerate() {
            let mut segment = BytesMut::new();
            lines::put_statement(&format!("begin-{number}"), "BEGIN", &mut segment);
            segment.extend_from_slice(b"TERMINATE\r\n");
            session.send(&segment).expect("it is sent");
            let (refusal, state) = (next(&mut session), next(&mut session));
            let is_refusal =
                matches!(&refusal, Some(ServerMessage::Error(code, _)) if code == "BUSY");
            assert!(is_refusal, "session {number}: {refusal:?}, {state:?}");
            let is_idle = matches!(state, Some(ServerMessage::Ready(TransactionState::Idle)));
            assert!(is_idle, "session {number}: {state:?}");
            let end = Instant::now() + DRAIN_LIMIT;
            while next(&mut session).is_some() {
                assert!(Instant::now() < end, "session {number} does not end");
            }
        }
    });
}

/// Sends a statement behind the notice; the state of the transaction in its refusal.
fn state_in_refusal(session: &mut LineSession, text: &str) -> TransactionState {
    session.send_statement(text).expect("it is sent");
    match next(session) {
        Some(ServerMessage::Ready(state)) => state,
        other => panic!("{text}: expected the end of the notice, got {other:?}"),
    }
}

fn assert_revocation_notice(session: &mut LineSession) {
    let notice = next(session);
    let is_notice = matches!(&notice, Some(ServerMessage::Error(code, _)) if code == "UNAUTH");
    assert!(is_notice, "{notice:?}");
}

/// Guards against a refusal that reports an aborted transaction as one that can still be used.
#[test]
fn revoked_session_reports_its_aborted_transaction_as_failed_until_the_client_ends_it() {
    let mut platform = start_platform();
    let customer = |keys: &[&str]| Customer {
        name: "atlas".to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        quota: (10_000.0, 10_000.0),
    };
    platform.configure_customers(&[customer(&["old", "new"])]);
    wait("every node knows the customer", || {
        platform.nodes().all(|node| node.context.catalog.load().accounts.len() == 1)
    })
    .expect("in time");
    let name = database(GROUPS[0], Consistency::Primary);
    let address = platform.client_addresses[0];
    let mut session =
        LineSession::open_with_key(address, &name, "old", "revoked").expect("it opens");
    wait("it begins", || session.run("BEGIN").expect("an answer").is_success()).expect("in time");
    let answer = session.run("WRITE seat taken").expect("an answer");
    assert_eq!(answer.state, TransactionState::Open, "{answer:?}");
    platform.configure_customers(&[customer(&["new"])]);
    assert_revocation_notice(&mut session);
    assert_eq!(state_in_refusal(&mut session, "READ seat"), TransactionState::Failed);
    assert_revocation_notice(&mut session);
    assert_eq!(state_in_refusal(&mut session, "COMMIT"), TransactionState::Idle);
    assert_revocation_notice(&mut session);
    assert_eq!(state_in_refusal(&mut session, "READ seat"), TransactionState::Idle);
}
