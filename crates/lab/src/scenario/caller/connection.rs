//! A blocking PostgreSQL connection that keeps the session token it was given.

use std::collections::HashSet;
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::{
    Bind, Describe, Execute, Parse, Sync, TARGET_TYPE_BYTE_PORTAL,
};
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{Authentication, Startup};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::frontend;
use socket2::{Domain, Socket, Type};
use thiserror::Error;

use crate::logins::password_of;

use super::reply::{ErrorReply, Reply, decode_row};
use super::statements::Prepared;

/// Name of the parameter that carries the session token.
const SESSION_PARAMETER: &str = "kestrellock.session";
/// Type byte of an authentication request.
const AUTHENTICATION: u8 = b'R';
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Shortest wait that a socket accepts as a limit.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Why a connection cannot be used any more.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// It broke, or nothing came in time.
    #[error("connection broken: {0}")]
    Broken(#[from] io::Error),
    /// The server sent something that is not a message.
    #[error("malformed message from the server")]
    Malformed,
    /// The server refused the login.
    #[error("login refused: {}", .0.message)]
    Refused(ErrorReply),
}

/// Where and as whom to connect.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Address of the server.
    pub address: SocketAddr,
    /// Address to connect from, so that cuts between zones apply to the caller too.
    pub from: Option<IpAddr>,
    /// Login.
    pub user: String,
    /// Database.
    pub database: String,
}

/// An open connection.
pub struct Connection {
    stream: TcpStream,
    input: BytesMut,
    decoding: DecodeContext,
    /// The last session token that the server sent.
    pub token: Option<String>,
    /// Whether it began with a session token.
    pub began_with_token: bool,
    /// Whether the server reported an open transaction block.
    pub in_transaction: bool,
    prepared: HashSet<&'static str>,
}

fn open(endpoint: &Endpoint, limit: Duration) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(endpoint.address), Type::STREAM, None)?;
    if let Some(from) = endpoint.from {
        // A node that is started again may need the port that the system picks here.
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::new(from, 0).into())?;
    }
    socket.connect_timeout(&endpoint.address.into(), limit)?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket.into())
}

impl Connection {
    /// Connects and logs in within `limit`, handing back `token`.
    pub fn connect(
        endpoint: &Endpoint,
        token: Option<&str>,
        limit: Duration,
    ) -> Result<Self, ConnectionError> {
        let deadline = Instant::now() + limit;
        let stream = open(endpoint, limit)?;
        let mut decoding = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        decoding.awaiting_frontend_ssl = false;
        decoding.awaiting_frontend_startup = false;
        let input = BytesMut::new();
        let mut connection = Self {
            stream,
            input,
            decoding,
            token: None,
            began_with_token: token.is_some(),
            prepared: HashSet::new(),
            in_transaction: false,
        };
        let mut startup = Startup::new();
        startup.parameters.insert("user".into(), endpoint.user.clone());
        startup.parameters.insert("database".into(), endpoint.database.clone());
        if let Some(token) = token {
            startup.parameters.insert(SESSION_PARAMETER.into(), token.to_owned());
        }
        connection.send(&PgWireFrontendMessage::Startup(startup))?;
        connection.prove(&endpoint.user, deadline)?;
        let reply = connection.receive(deadline)?;
        match reply.error {
            Some(error) => Err(ConnectionError::Refused(error)),
            None => Ok(connection),
        }
    }

    /// Proves the login where the server asks for it.
    fn prove(&mut self, user: &str, deadline: Instant) -> Result<(), ConnectionError> {
        let password = password_of(user);
        let mut scram = ScramSha256::new(password.as_bytes(), ChannelBinding::unsupported());
        // Every other message is left for the answer to the start-up.
        while let Some(request) = self.authentication_request(deadline)? {
            let mut output = BytesMut::new();
            match request {
                Authentication::SASL(_) => {
                    frontend::sasl_initial_response(SCRAM_SHA_256, scram.message(), &mut output)?;
                }
                Authentication::SASLContinue(challenge) => {
                    scram.update(&challenge)?;
                    frontend::sasl_response(scram.message(), &mut output)?;
                }
                Authentication::SASLFinal(proof) => scram.finish(&proof)?,
                Authentication::Ok => return Ok(()),
                _ => return Err(ConnectionError::Malformed),
            }
            self.stream.write_all(&output)?;
        }
        Ok(())
    }

