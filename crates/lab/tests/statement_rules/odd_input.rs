//! Clients that break the line protocol, or send its lines in unusual pieces.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::client_record::ClientRecord;
use kestrellock_lab::platform::judged::open_recorded;
use kestrellock_lab::platform::{GROUPS, database};
use kestrellock_peer::message::TransactionState;
use rand::rngs::ChaCha8Rng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Operations of each client.
const OPERATIONS: usize = 40;
/// Time between the pieces of a line.
const PIECE_DELAY: Duration = Duration::from_millis(1);
/// Time until a client that was refused a session tries again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// First of the random streams of these clients, behind those of other clients.
const FIRST_STREAM: u64 = 1_000;

/// Lines that must be refused whole. `ID` stands for an id that no client sends as a statement, and
/// `OTHER` for one that another client may send with another text.
const MALFORMED: [&str; 18] = [
    "QUERY ID WRITE t1 a\nQUERY ID WRITE t1 b",
    "QUERY ID WRITE t1 a\rQUERY ID WRITE t1 b",
    "QUERY ID WRITE t1 a\n\rQUERY ID WRITE t1 b",
    "QUERY ID WRITE t1 a\nQUERY OTHER WRITE t1 b",
    "QUERY ID WRITE t1 a\nTERMINATE",
    "QUERY ID WRITE t1 \n",
    "QUERY ID READ t1\nCOMMIT",
    "QUERY ID SET color a\nQUERY - RESET",
    "QUERY ID SET color a\rQUERY OTHER WRITE t1 b",
    "QUERY ID SET co\rlor a",
    "QUERY ID PREPARE w\n WRITE s9",
    "QUERY ID PREPARE w WRITE s9\nQUERY ID WRITE t1 b",
    "QUERY ID PREPARE r READ s\r9",
    "QUERY ID EXECUTE w t1 a\nQUERY - ROLLBACK",
    "QUERY - WRITE t1 a",
    "QUERY - ROLLBACK",
    "QUERY ID ID WRITE t1 a",
    "QUERY  WRITE t1 a",
];

/// The outcome of an operation that lost its connection.
struct Disconnected;

type Outcome = Result<(), Disconnected>;

pub struct OddClient {
    random: ChaCha8Rng,
    number: usize,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    record: Arc<ClientRecord>,
    next_id: usize,
    refused: usize,
}

impl OddClient {
    pub fn new(
        seed: u64,
        number: usize,
        addresses: Arc<Mutex<Vec<SocketAddr>>>,
        record: Arc<ClientRecord>,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(FIRST_STREAM + number as u64);
        Self { random, number, addresses, record, next_id: 0, refused: 0 }
    }

    /// Runs all operations. Returns the number of lines that were refused as malformed.
    pub fn run(mut self) -> usize {
        let mut session = None;
        for _ in 0..OPERATIONS {
            let mut current = session.take().unwrap_or_else(|| self.open());
            session = self.operate(&mut current).is_ok().then_some(current);
        }
        self.refused
    }

    fn open(&mut self) -> LineSession {
        loop {
            let addresses = self.addresses.lock().expect("no holder panics").clone();
            let address = *addresses.choose(&mut self.random).expect("an address");
            let database = database(GROUPS[0], Consistency::Primary);
            let name = format!("odd{}", self.number);
            let opened = open_recorded(address, &database, &name, &self.record);
            let Ok(mut session) = opened else {
                thread::sleep(RETRY_DELAY);
                continue;
            };
            let mut texts = ["PREPARE w WRITE s5", "PREPARE r READ s5"].iter();
            if texts.all(|text| session.run(text).is_ok_and(|answer| answer.is_success())) {
                return session;
            }
        }
    }

    fn operate(&mut self, session: &mut LineSession) -> Outcome {
        match self.random.random_range(0..8) {
            0..3 => self.send_malformed(session).map(|_| ()),
            3 | 4 => self.send_in_pieces(session),
            5 => self.send_ahead(session),
            6 => {
                // Half of a line and a close.
                let line = self.malformed_line();
                let half = self.random.random_range(1..line.len());
                let _ = session.send(&line[..half]);
                Err(Disconnected)
            }
            _ => self.transaction(session),
        }
    }

    /// A malformed line between the statements of a transaction.
    fn transaction(&mut self, session: &mut LineSession) -> Outcome {
        let mut state = TransactionState::Idle;
        for text in ["BEGIN", "WRITE t1 within"] {
            let answer = session.run(text).map_err(|_| Disconnected)?;
            state = answer.state;
            if state != TransactionState::Open {
                break;
            }
        }
        if state == TransactionState::Open {
            state = self.send_malformed(session)?.state;
        }
        let end = match state {
            TransactionState::Idle => return Ok(()),
            TransactionState::Open => "COMMIT",
            TransactionState::Failed => "ROLLBACK",
        };
        session.run(end).map(|_| ()).map_err(|_| Disconnected)
    }

    /// Statements with a malformed line between them, before any answer.
    fn send_ahead(&mut self, session: &mut LineSession) -> Outcome {
        let mut bytes = session.record_statement("WRITE t2 before").to_vec();
        bytes.extend(self.malformed_line());
        session.record_malformed_line();
        bytes.extend(session.record_statement("EXECUTE w t2 behind"));
        self.send_pieces(session, &bytes)?;
        for is_malformed in [false, true, false] {
            let answer = session.read_answer().map_err(|_| Disconnected)?;
            if is_malformed {
                self.check_refusal(&answer);
            }
        }
        Ok(())
    }

    /// A statement of the protocol, cut anywhere, also between CR and LF.
    fn send_in_pieces(&mut self, session: &mut LineSession) -> Outcome {
        let texts = ["READ t3", "WRITE t3 pieces of data ", "EXECUTE w t3 x", "SET color c9"];
        let text = texts.choose(&mut self.random).expect("a text");
        let line = session.record_statement(text);
        self.send_pieces(session, &line)?;
        session.read_answer().map(|_| ()).map_err(|_| Disconnected)
    }

    fn send_malformed(&mut self, session: &mut LineSession) -> Result<Answer, Disconnected> {
        let line = self.malformed_line();
        session.record_malformed_line();
        match self.random.random_bool(0.5) {
            true => self.send_pieces(session, &line)?,
            false => session.send(&line).map_err(|_| Disconnected)?,
        }
        let answer = session.read_answer().map_err(|_| Disconnected)?;
        self.check_refusal(&answer);
        Ok(answer)
    }

    fn check_refusal(&mut self, answer: &Answer) {
        assert!(!answer.is_success(), "a malformed line succeeded: {answer:?}");
        self.refused += usize::from(answer.error_code() == Some("MALFORMED"));
    }

    fn send_pieces(&mut self, session: &mut LineSession, bytes: &[u8]) -> Outcome {
        let mut rest = bytes;
        let ends_line = rest.len() - 1;
        let cut = self.random.random_range(1..=ends_line);
        for end in [cut, ends_line, bytes.len()] {
            let start = bytes.len() - rest.len();
            let (piece, others) = rest.split_at(end - start);
            session.send(piece).map_err(|_| Disconnected)?;
            rest = others;
            thread::sleep(PIECE_DELAY);
        }
        Ok(())
    }

    fn malformed_line(&mut self) -> Vec<u8> {
        let line = *MALFORMED.choose(&mut self.random).expect("a line");
        self.next_id += 1;
        let id = format!("malformed{}-{}", self.number, self.next_id);
        let other = format!("c{}-{}", self.random.random_range(0..4), self.next_id);
        format!("{line}\r\n").replace("ID", &id).replace("OTHER", &other).into_bytes()
    }
}
