//! Which instances answer an attempt to connect. A firewall, a relay or a partition by resets can
//! accept and refuse connections. If that counted as an answer, a node behind it would stay in
//! service.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_core::ids::InstanceName;
use kestrellock_daemon::agent::isolation::instance_attempts::InstanceAttempts;
use kestrellock_net::source::SourceAddress;
use socket2::SockRef;

const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time limit of the test, longer than any attempt lasts.
const LIMIT: Duration = Duration::from_secs(10);
const FIRST_MESSAGES: &[u8] = b"first messages";

/// Starts an attempt at `address` and checks it until it ends. Returns whether the instance
/// answered.
fn attempt(address: SocketAddr) -> bool {
    let (mut attempts, instance) = (InstanceAttempts::default(), InstanceName::new("i"));
    attempts.start(
        &instance,
        SourceAddress::new(address.ip()),
        address,
        BytesMut::from(FIRST_MESSAGES),
    );
    let deadline = Instant::now() + LIMIT;
    while attempts.in_progress() > 0 {
        if attempts.take_answered() == [instance.clone()] {
            return true;
        }
        assert!(Instant::now() < deadline, "the attempt ends");
        thread::sleep(CHECK_INTERVAL);
    }
    false
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

#[test]
fn an_instance_that_sends_a_byte_after_the_first_messages_has_answered() {
    let (listener, address) = listen();
    let instance = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("it connects");
        let mut received = [0; FIRST_MESSAGES.len()];
        stream.read_exact(&mut received).expect("the first messages");
        assert_eq!(received, FIRST_MESSAGES);
        stream.write_all(b"a").expect("it is sent");
        stream
    });
    assert!(attempt(address));
    drop(instance.join().expect("the instance"));
}

#[test]
fn a_connection_that_is_accepted_and_stays_silent_is_no_answer() {
    let (_listener, address) = listen();
    assert!(!attempt(address));
}

#[test]
fn a_connection_that_is_reset_is_no_answer() {
    let (listener, address) = listen();
    let resetting = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("it connects");
        // Closing then sends a reset instead of the end of the stream.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("the option");
    });
    assert!(!attempt(address));
    resetting.join().expect("the thread");
}

#[test]
fn a_connection_that_is_refused_is_no_answer() {
    let (listener, address) = listen();
    drop(listener);
    assert!(!attempt(address));
}
