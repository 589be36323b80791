//! A PostgreSQL client for tests, and the answers that it receives.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use bytes::BytesMut;
use kestrellock_postgres::frames;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::frontend;

use super::scripted::put;
use super::{PASSWORD, SCRAM_MESSAGES, WAIT_TIMEOUT, wait_until};

/// The answer to one statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// SQLSTATE and message of the first error.
    pub error: Option<(String, String)>,
    /// Command tags.
    pub tags: Vec<String>,
    /// First column of each row.
    pub rows: Vec<String>,
    /// Transaction status.
    pub status: u8,
}

impl Answer {
    /// The result code at the start of the error message; empty without an error of the proxy.
    pub fn code(&self) -> &str {
        let message = self.error.as_ref().map_or("", |(_, message)| message.as_str());
        message.split(' ').next().filter(|word| word.starts_with("KL")).unwrap_or_default()
    }
}

/// A logged-in client.
pub struct Client {
    stream: TcpStream,
    input: BytesMut,
}

impl Client {
    /// Connects with additional startup parameters; retries until the node has its configuration.
    pub fn connect(address: SocketAddr, options: &[(&str, &str)]) -> Self {
        let mut connected = None;
        wait_until("a login", || {
            connected = Self::log_in(address, options);
            connected.is_some()
        });
        connected.expect("a login")
    }

    fn log_in(address: SocketAddr, options: &[(&str, &str)]) -> Option<Self> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        let mut body = 0x0003_0000_u32.to_be_bytes().to_vec();
        for (name, value) in [("user", "fan"), ("database", "db")].iter().chain(options) {
            body.extend_from_slice(format!("{name}\0{value}\0").as_bytes());
        }
        body.push(0);
        stream.write_all(&(body.len() as u32 + 4).to_be_bytes()).ok()?;
        stream.write_all(&body).ok()?;
        let mut client = Self { stream, input: BytesMut::new() };
        client.authenticate()?;
        let answer = client.read_answer()?;
        answer.error.is_none().then_some(client)
    }

    /// Authenticates with SCRAM; `None` if the server refuses.
    fn authenticate(&mut self) -> Option<()> {
        let mut scram = ScramSha256::new(PASSWORD.as_bytes(), ChannelBinding::unsupported());
        for _ in 0..SCRAM_MESSAGES {
            let frame = self.read_frame()?;
            if frame.tag != b'R' {
                return None;
            }
            let (kind, data) = frame.body().split_first_chunk::<4>()?;
            let mut output = BytesMut::new();
            match u32::from_be_bytes(*kind) {
                10 => {
                    frontend::sasl_initial_response(SCRAM_SHA_256, scram.message(), &mut output)
                        .ok()?;
                }
                11 => {
                    scram.update(data).ok()?;
                    frontend::sasl_response(scram.message(), &mut output).ok()?;
                }
                12 => scram.finish(data).ok()?,
                _ => return None,
            }
            self.stream.write_all(&output).ok()?;
        }
        Some(())
    }

    fn read_frame(&mut self) -> Option<frames::Frame> {
        loop {
            if let Some(frame) = frames::next_frame(&mut self.input).ok()? {
                return Some(frame);
            }
            let mut chunk = [0_u8; 4096];
            match self.stream.read(&mut chunk).ok()? {
                0 => return None,
                count => self.input.extend_from_slice(&chunk[..count]),
            }
        }
    }

    fn read_answer(&mut self) -> Option<Answer> {
        let mut answer = Answer::default();
        loop {
            while let Some(frame) = frames::next_frame(&mut self.input).ok()? {
                match frame.tag {
                    b'C' => answer.tags.push(text(frame.body())),
                    b'D' => answer.rows.push(text(frame.body().get(6..).unwrap_or_default())),
                    b'E' if answer.error.is_none() => answer.error = Some(error(frame.body())),
                    b'Z' => {
                        answer.status = frame.body()[0];
                        return Some(answer);
                    }
                    _ => {}
                }
            }
            let mut chunk = [0_u8; 4096];
            match self.stream.read(&mut chunk).ok()? {
                0 => return None,
                count => self.input.extend_from_slice(&chunk[..count]),
            }
        }
    }

    /// Sends a simple query without waiting for its answer.
    pub fn send(&mut self, sql: &str) {
        let mut output = Vec::new();
        put(&mut output, b'Q', format!("{sql}\0").as_bytes());
        self.stream.write_all(&output).expect("the connection is open");
    }

    /// Waits for the answer to the last query.
    pub fn answer(&mut self) -> Answer {
        self.read_answer().expect("an answer")
    }

    /// Waits for the answer to the last query; `None` if the connection is closed without one.
    pub fn try_answer(&mut self) -> Option<Answer> {
        self.read_answer()
    }

    /// Ends the stream to the node.
    pub fn end_stream(&mut self) {
        self.stream.shutdown(Shutdown::Write).expect("the connection is open");
    }

    /// Runs a simple query.
    pub fn query(&mut self, sql: &str) -> Answer {
        self.send(sql);
        self.answer()
    }
}

fn text(body: &[u8]) -> String {
    String::from_utf8_lossy(body).trim_end_matches('\0').to_owned()
}

fn error(body: &[u8]) -> (String, String) {
    let field = |kind: u8| {
        let found = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&kind));
        found.map(|field| text(&field[1..])).unwrap_or_default()
    };
    (field(b'C'), field(b'M'))
}
