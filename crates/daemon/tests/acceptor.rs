//! Which connections a listener hands on before it closes.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use kestrellock_daemon::net::acceptor::Acceptor;

/// Atlas grown, hunt-f39c-3: a node of 0.12 core began to leave while connections were taken in by the
/// system and not yet by its acceptor, which got no processor time. They were reset with the listener,
/// a request on each.
#[test]
fn connections_that_came_before_the_end_are_handed_on() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a mode");
    let address = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(address).expect("the system takes it in");
    client.write_all(b"request").expect("it is sent");
    let mut taken = Vec::new();
    let acceptor = Acceptor::new(listener).expect("it starts");
    acceptor.run(|| true, || {}, |stream| taken.push(stream));
    let mut stream = taken.pop().expect("it is handed on");
    stream.set_nonblocking(false).expect("a mode");
    let mut request = [0; 7];
    stream.read_exact(&mut request).expect("it is there");
    assert_eq!(&request, b"request");
}
