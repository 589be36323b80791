//! A caller's start-up: protocol negotiation, login, and what the session may use.

use bytes::BytesMut;
use kestrellock_core::catalog::TenantParameters;
use kestrellock_core::ids::GroupName;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::position::Position;
use kestrellock_core::session::{SESSION_PARAMETER, SessionBound};
use kestrellock_peer::message::TransactionState;
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey, Startup};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};

use super::answer;
use crate::context::NodeContext;

/// Answer to a request for TLS or GSS encryption: none on this connection.
const ENCRYPTION_REFUSED: &[u8] = b"N";
const SERVER_VERSION: &str = "16.0 (kestrellock)";

/// Who a caller is and what it reaches.
#[derive(Clone, Debug)]
pub struct Login {
    /// The tenant and its parameters when the caller logged in.
    pub parameters: TenantParameters,
    /// Group it reaches.
    pub group: GroupName,
    /// Bound it brought with it.
    pub bound: Option<Position>,
}

/// What the next start-up bytes led to.
#[derive(Debug)]
pub enum StartupStep {
    /// More bytes are needed.
    Incomplete,
    /// The caller is in.
    LoggedIn(Box<Login>),
    /// The caller is refused and the connection to be closed.
    Refused(Refusal),
}

/// Handles start-up messages in `input`, writing answers to `output`.
pub fn advance(input: &mut BytesMut, output: &mut BytesMut, context: &NodeContext) -> StartupStep {
    let mut decoding = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        match PgWireFrontendMessage::decode(input, &decoding) {
            Ok(Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None))) => {
                decoding.awaiting_frontend_ssl = false;
            }
            Ok(Some(PgWireFrontendMessage::SslNegotiation(_))) => {
                output.extend_from_slice(ENCRYPTION_REFUSED);
            }
            Ok(Some(PgWireFrontendMessage::Startup(startup))) => {
                return log_in(&startup, output, context);
            }
            Ok(Some(_)) => {
                return refuse(ResultCode::ProtocolViolation, "unexpected start-up message");
            }
            Ok(None) => return StartupStep::Incomplete,
            Err(error) => return refuse(ResultCode::ProtocolViolation, error.to_string()),
        }
    }
}

fn refuse(code: ResultCode, detail: impl Into<String>) -> StartupStep {
    StartupStep::Refused(Refusal::new(code, detail))
}

fn log_in(startup: &Startup, output: &mut BytesMut, context: &NodeContext) -> StartupStep {
    match check_login(startup, context) {
        Ok(login) => {
            welcome(output);
            StartupStep::LoggedIn(Box::new(login))
        }
        Err(refusal) => StartupStep::Refused(refusal),
    }
}

fn check_login(startup: &Startup, context: &NodeContext) -> Result<Login, Refusal> {
    let catalog = context.catalog.load();
    let user = startup.parameters.get("user").map_or("", String::as_str);
    let database = startup.parameters.get("database").map_or(user, String::as_str);
    let (tenant, _verifier) = catalog
        .login(user)
        .ok_or_else(|| Refusal::new(ResultCode::LoginRefused, "unknown login"))?;
    let parameters = catalog
        .parameters(tenant)
        .ok_or_else(|| Refusal::new(ResultCode::NoConfiguration, "tenant without template"))?;
    let group = catalog
        .group_for(&parameters, database)
        .ok_or_else(|| {
            Refusal::new(ResultCode::DatabaseNotAllowed, "no such database for this tenant")
        })?
        .clone();
    let bound = carried_bound(startup, &group)?;
    Ok(Login { parameters, group, bound })
}

fn carried_bound(startup: &Startup, group: &GroupName) -> Result<Option<Position>, Refusal> {
    let Some(token) = startup.parameters.get(SESSION_PARAMETER) else { return Ok(None) };
    let refused = |detail: String| Refusal::new(ResultCode::SessionTokenRefused, detail);
    let bound = SessionBound::from_token(token).map_err(|error| refused(error.to_string()))?;
    if bound.group != *group {
        return Err(refused("session token belongs to another group".into()));
    }
    Ok(Some(bound.position))
}

fn welcome(output: &mut BytesMut) {
    answer::put(PgWireBackendMessage::Authentication(Authentication::Ok), output);
    answer::put_parameter("server_version", SERVER_VERSION, output);
    answer::put_parameter("client_encoding", "UTF8", output);
    answer::put_parameter("standard_conforming_strings", "on", output);
    let key = BackendKeyData::new(0, SecretKey::I32(0));
    answer::put(PgWireBackendMessage::BackendKeyData(key), output);
    answer::put_ready(TransactionState::Idle, output);
}
