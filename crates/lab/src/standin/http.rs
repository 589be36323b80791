//! Minimal HTTP/1.1 server for the platform's stand-ins, with one thread per connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use super::listener::{RestartableListener, reset_on_close};

/// Maximum number of concurrent connections; further ones are reset.
const CONNECTION_LIMIT: usize = 2048;
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// An HTTP request.
#[derive(Debug)]
pub struct Request {
    /// Path with query string.
    pub path: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Writes a response to a connection.
pub type Writer = Box<dyn FnOnce(&mut TcpStream) -> io::Result<()> + Send>;

/// How the server responds to a request.
pub enum Reply {
    /// Responds with a status and a JSON body. The connection stays open.
    Json {
        /// Status code.
        status: u16,
        /// Additional headers.
        headers: Vec<(&'static str, String)>,
        /// Body.
        body: String,
    },
    /// Resets the connection without a response.
    Reset,
    /// Never responds. The connection stays open until the client closes it.
    Silence,
    /// Lets the handler write the response itself. The connection closes afterwards.
    Stream(Writer),
}

impl Reply {
    /// A successful response.
    pub fn ok(body: impl ToString) -> Self {
        Self::json(200, body.to_string())
    }

    /// A status and a JSON body without additional headers.
    pub fn json(status: u16, body: String) -> Self {
        Self::Json { status, headers: Vec::new(), body }
    }
}

/// Handles a request.
pub type Handler = dyn Fn(Request) -> Reply + Send + Sync;

/// Accepts and serves connections until the listener is stopped.
pub fn serve(listener: RestartableListener, handler: Arc<Handler>) {
    let connections = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        while let Some(stream) = listener.accept() {
            if connections.load(Ordering::Acquire) >= CONNECTION_LIMIT {
                reset_on_close(&stream);
                continue;
            }
            connections.fetch_add(1, Ordering::AcqRel);
            let (handler, connections) = (handler.clone(), connections.clone());
            thread::spawn(move || {
                // Clients may disconnect at any time.
                let _ = serve_connection(stream, handler.as_ref());
                connections.fetch_sub(1, Ordering::AcqRel);
            });
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Json { status, headers, body } => {
                write_json(&mut stream, status, &headers, &body)?;
            }
            Reply::Reset => {
                reset_on_close(&stream);
                return Ok(());
            }
            Reply::Silence => {
                io::copy(&mut reader, &mut io::sink())?;
                return Ok(());
            }
            Reply::Stream(write) => return write(&mut stream),
        }
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let path = line.split_whitespace().nth(1).unwrap_or("/").to_owned();
    let mut length = 0;
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 || header.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().map_err(io::Error::other)?;
            }
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if length > BODY_LIMIT {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0_u8; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { path, headers, body }))
}

fn write_json(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&'static str, String)],
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let further: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let response = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{further}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(response.as_bytes())
}

/// Starts a chunked response.
pub fn begin_chunks(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
    )
}

/// Writes one message and a line feed as a chunk.
pub fn write_chunk(stream: &mut TcpStream, message: &serde_json::Value) -> io::Result<()> {
    let line = format!("{message}\n");
    let chunk = format!("{:x}\r\n{line}\r\n", line.len());
    stream.write_all(chunk.as_bytes())
}

/// Ends a chunked response.
pub fn end_chunks(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"0\r\n\r\n")
}
