//! A batch of a client's extended-query messages up to `Sync`, rewritten for shared server
//! connections.
//!
//! Clients share server connections, so each client statement name is replaced by a name that is
//! derived from the statement's text and parameter types. The batch also records which statements
//! must exist on the connection beforehand, what its statements do, and what the proxy would answer
//! without an instance.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use kestrellock_core::classify::TextFacts;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::PreparedStatement;

use kestrellock_protocol::facts_cache::FactsCache;
use kestrellock_protocol::request::{RefusedRequest, Request, Timing};

use crate::collector::ROLLBACK_REPLY;
use crate::extended::{self, BindFields, NamedObject, ParseFields, STATEMENT_KIND};
use crate::frames::Frame;
use crate::statements::{SessionStatement, SessionStatements};

/// Size of the largest batch that a node buffers. A larger batch is refused.
pub const MAX_BATCH_BYTES: usize = 32 * 1024 * 1024;
/// Name of no existing statement. A client's `Close` of a statement is sent with this name, because
/// other clients may still use the shared statement.
const UNUSED_STATEMENT: &[u8] = b"kl_none";

const PARSE_COMPLETE: &[u8] = b"1\0\0\0\x04";
const BIND_COMPLETE: &[u8] = b"2\0\0\0\x04";
const CLOSE_COMPLETE: &[u8] = b"3\0\0\0\x04";
const NO_PARAMETERS: &[u8] = b"t\0\0\0\x06\0\0";
const NO_DATA: &[u8] = b"n\0\0\0\x04";

#[derive(Debug)]
struct Portal {
    name: Bytes,
    facts: Arc<TextFacts>,
}

/// A batch whose `Sync` has not arrived yet.
#[derive(Debug, Default)]
pub struct Batch {
    messages: BytesMut,
    /// SessionStatements that must exist on the connection before the batch is sent.
    required: Vec<PreparedStatement>,
    /// Shared names of statements that the batch itself creates.
    created: Vec<String>,
    portals: Vec<Portal>,
    /// Combined facts of the executed statements.
    executed: Option<Arc<TextFacts>>,
    /// Combined facts of the statements that are prepared, bound or described.
    referenced: Option<Arc<TextFacts>>,
    /// Replies as if every executed statement only rolled back.
    replies: BytesMut,
    needs_instance: bool,
    refusal: Option<RefusedRequest>,
}

impl Batch {
    /// Whether no message has been added.
    pub fn is_empty(&self) -> bool {
        self.refusal.is_none() && self.messages.is_empty() && self.replies.is_empty()
    }

    /// Adds a message other than `Sync`. After an error, messages up to `Sync` are skipped.
    pub fn add(
        &mut self,
        frame: &Frame,
        statements: &mut SessionStatements,
        facts_cache: &mut FactsCache,
    ) {
        if self.refusal.is_some() {
            return;
        }
        if let Err(refusal) = self.try_add(frame, statements, facts_cache) {
            let facts = self.referenced.as_ref();
            let begins_transaction = facts.is_some_and(|facts| facts.begins);
            let refused = RefusedRequest { refusal, begins_transaction };
            *self = Self { refusal: Some(refused), ..Self::default() };
        }
    }

    fn try_add(
        &mut self,
        frame: &Frame,
        statements: &mut SessionStatements,
        facts_cache: &mut FactsCache,
    ) -> Result<(), Refusal> {
        if self.messages.len() + frame.bytes.len() > MAX_BATCH_BYTES {
            return Err(Refusal::new(ResultCode::MessageTooLarge, "the batch is too large"));
        }
        match frame.tag {
            extended::PARSE => self.add_parse(frame, statements, facts_cache),
            extended::BIND => self.add_bind(frame, statements),
            extended::DESCRIBE => self.add_describe(frame, statements),
            extended::EXECUTE => self.add_execute(frame),
            extended::CLOSE => self.add_close(frame, statements),
            extended::FLUSH => {
                Err(Refusal::new(ResultCode::NotSupported, "Flush is not supported; use Sync"))
            }
            other => Err(Refusal::new(
                ResultCode::ProtocolViolation,
                format!("unexpected message of type {other:#04x}"),
            )),
        }
    }

    fn add_parse(
        &mut self,
        frame: &Frame,
        statements: &mut SessionStatements,
        facts_cache: &mut FactsCache,
    ) -> Result<(), Refusal> {
        let fields = ParseFields::read(frame.body()).ok_or_else(malformed)?;
        let statement = SessionStatement::new(&fields, facts_cache.facts_of(fields.text));
        self.add_referenced(&statement.facts);
        self.needs_instance = true;
        self.messages.extend_from_slice(&statement.shared.parse);
        self.created.push(statement.shared.name.clone());
        self.replies.extend_from_slice(PARSE_COMPLETE);
        if !statements.insert(fields.name, statement) {
            let detail = "the session has too many prepared statements";
            return Err(Refusal::new(ResultCode::TooManyStatements, detail));
        }
        Ok(())
    }

