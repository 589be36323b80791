//! Keyed writes that no primary takes before their deadline: the client hears what may have run, and
//! nothing of the key touches the session's next request.

mod support;

use std::time::Duration;

use kestrellock_daemon::policy::Policy;
use support::client::Client;
use support::scripted::{Scripted, ScriptedGroup};
use support::{MARK, Pair, wait_until};

const SHORT: Duration = Duration::from_millis(200);
/// Some writes come back from their last attempt after the deadline, others are held when it
/// passes: enough sessions to see both.
const SESSIONS: usize = 12;
const REFUSED: Scripted = Scripted::LateError("25006");

/// Runs keyed requests whose instance is read-only from the second attempt on, and `first` before.
/// `before` goes out in front, `sql` is the marked statement. Returns the error messages.
fn refused_keyed_requests(first: Scripted, before: Option<&str>, sql: &str) -> Vec<String> {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, SHORT, Policy::Standard);
    let mut client = Client::connect(pair.address, &[]);
    wait_until("a primary", || client.query("INSERT INTO plain VALUES (0)").error.is_none());
    let mut messages = Vec::new();
    for session in 0..SESSIONS {
        let mut client = Client::connect(pair.address, &[]);
        group.script().on_marked = Scripted::Answer;
        let key = format!("SET kestrellock.request_id = '{MARK}-{session}'");
        assert_eq!(client.query(&key).error, None);
        if let Some(before) = before {
            assert_eq!(client.query(before).error, None);
        }
        let statement = format!("{sql} /* {MARK} session-{session}- */");
        group.script().on_marked = first;
        client.send(&statement);
        wait_until("the first attempt", || group.seen(&statement) > 0);
        group.script().on_marked = REFUSED;
        let (_, message) = client.answer().error.expect("a refusal");
        messages.push(message);
        wait_until("a whole answer", || {
            let next = client.query("INSERT INTO plain VALUES (1)");
            assert!(next.error.is_some() || next.tags == ["INSERT 0 1"], "{session}: {next:?}");
            next.error.is_none()
        });
    }
    messages
}

#[test]
fn the_answer_after_a_keyed_write_that_found_no_primary_is_whole() {
    let messages = refused_keyed_requests(REFUSED, None, "INSERT INTO plain VALUES (2)");
    assert_eq!(messages.len(), SESSIONS);
}

#[test]
fn a_keyed_commit_in_doubt_stays_in_doubt_when_its_record_finds_no_primary() {
    for message in refused_keyed_requests(Scripted::Close, Some("BEGIN"), "COMMIT") {
        assert!(message.contains("in doubt"), "{message}");
    }
}
