//! PostgreSQL instances with scripted behaviour.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

use bytes::{Bytes, BytesMut};
use kestrellock_postgres::frames;

use super::{ERROR_DELAY, LARGE, LARGE_ROWS, LATE, LATE_DELAY, MARK};

/// Behaviour of an instance for marked statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scripted {
    /// Answers like for any other statement.
    Answer,
    /// Closes the connection without an answer.
    Close,
    /// Answers, then closes the connection without answering the position query that follows.
    CloseBeforePosition,
    /// Answers, but answers the position query with an error.
    RefusePosition,
    /// Answers, then reports in the answer to the position query that it is now a replica.
    StepDown,
    /// Answers with an error and the given SQLSTATE.
    Error(&'static str),
    /// Answers with an error and the given SQLSTATE after a delay.
    LateError(&'static str),
    /// Answers with an error, then closes without answering the position query.
    ErrorThenClose,
    /// Never answers, and keeps the connection open.
    Hang,
}

/// State of a scripted group.
#[derive(Debug)]
pub struct Script {
    /// Index of the instance that reports that it is primary in the newest term.
    pub primary: usize,
    /// Term of each instance.
    pub terms: Vec<u32>,
    /// Log offset of the primary.
    pub offset: u64,
    /// Whether replicas do not receive the log, so that no commit is confirmed.
    pub withheld: bool,
    /// Whether each instance is down: it closes new connections and answers nothing.
    pub down: Vec<bool>,
    /// Password that every instance requests in clear text; `None`: no password.
    pub password: Option<&'static str>,
    /// Connections accepted so far, with the index of their instance.
    pub open: Vec<(usize, TcpStream)>,
    /// Behaviour for marked statements.
    pub on_marked: Scripted,
    /// Statements received, with the index of their instance.
    pub seen: Vec<(usize, String)>,
    /// Statements received on each connection, in order.
    pub connections: Vec<Vec<String>>,
}

/// A group of three scripted instances.
pub struct ScriptedGroup {
    pub script: Arc<Mutex<Script>>,
    pub addresses: Vec<SocketAddr>,
}

impl ScriptedGroup {
    pub fn start() -> Self {
        let script = Arc::new(Mutex::new(Script {
            primary: 0,
            terms: vec![1; 3],
            offset: 0x100,
            withheld: false,
            down: vec![false; 3],
            password: None,
            open: Vec::new(),
            on_marked: Scripted::Answer,
            seen: Vec::new(),
            connections: Vec::new(),
        }));
        let addresses = (0..3).map(|index| listen(index, script.clone())).collect();
        Self { script, addresses }
    }

    pub fn script(&self) -> MutexGuard<'_, Script> {
        self.script.lock().expect("the script's lock")
    }

    /// Takes an instance down: closes its connections, and new ones from now on.
    pub fn kill(&self, index: usize) {
        let mut script = self.script();
        script.down[index] = true;
        for (_, stream) in script.open.extract_if(.., |(instance, _)| *instance == index) {
            // An error means that the connection is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Restarts an instance that was killed.
    pub fn restart(&self, index: usize) {
        self.script().down[index] = false;
    }

    /// Number of received statements that contain `text`, on all instances.
    pub fn seen(&self, text: &str) -> usize {
        self.script().seen.iter().filter(|(_, sql)| sql.contains(text)).count()
    }
}

fn listen(index: usize, script: Arc<Mutex<Script>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || Connection::new(index, script, stream).serve());
        }
    });
    address
}

struct Connection {
    index: usize,
    number: usize,
    script: Arc<Mutex<Script>>,
    stream: TcpStream,
    input: BytesMut,
    output: Vec<u8>,
    status: u8,
    /// Behaviour for the position query that follows the last statement.
    position: Scripted,
}

/// Appends a message.
pub fn put(output: &mut Vec<u8>, tag: u8, body: &[u8]) {
    output.push(tag);
    output.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    output.extend_from_slice(body);
}

fn put_row(output: &mut Vec<u8>, values: &[&str]) {
    let mut body = (values.len() as u16).to_be_bytes().to_vec();
    for value in values {
        body.extend_from_slice(&(value.len() as u32).to_be_bytes());
        body.extend_from_slice(value.as_bytes());
    }
    put(output, b'D', &body);
}

impl Connection {
    fn new(index: usize, script: Arc<Mutex<Script>>, stream: TcpStream) -> Self {
        let (input, output) = (BytesMut::new(), Vec::new());
        let position = Scripted::Answer;
        let number = {
            let mut script = script.lock().expect("the script's lock");
            script.connections.push(Vec::new());
            script.connections.len() - 1
        };
        Self { index, number, script, stream, input, output, status: b'I', position }
    }