    fn add_bind(&mut self, frame: &Frame, statements: &SessionStatements) -> Result<(), Refusal> {
        let fields = BindFields::read(frame.body()).ok_or_else(malformed)?;
        let statement = find(statements, fields.statement)?;
        self.require(&statement.shared);
        self.add_referenced(&statement.facts);
        self.needs_instance = true;
        let name = statement.shared.name.as_bytes();
        extended::put_bind(fields.portal, name, fields.values, &mut self.messages);
        self.portals.retain(|portal| portal.name != fields.portal);
        let name = Bytes::copy_from_slice(fields.portal);
        self.portals.push(Portal { name, facts: statement.facts.clone() });
        self.replies.extend_from_slice(BIND_COMPLETE);
        Ok(())
    }

    fn add_describe(
        &mut self,
        frame: &Frame,
        statements: &SessionStatements,
    ) -> Result<(), Refusal> {
        let object = NamedObject::read(frame.body()).ok_or_else(malformed)?;
        self.needs_instance = true;
        if object.kind != STATEMENT_KIND {
            self.messages.extend_from_slice(&frame.bytes);
            self.replies.extend_from_slice(NO_DATA);
            return Ok(());
        }
        let statement = find(statements, object.name)?;
        self.require(&statement.shared);
        self.add_referenced(&statement.facts);
        let name = statement.shared.name.as_bytes();
        extended::put_for_statement(extended::DESCRIBE, name, &mut self.messages);
        self.replies.extend_from_slice(NO_PARAMETERS);
        self.replies.extend_from_slice(NO_DATA);
        Ok(())
    }

    fn add_execute(&mut self, frame: &Frame) -> Result<(), Refusal> {
        let (name, _) = extended::split_string(frame.body()).ok_or_else(malformed)?;
        // A portal from an earlier batch exists until its transaction ends. Its facts are not
        // known here.
        let portal = self.portals.iter().find(|portal| portal.name == name);
        let facts = portal.map_or_else(earlier_portal, |portal| portal.facts.clone());
        self.executed = Some(combine(self.executed.take(), &facts));
        self.needs_instance = true;
        self.messages.extend_from_slice(&frame.bytes);
        self.replies.extend_from_slice(ROLLBACK_REPLY);
        Ok(())
    }

    fn add_close(
        &mut self,
        frame: &Frame,
        statements: &mut SessionStatements,
    ) -> Result<(), Refusal> {
        let object = NamedObject::read(frame.body()).ok_or_else(malformed)?;
        self.replies.extend_from_slice(CLOSE_COMPLETE);
        if object.kind == STATEMENT_KIND {
            statements.remove(object.name);
            extended::put_for_statement(extended::CLOSE, UNUSED_STATEMENT, &mut self.messages);
            return Ok(());
        }
        self.needs_instance = true;
        self.messages.extend_from_slice(&frame.bytes);
        Ok(())
    }

    fn add_referenced(&mut self, facts: &Arc<TextFacts>) {
        self.referenced = Some(combine(self.referenced.take(), facts));
    }

    fn require(&mut self, statement: &PreparedStatement) {
        let present = self.created.contains(&statement.name)
            || self.required.iter().any(|required| required.name == statement.name);
        if !present {
            self.required.push(statement.clone());
        }
    }

    /// Ends the batch with the client's `Sync` and returns it as a request.
    pub fn finish(&mut self, sync: &Frame, timing: Timing) -> Result<Request, RefusedRequest> {
        let mut batch = std::mem::take(self);
        if let Some(refused) = batch.refusal {
            return Err(refused);
        }
        batch.messages.extend_from_slice(&sync.bytes);
        Ok(Request {
            id: None,
            text: None,
            messages: batch.messages.freeze(),
            statements: batch.required,
            executes: batch.executed.is_some(),
            facts: batch
                .executed
                .or(batch.referenced)
                .unwrap_or_else(|| Arc::new(TextFacts::nothing())),
            rollback_replies: batch.replies.freeze(),
            is_local: !batch.needs_instance,
            arrived: timing.arrived,
            deadline: timing.deadline,
            sent: false,
        })
    }
}

fn combine(earlier: Option<Arc<TextFacts>>, next: &Arc<TextFacts>) -> Arc<TextFacts> {
    let Some(mut earlier) = earlier else { return next.clone() };
    Arc::make_mut(&mut earlier).then(next);
    earlier
}

/// Facts of a portal whose statement is not known here. The portal was bound in the transaction
/// that is still open. If its statement taints the connection, the connection was marked for a
/// reset at that time.
fn earlier_portal() -> Arc<TextFacts> {
    Arc::new(TextFacts::earlier_portal())
}

fn malformed() -> Refusal {
    Refusal::new(ResultCode::ProtocolViolation, "message body is malformed")
}

fn find<'a>(
    statements: &'a SessionStatements,
    name: &[u8],
) -> Result<&'a SessionStatement, Refusal> {
    statements.get(name).ok_or_else(|| {
        let name = String::from_utf8_lossy(name);
        let detail = format!("prepared statement \"{name}\" does not exist");
        Refusal::new(ResultCode::UnknownStatement, detail)
    })
}
