//! Answers that their client has not read when its session ends.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use bytes::BytesMut;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::{Platform, PlatformOptions};
use kestrellock_platform::standin::lines::{self, ServerMessage};
use socket2::{Domain, Socket, Type};

use crate::counters::unanswered;
use crate::{Stop, primary_database, start};

/// Size of a row. The answers to all reads together exceed what the kernel buffers for a client
/// that does not read.
const ROW_BYTES: usize = 500_000;
/// Reads that a slow client sends ahead.
pub const READS: usize = 11;
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// How fast a slow client reads: a few MB per second.
const SLOW_CHUNK_BYTES: usize = 32 * 1024;
const SLOW_PAUSE: Duration = Duration::from_millis(3);
/// Duration of a stop in which a slow client can read all answers.
const LONG_DRAIN_LIMIT: Duration = Duration::from_secs(15);
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A client with a small receive buffer.
pub struct SlowClient {
    /// Its connection.
    pub stream: TcpStream,
}

impl SlowClient {
    /// Writes a large row and connects to the first node.
    pub fn connect(platform: &Platform) -> Self {
        let address = platform.client_addresses[0];
        let mut writer =
            LineSession::open(address, &primary_database(), "writer").expect("it opens");
        let row = "x".repeat(ROW_BYTES);
        assert!(writer.run(&format!("WRITE page {row}")).expect("an answer").is_success());
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer size");
        socket.connect(&address.into()).expect("it connects");
        let stream: TcpStream = socket.into();
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
        Self { stream }
    }

    /// Logs in and sends all reads without reading an answer.
    pub fn send_reads(&mut self) {
        let mut input = BytesMut::new();
        lines::put_startup(&primary_database(), "slow", &mut input);
        for number in 0..READS {
            lines::put_statement(&format!("slow-{number}"), "READ page", &mut input);
        }
        self.stream.write_all(&input).expect("it is sent");
    }

    /// Reads slowly until `count` answers are complete or the stream ends.
    fn read_slowly(&mut self, count: usize) -> Vec<u8> {
        let (mut received, mut chunk) = (Vec::new(), vec![0; SLOW_CHUNK_BYTES]);
        while complete_answers(&received) < count {
            std::thread::sleep(SLOW_PAUSE);
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(length) => received.extend_from_slice(&chunk[..length]),
            }
        }
        received
    }
}

/// The answers in what a client has received, without the one to its startup message.
pub fn complete_answers(received: &[u8]) -> usize {
    let is_ready = |line: &&[u8]| line.starts_with(b"READY ") && line.ends_with(b"\r");
    received.split(|byte| *byte == b'\n').filter(is_ready).count().saturating_sub(1)
}

/// Guards against an answer that is cut off because the node closes the session before its client
/// has taken it.
#[test]
fn large_answer_reaches_a_slow_client_completely_when_its_session_ends() {
    let platform = start(PlatformOptions { drain_limit: LONG_DRAIN_LIMIT, ..Default::default() });
    let mut client = SlowClient::connect(&platform);
    client.send_reads();
    std::thread::sleep(Duration::from_millis(300));
    let stop = Stop::begin(platform);
    let received = client.read_slowly(READS);
    assert_eq!(complete_answers(&received), READS, "after {:?}", stop.began.elapsed());
    let mut received = BytesMut::from(received.as_slice());
    let messages = std::iter::from_fn(|| lines::next_server_message(&mut received));
    let lengths = messages.filter_map(|message| match message {
        ServerMessage::Row(row) => Some(row.len()),
        _ => None,
    });
    let lengths: Vec<usize> = lengths.collect();
    assert_eq!(lengths, [ROW_BYTES; READS], "a request was refused, or a row is not complete");
    drop(client);
    let context = stop.context.clone();
    stop.finish();
    assert_eq!(unanswered(&context), 0);
}
