//! Callers that break the protocol: each gets a numbered error or a close, and nobody else notices.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use kestrellock_daemon::front::MAX_PENDING_LOGINS;
use kestrellock_lab::bench::login::{Credentials, open};
use kestrellock_lab::demo::Demo;
use kestrellock_lab::logins::password_of;
use support::connect;

const LIMIT: Duration = Duration::from_secs(30);

/// Everything the node says until it closes.
fn said_until_close(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(LIMIT)).expect("read limit");
    let mut said = Vec::new();
    let mut chunk = [0_u8; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => said.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(error) => panic!("the node neither answered nor closed: {error}"),
        }
    }
    String::from_utf8_lossy(&said).into_owned()
}

fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connects");
    // The node may close before it has read everything.
    let _ = stream.write_all(bytes);
    stream
}

fn startup(version: u32, parameters: &[u8]) -> Vec<u8> {
    let mut message = (8 + parameters.len() as u32).to_be_bytes().to_vec();
    message.extend_from_slice(&version.to_be_bytes());
    message.extend_from_slice(parameters);
    message
}

fn logged_in(address: SocketAddr) -> TcpStream {
    let credentials = Credentials {
        user: "atlas".to_owned(),
        password: password_of("atlas"),
        database: "orders".to_owned(),
    };
    open(address, &credentials).expect("login")
}

#[test]
fn a_caller_that_breaks_the_protocol_is_refused_and_nobody_else_notices() {
    let demo = Demo::start().expect("demonstration");
    let mut witness = connect(&demo, 0);
    let address = demo.client_addresses[0];
    let parameters = b"user\0atlas\0database\0orders\0\0";
    let sasl = [&startup(0x0003_0000, parameters)[..], b"Q\0\0\0\x0dSELECT 1\0"].concat();
    let before_login: &[(&str, Vec<u8>, &str)] = &[
        ("garbage", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(), "KL1002"),
        ("zero length", vec![0; 64], "KL1001"),
        ("version 2", startup(0x0002_0000, parameters), "KL1001"),
        ("version 4", startup(0x0004_0000, parameters), "KL1001"),
        ("oversized", [&0x7FFF_FFFF_u32.to_be_bytes()[..], &[0; 32]].concat(), "KL1002"),
        ("a query in place of a proof", sasl, "KL1001"),
    ];
    for (name, bytes, code) in before_login {
        let said = said_until_close(send(address, bytes));
        assert!(said.contains(code), "{name}: {said:?}");
    }
    let truncated = send(address, &startup(0x0003_0000, parameters)[..12]);
    truncated.shutdown(Shutdown::Write).expect("half close");
    assert_eq!(said_until_close(truncated), "");

    let after_login: &[(&str, &[u8], &str)] = &[
        ("oversized", b"Q\x7F\xFF\xFF\xFFSELECT", "KL1002"),
        ("negative length", b"Q\xFF\xFF\xFF\xFFSELECT", "KL1001"),
        ("length below itself", b"Q\0\0\0\x01", "KL1001"),
    ];
    for (name, bytes, code) in after_login {
        let mut stream = logged_in(address);
        stream.write_all(bytes).expect("sent");
        let said = said_until_close(stream);
        assert!(said.contains(code), "{name}: {said:?}");
    }
    witness.simple_query("SELECT 1").expect("the witness goes on");
    demo.stop();
}

#[test]
fn a_flood_of_half_open_connections_keeps_no_logged_in_caller_out() {
    let demo = Demo::start().expect("demonstration");
    let mut witness = connect(&demo, 0);
    let address = demo.client_addresses[0];
    let flood: Vec<TcpStream> =
        (0..MAX_PENDING_LOGINS).map(|_| TcpStream::connect(address).expect("connects")).collect();
    let refused = said_until_close(TcpStream::connect(address).expect("connects"));
    assert!(refused.contains("KL1003"), "{refused:?}");
    witness.simple_query("SELECT 1").expect("the witness goes on");
    drop(flood);
    // As the flood goes, others come in again.
    connect(&demo, 0);
    demo.stop();
}

#[test]
fn a_caller_that_sends_ahead_without_reading_gets_every_answer_in_the_end() {
    const REQUESTS: usize = 20_000;
    let demo = Demo::start().expect("demonstration");
    let mut witness = connect(&demo, 0);
    let stream = logged_in(demo.client_addresses[0]);
    let mut writer = stream.try_clone().expect("two handles");
    let sender = std::thread::spawn(move || {
        // Larger than what the node buffers of a caller.
        for _ in 0..REQUESTS {
            writer.write_all(b"S\0\0\0\x04S\0\0\0\x04").expect("sent");
        }
    });
    witness.simple_query("SELECT 1").expect("the witness goes on");
    let mut reader = stream;
    reader.set_read_timeout(Some(LIMIT)).expect("read limit");
    let mut answer = vec![0_u8; 2 * REQUESTS * 6];
    reader.read_exact(&mut answer).expect("every answer");
    assert!(answer.chunks(6).all(|message| message == b"Z\0\0\0\x05I"));
    sender.join().expect("sender");
    demo.stop();
}

/// A message of the protocol: its type, its length and its body.
fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (4 + body.len() as u32).to_be_bytes();
    [&[kind], &length[..], body].concat()
}

fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// Reads `count` answers; the types of their messages.
fn read_answers(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    stream.set_read_timeout(Some(LIMIT)).expect("read limit");
    let mut kinds = Vec::new();
    while kinds.iter().filter(|kind| **kind == b'Z').count() < count {
        let mut header = [0_u8; 5];
        stream.read_exact(&mut header).expect("a message");
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        stream.read_exact(&mut vec![0; length as usize - 4]).expect("its body");
        kinds.push(header[0]);
    }
    kinds
}

/// A client that sends a transaction without waiting had its `BEGIN` refused, and the statement
/// behind it committed by itself. A `BEGIN` under a request key must be a simple query.
#[test]
fn what_a_caller_sends_behind_a_refused_begin_does_not_run() {
    let demo = Demo::start().expect("demonstration");
    let mut witness = connect(&demo, 0);
    witness.simple_query("CREATE TABLE seats (id BIGINT PRIMARY KEY)").expect("a table");
    let mut stream = logged_in(demo.client_addresses[0]);
    let bytes = [
        query("SET kestrellock.request_id = 'behind'"),
        message(b'P', b"\0BEGIN\0\0\0"),
        message(b'B', b"\0\0\0\0\0\0\0\0"),
        message(b'E', b"\0\0\0\0\0"),
        message(b'S', b""),
        query("INSERT INTO seats (id) VALUES (1)"),
        query("COMMIT"),
        query("INSERT INTO seats (id) VALUES (2)"),
    ];
    stream.write_all(&bytes.concat()).expect("sent");
    let kinds = read_answers(&mut stream, 5);
    assert_eq!(kinds.iter().filter(|kind| **kind == b'E').count(), 2, "{kinds:?}");
    let rows = witness.query("SELECT id FROM seats", &[]).expect("a result");
    assert_eq!(rows.iter().map(|row| row.get::<_, i64>(0)).collect::<Vec<_>>(), [2]);
    demo.stop();
}
