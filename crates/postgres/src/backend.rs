//! The PostgreSQL codec of a connection to an instance.

use std::collections::BTreeMap;

use bytes::BytesMut;
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::session_state::SessionSetting;
use kestrellock_peer::message::{Exchange, TransactionState};
use kestrellock_protocol::backend::{
    BackendProtocol, BackendTarget, BadReply, Failure, PreparationProgress, Reply, ReplyAction,
    ReplyKind, Report,
};
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{SecretKey, Startup};

use crate::backend_login;
use crate::connection_state::{self, ConnectionState};
use crate::frames::{self, Frame, HEADER_BYTES};
use crate::position_query::{POSITION_QUERY, parse_row};
use crate::prepared::{PreparedSet, sqlstate};

const ROLLBACK: &str = "ROLLBACK";
const COMMIT_TAG: &[u8] = b"COMMIT";
/// SQLSTATE of a connection that an instance refuses because it has too many.
const TOO_MANY_CONNECTIONS: &[u8] = b"53300";
/// SQLSTATE of a write that a read-only server refuses.
const READ_ONLY_TRANSACTION: &[u8] = b"25006";
/// Classes of SQLSTATEs of statements that fail at every instance: feature not supported, data
/// exception, and syntax error or access rule violation.
const INVALID_CLASSES: [&[u8]; 3] = [b"0A", b"22", b"42"];
/// SQLSTATE of a setting that cannot be changed now.
const CANNOT_CHANGE_SETTING: &[u8] = b"55P02";

/// Codec of a connection to an instance. Tracks the connection's prepared statements and session
/// settings.
#[derive(Debug, Default)]
pub struct PostgresBackend {
    prepared: PreparedSet,
    connection_state: ConnectionState,
    preparation: Preparation,
}

/// The preparation whose answer is outstanding.
#[derive(Debug, Default)]
struct Preparation {
    /// The settings that it establishes.
    settings: Vec<SessionSetting>,
    failure: Option<Failure>,
}

impl BackendProtocol for PostgresBackend {
    fn put_startup(&mut self, target: &BackendTarget, output: &mut BytesMut) {
        let mut startup = Startup::new();
        startup.parameters = BTreeMap::from([
            ("user".to_owned(), target.user.to_owned()),
            ("database".to_owned(), target.database.to_owned()),
            ("application_name".to_owned(), "kestrellock".to_owned()),
        ]);
        put(&PgWireFrontendMessage::Startup(startup), output);
    }

    fn answer_challenge(
        &mut self,
        challenge: &Reply,
        target: &BackendTarget,
        output: &mut BytesMut,
    ) -> bool {
        let answer = backend_login::answer(&challenge.bytes[HEADER_BYTES..], target);
        output.extend_from_slice(answer.as_deref().unwrap_or_default());
        answer.is_some()
    }

    fn next_reply(&mut self, input: &mut BytesMut) -> Result<Option<Reply>, BadReply> {
        let frame = frames::next_frame(input).map_err(|error| BadReply(error.to_string()))?;
        Ok(frame.map(|frame| Reply { kind: kind_of(&frame), bytes: frame.bytes }))
    }

    fn put_preparation(&mut self, exchange: &Exchange, output: &mut BytesMut) -> bool {
        let preparation = match exchange.number {
            0 => self.connection_state.preparation(&exchange.settings),
            _ => None,
        };
        let Some(sql) = preparation else { return false };
        put_query(&sql, output);
        self.preparation = Preparation { settings: exchange.settings.clone(), failure: None };
        true
    }

    fn on_preparation_reply(&mut self, reply: &Reply) -> PreparationProgress {
        match (&reply.kind, self.preparation.failure) {
            (ReplyKind::Failed(failure), _) => {
                self.preparation.failure.get_or_insert(*failure);
                PreparationProgress::Awaiting
            }
            (ReplyKind::Ready { .. }, Some(failure)) => {
                self.connection_state.on_preparation_failed();
                PreparationProgress::Failed(failure)
            }
            (ReplyKind::Ready { .. }, None) => {
                self.connection_state.on_prepared(&self.preparation.settings);
                PreparationProgress::Confirmed
            }
            _ => PreparationProgress::Awaiting,
        }
    }

    fn put_exchange(&mut self, exchange: &Exchange, output: &mut BytesMut) {
        if exchange.taints {
            self.connection_state.taint();
        }
        self.prepared.put_exchange(&exchange.statements, &exchange.frames, output);
    }

    fn reply_action(&mut self, reply: &Reply) -> ReplyAction {
        self.prepared.on_reply(&reply.bytes)
    }

    fn put_position_query(&mut self, output: &mut BytesMut) {
        put_query(POSITION_QUERY, output);
    }

    fn report(&self, row: &Reply) -> Option<Report> {
        parse_row(&row.bytes[HEADER_BYTES..]).ok()
    }

    fn put_rollback(&mut self, output: &mut BytesMut) {
        put_query(ROLLBACK, output);
    }

    fn put_reset(&mut self, output: &mut BytesMut) -> bool {
        let tainted = self.connection_state.is_tainted();
        if tainted {
            put_query(connection_state::RESET, output);
        }
        tainted
    }

    fn on_reset(&mut self) {
        self.connection_state.on_reset();
        self.prepared.clear();
    }

    fn put_cancel(&mut self, key: CancelKey, output: &mut BytesMut) {
        let secret = SecretKey::I32(key.secret as i32);
        let request = CancelRequest::new(key.process as i32, secret);
        put(&PgWireFrontendMessage::CancelRequest(request), output);
    }
}

fn kind_of(frame: &Frame) -> ReplyKind {
    match frame.tag {
        b'D' => ReplyKind::Row,
        b'C' => ReplyKind::Completed { commits: frame.body().starts_with(COMMIT_TAG) },
        b'E' => ReplyKind::Failed(failure_of(frame.body())),
        b'Z' => ReplyKind::Ready { transaction: transaction_of(frame.body()), position: None },
        b'R' => ReplyKind::Challenge,
        b'K' => cancel_key(frame.body()).map_or(ReplyKind::Other, ReplyKind::CancelKey),
        _ => ReplyKind::Other,
    }
}

fn failure_of(body: &[u8]) -> Failure {
    match sqlstate(body) {
        Some(TOO_MANY_CONNECTIONS) => Failure::TooManyConnections,
        Some(READ_ONLY_TRANSACTION) => Failure::ReadOnly,
        Some(CANNOT_CHANGE_SETTING) => Failure::Invalid,
        Some(state) if INVALID_CLASSES.iter().any(|class| state.starts_with(class)) => {
            Failure::Invalid
        }
        _ => Failure::Other,
    }
}

fn transaction_of(body: &[u8]) -> TransactionState {
    match body {
        b"T" => TransactionState::Open,
        b"E" => TransactionState::Failed,
        _ => TransactionState::Idle,
    }
}

/// Reads the key in the body of a `BackendKeyData`.
fn cancel_key(body: &[u8]) -> Option<CancelKey> {
    let (process, rest) = body.split_first_chunk::<4>()?;
    let secret = rest.first_chunk::<4>()?;
    Some(CancelKey { process: u32::from_be_bytes(*process), secret: u32::from_be_bytes(*secret) })
}

fn put(message: &PgWireFrontendMessage, output: &mut BytesMut) {
    if let Err(error) = message.encode(output) {
        log::error!("failed to encode a frontend message: {error}");
    }
}

fn put_query(sql: &str, output: &mut BytesMut) {
    put(&PgWireFrontendMessage::Query(Query::new(sql.to_owned())), output);
}
