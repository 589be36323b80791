//! A client's prepared statements under the names that the client gave them.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use kestrellock_core::classify::TextFacts;
use kestrellock_peer::message::PreparedStatement;
use xxhash_rust::xxh3::Xxh3;

use crate::extended::{self, ParseFields};

/// Maximum number of prepared statements of one client.
pub const MAX_STATEMENTS: usize = 2048;

/// A statement that a client has prepared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionStatement {
    /// Name and `Parse` message that server connections use for it.
    pub shared: PreparedStatement,
    /// Facts of its text.
    pub facts: Arc<TextFacts>,
}

impl SessionStatement {
    /// Creates a statement from a client's `Parse`. The unnamed statement stays unnamed. Any other
    /// statement gets a name derived from its text and parameter types, so that clients share it.
    pub fn new(fields: &ParseFields, facts: Arc<TextFacts>) -> Self {
        let name = if fields.name.is_empty() { String::new() } else { shared_name(fields) };
        let parse = extended::parse_message(name.as_bytes(), fields.text, fields.types);
        Self { shared: PreparedStatement { name, parse }, facts }
    }
}

fn shared_name(fields: &ParseFields) -> String {
    let mut hasher = Xxh3::new();
    hasher.update(fields.text);
    hasher.update(&[0]);
    hasher.update(fields.types);
    format!("kl_{:032x}", hasher.digest128())
}

/// One client's prepared statements by the client's names.
#[derive(Debug, Default)]
pub struct SessionStatements {
    by_name: HashMap<Bytes, SessionStatement>,
}

impl SessionStatements {
    /// The statement with that name.
    pub fn get(&self, name: &[u8]) -> Option<&SessionStatement> {
        self.by_name.get(name)
    }

    /// Adds or replaces a statement; false if the client already has [`MAX_STATEMENTS`].
    pub fn insert(&mut self, name: &[u8], statement: SessionStatement) -> bool {
        if let Some(existing) = self.by_name.get_mut(name) {
            *existing = statement;
            return true;
        }
        if self.by_name.len() >= MAX_STATEMENTS {
            return false;
        }
        self.by_name.insert(Bytes::copy_from_slice(name), statement);
        true
    }

    /// Removes the statement with that name, if any.
    pub fn remove(&mut self, name: &[u8]) {
        self.by_name.remove(name);
    }

    /// Removes all statements and frees their memory.
    pub fn clear(&mut self) {
        self.by_name = HashMap::new();
    }
}
