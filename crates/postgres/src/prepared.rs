//! Prepared statements of one server connection.
//!
//! Clients share server connections. A statement that a client has prepared may be missing on the
//! connection that runs its next exchange, and a statement that it prepares may already exist
//! there. Before an exchange is sent, a `Parse` for each missing statement is put in front of it. A
//! `Parse` of an existing statement is replaced by a `Close` of an unused name, which has no effect
//! and is answered at the same position in the answer. The answers are rewritten accordingly:
//! replies to added messages are dropped, and the reply to a substituted `Close` becomes a
//! `ParseComplete`.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use kestrellock_peer::message::PreparedStatement;

use kestrellock_protocol::backend::ReplyAction;

use crate::extended::{self, ParseFields};
use crate::frames::{self, HEADER_BYTES};

/// Maximum number of statements on one connection. Beyond it, the oldest statements are closed
/// before the next exchange.
pub const MAX_STATEMENTS: usize = 512;
/// A name that no statement has, since the statement names that fronts generate are longer.
const UNUSED_STATEMENT: &[u8] = b"kl_none";
const PARSE_COMPLETE: &[u8] = b"1\0\0\0\x04";
/// SQLSTATEs after which the statements of a connection can no longer be trusted:
/// `feature_not_supported` ("cached plan must not change result type"),
/// `invalid_sql_statement_name` and `duplicate_prepared_statement`.
const STALE_STATES: [&[u8]; 3] = [b"0A000", b"26000", b"42P05"];

#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingParse {
    name: Bytes,
    forward_reply: bool,
}

/// Statements that exist on a connection, and the replies expected for the current exchange.
#[derive(Debug, Default)]
pub struct PreparedSet {
    /// `Parse` messages of the existing statements by name.
    statements: HashMap<Bytes, Bytes>,
    /// Names of the statements in order of creation.
    creation_order: VecDeque<Bytes>,
    /// Names of the statements to close in front of the next exchange.
    to_close: Vec<Bytes>,
    pending_parses: VecDeque<PendingParse>,
    pending_closes: VecDeque<ReplyAction>,
}

impl PreparedSet {
    /// Number of statements that are assumed to exist.
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    /// Whether no statement is assumed to exist.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Removes all statements, because the instance has dropped them.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Appends an exchange's messages to `output`, adjusted to the statements that exist on the
    /// connection. `required` are the statements that the exchange uses without creating them.
    pub fn put_exchange(
        &mut self,
        required: &[PreparedStatement],
        messages: &Bytes,
        output: &mut BytesMut,
    ) {
        self.pending_parses.clear();
        self.pending_closes.clear();
        if messages.first() == Some(&b'Q') {
            output.extend_from_slice(messages);
            return;
        }
        self.close_surplus_and_stale(output);
        for statement in required {
            self.create(statement, output);
        }
        self.copy_messages(messages, output);
    }

    fn close_surplus_and_stale(&mut self, output: &mut BytesMut) {
        while self.statements.len() > MAX_STATEMENTS {
            let Some(oldest) = self.creation_order.pop_front() else { break };
            if self.statements.remove(&oldest).is_some() {
                self.to_close.push(oldest);
            }
        }
        for name in std::mem::take(&mut self.to_close) {
            self.put_close(&name, ReplyAction::Discard, output);
        }
    }

    fn put_close(&mut self, name: &[u8], reply_action: ReplyAction, output: &mut BytesMut) {
        extended::put_for_statement(extended::CLOSE, name, output);
        self.pending_closes.push_back(reply_action);
    }

    /// Creates a statement in front of the exchange unless it exists. The unnamed statement is
    /// always created, because another client may have replaced it.
    fn create(&mut self, statement: &PreparedStatement, output: &mut BytesMut) {
        let name = Bytes::copy_from_slice(statement.name.as_bytes());
        if !self.record_if_missing(&name, &statement.parse, output) {
            return;
        }
        output.extend_from_slice(&statement.parse);
        self.pending_parses.push_back(PendingParse { name, forward_reply: false });
    }

    /// Whether `parse` must be sent. If so, records the statement, and closes an existing statement
    /// that has the same name but another `Parse`.
    fn record_if_missing(&mut self, name: &Bytes, parse: &Bytes, output: &mut BytesMut) -> bool {
        if name.is_empty() {
            return true;
        }
        match self.statements.get(name) {
            Some(existing) if existing == parse => return false,
            Some(_) => self.put_close(name, ReplyAction::Discard, output),
            None => self.creation_order.push_back(name.clone()),
        }
        self.statements.insert(name.clone(), parse.clone());
        true
    }

    fn copy_messages(&mut self, messages: &Bytes, output: &mut BytesMut) {
        let mut rest = messages.clone();
        while let Ok(Some((tag, length))) = frames::peek(&rest) {
            if rest.len() < length {
                break;
            }
            let message = rest.split_to(length);
            match tag {
                extended::PARSE => self.copy_parse(&message, output),
                extended::CLOSE => {
                    output.extend_from_slice(&message);
                    self.pending_closes.push_back(ReplyAction::Forward);
                }
                _ => output.extend_from_slice(&message),
            }
        }
        output.extend_from_slice(&rest);
    }

    fn copy_parse(&mut self, message: &Bytes, output: &mut BytesMut) {
        let name = ParseFields::read(&message[HEADER_BYTES..])
            .map_or_else(Bytes::new, |fields| Bytes::copy_from_slice(fields.name));
        // Copied into its own allocation, so that the set does not keep a larger buffer alive.
        if self.record_if_missing(&name, &Bytes::copy_from_slice(message), output) {
            output.extend_from_slice(message);
            self.pending_parses.push_back(PendingParse { name, forward_reply: true });
        } else {
            let reply_action = ReplyAction::Replace(Bytes::from_static(PARSE_COMPLETE));
            self.put_close(UNUSED_STATEMENT, reply_action, output);
        }
    }

    /// Returns what to do with a message of the answer.
    pub fn on_reply(&mut self, message: &Bytes) -> ReplyAction {
        match message[0] {
            b'1' => match self.pending_parses.pop_front() {
                Some(PendingParse { forward_reply: false, .. }) => ReplyAction::Discard,
                _ => ReplyAction::Forward,
            },
            b'3' => self.pending_closes.pop_front().unwrap_or(ReplyAction::Forward),
            b'E' => {
                self.on_error(&message[HEADER_BYTES..]);
                ReplyAction::Forward
            }
            _ => ReplyAction::Forward,
        }
    }

    /// Removes the statements whose `Parse` was not answered: after an error the instance skips the
    /// rest of the exchange. Closes all statements later if the error shows that they are stale.
    fn on_error(&mut self, body: &[u8]) {
        for PendingParse { name, .. } in self.pending_parses.drain(..) {
            self.statements.remove(&name);
            self.creation_order.retain(|existing| *existing != name);
        }
        self.pending_closes.clear();
        let stale = sqlstate(body).is_some_and(|state| STALE_STATES.contains(&state));
        if stale {
            self.creation_order.clear();
            self.to_close.extend(self.statements.drain().map(|(name, _)| name));
        }
    }
}

/// The SQLSTATE field of an `ErrorResponse` body.
pub fn sqlstate(mut body: &[u8]) -> Option<&[u8]> {
    while let Some((&field, rest)) = body.split_first() {
        let (value, after) = extended::split_string(rest)?;
        if field == b'C' {
            return Some(value);
        }
        body = after;
    }
    None
}
