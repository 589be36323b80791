//! Messages that the proxy itself sends to a client.

use bytes::BytesMut;
use kestrellock_core::outcome::Refusal;
use kestrellock_core::session::{SESSION_PARAMETER, SessionBound};
use kestrellock_peer::message::TransactionState;
use kestrellock_protocol::client::Severity;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{Message, PgWireBackendMessage};

/// Appends a message. Encoding into memory fails only for a message larger than the protocol
/// allows; the proxy's own messages are all smaller.
pub fn put(message: PgWireBackendMessage, output: &mut BytesMut) {
    if let Err(error) = message.encode(output) {
        log::error!("failed to encode a backend message: {error}");
    }
}

fn severity_text(severity: Severity) -> &'static str {
    match severity {
        Severity::Request => "ERROR",
        Severity::Session => "FATAL",
    }
}

/// Appends an error response of the proxy itself.
pub fn put_refusal(refusal: &Refusal, severity: Severity, output: &mut BytesMut) {
    let severity = severity_text(severity);
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', refusal.code.sqlstate().to_owned()),
        (b'M', refusal.message()),
    ];
    if let Some(wait) = refusal.retry_after {
        fields.push((b'H', format!("retry after {} ms", wait.as_millis())));
    }
    put(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)), output);
}

/// Appends the error response that announces to an idle client that its connection is closed. It
/// answers no statement, so its text says `between requests`.
pub fn put_disconnect_notice(reason: &Refusal, output: &mut BytesMut) {
    let code = reason.code;
    let fields = vec![
        (b'S', "FATAL".to_owned()),
        (b'V', "FATAL".to_owned()),
        (b'C', code.sqlstate().to_owned()),
        (b'M', format!("KL{} between requests: {}", code.number(), reason.detail)),
    ];
    put(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)), output);
}

/// Appends `ReadyForQuery`.
pub fn put_ready(state: TransactionState, output: &mut BytesMut) {
    let status = match state {
        TransactionState::Idle => TransactionStatus::Idle,
        TransactionState::Open => TransactionStatus::Transaction,
        TransactionState::Failed => TransactionStatus::Error,
    };
    put(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)), output);
}

/// Appends a parameter status.
pub fn put_parameter(name: &str, value: &str, output: &mut BytesMut) {
    let status = ParameterStatus::new(name.to_owned(), value.to_owned());
    if let Err(error) = status.encode(output) {
        log::error!("failed to encode parameter {name}: {error}");
    }
}

/// Appends the session token as a parameter status.
pub fn put_session_token(bound: &SessionBound, output: &mut BytesMut) {
    put_parameter(SESSION_PARAMETER, &bound.to_token(), output);
}
