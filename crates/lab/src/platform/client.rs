//! A client that speaks the platform's line protocol.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::BytesMut;
use kestrellock_peer::message::TransactionState;
use kestrellock_platform::standin::lines::{self, ServerMessage};
use miette::{IntoDiagnostic, miette};

use super::client_record::SessionRecorder;

/// Key of clients for which it does not matter.
const DEFAULT_KEY: &str = "caller";
const READ_BYTES: usize = 16 * 1024;
/// Read timeout of the connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the notice that ends a session in which its client expects nothing else.
pub const QUIET_TIME: Duration = Duration::from_millis(500);

/// The answer to one statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Rows of the result.
    pub rows: Vec<String>,
    /// Signature of a success, or code and text of an error.
    pub outcome: Result<String, (String, String)>,
    /// State of the session's transaction after the statement.
    pub state: TransactionState,
}

impl Answer {
    /// The error code; `None` on success.
    pub fn error_code(&self) -> Option<&str> {
        self.outcome.as_ref().err().map(|(code, _)| code.as_str())
    }

    /// Whether the statement succeeded.
    pub fn is_success(&self) -> bool {
        self.outcome.is_ok()
    }
}

/// One client session. Statement ids consist of the session's name and a counter.
pub struct LineSession {
    stream: TcpStream,
    input: BytesMut,
    next_id: u64,
    name: String,
    recorder: Option<SessionRecorder>,
}

impl LineSession {
    /// Opens a session on a database. The error holds code and text of a refusal.
    pub fn open(address: SocketAddr, database: &str, name: &str) -> miette::Result<Self> {
        Self::open_with_key(address, database, DEFAULT_KEY, name)
    }

    /// Opens a session on a database with a customer's key.
    pub fn open_with_key(
        address: SocketAddr,
        database: &str,
        key: &str,
        name: &str,
    ) -> miette::Result<Self> {
        let mut session = Self::connect(address, name)?;
        session.start(database, key)?;
        Ok(session)
    }

    /// Opens a session on a database over an open connection. Its answers are awaited for
    /// `answer_timeout`.
    pub fn open_on(
        stream: TcpStream,
        answer_timeout: Duration,
        database: &str,
        name: &str,
    ) -> miette::Result<Self> {
        let mut session = Self::on(stream, answer_timeout, name)?;
        session.start(database, DEFAULT_KEY)?;
        Ok(session)
    }

    fn start(&mut self, database: &str, key: &str) -> miette::Result<()> {
        let mut output = BytesMut::new();
        lines::put_startup(database, key, &mut output);
        self.send(&output)?;
        match self.next_message()? {
            Some(ServerMessage::Ready(_)) => Ok(()),
            Some(ServerMessage::Error(code, text)) => Err(miette!("{code}: {text}")),
            other => Err(miette!("unexpected answer to the startup message: {other:?}")),
        }
    }

    /// Connects without sending a startup message.
    pub fn connect(address: SocketAddr, name: &str) -> miette::Result<Self> {
        Self::on(TcpStream::connect(address).into_diagnostic()?, ANSWER_TIMEOUT, name)
    }

