//! Mapping of clients' prepared statements to shared server connections.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use kestrellock_core::classify::StatementClass;
use kestrellock_core::outcome::ResultCode;
use kestrellock_postgres::collector::Collector;
use kestrellock_postgres::extended;
use kestrellock_postgres::frames;
use kestrellock_postgres::prepared::{MAX_STATEMENTS, PreparedSet};
use kestrellock_protocol::backend::ReplyAction;
use kestrellock_protocol::facts_cache::FactsCache;
use kestrellock_protocol::request::{NextRequest, Request, Timing};

fn message(tag: u8, parts: &[&[u8]]) -> Vec<u8> {
    let mut output = BytesMut::new();
    extended::put_message(tag, parts, &mut output);
    output.to_vec()
}

fn parse(name: &str, text: &str) -> Vec<u8> {
    message(b'P', &[name.as_bytes(), &[0], text.as_bytes(), &[0, 0, 0]])
}

fn bind(statement: &str) -> Vec<u8> {
    message(b'B', &[&[0], statement.as_bytes(), &[0, 0, 0, 0, 0, 0, 0]])
}

fn execute() -> Vec<u8> {
    message(b'E', &[&[0, 0, 0, 0, 0]])
}

fn close(statement: &str) -> Vec<u8> {
    message(b'C', &[b"S", statement.as_bytes(), &[0]])
}

fn describe(statement: &str) -> Vec<u8> {
    message(b'D', &[b"S", statement.as_bytes(), &[0]])
}

fn sync() -> Vec<u8> {
    message(b'S', &[])
}

fn next(collector: &mut Collector, messages: &[Vec<u8>]) -> NextRequest {
    let mut input = BytesMut::from(messages.concat().as_slice());
    let now = Instant::now();
    let timing = Timing { arrived: now, deadline: now };
    collector.next(&mut input, &mut FactsCache::default(), timing)
}

fn request(collector: &mut Collector, messages: &[Vec<u8>]) -> Request {
    match next(collector, messages) {
        NextRequest::Request(request) => request,
        other => panic!("not a request: {other:?}"),
    }
}

fn tags(messages: &[u8]) -> String {
    let mut buffer = BytesMut::from(messages);
    let mut tags = String::new();
    while let Some(frame) = frames::next_frame(&mut buffer).expect("message length") {
        tags.push(char::from(frame.tag));
    }
    assert!(buffer.is_empty(), "a message is truncated");
    tags
}

fn send(set: &mut PreparedSet, request: &Request) -> String {
    let mut output = BytesMut::new();
    set.put_exchange(&request.statements, &request.messages, &mut output);
    tags(&output)
}

/// Simulates an instance's answer and returns the tags of the messages that the client receives.
fn answer(set: &mut PreparedSet, tags: &str) -> String {
    let mut received = String::new();
    for tag in tags.bytes() {
        let bytes = Bytes::from(message(tag, &[]));
        match set.on_reply(&bytes) {
            ReplyAction::Forward => received.push(char::from(tag)),
            ReplyAction::Replace(bytes) => received.push(char::from(bytes[0])),
            ReplyAction::Discard => {}
        }
    }
    received
}

#[test]
fn missing_statement_is_created_and_existing_statement_is_reused() {
    let mut first_client = Collector::default();
    let mut second_client = Collector::default();
    let (mut first_set, mut second_set) = (PreparedSet::default(), PreparedSet::default());

    let prepare = request(&mut first_client, &[parse("s0", "SELECT 1"), describe("s0"), sync()]);
    assert!(!prepare.executes);
    assert_eq!(send(&mut first_set, &prepare), "PDS");
    assert_eq!(answer(&mut first_set, "1tTZ"), "1tTZ");

    let run = request(&mut first_client, &[bind("s0"), execute(), sync()]);
    assert_eq!(send(&mut first_set, &run), "BES");
    assert_eq!(answer(&mut first_set, "2DCZ"), "2DCZ");
    assert_eq!(send(&mut second_set, &run), "PBES", "missing on the second connection");
    assert_eq!(answer(&mut second_set, "12DCZ"), "2DCZ", "the client did not send this Parse");

    // Another client prepares the same text under another name on a connection that has it.
    let same =
        request(&mut second_client, &[parse("mine", "SELECT 1"), bind("mine"), execute(), sync()]);
    assert_eq!(send(&mut first_set, &same), "CBES");
    assert_eq!(answer(&mut first_set, "32DCZ"), "12DCZ");
    assert_eq!(first_set.len(), 1);
}