    fn serve(mut self) {
        // The proxy handles lost connections, so errors are ignored here. The shutdown is needed
        // because the script holds a copy of the stream: dropping this one would not close it.
        let _ = self.run();
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn run(&mut self) -> std::io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut length = [0_u8; 4];
        self.stream.read_exact(&mut length)?;
        let mut startup = vec![0_u8; u32::from_be_bytes(length) as usize - 4];
        self.stream.read_exact(&mut startup)?;
        {
            let mut script = self.script.lock().expect("the script's lock");
            if script.down[self.index] {
                return Ok(());
            }
            script.open.push((self.index, self.stream.try_clone()?));
        }
        if !self.check_password()? {
            return Ok(());
        }
        put(&mut self.output, b'R', &0_u32.to_be_bytes());
        put(&mut self.output, b'Z', b"I");
        loop {
            while let Some(frame) = frames::next_frame(&mut self.input).expect("a valid length") {
                if frame.tag == b'X' || !self.on_frame(frame.tag, &frame.bytes) {
                    return self.stream.write_all(&self.output);
                }
            }
            self.stream.write_all(&self.output)?;
            self.output.clear();
            let mut chunk = [0_u8; 4096];
            let count = self.stream.read(&mut chunk)?;
            let down = self.script.lock().expect("the script's lock").down[self.index];
            if count == 0 || down {
                return Ok(());
            }
            self.input.extend_from_slice(&chunk[..count]);
        }
    }

    /// Handles one message. Returns false if the connection must be closed.
    fn on_frame(&mut self, tag: u8, bytes: &Bytes) -> bool {
        assert_eq!(tag, b'Q', "scripted instances support only simple queries");
        let text = String::from_utf8_lossy(&bytes[frames::HEADER_BYTES..bytes.len() - 1]);
        if text.contains("pg_is_in_recovery") {
            return self.on_position();
        }
        let behaviour = {
            let mut script = self.script.lock().expect("the script's lock");
            script.seen.push((self.index, text.to_string()));
            script.connections[self.number].push(text.to_string());
            if text.contains(MARK) { script.on_marked } else { Scripted::Answer }
        };
        if text.contains(LATE) {
            thread::sleep(LATE_DELAY);
        }
        match behaviour {
            Scripted::Close => return false,
            Scripted::Hang => return self.hang(),
            Scripted::Error(state) => self.put_error(state),
            Scripted::LateError(state) => {
                thread::sleep(ERROR_DELAY);
                self.put_error(state);
            }
            Scripted::ErrorThenClose => self.put_error("23505"),
            _ => self.answer(&text),
        }
        self.position = behaviour;
        put(&mut self.output, b'Z', &[self.status]);
        true
    }

    /// Requests the scripted password, if there is one. Returns whether the login succeeds.
    fn check_password(&mut self) -> std::io::Result<bool> {
        let Some(expected) = self.script.lock().expect("the script's lock").password else {
            return Ok(true);
        };
        let mut request = Vec::new();
        put(&mut request, b'R', &3_u32.to_be_bytes());
        self.stream.write_all(&request)?;
        let mut header = [0_u8; 5];
        self.stream.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut password = vec![0_u8; length as usize - 4];
        self.stream.read_exact(&mut password)?;
        Ok(header[0] == b'p' && password == format!("{expected}\0").as_bytes())
    }

    fn hang(&mut self) -> bool {
        let mut rest = Vec::new();
        // Returns when the proxy closes the connection.
        let _ = self.stream.read_to_end(&mut rest);
        false
    }

    fn put_error(&mut self, state: &str) {
        let body = format!("SERROR\0C{state}\0Mscripted\0\0");
        put(&mut self.output, b'E', body.as_bytes());
        if self.status == b'T' {
            self.status = b'E';
        }
    }

    fn answer(&mut self, text: &str) {
        let command = text.split_whitespace().next().unwrap_or_default().to_uppercase();
        let tag = match command.as_str() {
            "BEGIN" => {
                self.status = b'T';
                "BEGIN"
            }
            "COMMIT" => {
                self.commit();
                "COMMIT"
            }
            "ROLLBACK" => {
                self.status = b'I';
                "ROLLBACK"
            }
            "SELECT" => {
                let value = text.split('\'').nth(1).unwrap_or("1");
                let rows = if text.contains(LARGE) { LARGE_ROWS } else { 1 };
                (0..rows).for_each(|_| put_row(&mut self.output, &[value]));
                "SELECT 1"
            }
            _ => {
                if self.status == b'I' {
                    self.commit();
                }
                "INSERT 0 1"
            }
        };
        put(&mut self.output, b'C', format!("{tag}\0").as_bytes());
    }

    fn commit(&mut self) {
        self.status = b'I';
        self.script.lock().expect("the script's lock").offset += 0x10;
    }

    fn on_position(&mut self) -> bool {
        match std::mem::replace(&mut self.position, Scripted::Answer) {
            Scripted::CloseBeforePosition | Scripted::ErrorThenClose => return false,
            Scripted::RefusePosition => self.put_error("XX000"),
            Scripted::StepDown => put_row(&mut self.output, &["t", "0/1", "0/1", "00000001"]),
            _ => self.put_position(),
        }
        put(&mut self.output, b'Z', &[self.status]);
        true
    }

    fn put_position(&mut self) {
        let script = self.script.lock().expect("the script's lock");
        let primary = script.primary == self.index;
        let term = script.terms[self.index];
        let newest = script.terms[script.primary];
        // An old primary that is still at an older term continues to report that it is primary.
        let role = if primary || term < newest && self.index == 0 { "f" } else { "t" };
        let offset = if primary || !script.withheld { script.offset } else { 1 };
        drop(script);
        let offset = format!("0/{offset:X}");
        let file = format!("{term:08X}");
        put_row(&mut self.output, &[role, &offset, &offset, &file]);
    }
}
