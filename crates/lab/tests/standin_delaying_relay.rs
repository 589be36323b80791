//! The relay of a link that delays: what arrives, when, and in which order.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_lab::standin::delaying_relay::{DelayingRelay, LinkDelay};
use kestrellock_lab::standin::listener::reset_on_close;

const DELAY: Duration = Duration::from_millis(300);
/// A delay whose handshake outlasts the test's client.
const LONG_DELAY: Duration = Duration::from_secs(1);

struct Setup {
    delay: Arc<LinkDelay>,
    relay: DelayingRelay,
    listener: TcpListener,
}

fn start(delay: Duration) -> Setup {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("it listens");
    let delay = Arc::new(LinkDelay::new(delay));
    let target = listener.local_addr().expect("an address");
    let relay = DelayingRelay::start(target, delay.clone(), Arc::new(|_| {})).expect("it starts");
    Setup { delay, relay, listener }
}

impl Setup {
    /// Both ends of a connection that has carried a byte.
    fn connected(&self) -> (TcpStream, TcpStream) {
        let mut client = TcpStream::connect(self.relay.address()).expect("it connects");
        let (mut server, _) = self.listener.accept().expect("a connection");
        client.write_all(b"0").expect("it is sent");
        server.read_exact(&mut [0]).expect("it arrives");
        (client, server)
    }
}

fn receive(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut received = vec![0; count];
    stream.read_exact(&mut received).expect("it arrives");
    received
}

/// Guards against a reset that overtakes the bytes before it.
#[test]
fn bytes_before_a_reset_arrive_after_the_delay_and_the_reset_behind_them() {
    let setup = start(DELAY);
    let (mut client, mut server) = setup.connected();
    setup.delay.begin();
    let sent = Instant::now();
    client.write_all(b"call").expect("it is sent");
    reset_on_close(&client);
    drop(client);
    assert_eq!(receive(&mut server, 4), b"call");
    assert!(sent.elapsed() >= DELAY, "the link delays the bytes");
    let mut rest = Vec::new();
    // The connection ends with or without an error.
    let _ = server.read_to_end(&mut rest);
    assert_eq!(rest, b"");
}

/// Guards against answers that are faster than what they answer.
#[test]
fn answers_are_delayed_too() {
    let setup = start(DELAY);
    let (mut client, mut server) = setup.connected();
    setup.delay.begin();
    let sent = Instant::now();
    server.write_all(b"answer").expect("it is sent");
    assert_eq!(receive(&mut client, 6), b"answer");
    assert!(sent.elapsed() >= DELAY, "the link delays the answer");
}

/// Guards against bytes that overtake others when the link stops delaying.
#[test]
fn bytes_keep_their_order_when_the_delay_ends() {
    let setup = start(DELAY);
    let (mut client, mut server) = setup.connected();
    setup.delay.begin();
    client.write_all(b"first ").expect("it is sent");
    // The relay has to read the first bytes before the delay ends.
    std::thread::sleep(DELAY / 3);
    setup.delay.end();
    client.write_all(b"second").expect("it is sent");
    assert_eq!(receive(&mut server, 12), b"first second");
}

/// Guards against bytes of a client that gave up before its connection was established.
#[test]
fn a_connection_that_is_reset_during_its_handshake_carries_nothing() {
    let setup = start(LONG_DELAY);
    setup.delay.begin();
    let mut client = TcpStream::connect(setup.relay.address()).expect("it connects");
    client.write_all(b"lost").expect("it is sent");
    reset_on_close(&client);
    drop(client);
    std::thread::sleep(LONG_DELAY * 3);
    setup.listener.set_nonblocking(true).expect("a mode");
    assert!(setup.listener.accept().is_err(), "the connection was never established");
}