#[test]
fn client_close_keeps_the_shared_statement() {
    let mut client = Collector::default();
    let mut set = PreparedSet::default();
    let prepare = request(&mut client, &[parse("s0", "SELECT 1"), sync()]);
    send(&mut set, &prepare);
    answer(&mut set, "1Z");

    let only_close = request(&mut client, &[close("s0"), sync()]);
    assert!(only_close.is_local);
    assert_eq!(tags(&only_close.rollback_replies), "3");
    assert_eq!(set.len(), 1);

    let unknown = next(&mut client, &[bind("s0"), execute(), sync()]);
    assert!(
        matches!(unknown, NextRequest::Refused(refused) if refused.refusal.code == ResultCode::UnknownStatement)
    );
}

#[test]
fn unnamed_statement_is_not_shared_between_clients() {
    let mut owner = Collector::default();
    let mut other_client = Collector::default();
    let mut set = PreparedSet::default();
    let prepare = request(&mut owner, &[parse("", "SELECT secret"), sync()]);
    send(&mut set, &prepare);
    answer(&mut set, "1Z");
    let refused = next(&mut other_client, &[bind(""), execute(), sync()]);
    assert!(matches!(refused, NextRequest::Refused(_)));
    // The owner's unnamed statement is created again, because another client may have used the
    // connection in between.
    let run = request(&mut owner, &[bind(""), execute(), sync()]);
    assert_eq!(send(&mut set, &run), "PBES");
    assert_eq!(answer(&mut set, "12DCZ"), "2DCZ");
}

#[test]
fn statements_not_created_because_of_an_error_are_removed() {
    // (answer to a batch of two Parse messages, number of statements afterwards)
    for (replies, exist) in [("11Z", 2), ("1EZ", 1), ("EZ", 0)] {
        let mut client = Collector::default();
        let mut set = PreparedSet::default();
        let both = request(&mut client, &[parse("a", "SELECT 1"), parse("b", "SELECT 2"), sync()]);
        send(&mut set, &both);
        assert_eq!(answer(&mut set, replies), replies);
        assert_eq!(set.len(), exist, "after {replies}");
    }
}

#[test]
fn stale_statements_are_closed_and_created_again() {
    let mut client = Collector::default();
    let mut set = PreparedSet::default();
    let run = request(&mut client, &[parse("a", "SELECT 1"), bind("a"), execute(), sync()]);
    send(&mut set, &run);
    answer(&mut set, "12DCZ");
    let bytes = Bytes::from(message(b'E', &[b"SERROR\0C0A000\0Mcached plan\0\0"]));
    send(&mut set, &run);
    set.on_reply(&bytes);
    assert_eq!(send(&mut set, &run), "CPBES");
    assert_eq!(answer(&mut set, "312DCZ"), "12DCZ");
}

#[test]
fn number_of_statements_on_a_connection_is_bounded() {
    let mut client = Collector::default();
    let mut set = PreparedSet::default();
    for number in 0..3 * MAX_STATEMENTS {
        let text = format!("SELECT {number}");
        let run = request(&mut client, &[parse("a", &text), sync()]);
        send(&mut set, &run);
        let replies = if number > MAX_STATEMENTS { "31Z" } else { "1Z" };
        assert_eq!(answer(&mut set, replies), "1Z", "statement {number}");
    }
    assert!(set.len() <= MAX_STATEMENTS + 1, "{} statements", set.len());
}

#[test]
fn batch_class_combines_the_classes_of_its_statements() {
    use StatementClass::{Begin, Read, Write};
    let table: [(&[&str], StatementClass); 5] = [
        (&["SELECT 1"], Read),
        (&["SELECT 1", "SELECT 2"], Read),
        (&["SELECT 1", "DELETE FROM t"], Write),
        (&["DELETE FROM t", "SELECT 1"], Write),
        (&["BEGIN"], Begin),
    ];
    for (texts, class) in table {
        let mut messages = Vec::new();
        for text in texts {
            messages.extend([parse("", text), bind(""), execute()]);
        }
        messages.push(sync());
        let batch = request(&mut Collector::default(), &messages);
        assert_eq!(batch.class(), class, "{texts:?}");
        assert!(batch.executes);
    }
}

#[test]
fn unsupported_batch_is_refused_and_the_next_batch_is_served() {
    let flush = message(b'H', &[]);
    let cases = [
        (vec![parse("a", "SELECT 1"), flush, bind("a")], ResultCode::NotSupported),
        (vec![message(b'P', &[b"no terminator"])], ResultCode::ProtocolViolation),
        (vec![message(b'B', &[b""])], ResultCode::ProtocolViolation),
        (vec![message(b'@', &[b""])], ResultCode::ProtocolViolation),
        (vec![describe("nothing")], ResultCode::UnknownStatement),
    ];
    for (mut messages, code) in cases {
        messages.push(sync());
        let mut client = Collector::default();
        let refused = next(&mut client, &messages);
        assert!(
            matches!(&refused, NextRequest::Refused(refused) if refused.refusal.code == code),
            "{refused:?}"
        );
        let accepted = request(&mut client, &[parse("", "SELECT 1"), bind(""), execute(), sync()]);
        assert_eq!(tags(&accepted.messages), "PBES");
    }
}
