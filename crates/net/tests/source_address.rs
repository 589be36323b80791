//! Guards against connections that come from another address than their node's, so that the other
//! side takes them for another machine's.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use kestrellock_net::http::agent;
use kestrellock_net::source::{SourceAddress, is_connect_error};
use ureq::Agent;

const OWN: [u8; 4] = [127, 201, 0, 7];
/// Reserved for documentation, so that no machine has it.
const ABSENT: [u8; 4] = [192, 0, 2, 1];
const TIMEOUT: Duration = Duration::from_secs(5);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

fn caller(listener: &TcpListener) -> IpAddr {
    listener.accept().expect("a connection").1.ip()
}

#[test]
fn connections_come_from_the_source_address() {
    let (listener, address) = listener();
    let source = SourceAddress::new(OWN.into());
    let _blocking = source.connect(address, TIMEOUT).expect("it connects");
    assert_eq!(caller(&listener), IpAddr::from(OWN));
    let _non_blocking = source.start_connecting(address, |_| Ok(())).expect("it starts");
    assert_eq!(caller(&listener), IpAddr::from(OWN));
}

#[test]
fn http_calls_come_from_the_source_address() {
    let (listener, address) = listener();
    let server = thread::spawn(move || {
        let (mut stream, caller) = listener.accept().expect("a call");
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).expect("a request") > 0);
        stream.write_all(b"HTTP/1.1 204 None\r\nConnection: close\r\n\r\n").expect("answered");
        caller.ip()
    });
    let client = agent(Agent::config_builder().build(), SourceAddress::new(OWN.into()));
    let answer = client.get(format!("http://{address}/")).call().expect("an answer");
    assert_eq!(answer.status().as_u16(), 204);
    assert_eq!(server.join().expect("the server ends"), IpAddr::from(OWN));
}

/// A connection from another address would pass filters and partitions that hold for this one.
#[test]
fn an_address_that_the_machine_does_not_have_fails_without_a_connection() {
    let (listener, address) = listener();
    let source = SourceAddress::new(ABSENT.into());
    let blocking = source.connect(address, TIMEOUT).expect_err("it has another address");
    let non_blocking =
        source.start_connecting(address, |_| Ok(())).expect_err("it has another address");
    for error in [blocking, non_blocking] {
        assert_eq!(error.kind(), ErrorKind::AddrNotAvailable, "{error}");
        assert!(is_connect_error(&error), "a call counts as not sent");
    }
    listener.set_nonblocking(true).expect("it does not block");
    let accepted = listener.accept().map(|(_, caller)| caller);
    assert_eq!(accepted.expect_err("nobody connected").kind(), ErrorKind::WouldBlock);
}

#[test]
fn an_unspecified_address_or_one_of_the_other_family_leaves_the_choice_to_the_system() {
    let (listener, address) = listener();
    let of_the_other_family = SourceAddress::new(IpAddr::from([0, 0, 0, 0, 0, 0, 0, 1]));
    for source in [SourceAddress::ANY, of_the_other_family] {
        let _connection = source.connect(address, TIMEOUT).expect("it connects");
        assert_eq!(caller(&listener), address.ip());
    }
}
