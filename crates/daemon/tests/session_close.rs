//! How a node closes the connection of a client that it refuses or that ends its session.

mod support;

use std::io::Write;
use std::thread;
use std::time::Duration;

use kestrellock_daemon::metrics::{Label, UnansweredRequest};
use kestrellock_daemon::policy::Policy;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use support::client::Client;
use support::lines::{LineClient, LineNode, login_line};
use support::scripted::ScriptedGroup;
use support::{Pair, wait_until};

/// Time in which the answers to requests fill the buffers between node and client.
const STALL: Duration = Duration::from_millis(500);
/// Pause before each of the client's reads: the node's kernel buffer stays full.
const READ_PAUSE: Duration = Duration::from_millis(5);
/// Requests whose answers exceed the kernel's buffers.
const LONG_REQUESTS: usize = 24;
const LONG_NAME_BYTES: usize = 500_000;
/// Bytes of each row of an answer that exceeds what a node buffers for a client.
const LARGE_ROW_BYTES: usize = 900_000;
/// More input than a node reads before it handles a start-up.
const UNREAD_BYTES: usize = 64 * 1024;

fn assert_nothing_unanswered(line_node: &LineNode) {
    let counted = &line_node.node().context.metrics.unanswered_requests;
    for reason in UnansweredRequest::ALL {
        assert_eq!(counted.get(*reason), 0, "{reason:?}");
    }
}

/// The node closed the connection right after the refusal of a login. With input that it had not
/// read, TCP sent a reset, which can destroy the refusal.
#[test]
fn refused_login_ends_with_the_end_of_the_stream() {
    let line_node = LineNode::start(|_| {});
    drop(LineClient::connect(line_node.address));
    let mut client = LineClient::open(line_node.address);
    let mut input = login_line("unknown").into_bytes();
    input.resize(UNREAD_BYTES, b'x');
    client.send_bytes(&input);
    let (lines, end) = client.lines_to_close();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].starts_with("ERROR NODB"), "{lines:?}");
    end.expect("the end of the stream, not a reset");
}

/// A request that violates the protocol refuses the session. What the client sends behind it was
/// not read, so TCP sent a reset.
#[test]
fn protocol_error_ends_with_the_end_of_the_stream() {
    let line_node = LineNode::start(|_| {});
    let mut client = LineClient::connect(line_node.address);
    let mut input = b"QUERY 1 SET a b\r\nNONSENSE\r\n".to_vec();
    input.resize(1_500_000, b'x');
    client.send_bytes(&input);
    let (lines, end) = client.lines_to_close();
    let words: Vec<_> = lines.iter().filter_map(|line| line.split(' ').next()).collect();
    assert_eq!(words, ["COMPLETE", "READY", "ERROR"], "{lines:?}");
    end.expect("the end of the stream, not a reset");
    assert_nothing_unanswered(&line_node);
}

/// Sends long requests and then `last` without reading, then reads everything. Returns the first
/// word of each line.
fn read_late(line_node: &LineNode, last: &'static str) -> Vec<String> {
    let mut client = LineClient::connect(line_node.address);
    let mut sender = client.sender();
    let sending = thread::spawn(move || {
        let name = "n".repeat(LONG_NAME_BYTES);
        let request = format!("QUERY 1 EXECUTE {name} k\r\n");
        for _ in 0..LONG_REQUESTS {
            sender.write_all(request.as_bytes()).expect("the connection is open");
        }
        sender.write_all(last.as_bytes()).expect("the connection is open");
    });
    thread::sleep(STALL);
    let mut words = Vec::new();
    loop {
        thread::sleep(READ_PAUSE);
        let line = client.line().expect("a line or the end of the stream");
        if line.is_empty() {
            break;
        }
        assert!(line.starts_with("READY") || line.len() > 10, "a whole line: {line}");
        words.push(line.split(' ').next().unwrap_or_default().to_owned());
    }
    sending.join().expect("everything is sent");
    words
}

/// A protocol error behind requests whose answers the kernel had not taken: the node closed the
/// connection and dropped them.
#[test]
fn protocol_error_does_not_drop_earlier_answers() {
    let line_node = LineNode::start(|_| {});
    let words = read_late(&line_node, "NONSENSE\r\n");
    assert_eq!(words.len(), 2 * LONG_REQUESTS + 1, "{words:?}");
    assert_nothing_unanswered(&line_node);
}

