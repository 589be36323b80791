//! Writes with a request id that no primary accepts before their deadline: the client learns which
//! ones may have run, and the request id does not affect the next request of the session.

mod support;

use std::time::Duration;

use kestrellock_daemon::policy::Policy;
use support::client::Client;
use support::scripted::{Scripted, ScriptedGroup};
use support::{MARK, Pair, wait_until};

const DEADLINE: Duration = Duration::from_millis(200);
/// Enough sessions to cover both cases: the last attempt of some writes fails after the deadline,
/// and others wait for a primary when the deadline expires.
const SESSIONS: usize = 12;
const REFUSED: Scripted = Scripted::LateError("25006");

/// Runs requests with a request id. The first attempt at the instance behaves as `first`, later
/// ones are refused as read-only. `before` is sent before the marked statement `sql`. Returns the
/// error messages.
fn refused_requests_with_id(first: Scripted, before: Option<&str>, sql: &str) -> Vec<String> {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, DEADLINE, Policy::Standard);
    let mut client = Client::connect(pair.address, &[]);
    wait_until("a primary", || client.query("INSERT INTO plain VALUES (0)").error.is_none());
    let mut messages = Vec::new();
    for session in 0..SESSIONS {
        let mut client = Client::connect(pair.address, &[]);
        group.script().on_marked = Scripted::Answer;
        let set_request_id = format!("SET kestrellock.request_id = '{MARK}-{session}'");
        assert_eq!(client.query(&set_request_id).error, None);
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
        wait_until("a complete answer to the next statement", || {
            let next = client.query("INSERT INTO plain VALUES (1)");
            assert!(next.error.is_some() || next.tags == ["INSERT 0 1"], "{session}: {next:?}");
            next.error.is_none()
        });
    }
    messages
}

#[test]
fn the_answer_after_a_write_with_request_id_that_no_primary_accepted_is_complete() {
    let messages = refused_requests_with_id(REFUSED, None, "INSERT INTO plain VALUES (2)");
    assert_eq!(messages.len(), SESSIONS);
}

#[test]
fn a_commit_in_doubt_stays_in_doubt_if_no_primary_accepts_the_query_for_its_request_id() {
    for message in refused_requests_with_id(Scripted::Close, Some("BEGIN"), "COMMIT") {
        assert!(message.contains("in doubt"), "{message}");
    }
}
