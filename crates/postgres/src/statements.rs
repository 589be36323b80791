//! A client's prepared statements under the names that the client gave them.

use std::sync::Arc;

use kestrellock_core::classify::TextFacts;
use kestrellock_peer::message::PreparedStatement;
use kestrellock_protocol::prepared_names::PreparedNames;
use xxhash_rust::xxh3::Xxh3;

use crate::extended::{self, ParseFields};

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
pub type SessionStatements = PreparedNames<SessionStatement>;
