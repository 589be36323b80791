//! Prepared statements of one back-end connection.
//!
//! Callers share connections, so a statement that a caller has prepared may be missing on the
//! connection that runs its next exchange, and one that it prepares anew may exist already.
//! Before an exchange goes out, missing statements are created in front of it, and a `Parse` of an
//! existing one is replaced by a `Close` of a name that nobody uses, which changes nothing and is
//! answered at the same place. The answers are put right on their way back.

use std::collections::{HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use kestrellock_peer::message::PreparedStatement;

use kestrellock_protocol::backend::ReplyAction;

use crate::extended::{self, ParseFields};
use crate::frames::{self, HEADER_BYTES};

/// Statements kept on one connection; beyond it the one created first is closed.
pub const MAX_STATEMENTS: usize = 512;
/// A name that no statement has: names made by fronts are longer.
const NO_STATEMENT: &[u8] = b"kl_none";
const PARSE_COMPLETE: &[u8] = b"1\0\0\0\x04";
/// SQLSTATEs after which the statements of a connection can no longer be trusted:
/// `feature_not_supported` ("cached plan must not change result type"),
/// `invalid_sql_statement_name` and `duplicate_prepared_statement`.
const STALE_STATES: [&[u8]; 3] = [b"0A000", b"26000", b"42P05"];

#[derive(Clone, Debug, PartialEq, Eq)]
struct AwaitedParse {
    name: Bytes,
    pass: bool,
}

/// Statements that exist on a connection, and the answers awaited for the exchange under way.
#[derive(Debug, Default)]
pub struct PreparedSet {
    known: HashMap<Bytes, Bytes>,
    order: VecDeque<Bytes>,
    doomed: Vec<Bytes>,
    parses: VecDeque<AwaitedParse>,
    closes: VecDeque<ReplyAction>,
}

impl PreparedSet {
    /// Number of statements believed to exist.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no statement exists.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets everything, because the back end has dropped all its statements.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Appends an exchange's messages to `output`, adjusted to what the connection has.
    pub fn send(&mut self, needed: &[PreparedStatement], messages: &Bytes, output: &mut BytesMut) {
        self.parses.clear();
        self.closes.clear();
        if messages.first() == Some(&b'Q') {
            output.extend_from_slice(messages);
            return;
        }
        self.close_doomed(output);
        for statement in needed {
            self.create(statement, output);
        }
        self.copy_messages(messages, output);
    }

    fn close_doomed(&mut self, output: &mut BytesMut) {
        while self.known.len() > MAX_STATEMENTS {
            let Some(oldest) = self.order.pop_front() else { break };
            if self.known.remove(&oldest).is_some() {
                self.doomed.push(oldest);
            }
        }
        for name in std::mem::take(&mut self.doomed) {
            self.put_close(&name, ReplyAction::Discard, output);
        }
    }

    fn put_close(&mut self, name: &[u8], reply: ReplyAction, output: &mut BytesMut) {
        extended::put_for_statement(extended::CLOSE, name, output);
        self.closes.push_back(reply);
    }

    /// Creates a statement in front of the exchange unless it exists. The unnamed statement is
    /// always created: another caller may have replaced it.
    fn create(&mut self, statement: &PreparedStatement, output: &mut BytesMut) {
        let name = Bytes::copy_from_slice(statement.name.as_bytes());
        if !self.admit(&name, &statement.parse, output) {
            return;
        }
        output.extend_from_slice(&statement.parse);
        self.parses.push_back(AwaitedParse { name, pass: false });
    }

    /// Whether `parse` must be sent; records the statement if so.
    fn admit(&mut self, name: &Bytes, parse: &Bytes, output: &mut BytesMut) -> bool {
        if name.is_empty() {
            return true;
        }
        match self.known.get(name) {
            Some(existing) if existing == parse => return false,
            Some(_) => self.put_close(name, ReplyAction::Discard, output),
            None => self.order.push_back(name.clone()),
        }
        self.known.insert(name.clone(), parse.clone());
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
                    self.closes.push_back(ReplyAction::Forward);
                }
                _ => output.extend_from_slice(&message),
            }
        }
        output.extend_from_slice(&rest);
    }

    fn copy_parse(&mut self, message: &Bytes, output: &mut BytesMut) {
        let name = ParseFields::read(&message[HEADER_BYTES..])
            .map_or_else(Bytes::new, |fields| Bytes::copy_from_slice(fields.name));
        // A copy of its own, so that the set keeps no larger buffer alive.
        if self.admit(&name, &Bytes::copy_from_slice(message), output) {
            output.extend_from_slice(message);
            self.parses.push_back(AwaitedParse { name, pass: true });
        } else {
            let reply = ReplyAction::Replace(Bytes::from_static(PARSE_COMPLETE));
            self.put_close(NO_STATEMENT, reply, output);
        }
    }

    /// Says what to do with a message of the answer.
    pub fn on_reply(&mut self, message: &Bytes) -> ReplyAction {
        match message[0] {
            b'1' => match self.parses.pop_front() {
                Some(AwaitedParse { pass: false, .. }) => ReplyAction::Discard,
                _ => ReplyAction::Forward,
            },
            b'3' => self.closes.pop_front().unwrap_or(ReplyAction::Forward),
            b'E' => {
                self.on_error(&message[HEADER_BYTES..]);
                ReplyAction::Forward
            }
            _ => ReplyAction::Forward,
        }
    }

    /// The back end skips the rest of the exchange: what it has not created does not exist.
    fn on_error(&mut self, body: &[u8]) {
        for AwaitedParse { name, .. } in self.parses.drain(..) {
            self.known.remove(&name);
            self.order.retain(|known| *known != name);
        }
        self.closes.clear();
        let stale = sqlstate(body).is_some_and(|state| STALE_STATES.contains(&state));
        if stale {
            self.order.clear();
            self.doomed.extend(self.known.drain().map(|(name, _)| name));
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
