//! Opening a PostgreSQL session over a plain socket: start-up and SCRAM-SHA-256 where asked.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::BytesMut;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::frontend;

const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Type byte and length.
pub const HEADER_BYTES: usize = 5;

/// Who logs in, and to what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials {
    /// Login name.
    pub user: String,
    /// Password, used where the server asks for one.
    pub password: String,
    /// Database.
    pub database: String,
}

/// Length of the whole message at the head of `bytes`, once its header is there.
pub fn message_length(bytes: &[u8]) -> Option<usize> {
    let length = bytes.get(1..HEADER_BYTES)?;
    let length = u32::from_be_bytes(length.try_into().ok()?);
    Some(1 + length as usize)
}

/// Connects and logs in. The stream comes back blocking, with nothing unread.
pub fn open(address: SocketAddr, credentials: &Credentials) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ANSWER_LIMIT))?;
    let mut output = BytesMut::new();
    let parameters =
        [("user", credentials.user.as_str()), ("database", credentials.database.as_str())];
    frontend::startup_message(parameters, &mut output)?;
    stream.write_all(&output)?;
    let mut scram =
        ScramSha256::new(credentials.password.as_bytes(), ChannelBinding::unsupported());
    loop {
        let message = read_message(&mut stream)?;
        match message.tag {
            b'R' => answer_authentication(&mut stream, &message.body, &mut scram)?,
            b'E' => return Err(io::Error::other(String::from_utf8_lossy(&message.body))),
            b'Z' => return Ok(stream),
            _ => {}
        }
    }
}

/// Reads one whole answer, up to `ReadyForQuery`; its error, if it holds one, comes back as such.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<()> {
    let mut outcome = Ok(());
    loop {
        let message = read_message(stream)?;
        match message.tag {
            b'E' => outcome = Err(io::Error::other(String::from_utf8_lossy(&message.body))),
            b'Z' => return outcome,
            _ => {}
        }
    }
}

struct Message {
    tag: u8,
    body: Vec<u8>,
}

fn read_message(stream: &mut TcpStream) -> io::Result<Message> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let length = message_length(&header).unwrap_or(HEADER_BYTES);
    let mut body = vec![0; length.saturating_sub(HEADER_BYTES)];
    stream.read_exact(&mut body)?;
    Ok(Message { tag: header[0], body })
}

/// Numbers of the authentication messages.
const AUTHENTICATION_OK: [u8; 4] = [0, 0, 0, 0];
const AUTHENTICATION_SASL: [u8; 4] = [0, 0, 0, 10];
const AUTHENTICATION_SASL_CONTINUE: [u8; 4] = [0, 0, 0, 11];
const AUTHENTICATION_SASL_FINAL: [u8; 4] = [0, 0, 0, 12];

fn answer_authentication(
    stream: &mut TcpStream,
    body: &[u8],
    scram: &mut ScramSha256,
) -> io::Result<()> {
    let Some((kind, data)) = body.split_first_chunk::<4>() else {
        return Err(io::Error::other("authentication message is too short"));
    };
    let mut output = BytesMut::new();
    match *kind {
        AUTHENTICATION_OK => {}
        AUTHENTICATION_SASL => {
            frontend::sasl_initial_response(SCRAM_SHA_256, scram.message(), &mut output)?;
        }
        AUTHENTICATION_SASL_CONTINUE => {
            scram.update(data)?;
            frontend::sasl_response(scram.message(), &mut output)?;
        }
        AUTHENTICATION_SASL_FINAL => scram.finish(data)?,
        _ => return Err(io::Error::other("the server asks for an unknown authentication")),
    }
    stream.write_all(&output)
}
