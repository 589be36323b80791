//! Connections that have not logged in when their node begins to leave.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_daemon::metrics::ConnectionEvent;
use kestrellock_lab::platform::{PlatformOptions, wait};
use kestrellock_platform::standin::lines;

use crate::answers::complete_answers;
use crate::counters::unanswered;
use crate::crossing::links;
use crate::{Stop, primary_database, sleep_until, start};

/// Delays of the links of clients, one way. Others connect directly.
const DELAYS_MS: [u64; 3] = [4, 60, 150];
/// Clients that connect over each link while the node begins to leave, and the time between them.
const NEW_CLIENTS: usize = 40;
const NEW_CLIENT_INTERVAL: Duration = Duration::from_millis(10);
/// Time between the logins of connections that rest, some of which are told of the stop before.
const LOGIN_INTERVAL: Duration = Duration::from_millis(40);
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// What became of a client that connected, logged in and asked in one go.
#[derive(Debug, PartialEq, Eq)]
enum FreshOutcome {
    /// The node does not listen any more.
    NotConnected,
    /// The login or the request was answered or refused.
    Answered,
    /// The connection ended without a word.
    Silent,
    /// Part of an answer arrived.
    Cut(String),
}

fn connect_and_ask(address: SocketAddr, number: usize) -> FreshOutcome {
    match TcpStream::connect(address) {
        Ok(stream) => log_in_and_ask(stream, number),
        Err(_) => FreshOutcome::NotConnected,
    }
}

fn log_in_and_ask(mut stream: TcpStream, number: usize) -> FreshOutcome {
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
    let mut input = BytesMut::new();
    lines::put_startup(&primary_database(), "fresh", &mut input);
    lines::put_statement(&format!("fresh-{number}"), "READ page", &mut input);
    if stream.write_all(&input).is_err() {
        return FreshOutcome::Silent;
    }
    read_outcome(stream)
}

fn read_outcome(mut stream: TcpStream) -> FreshOutcome {
    let (mut received, mut chunk) = (String::new(), [0; 1024]);
    loop {
        let is_refused_login = received.starts_with("ERROR ") && received.ends_with("\r\n");
        if is_refused_login || complete_answers(received.as_bytes()) == 1 {
            return FreshOutcome::Answered;
        }
        match stream.read(&mut chunk) {
            Ok(length @ 1..) => received.push_str(&String::from_utf8_lossy(&chunk[..length])),
            Err(error) if error.kind() == ErrorKind::WouldBlock => panic!("no answer in time"),
            _ if received.is_empty() => return FreshOutcome::Silent,
            _ => return FreshOutcome::Cut(received),
        }
    }
}

/// Guards against a connection that the node accepts and closes without an answer to the request
/// that came with the login. A connection that the node never accepted is not counted: closing the
/// listener resets it, and no process has read its request.
#[test]
fn new_connection_that_logs_in_and_asks_at_once_gets_an_answer_or_a_refusal() {
    let platform = start(PlatformOptions::default());
    let (_network, mut addresses) = links(&platform, &DELAYS_MS);
    addresses.push(platform.client_addresses[0]);
    let context = platform.nodes().next().expect("a node").context.clone();
    let opened_before = context.metrics.client_connections.get(ConnectionEvent::Opened);
    let refused_before = context.metrics.client_connections.get(ConnectionEvent::Refused);
    let begin = Instant::now() + Duration::from_millis(50);
    let clients: Vec<_> = addresses
        .iter()
        .flat_map(|address| (0..NEW_CLIENTS).map(move |number| (*address, number)))
        .map(|(address, number)| {
            std::thread::spawn(move || {
                sleep_until(begin + NEW_CLIENT_INTERVAL * number as u32);
                connect_and_ask(address, number)
            })
        })
        .collect();
    sleep_until(begin + NEW_CLIENT_INTERVAL * (NEW_CLIENTS as u32 / 2));
    let stop = Stop::begin(platform);
    let outcomes: Vec<FreshOutcome> =
        clients.into_iter().map(|client| client.join().expect("it ends")).collect();
    stop.finish();
    let count = |kind: &FreshOutcome| outcomes.iter().filter(|one| *one == kind).count() as u64;
    let connections = &context.metrics.client_connections;
    let opened = connections.get(ConnectionEvent::Opened) - opened_before;
    let refused = connections.get(ConnectionEvent::Refused) - refused_before;
    let answered = count(&FreshOutcome::Answered);
    assert!(outcomes.iter().all(|one| !matches!(one, FreshOutcome::Cut(_))), "{outcomes:?}");
    assert!(answered >= opened, "{answered} answered, {opened} opened, {refused}: {outcomes:?}");
    assert!(answered > NEW_CLIENTS as u64 / 4, "{outcomes:?}");
    assert_eq!(unanswered(&context), 0);
}

/// Guards against a connection that rests before its login, and that the node closes without a word
/// while the login and the first request are on their way.
#[test]
fn login_that_crosses_the_end_of_a_resting_connection_gets_an_answer_or_a_refusal() {
    let platform = start(PlatformOptions::default());
    let (_network, mut addresses) = links(&platform, &DELAYS_MS);
    addresses.push(platform.client_addresses[0]);
    let context = platform.nodes().next().expect("a node").context.clone();
    let opened = || context.metrics.client_connections.get(ConnectionEvent::Opened);
    let opened_before = opened();
    let connections: Vec<(usize, TcpStream)> = addresses
        .iter()
        .flat_map(|address| (0..NEW_CLIENTS).map(move |number| (*address, number)))
        .map(|(address, number)| (number, TcpStream::connect(address).expect("it connects")))
        .collect();
    let count = connections.len() as u64;
    wait("the node has accepted them", || opened() - opened_before == count).expect("in time");
    let stop = Stop::begin(platform);
    let began = stop.began;
    let clients: Vec<_> = connections
        .into_iter()
        .map(|(number, stream)| {
            std::thread::spawn(move || {
                sleep_until(began + LOGIN_INTERVAL * number as u32);
                log_in_and_ask(stream, number)
            })
        })
        .collect();
    let outcomes: Vec<FreshOutcome> =
        clients.into_iter().map(|client| client.join().expect("it ends")).collect();
    assert!(outcomes.iter().all(|one| *one == FreshOutcome::Answered), "{outcomes:?}");
    stop.finish();
    assert_eq!(unanswered(&context), 0);
}
