//! Collects a client's messages into requests: a simple query, or a batch up to its `Sync`.

use bytes::{Bytes, BytesMut};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_protocol::facts_cache::FactsCache;
use kestrellock_protocol::request::{NextRequest, Request, Timing};

use crate::batch::Batch;
use crate::extended;
use crate::frames::{self, Frame};
use crate::statements::SessionStatements;

/// Answer to a `ROLLBACK`, without `ReadyForQuery`.
pub(super) const ROLLBACK_REPLY: &[u8] = b"C\0\0\0\x0dROLLBACK\0";

/// Collects a client's messages up to the one that completes a request.
#[derive(Debug, Default)]
pub struct Collector {
    batch: Batch,
    /// The client's prepared statements.
    pub statements: SessionStatements,
}

impl Collector {
    /// Whether no part of a request has been collected.
    pub fn is_empty(&self) -> bool {
        self.batch.is_empty()
    }

    /// Consumes complete messages from `input` until a request is complete.
    pub fn next(
        &mut self,
        input: &mut BytesMut,
        facts_cache: &mut FactsCache,
        timing: Timing,
    ) -> NextRequest {
        if self.batch.is_empty() {
            self.statements.begin_request();
        }
        loop {
            let frame = match frames::next_frame(input) {
                Ok(Some(frame)) => frame,
                Ok(None) => return NextRequest::Incomplete,
                Err(error) => return NextRequest::ProtocolError(bad_length(error)),
            };
            match frame.tag {
                b'Q' => return NextRequest::Request(simple(frame, facts_cache, timing)),
                extended::SYNC => {
                    return match self.batch.finish(&frame, timing) {
                        Ok(request) => NextRequest::Request(request),
                        Err(refused) => NextRequest::Refused(refused),
                    };
                }
                b'X' => return NextRequest::Terminate,
                _ => self.batch.add(&frame, &mut self.statements, facts_cache),
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

fn simple(frame: Frame, facts_cache: &mut FactsCache, timing: Timing) -> Request {
    let text = query_text(&frame);
    Request {
        id: None,
        facts: facts_cache.facts_of(&text),
        text: Some(text),
        messages: frame.bytes,
        statements: Vec::new(),
        executes: true,
        rollback_replies: Bytes::from_static(ROLLBACK_REPLY),
        is_local: false,
        arrived: timing.arrived,
        deadline: timing.deadline,
        sent: false,
    }
}

/// The text in the body of a simple query message.
fn query_text(frame: &Frame) -> Bytes {
    let body = frame.bytes.slice(frames::HEADER_BYTES..);
    match body.last() {
        Some(0) => body.slice(..body.len() - 1),
        _ => body,
    }
}
