//! A client that sends one statement at a time and waits for its answer.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::record::{Record, brief};

/// The answer to a statement.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its rows.
    pub rows: Vec<String>,
    /// The signature of a success, or the code of an error.
    pub outcome: Result<String, String>,
}

impl Answer {
    /// Whether the client was told that the statement succeeded.
    pub fn is_success(&self) -> bool {
        self.outcome.is_ok()
    }
}

/// A session.
pub struct Client {
    name: String,
    input: BufReader<TcpStream>,
    output: TcpStream,
    next: u64,
    record: Record,
}

impl Client {
    /// Opens a session for a database.
    pub fn open(
        address: SocketAddr,
        database: &str,
        name: &str,
        record: &Record,
    ) -> io::Result<Self> {
        let output = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        output.set_nodelay(true)?;
        output.set_read_timeout(Some(Duration::from_secs(10)))?;
        let input = BufReader::new(output.try_clone()?);
        let (name, record) = (name.to_owned(), record.clone());
        let mut client = Self { name, input, output, next: 0, record };
        client.output.write_all(format!("STARTUP {database} u-{}\r\n", client.name).as_bytes())?;
        let line = client.line()?;
        match line.starts_with("READY") {
            true => Ok(client),
            false => Err(io::Error::other(line)),
        }
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        match self.input.read_line(&mut line)? {
            0 => Err(io::Error::other("the connection was closed")),
            _ => Ok(line.trim_end_matches("\r\n").to_owned()),
        }
    }

    /// The id of the next statement.
    pub fn next_id(&self) -> String {
        format!("{}-{}", self.name, self.next + 1)
    }

    /// Sends a statement and waits for its answer.
    pub fn ask(&mut self, text: &str) -> io::Result<Answer> {
        self.next += 1;
        let id = format!("{}-{}", self.name, self.next);
        self.record.note(&format!("client sends {id} {}", brief(text)));
        self.output.write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let mut rows = Vec::new();
        let mut outcome = Err("no answer".to_owned());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((line.as_str(), ""));
            match word {
                "DATAROW" => rows.push(rest.to_owned()),
                "COMPLETE" => outcome = Ok(rest.to_owned()),
                "ERROR" => outcome = Err(rest.to_owned()),
                _ => {
                    self.record.note(&format!("client gets {id} {rows:?} {outcome:?} {rest}"));
                    return Ok(Answer { rows, outcome });
                }
            }
        }
    }
}
