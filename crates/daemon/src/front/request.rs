//! What a caller has asked for: one exchange, ready to go out or on its way.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use kestrellock_core::classify::{StatementClass, TextFacts};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::PreparedStatement;

use super::batch::Batch;
use super::classes::{self, Classes};
use super::statements::Statements;
use crate::net::extended;
use crate::net::frames::{self, Frame};

/// Answer to a `ROLLBACK`, without `ReadyForQuery`.
pub(super) const ROLLBACK_REPLY: &[u8] = b"C\0\0\0\x0dROLLBACK\0";

/// An exchange.
#[derive(Debug)]
pub struct Request {
    /// Front-end messages.
    pub messages: Bytes,
    /// Statements that must exist on the connection beforehand.
    pub statements: Vec<PreparedStatement>,
    /// What executing it does; where nothing is executed, what its statements would do.
    pub facts: Arc<TextFacts>,
    /// Whether anything is executed, rather than only prepared or described.
    pub executes: bool,
    /// What a back end would answer if every statement only rolled back, without `ReadyForQuery`.
    pub rollback_replies: Bytes,
    /// Whether the proxy answers alone, with `rollback_replies`.
    pub is_local: bool,
    /// Latest time to answer it.
    pub deadline: Instant,
    /// Whether it has been handed to a gateway.
    pub sent: bool,
}

impl Request {
    /// What it does as a whole.
    pub fn class(&self) -> StatementClass {
        self.facts.class
    }
}

/// What the next messages of a caller are.
#[derive(Debug)]
pub enum Next {
    /// Not whole yet.
    Incomplete,
    /// An exchange.
    Request(Request),
    /// A refused exchange; the caller goes on.
    Refused(Refusal),
    /// The caller says goodbye.
    Terminate,
    /// The caller breaks the protocol; it cannot go on.
    Broken(Refusal),
}

/// Collects caller messages up to one that ends an exchange.
#[derive(Debug, Default)]
pub struct Collector {
    batch: Batch,
    /// The caller's prepared statements.
    pub statements: Statements,
}

impl Collector {
    /// Whether no part of an exchange has been collected.
    pub fn is_empty(&self) -> bool {
        self.batch.is_empty()
    }

    /// Takes whole messages off `input` until an exchange is complete.
    pub fn next(&mut self, input: &mut BytesMut, classes: &mut Classes, deadline: Instant) -> Next {
        loop {
            let frame = match frames::next_frame(input) {
                Ok(Some(frame)) => frame,
                Ok(None) => return Next::Incomplete,
                Err(error) => return Next::Broken(bad_length(error)),
            };
            match frame.tag {
                b'Q' => return Next::Request(simple(frame, classes, deadline)),
                extended::SYNC => {
                    return match self.batch.finish(&frame, deadline) {
                        Ok(request) => Next::Request(request),
                        Err(refusal) => Next::Refused(refusal),
                    };
                }
                b'X' => return Next::Terminate,
                _ => self.batch.add(&frame, &mut self.statements, classes),
            }
        }
    }
}

fn bad_length(error: frames::BadLength) -> Refusal {
    let code = if error.0 > frames::MAX_MESSAGE_BYTES as i64 {
        ResultCode::MessageTooLarge
    } else {
        ResultCode::ProtocolViolation
    };
    Refusal::new(code, error.to_string())
}

fn simple(frame: Frame, classes: &mut Classes, deadline: Instant) -> Request {
    let body = frame.bytes.slice(frames::HEADER_BYTES..);
    Request {
        facts: classes.of(classes::query_text(&body)),
        messages: frame.bytes,
        statements: Vec::new(),
        executes: true,
        rollback_replies: Bytes::from_static(ROLLBACK_REPLY),
        is_local: false,
        deadline,
        sent: false,
    }
}
