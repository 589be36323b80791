//! Guards against instances running what no client has sent, on the whole way from the bytes of a
//! client to the instance: a statement inside the text of another one, or under the proxy's own id.

use bytes::BytesMut;
use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database};
use kestrellock_peer::message::TransactionState;
use kestrellock_platform::standin::lines::put_startup;

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

fn run(session: &mut LineSession, text: &str) -> Answer {
    session.run(text).expect("an answer")
}

/// Refused as not run, with the numbered error of a protocol violation.
fn assert_malformed(answer: &Answer, line: &str) {
    let refused = matches!(&answer.outcome, Err((code, text))
        if code == "MALFORMED" && text.starts_with("KL1001 not run"));
    assert!(refused && answer.state == TransactionState::Idle, "{line:?}: {answer:?}");
}

/// The proxy sends values, prepared statements and startup messages itself, so a line end inside
/// one of them would become a statement of the proxy. Nothing of a refused line may run, and the
/// session goes on with what it had before.
#[test]
fn a_line_end_or_a_false_id_inside_a_statement_reaches_no_instance() {
    let platform = start();
    let mut session = open(&platform, "odd");
    assert!(run(&mut session, "SET color red").is_success());
    assert!(run(&mut session, "PREPARE page READ shape").is_success());
    let lines = [
        "QUERY x1 WRITE seat a\nQUERY y1 WRITE seat b",
        "QUERY x2 WRITE seat a\rQUERY y2 WRITE seat b",
        "QUERY x3 SET color a\nQUERY y3 WRITE seat b",
        "QUERY x4 SET color a\rb",
        "QUERY x5 PREPARE page READ q\rQUERY y5 WRITE seat b",
        "QUERY x6 PREPARE pa\nge READ q",
        "QUERY x8 EXECUTE page seat\nQUERY y8 WRITE seat b",
        "QUERY - WRITE seat a",
        "QUERY  READ seat",
    ];
    for line in lines {
        session.send(format!("{line}\r\n").as_bytes()).expect("it is sent");
        assert_malformed(&session.read_answer().expect("an answer"), line);
    }
    let id = session.next_statement_id();
    assert!(run(&mut session, "EXECUTE page seat").is_success());
    let runs = platform.groups[0].executed_statements();
    let [only] = &runs[..] else { panic!("{runs:?}") };
    assert_eq!((&only.id, only.text.as_str()), (&id, "shape seat"));
    assert_eq!(only.values.get("color").map(String::as_str), Some("red"));
}

/// A client that ends its start-up with a bare LF is told so, and does not wait for the time-out.
#[test]
fn a_startup_that_holds_a_bare_line_end_is_refused_at_once() {
    let platform = start();
    let database = database(GROUPS[0], Consistency::Primary);
    let startup = |key: &str| {
        let mut line = BytesMut::new();
        put_startup(&database, key, &mut line);
        line
    };
    let mut unfinished = startup("key\n");
    unfinished.truncate(unfinished.len() - b"\r\n".len());
    for line in [unfinished, startup("k\ney"), startup("k\rey")] {
        let mut session =
            LineSession::connect(platform.client_addresses[0], "odd").expect("it connects");
        session.send(&line).expect("it is sent");
        assert_eq!(session.next_notice().expect("a refusal"), "MALFORMED", "{line:?}");
        assert!(session.next_message().expect("the end").is_none());
    }
}