/// A client that ends its session behind requests whose answers the kernel had not taken: the node
/// closed the connection and dropped them.
#[test]
fn end_of_session_does_not_drop_earlier_answers() {
    let line_node = LineNode::start(|_| {});
    let words = read_late(&line_node, "TERMINATE\r\n");
    assert_eq!(words.len(), 2 * LONG_REQUESTS, "{words:?}");
    assert_nothing_unanswered(&line_node);
}

/// A request that is on its way when the session's credential is taken away gets the same refusal
/// as the session, and a complete answer.
#[test]
fn request_that_crosses_a_revocation_is_refused() {
    let line_node = LineNode::start(|_| {});
    let mut client = LineClient::connect(line_node.address);
    line_node.revoke();
    assert!(client.line().expect("the notice").starts_with("ERROR UNAUTH"));
    client.send("QUERY 1 READ k");
    assert!(client.line().expect("the rest of the answer").starts_with("READY I"));
    assert!(client.line().expect("the next notice").starts_with("ERROR UNAUTH"));
    assert_nothing_unanswered(&line_node);
}

/// The end of a client's stream counts as its departure: a request in front of it does not run,
/// because its client may have abandoned it.
#[test]
fn request_of_a_client_that_has_left_does_not_run() {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, Duration::from_secs(5), Policy::Standard);
    let mut client = Client::connect(pair.address, &[]);
    client.query("SELECT 'first'");
    let front = pair.front.as_ref().expect("it runs");
    front.set_paused(true);
    thread::sleep(STALL);
    client.send("INSERT INTO t VALUES ('abandoned')");
    client.end_stream();
    front.set_paused(false);
    assert!(client.try_answer().is_none());
    assert_eq!((group.seen("first"), group.seen("abandoned")), (1, 0));
}

/// A client that does not read an answer is disconnected once the node would have to buffer too much
/// of it, and the request counts as one without a complete answer, for that reason.
#[test]
fn client_that_does_not_read_is_counted() {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, Duration::from_secs(20), Policy::Standard);
    let mut client = Client::connect(pair.gateway_address, &[]);
    let value = "v".repeat(LARGE_ROW_BYTES);
    client.send(&format!("SELECT '{value}' AS large"));
    let counted = &pair.gateway.as_ref().expect("it runs").context.metrics.unanswered_requests;
    wait_until("the client is disconnected", || counted.get(UnansweredRequest::OutputLimit) == 1);
    assert!(client.try_answer().is_none());
    for reason in UnansweredRequest::ALL {
        let expected = u64::from(*reason == UnansweredRequest::OutputLimit);
        assert_eq!(counted.get(*reason), expected, "{reason:?}");
    }
}

/// Logins in progress that fill the node.
const PENDING_LOGINS: usize = 1024;
/// File descriptors that such a test needs: two for each connection, and others.
const DESCRIPTORS: u64 = 4096;

/// A node that has no room for a client refused it and closed the connection, with a start-up in it
/// that nobody had read: TCP sent a reset, which can destroy the refusal.
#[test]
fn client_without_room_gets_its_refusal_and_the_end_of_the_stream() {
    raise_descriptor_limit();
    let line_node = LineNode::start(|_| {});
    drop(LineClient::connect(line_node.address));
    let pending: Vec<_> =
        (0..PENDING_LOGINS).map(|_| LineClient::open(line_node.address)).collect();
    line_node.node().set_paused(true);
    thread::sleep(STALL);
    let mut client = LineClient::open(line_node.address);
    client.send_bytes(login_line("db").as_bytes());
    line_node.node().set_paused(false);
    let (lines, end) = client.lines_to_close();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].starts_with("ERROR BUSY"), "{lines:?}");
    end.expect("the end of the stream, not a reset");
    drop(pending);
}

fn raise_descriptor_limit() {
    let limit = getrlimit(Resource::Nofile);
    let current = limit.current.map_or(DESCRIPTORS, |current| current.max(DESCRIPTORS));
    let raised = Rlimit { current: Some(current), ..limit };
    setrlimit(Resource::Nofile, raised).expect("enough file descriptors");
}
