//! Connections that a listener still accepts while it closes.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_daemon::net::acceptor::Acceptor;

/// A node with 0.12 CPU cores started to leave when the operating system had accepted connections
/// but the acceptor thread had not run yet. Closing the listener reset them, with a request on
/// each.
#[test]
fn connections_that_are_pending_at_the_close_are_delivered() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("non-blocking mode");
    let address = listener.local_addr().expect("its address");
    let mut client = TcpStream::connect(address).expect("the operating system accepts it");
    client.write_all(b"request").expect("it is sent");
    let mut accepted = Vec::new();
    let acceptor = Acceptor::new(listener).expect("it starts");
    acceptor.run(|| true, || {}, |stream| accepted.push(stream));
    let mut stream = accepted.pop().expect("it is delivered");
    stream.set_nonblocking(false).expect("blocking mode");
    let mut request = [0; 7];
    stream.read_exact(&mut request).expect("the request is readable");
    assert_eq!(&request, b"request");
}

/// An acceptor looked at its stop condition only after a connection or every 200 ms, so that a node
/// accepted clients for that long after it had started to leave, and the stop waited for it.
#[test]
fn acceptor_that_is_woken_stops_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("non-blocking mode");
    let acceptor = Acceptor::new(listener).expect("it starts");
    let waker = acceptor.waker();
    let is_stopping = Arc::new(AtomicBool::new(false));
    let (flag, (started, has_started)) = (is_stopping.clone(), mpsc::channel());
    let running = thread::spawn(move || {
        started.send(()).expect("the test waits");
        acceptor.run(|| flag.load(Ordering::Acquire), || {}, |_| {});
    });
    has_started.recv().expect("it runs");
    thread::sleep(Duration::from_millis(50));
    is_stopping.store(true, Ordering::Release);
    let woken = Instant::now();
    waker.wake().expect("it is woken");
    running.join().expect("it stops");
    assert!(woken.elapsed() < Duration::from_millis(100), "{:?}", woken.elapsed());
}
