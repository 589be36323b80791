//! Guards against statements of a refused transaction that run by themselves: a client that sends a
//! whole transaction without waiting had its `BEGIN` refused, and its `WRITE` committed alone.

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database};
use kestrellock_peer::message::TransactionState;
use kestrellock_platform::standin::lines::InstanceError;

fn start() -> Platform {
    let options = PlatformOptions { nodes: 1, ..PlatformOptions::default() };
    let platform = Platform::start(options).expect("it starts");
    platform.wait_until_ready().expect("it is ready");
    platform
}

fn open(platform: &Platform, name: &str) -> LineSession {
    let database = database(GROUPS[0], Consistency::Primary);
    LineSession::open(platform.client_addresses[0], &database, name).expect("it opens")
}

/// Sends the statements in one write, so that they arrive together.
fn send_at_once(session: &mut LineSession, name: &str, texts: &[&str]) {
    let lines = texts.iter().enumerate();
    let lines: String =
        lines.map(|(number, text)| format!("QUERY {name}{number} {text}\r\n")).collect();
    session.send(lines.as_bytes()).expect("it is sent");
}

fn read_answers(session: &mut LineSession, count: usize) -> Vec<Answer> {
    (0..count).map(|_| session.read_answer().expect("an answer")).collect()
}

/// Code and state of each answer; the code of a success is `COMPLETE`.
fn outcomes(answers: &[Answer]) -> Vec<(&str, TransactionState)> {
    answers.iter().map(|one| (one.error_code().unwrap_or("COMPLETE"), one.state)).collect()
}

/// Ids of the statements that instances ran.
fn ids_run(platform: &Platform) -> Vec<String> {
    platform.groups[0].executed_statements().into_iter().map(|run| run.id).collect()
}

const IDLE: TransactionState = TransactionState::Idle;

/// The statements up to the end of the transaction are refused with a promise that nothing is kept;
/// what is sent behind the end runs.
fn assert_refuses_the_transaction(platform: &Platform, begin: &str, begin_code: &str) {
    for (name, end, end_code) in [("c", "COMMIT", "ABORTED"), ("r", "ROLLBACK", "COMPLETE")] {
        let before = ids_run(platform).len();
        let mut session = open(platform, name);
        let texts = [begin, "READ seat", "SET color red", "WRITE seat a", end, "READ seat"];
        send_at_once(&mut session, name, &texts);
        let answers = read_answers(&mut session, texts.len());
        let expected = [
            (begin_code, IDLE),
            ("ABORTED", IDLE),
            ("COMPLETE", IDLE),
            ("ABORTED", IDLE),
            (end_code, IDLE),
            ("COMPLETE", IDLE),
        ];
        assert_eq!(outcomes(&answers), expected, "{begin} to {end}: {answers:?}");
        assert_eq!(answers[5].rows, ["nothing"]);
        assert_eq!(ids_run(platform)[before..], [format!("{name}5")]);
    }
}

#[test]
fn what_was_sent_behind_a_begin_that_the_instance_refuses_does_not_run() {
    let platform = start();
    platform.groups[0].set_begin_error(Some(InstanceError::Malformed));
    assert_refuses_the_transaction(&platform, "BEGIN", "MALFORMED");
    assert_refuses_the_transaction(&platform, "BEGIN READ", "MALFORMED");
}

#[test]
fn what_was_sent_behind_a_begin_that_finds_no_instance_in_time_does_not_run() {
    let platform = start();
    platform.groups[0].set_begin_error(Some(InstanceError::Busy));
    assert_refuses_the_transaction(&platform, "BEGIN", "BUSY");
}

#[test]
fn what_was_sent_behind_a_begin_that_is_malformed_does_not_run() {
    let platform = start();
    for begin in ["BEGIN now", " BEGIN", "begin", "BEGIN\tREAD", "BEGIN\n"] {
        assert_refuses_the_transaction(&platform, begin, "MALFORMED");
    }
}

