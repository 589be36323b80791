//! Clients that keep to the protocol and know what they must see.

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::{GROUPS, Platform, database};

/// Writes of each client.
const WRITES: usize = 60;

/// A client of a row of its own.
pub struct SteadyClient {
    session: LineSession,
    number: usize,
}

impl SteadyClient {
    pub fn open(platform: &Platform, number: usize) -> Self {
        let node = number % platform.client_addresses.len();
        let database = database(GROUPS[0], Consistency::Session);
        let name = format!("steady{number}");
        let mut session = platform.open_session(node, &database, &name).expect("it opens");
        for text in ["PREPARE w WRITE steady", "PREPARE r READ steady", "SET color steady"] {
            assert!(session.run(text).expect("an answer").is_success(), "{text}");
        }
        Self { session, number }
    }

    /// Writes values and reads each one back. Returns the number of writes that succeeded.
    pub fn run(mut self) -> usize {
        let row = format!("steady{}", self.number);
        let mut written = 0;
        let mut possible = vec!["nothing".to_owned()];
        for value in 0..WRITES {
            let data = format!("{value} of {row}");
            let verb = if value % 2 == 0 { "WRITE" } else { "EXECUTE w" };
            if self.ask(&format!("{verb} {row} {data}")).is_success() {
                written += 1;
                possible.clear();
            }
            possible.push(data);
            let verb = if value % 3 == 0 { "READ" } else { "EXECUTE r" };
            let read = self.ask(&format!("{verb} {row}"));
            let is_expected = |found: &String| possible.contains(found);
            assert!(!read.is_success() || read.rows.iter().all(is_expected), "{read:?}");
        }
        written
    }

    /// A busy system may refuse a statement, but never as malformed.
    fn ask(&mut self, text: &str) -> Answer {
        let answer = self.session.run(text).expect("an answer");
        assert_ne!(answer.error_code(), Some("MALFORMED"), "{text:?}: {answer:?}");
        answer
    }
}
