//! The whole path on the users' platform: sessions, transactions, routes, bad input, a store that
//! is away, instances and nodes that leave.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::judged::JudgedPlatform;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};
use kestrellock_peer::message::TransactionState;
use kestrellock_platform::standin::entries::{CONFIGURATION_KEY, InstanceEntry};
use kestrellock_platform::standin::lines::ServerMessage;

fn start() -> JudgedPlatform {
    let platform = start_with(PlatformOptions::default());
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn start_with(options: PlatformOptions) -> JudgedPlatform {
    JudgedPlatform(Platform::start(options).expect("it starts"))
}

fn open(platform: &Platform, node: usize, consistency: Consistency, name: &str) -> LineSession {
    let database = database(GROUPS[0], consistency);
    platform.open_session(node, &database, name).expect("it opens")
}

fn run(session: &mut LineSession, text: &str) -> kestrellock_lab::platform::client::Answer {
    session.run(text).expect("an answer")
}

/// Status and body of a page of a node.
fn page(address: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("it connects");
    write!(stream, "GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
        .expect("it is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    let status = answer.split(' ').nth(1).expect("a status").parse().expect("a number");
    (status, answer)
}

#[test]
fn values_and_prepared_names_stay_with_their_sessions_on_shared_connections() {
    let platform = start();
    let mut sessions: Vec<LineSession> = (0..8)
        .map(|number| open(&platform, 0, Consistency::Session, &format!("s{number}")))
        .collect();
    let mut expected = Vec::new();
    for round in 0..6 {
        for (number, session) in sessions.iter_mut().enumerate() {
            // Every second session has no values at all.
            if number % 2 == 0 {
                run(session, &format!("SET color c{number}-{round}"));
            }
            run(session, &format!("PREPARE same READ shape{number}"));
            let id = session.next_statement_id();
            assert!(run(session, "EXECUTE same page").is_success());
            expected.push((id, number, round));
        }
    }
    let runs = platform.groups[0].executed_statements();
    for (id, number, round) in expected {
        let run = runs.iter().find(|run| run.id == id).expect("it ran");
        let color = run.values.get("color");
        let wanted = (number % 2 == 0).then(|| format!("c{number}-{round}"));
        assert_eq!(color, wanted.as_ref(), "{id}");
        assert_eq!(run.text, format!("shape{number} page"), "{id}");
    }
}

#[test]
fn a_transaction_rests_with_its_connection_and_is_rolled_back_with_its_caller() {
    let platform = start();
    let mut writer = open(&platform, 0, Consistency::Primary, "w");
    assert!(run(&mut writer, "WRITE seat free").is_success());
    let mut ids = Vec::new();
    let mut texts = vec!["BEGIN".to_owned()];
    texts.extend((0..10).map(|number| format!("WRITE seat taken{number}")));
    for text in &texts {
        ids.push(writer.next_statement_id());
        let answer = run(&mut writer, text);
        assert!(answer.is_success(), "{text}: {answer:?}");
        assert_eq!(answer.state, TransactionState::Open);
    }
    let runs = platform.groups[0].executed_statements();
    let connections: std::collections::BTreeSet<u64> = runs
        .iter()
        .filter(|run| ids.contains(&run.id))
        .map(|run| {
            assert!(run.in_transaction, "{}", run.id);
            run.connection
        })
        .collect();
    assert_eq!(connections.len(), 1, "one connection runs the whole transaction");
    drop(writer);
    let mut reader = open(&platform, 1, Consistency::Primary, "r");
    assert_eq!(run(&mut reader, "READ seat").rows, ["free"]);
    assert!(run(&mut reader, "WRITE seat other").is_success(), "nothing holds it");
}

#[test]
fn a_route_that_goes_binds_from_the_next_transaction_also_for_sessions_that_exist() {
    let mut platform = start();
    let gone = database(GROUPS[0], Consistency::Primary);
    let mut session = open(&platform, 0, Consistency::Primary, "s");
    assert!(run(&mut session, "BEGIN").is_success());
    platform.configure(&[&gone]);
    wait("the route is gone", || {
        platform.nodes().all(|node| node.context.catalog.load().open_database(&gone).is_none())
    })
    .expect("in time");
    assert!(run(&mut session, "WRITE seat x").is_success(), "the transaction goes on");
    assert!(run(&mut session, "COMMIT").is_success());
    assert_eq!(run(&mut session, "READ seat").error_code(), Some("NODB"));
    let refused =
        LineSession::open(platform.client_addresses[0], &gone, "late").err().expect("refused");
    assert!(refused.to_string().starts_with("NODB"), "{refused}");
    platform.configure(&[]);
    wait("the route is back", || run(&mut session, "READ seat").is_success()).expect("in time");
}

#[test]
fn bad_input_is_answered_or_closed_and_nobody_else_notices() {
    let platform = start();
    let mut bystander = open(&platform, 0, Consistency::Session, "bystander");
    // What is sent behind a good start-up, and the word of the answer; none if it only closes.
    let table: [(&[u8], Option<&str>); 5] = [
        (b"DANCE now\r\n", Some("MALFORMED")),
        (b"QUERY\r\n", Some("MALFORMED")),
        (b"QUERY x WRITE onlything\r\n", Some("MALFORMED")),
        (b"QUERY \xff\xfe READ x\r\n", Some("MALFORMED")),
        (b"TERMINATE\r\n", None),
    ];
    for (bytes, word) in table {
        let mut session = open(&platform, 0, Consistency::Session, "bad");
        session.send(bytes).expect("it is sent");
        let heard = session.next_message().expect("an answer or the end");
        match (heard, word) {
            (None, None) => {}
            (Some(ServerMessage::Error(found, _)), Some(word)) => {
                assert_eq!(found, word);
            }
            other => panic!("{other:?}"),
        }
        assert!(run(&mut bystander, "READ anything").is_success());
    }
    let mut oversized = open(&platform, 0, Consistency::Session, "large");
    // Whoever refuses it may close before all of it is taken.
    let _ = oversized.send(&vec![b'x'; 2 * 1024 * 1024]);
    let heard = oversized.next_message().ok().flatten();
    assert!(!matches!(heard, Some(ServerMessage::Row(_))));
    assert!(run(&mut bystander, "READ anything").is_success());
}

#[test]
fn statements_sent_ahead_are_answered_in_order() {
    let platform = start();
    let mut session = open(&platform, 0, Consistency::Primary, "eager");
    for number in 0..5 {
        session.send_statement(&format!("WRITE ahead v{number}")).expect("it is sent");
        session.send_statement("READ ahead").expect("it is sent");
    }
    for number in 0..5 {
        assert!(session.read_answer().expect("an answer").is_success());
        let read = session.read_answer().expect("an answer");
        assert_eq!(read.rows, [format!("v{number}")]);
    }
}

#[test]
fn a_caller_that_never_speaks_holds_nothing_up() {
    let platform = start();
    let silent: Vec<LineSession> = (0..50)
        .map(|_| LineSession::connect(platform.client_addresses[0], "silent").expect("it connects"))
        .collect();
    let mut half = LineSession::connect(platform.client_addresses[0], "half").expect("it connects");
    half.send(b"START").expect("it is sent");
    let mut session = open(&platform, 0, Consistency::Session, "s");
    assert!(run(&mut session, "READ x").is_success());
    drop(silent);
}

#[test]
fn an_entry_that_cannot_be_read_changes_nothing_for_others() {
    let platform = start();
    let mut session = open(&platform, 0, Consistency::Primary, "s");
    let revision = |platform: &Platform| {
        platform.nodes().map(|node| node.context.catalog.load().revision.0).min().unwrap_or(0)
    };
    platform.store.put(&InstanceEntry::key("i-broken"), b"{\"zone\": 7");
    platform.store.put(CONFIGURATION_KEY, b"not even JSON");
    let mark = revision(&platform);
    assert!(run(&mut session, "WRITE x 1").is_success());
    let mut other = open(&platform, 1, Consistency::Primary, "o");
    assert_eq!(run(&mut other, "READ x").rows, ["1"]);
    assert!(revision(&platform) >= mark, "nothing goes back");
}

#[test]
fn a_node_waits_unready_while_the_store_is_away_or_empty_and_says_why() {
    let options = PlatformOptions { nodes: 1, configured: false, ..PlatformOptions::default() };
    let mut platform = start_with(options);
    let (status, body) = page(platform.admin_addresses[0], "/readyz");
    assert_eq!(status, 503);
    assert!(body.contains("no configuration has arrived"), "{body}");
    let refused = LineSession::open(platform.client_addresses[0], "anything", "early").err();
    assert!(refused.expect("refused").to_string().contains("KL1301"));
    platform.store.set_outage(true);
    platform.store.set_outage(false);
    platform.configure(&[]);
    wait("the node is ready", || page(platform.admin_addresses[0], "/readyz").0 == 200)
        .expect("in time");
    let mut session = open(&platform, 0, Consistency::Primary, "s");
    assert!(run(&mut session, "WRITE x 1").is_success());
}

/// Swanreach: after all machines had lost power, callers that came before the configuration did were
/// refused, came back at once, and had used up their attempts when it arrived.
#[test]
fn a_caller_that_comes_before_the_first_configuration_is_served_once_that_has_arrived() {
    let options = PlatformOptions { nodes: 1, configured: false, ..PlatformOptions::default() };
    let mut platform = start_with(options);
    let mut early = TcpStream::connect(platform.client_addresses[0]).expect("it accepts");
    let database = database(GROUPS[0], Consistency::Primary);
    early.write_all(format!("STARTUP {database} early\r\n").as_bytes()).expect("it is sent");
    platform.configure(&[]);
    let mut answer = [0; 5];
    early.read_exact(&mut answer).expect("it is answered");
    assert_eq!(&answer, b"READY");
}

#[test]
fn a_leaving_instance_gets_no_first_statement() {
    let platform = start();
    let group = &platform.groups[0];
    let leaving = group.instances().pop().expect("an instance");
    group.leave(&leaving);
    wait("every node has heard", || {
        platform.nodes().all(|node| {
            let catalog = node.context.catalog.load();
            let mut instances = catalog.groups.values().flat_map(|group| &group.instances);
            instances.any(|one| one.name.as_str() == leaving && one.leaving)
        })
    })
    .expect("in time");
    let before = group.executed_statements().len();
    for node in 0..3 {
        let mut session = open(&platform, node, Consistency::Bounded, &format!("late{node}"));
        for _ in 0..20 {
            let read = run(&mut session, "READ x");
            assert!(read.is_success(), "{read:?}");
        }
    }
    let later = &group.executed_statements()[before..];
    assert!(later.iter().all(|run| run.instance != leaving), "{leaving} was given work");
}

#[test]
fn a_planned_stop_closes_sessions_between_requests_and_ends_open_transactions_half_way() {
    let mut platform = start();
    let mut idle = open(&platform, 0, Consistency::Session, "idle");
    assert!(run(&mut idle, "READ x").is_success());
    let mut short = open(&platform, 0, Consistency::Primary, "short");
    assert!(run(&mut short, "BEGIN").is_success());
    assert!(run(&mut short, "WRITE short 1").is_success());
    let mut long = open(&platform, 0, Consistency::Primary, "long");
    assert!(run(&mut long, "BEGIN").is_success());
    assert!(run(&mut long, "WRITE long 1").is_success());
    let stopping = std::thread::spawn(move || {
        platform.stop_node(0);
        platform
    });
    assert!(run(&mut short, "COMMIT").is_success(), "there is time for that");
    short.await_end_notice("BUSY").expect("the session ends behind its transaction");
    drop(short);
    idle.await_end_notice("BUSY").expect("the session that rests is told to go elsewhere");
    drop(idle);
    // The client learns that its transaction is lost while the node still waits for its next request.
    long.await_end_notice("ABORTED").expect("the transaction that rests is ended");
    assert!(!stopping.is_finished(), "the node waits for its client");
    let state = long.cross_end_notice("COMMIT", "ABORTED").expect("a refusal");
    assert_eq!(state, TransactionState::Idle);
    drop(long);
    let platform = stopping.join().expect("it stops");
    let mut reader = open(&platform, 1, Consistency::Primary, "r");
    assert_eq!(run(&mut reader, "READ short").rows, ["1"]);
    assert_eq!(run(&mut reader, "READ long").rows, ["nothing"]);
}

/// Atlas grown, hunt-f39c-3: callers that logged in as their node began to leave were sent away behind the
/// answer to that, with their first request on the way.
#[test]
fn a_caller_that_has_just_logged_in_when_its_node_begins_to_leave_is_served_once() {
    let mut platform = start();
    let context = platform.nodes().next().expect("a node").context.clone();
    let mut caller = open(&platform, 0, Consistency::Primary, "new");
    let stopping = std::thread::spawn(move || {
        platform.stop_node(0);
        platform
    });
    wait("the node leaves", || context.is_leaving()).expect("in time");
    // Long enough for the node to look at its sessions several times.
    std::thread::sleep(Duration::from_millis(100));
    assert!(run(&mut caller, "WRITE page 1").is_success());
    caller.await_end_notice("BUSY").expect("sent away behind the answer");
    drop(caller);
    stopping.join().expect("it stops");
}

#[test]
fn a_transaction_that_rests_too_long_is_ended() {
    let platform = start();
    let mut session = open(&platform, 0, Consistency::Primary, "s");
    assert!(run(&mut session, "BEGIN").is_success());
    assert!(run(&mut session, "WRITE x 1").is_success());
    std::thread::sleep(Duration::from_millis(3_300));
    let answer = run(&mut session, "WRITE x 2");
    assert_eq!(answer.error_code(), Some("ABORTED"));
    assert_eq!(answer.state, TransactionState::Failed);
    assert!(run(&mut session, "ROLLBACK").is_success());
    assert_eq!(run(&mut session, "READ x").rows, ["nothing"]);
}

#[test]
fn reads_are_no_older_than_their_route_allows_when_a_replica_hears_nothing() {
    let platform = start();
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let deaf = group.instances().into_iter().find(|one| *one != primary).expect("a replica");
    let mut writer = open(&platform, 0, Consistency::Session, "w");
    assert!(run(&mut writer, "WRITE price 1").is_success());
    group.set_replication_blocked(&deaf, true);
    assert!(run(&mut writer, "WRITE price 2").is_success());
    let written = Instant::now();
    assert_eq!(run(&mut writer, "READ price").rows, ["2"], "its own write");
    let mut readers: Vec<LineSession> = (0..3)
        .map(|node| open(&platform, node, Consistency::Bounded, &format!("r{node}")))
        .collect();
    let mut primaries: Vec<LineSession> = (0..3)
        .map(|node| open(&platform, node, Consistency::Primary, &format!("p{node}")))
        .collect();
    while written.elapsed() < Duration::from_millis(3_000) {
        for reader in &mut primaries {
            assert_eq!(run(reader, "READ price").rows, ["2"], "a route to the primary");
        }
        for reader in &mut readers {
            let begun = written.elapsed();
            let rows = run(reader, "READ price").rows;
            let may_be_old = begun < Duration::from_millis(1_500);
            assert!(rows == ["2"] || may_be_old, "{rows:?} after {begun:?}");
        }
    }
}

/// Gidanmu with six of eight machines gone for good: nodes waited for the evidence of those, and
/// counted them when a primary was suspected.
#[test]
fn a_node_that_is_stopped_takes_its_entry_back_and_one_that_dies_does_not() {
    let mut platform = start();
    let keys: Vec<String> = platform
        .nodes()
        .map(|node| format!("kestrellock/nodes/{}", node.context.identity.node))
        .collect();
    assert!(keys.iter().all(|key| platform.store.value(key).is_some()));
    platform.stop_node(0);
    platform.kill_node(1);
    wait("the entry is gone", || platform.store.value(&keys[0]).is_none()).expect("in time");
    assert!(platform.store.value(&keys[1]).is_some());
}