    fn on(stream: TcpStream, answer_timeout: Duration, name: &str) -> miette::Result<Self> {
        stream.set_read_timeout(Some(answer_timeout)).into_diagnostic()?;
        stream.set_nodelay(true).into_diagnostic()?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            next_id: 0,
            name: name.to_owned(),
            recorder: None,
        })
    }

    /// Records what the session sends from now on. The session takes the recorder's name.
    pub fn recorded_by(mut self, recorder: SessionRecorder) -> Self {
        self.name = recorder.session().to_owned();
        self.recorder = Some(recorder);
        self
    }

    /// Sends raw bytes.
    pub fn send(&mut self, bytes: &[u8]) -> miette::Result<()> {
        self.stream.write_all(bytes).into_diagnostic()
    }

    /// The id that the next statement will have.
    pub fn next_statement_id(&self) -> String {
        format!("{}-{}", self.name, self.next_id + 1)
    }

    /// Sends a statement without waiting for its answer.
    pub fn send_statement(&mut self, text: &str) -> miette::Result<()> {
        let line = self.record_statement(text);
        self.send(&line)
    }

    /// Records the next statement as sent. Returns its line, for a client that sends it in pieces.
    pub fn record_statement(&mut self, text: &str) -> BytesMut {
        self.next_id += 1;
        let id = format!("{}-{}", self.name, self.next_id);
        let mut line = BytesMut::new();
        lines::put_statement(&id, text, &mut line);
        if let Some(recorder) = &mut self.recorder {
            recorder.on_send(&id, text);
        }
        line
    }

    /// Records that a line is sent that is no statement, so that nothing of it may run.
    pub fn record_malformed_line(&mut self) {
        if let Some(recorder) = &mut self.recorder {
            recorder.on_send_malformed();
        }
    }

    /// Sends a statement and waits for its answer.
    pub fn run(&mut self, text: &str) -> miette::Result<Answer> {
        self.send_statement(text)?;
        self.read_answer()
    }

    /// Waits for the answer to the oldest unanswered statement.
    pub fn read_answer(&mut self) -> miette::Result<Answer> {
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            match self.next_message()? {
                Some(ServerMessage::Row(row)) => rows.push(row),
                Some(ServerMessage::Done(signature)) => outcome = Some(Ok(signature)),
                Some(ServerMessage::Error(code, text)) => outcome = Some(Err((code, text))),
                Some(ServerMessage::Ready(state)) => {
                    let outcome = outcome.ok_or_else(|| {
                        miette!("the answer has neither a signature nor an error")
                    })?;
                    if let Some(recorder) = &mut self.recorder {
                        recorder.on_answer(outcome.is_ok(), state);
                    }
                    return Ok(Answer { rows, outcome, state });
                }
                None => return Err(miette!("the connection was closed")),
            }
        }
    }

    /// The next message; `None` at the end of the stream.
    pub fn next_message(&mut self) -> miette::Result<Option<ServerMessage>> {
        let mut chunk = [0; READ_BYTES];
        loop {
            if let Some(message) = lines::next_server_message(&mut self.input) {
                return Ok(Some(message));
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(None),
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {
                    return Ok(None);
                }
                Err(error) => return Err(miette!("reading the answer failed: {error}")),
            }
        }
    }

    /// Whether nothing arrives within `time`, neither a message nor the end of the stream.
    pub fn is_quiet_for(&mut self, time: Duration) -> miette::Result<bool> {
        if !self.input.is_empty() {
            return Ok(false);
        }
        let usual = self.stream.read_timeout().into_diagnostic()?;
        self.stream.set_read_timeout(Some(time)).into_diagnostic()?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_read_timeout(usual).into_diagnostic()?;
        let timeouts = [std::io::ErrorKind::WouldBlock, std::io::ErrorKind::TimedOut];
        Ok(peeked.is_err_and(|error| timeouts.contains(&error.kind())))
    }

    /// The code of the next message, which must be an error: the notice that ends a session in
    /// which nothing was asked.
    pub fn next_notice(&mut self) -> miette::Result<String> {
        match self.next_message()? {
            Some(ServerMessage::Error(code, _)) => Ok(code),
            other => Err(miette!("expected a notice, got {other:?}")),
        }
    }

    /// Waits for the notice that ends the session. Fails if it is not an error with this code, or
    /// if anything follows it before the client closes: another message or the end of the stream.
    pub fn await_end_notice(&mut self, code: &str) -> miette::Result<()> {
        let found = self.next_notice()?;
        if found != code {
            return Err(miette!("expected the notice {code}, got {found}"));
        }
        match self.is_quiet_for(QUIET_TIME)? {
            true => Ok(()),
            false => Err(miette!("the notice is followed by {:?}", self.next_message())),
        }
    }

    /// Sends a statement after the notice that ends the session, as a client that had not read the
    /// notice yet. The notice must refuse it: the only answer completes the notice, and the same
    /// notice follows. Returns the state of the transaction.
    pub fn cross_end_notice(&mut self, text: &str, code: &str) -> miette::Result<TransactionState> {
        self.send_statement(text)?;
        let state = match self.next_message()? {
            Some(ServerMessage::Ready(state)) => state,
            other => return Err(miette!("expected the end of the notice, got {other:?}")),
        };
        self.await_end_notice(code)?;
        Ok(state)
    }
}