    /// The next authentication request; `None` if another message comes first, or the end.
    fn authentication_request(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Authentication>, ConnectionError> {
        while self.input.is_empty() {
            if let Err(error) = self.fill(deadline) {
                return Err(error.into());
            }
        }
        if self.input[0] != AUTHENTICATION {
            return Ok(None);
        }
        loop {
            let message = PgWireBackendMessage::decode(&mut self.input, &self.decoding)
                .map_err(|_| ConnectionError::Malformed)?;
            match message {
                Some(PgWireBackendMessage::Authentication(request)) => return Ok(Some(request)),
                Some(_) => return Err(ConnectionError::Malformed),
                None => self.fill(deadline)?,
            }
        }
    }

    /// Sends a simple query and waits for its whole answer until `deadline`.
    pub fn query(&mut self, sql: &str, deadline: Instant) -> Result<Reply, ConnectionError> {
        self.send(&PgWireFrontendMessage::Query(Query::new(sql.to_owned())))?;
        self.receive(deadline)
    }

    /// Runs a prepared statement by the extended protocol, preparing it on first use.
    pub fn execute(
        &mut self,
        statement: &Prepared,
        deadline: Instant,
    ) -> Result<Reply, ConnectionError> {
        let name = statement.name.to_owned();
        let mut messages = Vec::new();
        if self.prepared.insert(statement.name) {
            let parse = Parse::new(Some(name.clone()), statement.text.to_owned(), Vec::new());
            messages.push(PgWireFrontendMessage::Parse(parse));
        }
        let parameters = statement.parameters.iter();
        let parameters = parameters.map(|text| Some(Bytes::copy_from_slice(text.as_bytes())));
        let bind = Bind::new(None, Some(name), Vec::new(), parameters.collect(), Vec::new());
        messages.push(PgWireFrontendMessage::Bind(bind));
        messages
            .push(PgWireFrontendMessage::Describe(Describe::new(TARGET_TYPE_BYTE_PORTAL, None)));
        messages.push(PgWireFrontendMessage::Execute(Execute::new(None, 0)));
        messages.push(PgWireFrontendMessage::Sync(Sync::new()));
        self.send_all(&messages)?;
        let reply = self.receive(deadline)?;
        if reply.error.is_some() {
            // Whether the server keeps a statement whose exchange failed is not known.
            self.prepared.remove(statement.name);
        }
        Ok(reply)
    }

    /// Whether the server has closed the connection while nothing was asked of it.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0_u8; 1];
        let peeked = self.stream.peek(&mut byte);
        let restored = self.stream.set_nonblocking(false);
        let waiting = matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        // Bytes that nobody asked for are the server's farewell.
        restored.is_err() || !waiting
    }

    /// Says goodbye.
    pub fn close(mut self) {
        // The connection ends either way.
        let _ = self
            .send(&PgWireFrontendMessage::Terminate(pgwire::messages::terminate::Terminate::new()));
    }

    fn send(&mut self, message: &PgWireFrontendMessage) -> Result<(), ConnectionError> {
        self.send_all(std::slice::from_ref(message))
    }

    fn send_all(&mut self, messages: &[PgWireFrontendMessage]) -> Result<(), ConnectionError> {
        let mut output = BytesMut::new();
        for message in messages {
            message.encode(&mut output).map_err(|_| ConnectionError::Malformed)?;
        }
        Ok(self.stream.write_all(&output)?)
    }

    /// Collects messages up to the one that says the server is ready, or a final error.
    fn receive(&mut self, deadline: Instant) -> Result<Reply, ConnectionError> {
        let mut reply = Reply::default();
        loop {
            let message = PgWireBackendMessage::decode(&mut self.input, &self.decoding)
                .map_err(|_| ConnectionError::Malformed)?;
            match message {
                Some(PgWireBackendMessage::ReadyForQuery(ready)) => {
                    self.in_transaction = ready.status != TransactionStatus::Idle;
                    return Ok(reply);
                }
                Some(message) => self.take_in(message, &mut reply)?,
                None => {
                    if let Err(error) = self.fill(deadline) {
                        return end_of_stream(reply, error);
                    }
                }
            }
        }
    }

    fn take_in(
        &mut self,
        message: PgWireBackendMessage,
        reply: &mut Reply,
    ) -> Result<(), ConnectionError> {
        match message {
            PgWireBackendMessage::ParameterStatus(status) if status.name == SESSION_PARAMETER => {
                self.token = Some(status.value);
            }
            PgWireBackendMessage::DataRow(row) => {
                reply.rows.push(decode_row(row).ok_or(ConnectionError::Malformed)?);
            }
            PgWireBackendMessage::CommandComplete(complete) => reply.tag = complete.tag,
            PgWireBackendMessage::ErrorResponse(error) => {
                reply.error.get_or_insert(ErrorReply::new(&error));
            }
            PgWireBackendMessage::Authentication(Authentication::Ok) => {}
            PgWireBackendMessage::Authentication(_) => return Err(ConnectionError::Malformed),
            _ => {}
        }
        Ok(())
    }

    fn fill(&mut self, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left.max(SHORTEST_WAIT)))?;
        let mut chunk = [0_u8; READ_CHUNK_BYTES];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.input.extend_from_slice(&chunk[..count]);
        Ok(())
    }
}

/// A server that ends the connection after an error has told what there is to tell.
fn end_of_stream(reply: Reply, error: io::Error) -> Result<Reply, ConnectionError> {
    match reply.error {
        Some(told) => Err(ConnectionError::Refused(told)),
        None => Err(error.into()),
    }
}
