//! Guards against requests that stay unread: a client that sends a whole transaction without waiting
//! had its `BEGIN` refused, and nothing else was answered.

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database};
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