/// The node refused a request at its deadline and read the next one, which had already arrived, only
/// when the client sent more.
#[test]
fn a_request_behind_one_that_is_refused_at_its_deadline_is_answered() {
    let platform = start();
    platform.groups[0].set_begin_error(Some(InstanceError::Busy));
    let mut session = open(&platform, "behind");
    send_at_once(&mut session, "b", &["BEGIN", "READ seat", "ROLLBACK"]);
    let answers = read_answers(&mut session, 3);
    assert_eq!(answers[0].error_code(), Some("BUSY"));
}

/// A line that had begun to arrive before the refusal belongs to the refused transaction, and so
/// does what arrives together with its end.
#[test]
fn a_line_that_arrives_in_two_parts_around_the_refusal_does_not_run() {
    let platform = start();
    platform.groups[0].set_begin_error(Some(InstanceError::Malformed));
    let mut session = open(&platform, "parts");
    session.send(b"QUERY p0 BEGIN\r\nQUERY p1 WRI").expect("it is sent");
    assert_eq!(outcomes(&read_answers(&mut session, 1)), [("MALFORMED", IDLE)]);
    session.send(b"TE seat a\r\nQUERY p2 WRITE seat b\r\nQUERY p3 COMMIT\r\n").expect("it is sent");
    let answers = read_answers(&mut session, 3);
    assert_eq!(outcomes(&answers), [("ABORTED", IDLE); 3], "{answers:?}");
    assert!(session.run("WRITE seat c").expect("an answer").is_success());
    assert_eq!(ids_run(&platform), ["parts-1"]);
}

#[test]
fn nothing_runs_behind_a_refused_begin_if_the_client_ends_the_session_in_the_transaction() {
    let platform = start();
    platform.groups[0].set_begin_error(Some(InstanceError::Malformed));
    let mut session = open(&platform, "end");
    let bytes = b"QUERY e0 BEGIN\r\nQUERY e1 WRITE seat a\r\nTERMINATE\r\nQUERY e2 COMMIT\r\n";
    session.send(bytes).expect("it is sent");
    while session.next_message().expect("a message or the end").is_some() {}
    assert!(ids_run(&platform).is_empty());
}

/// The state after a refused `BEGIN` is idle, and the next statement of a client that waits runs.
#[test]
fn a_client_that_waits_for_the_refusal_of_its_begin_goes_on_as_before() {
    let platform = start();
    for (error, code) in [(InstanceError::Malformed, "MALFORMED"), (InstanceError::Busy, "BUSY")] {
        platform.groups[0].set_begin_error(Some(error));
        let mut session = open(&platform, code);
        let refused = session.run("BEGIN").expect("an answer");
        assert_eq!((refused.error_code(), refused.state), (Some(code), IDLE));
        assert!(session.run("WRITE seat a").expect("an answer").is_success());
        platform.groups[0].set_begin_error(None);
        for text in ["BEGIN", "WRITE seat b", "COMMIT"] {
            assert!(session.run(text).expect("an answer").is_success(), "{text}");
        }
    }
}

/// A transaction that has begun is lost with its first refused statement: the commit that was sent
/// behind it must not keep the rest, whether the instance or the node refused the statement.
#[test]
fn a_commit_sent_behind_a_refused_statement_of_its_transaction_keeps_nothing() {
    let platform = start();
    let mut session = open(&platform, "node");
    send_at_once(
        &mut session,
        "n",
        &["BEGIN", "WRITE seat a", "WRITE seat", "READ seat", "COMMIT"],
    );
    let by_node = read_answers(&mut session, 5);
    assert_eq!(by_node[2].error_code(), Some("MALFORMED"), "{by_node:?}");
    assert_eq!(by_node[3].error_code(), Some("ABORTED"), "{by_node:?}");
    assert_eq!(outcomes(&by_node)[4], ("ABORTED", IDLE));
    send_at_once(&mut session, "i", &["BEGIN READ", "WRITE seat b", "WRITE seat c", "COMMIT"]);
    let by_instance = read_answers(&mut session, 4);
    assert_eq!(by_instance[1].error_code(), Some("READONLY"), "{by_instance:?}");
    assert!(by_instance[2].error_code().is_some(), "{by_instance:?}");
    let end = &by_instance[3];
    assert!(end.error_code().is_some() && end.state == IDLE, "{by_instance:?}");
    assert_eq!(session.run("READ seat").expect("an answer").rows, ["nothing"]);
}
