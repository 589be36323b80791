//! The relay that a partition can close: what it holds back, passes on and loses.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use kestrellock_lab::standin::listener::reset_on_close;
use kestrellock_lab::standin::relay::{Partition, Relay};

/// Time for which nothing may arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(30);

struct Setup {
    partition: Arc<Partition>,
    relay: Relay,
    listener: TcpListener,
}

fn start() -> Setup {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("it listens");
    let partition = Arc::<Partition>::default();
    let target = listener.local_addr().expect("an address");
    let relay = Relay::start(target, partition.clone(), Arc::new(|_| {})).expect("it starts");
    Setup { partition, relay, listener }
}

impl Setup {
    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.relay.address()).expect("it connects")
    }

    /// Both ends of a connection that has carried a byte.
    fn connected(&self) -> (TcpStream, TcpStream) {
        let mut client = self.connect();
        let (mut server, _) = self.listener.accept().expect("a connection");
        client.write_all(b"0").expect("it is sent");
        server.set_read_timeout(Some(ARRIVAL_TIMEOUT)).expect("a timeout");
        server.read_exact(&mut [0]).expect("it arrives");
        (client, server)
    }
}

fn assert_nothing_arrives(server: &mut TcpStream) {
    server.set_read_timeout(Some(QUIET_PERIOD)).expect("a timeout");
    let error = server.read(&mut [0]).expect_err("nothing arrives");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    server.set_read_timeout(Some(ARRIVAL_TIMEOUT)).expect("a timeout");
}

#[test]
fn held_bytes_of_a_closed_connection_arrive_in_order() {
    let setup = start();
    let (mut client, mut server) = setup.connected();
    setup.partition.begin();
    client.write_all(b"first ").expect("it is sent");
    client.write_all(b"second").expect("it is sent");
    drop(client);
    assert_nothing_arrives(&mut server);
    setup.partition.end();
    let mut text = String::new();
    server.read_to_string(&mut text).expect("the stream ends");
    assert_eq!(text, "first second");
}

#[test]
fn held_bytes_of_a_reset_connection_are_lost() {
    let setup = start();
    let (mut client, mut server) = setup.connected();
    setup.partition.begin();
    client.write_all(b"lost").expect("it is sent");
    std::thread::sleep(QUIET_PERIOD);
    reset_on_close(&client);
    drop(client);
    std::thread::sleep(QUIET_PERIOD);
    setup.partition.end();
    let mut received = Vec::new();
    // The connection ends with or without an error.
    let _ = server.read_to_end(&mut received);
    assert_eq!(received, b"");
}

#[test]
fn answers_are_held_back_too() {
    let setup = start();
    let (mut client, mut server) = setup.connected();
    setup.partition.begin();
    server.write_all(b"answer").expect("it is sent");
    assert_nothing_arrives(&mut client);
    setup.partition.end();
    let mut answer = [0; 6];
    client.read_exact(&mut answer).expect("it arrives");
    assert_eq!(&answer, b"answer");
}

#[test]
fn a_connection_of_the_partition_carries_nothing_if_it_is_closed_before_the_end() {
    let setup = start();
    setup.partition.begin();
    let mut client = setup.connect();
    client.write_all(b"lost").expect("it is sent");
    drop(client);
    std::thread::sleep(QUIET_PERIOD);
    setup.partition.end();
    std::thread::sleep(QUIET_PERIOD);
    setup.listener.set_nonblocking(true).expect("a mode");
    assert!(setup.listener.accept().is_err(), "the connection was never established");
}

#[test]
fn a_connection_of_the_partition_works_after_it() {
    let setup = start();
    setup.partition.begin();
    let mut client = setup.connect();
    client.write_all(b"kept").expect("it is sent");
    std::thread::sleep(QUIET_PERIOD);
    setup.partition.end();
    let (mut server, _) = setup.listener.accept().expect("a connection");
    let mut received = [0; 4];
    server.read_exact(&mut received).expect("it arrives");
    assert_eq!(&received, b"kept");
}
