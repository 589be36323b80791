//! Clients that behave at random.

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
const OPERATIONS: usize = 60;
/// Longest pause inside a transaction.
const MAX_PAUSE_MS: u64 = 60;
/// Time until a client that was refused a session tries again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
const DATA: [&str; 9] = [
    "plain",
    "two  blanks",
    " leading",
    "trailing ",
    "tab\tinside",
    "QUERY x-1 WRITE t1 other",
    "AFTER 1.1 READ t1",
    "Schlüssel \u{1f511}",
    "nul\0inside",
];

/// What clients send before the answers to earlier statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pipelining {
    /// Single statements.
    SingleStatements,
    /// Single statements and whole transactions.
    Transactions,
}

/// The outcome of an operation that lost its connection.
struct Disconnected;

type Outcome = Result<(), Disconnected>;

pub struct Client {
    random: ChaCha8Rng,
    number: usize,
    pipelining: Pipelining,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    record: Arc<ClientRecord>,
    succeeded: usize,
}

impl Client {
    pub fn new(
        seed: u64,
        number: usize,
        pipelining: Pipelining,
        addresses: Arc<Mutex<Vec<SocketAddr>>>,
        record: Arc<ClientRecord>,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(number as u64 + 1);
        Self { random, number, pipelining, addresses, record, succeeded: 0 }
    }

    /// Runs all operations. Returns the number of statements that succeeded.
    pub fn run(mut self) -> usize {
        let mut session = None;
        for _ in 0..OPERATIONS {
            let mut current = session.take().unwrap_or_else(|| self.open());
            let is_kept = self.operate(&mut current).is_ok() && self.random.random_bool(0.95);
            session = is_kept.then_some(current);
        }
        self.succeeded
    }

    fn open(&mut self) -> LineSession {
        loop {
            let addresses = self.addresses.lock().expect("no holder panics").clone();
            let address = *addresses.choose(&mut self.random).expect("an address");
            let kinds = [Consistency::Primary, Consistency::Bounded, Consistency::Session];
            let kind = *kinds.choose(&mut self.random).expect("a kind");
            let database = database(GROUPS[0], kind);
            let name = format!("c{}", self.number);
            let opened = open_recorded(address, &database, &name, &self.record);
            let Ok(mut session) = opened else {
                thread::sleep(RETRY_DELAY);
                continue;
            };
            // The names clash between the clients, and their definitions differ.
            let shape = self.number % 4;
            let prepared =
                [format!("PREPARE w WRITE s{shape}"), format!("PREPARE r READ s{shape}")];
            let mut texts = prepared.iter();
            if texts.all(|text| session.run(text).is_ok_and(|answer| answer.is_success())) {
                return session;
            }
        }
    }

    fn operate(&mut self, session: &mut LineSession) -> Outcome {
        match self.random.random_range(0..10) {
            0..4 => {
                let text = self.text();
                self.ask(session, &text).map(|_| ())
            }
            4 => {
                let text = format!("SET color c{}", self.random.random_range(0..5));
                self.ask(session, &text).map(|_| ())
            }
            5 => {
                let texts: Vec<String> = (0..4).map(|_| self.text()).collect();
                self.send_ahead(session, &texts)
            }
            6 if self.pipelining == Pipelining::Transactions => {
                let texts = ["BEGIN".to_owned(), self.text(), self.text(), self.end().to_owned()];
                self.send_ahead(session, &texts)
            }
            7 => {
                // Leaves while its statement runs.
                let text = self.text();
                let _ = session.send_statement(&text);
                Err(Disconnected)
            }
            _ => self.transaction(session),
        }
    }

    /// A transaction with pauses. Some clients leave it open and go.
    fn transaction(&mut self, session: &mut LineSession) -> Outcome {
        let begin = *["BEGIN", "BEGIN READ"].choose(&mut self.random).expect("a text");
        if self.ask(session, begin)?.state == TransactionState::Idle {
            return Ok(());
        }
        for _ in 0..self.random.random_range(1..5) {
            let pause = self.random.random_range(0..MAX_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
            let text = match self.random.random_bool(0.1) {
                true => format!("SET shade s{}", self.random.random_range(0..5)),
                false => self.text(),
            };
            match self.ask(session, &text)?.state {
                TransactionState::Idle => return Ok(()),
                TransactionState::Failed => return self.ask(session, "ROLLBACK").map(|_| ()),
                TransactionState::Open => {}
            }
        }
        if self.random.random_bool(0.15) {
            return Err(Disconnected);
        }
        let end = self.end();
        self.ask(session, end).map(|_| ())
    }

    fn send_ahead(&mut self, session: &mut LineSession, texts: &[String]) -> Outcome {
        for text in texts {
            session.send_statement(text).map_err(|_| Disconnected)?;
        }
        let mut state = TransactionState::Idle;
        for _ in texts {
            state = self.answer(session)?.state;
        }
        // A session that an operation leaves in another state is closed by its client.
        (state == TransactionState::Idle).then_some(()).ok_or(Disconnected)
    }

    fn ask(&mut self, session: &mut LineSession, text: &str) -> Result<Answer, Disconnected> {
        session.send_statement(text).map_err(|_| Disconnected)?;
        self.answer(session)
    }

    fn answer(&mut self, session: &mut LineSession) -> Result<Answer, Disconnected> {
        let answer = session.read_answer().map_err(|_| Disconnected)?;
        self.succeeded += usize::from(answer.is_success());
        Ok(answer)
    }

    fn text(&mut self) -> String {
        let row = self.random.random_range(0..6);
        let data = DATA.choose(&mut self.random).expect("data");
        match self.random.random_range(0..4) {
            0 => format!("READ t{row}"),
            1 => format!("EXECUTE r t{row}"),
            2 => format!("EXECUTE w t{row} {data}"),
            _ => format!("WRITE t{row} {data}"),
        }
    }

    fn end(&mut self) -> &'static str {
        match self.random.random_bool(0.7) {
            true => "COMMIT",
            false => "ROLLBACK",
        }
    }
}
