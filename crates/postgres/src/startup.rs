//! A client's start-up: encryption negotiation, SCRAM authentication, and the first messages that
//! the proxy sends.

use bytes::BytesMut;
use kestrellock_core::cancel::CancelKey;
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::scram::{MECHANISM, ServerExchange};
use kestrellock_peer::message::TransactionState;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, SecretKey, Startup as StartupMessage,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
};

use kestrellock_protocol::client::{StartupContext, StartupStep};

use crate::answer;
use crate::extended::split_string;
use crate::frames;
use crate::login::PendingLogin;

/// Largest message before the login is complete, in bytes.
pub const MAX_STARTUP_BYTES: usize = 10_000;
/// Answer to a request for TLS or GSS encryption: not supported on this connection.
const ENCRYPTION_REFUSED: &[u8] = b"N";
/// A client may request TLS and GSS encryption, once each.
const MAX_ENCRYPTION_REQUESTS: u8 = 2;
const SERVER_VERSION: &str = "16.0 (kestrellock)";
const PROTOCOL_MAJOR: u16 = 3;
const LENGTH_BYTES: usize = 4;
const PASSWORD_MESSAGE: u8 = b'p';

#[derive(Debug)]
enum Phase {
    Negotiating {
        encryption_requests: u8,
    },
    /// The SASL mechanism is offered; the client's first message is expected.
    Offered(Box<PendingLogin>),
    /// The challenge is sent; the client's proof is expected.
    Challenged(Box<PendingLogin>, Box<ServerExchange>),
}

/// The start-up of one connection.
#[derive(Debug)]
pub struct Startup {
    phase: Phase,
}

impl Default for Startup {
    fn default() -> Self {
        Self { phase: Phase::Negotiating { encryption_requests: 0 } }
    }
}

impl Startup {
    /// Processes start-up messages from `input` and writes answers to `output`.
    pub fn advance(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
        context: &StartupContext,
    ) -> StartupStep {
        loop {
            let step = match &self.phase {
                Phase::Negotiating { .. } => self.negotiate(input, output, context),
                _ => self.authenticate(input, output, context),
            };
            match step {
                Ok(Some(step)) => return step,
                Ok(None) => {}
                Err(refusal) => return StartupStep::Refused(refusal),
            }
        }
    }

    /// Processes one message; `None` to continue with the next one.
    fn negotiate(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
        context: &StartupContext,
    ) -> Result<Option<StartupStep>, Refusal> {
        check_length(input.first_chunk::<LENGTH_BYTES>())?;
        let mut decoding = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        let mut message = PgWireFrontendMessage::decode(input, &decoding).map_err(violation)?;
        if let Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) =
            message
        {
            decoding.awaiting_frontend_ssl = false;
            message = PgWireFrontendMessage::decode(input, &decoding).map_err(violation)?;
        }
        match message {
            None => Ok(Some(StartupStep::Incomplete)),
            Some(PgWireFrontendMessage::SslNegotiation(_)) => {
                self.refuse_encryption(output)?;
                Ok(None)
            }
            Some(PgWireFrontendMessage::CancelRequest(request)) => {
                let SecretKey::I32(secret) = request.secret_key else {
                    return Err(violation("cancel key of unknown length"));
                };
                let key = CancelKey { process: request.pid as u32, secret: secret as u32 };
                Ok(Some(StartupStep::Cancel(key)))
            }
            Some(PgWireFrontendMessage::Startup(startup)) => {
                self.phase = Phase::Offered(Box::new(self.offer(&startup, output, context)?));
                Ok(None)
            }
            Some(_) => Err(violation("unexpected start-up message")),
        }
    }

    fn refuse_encryption(&mut self, output: &mut BytesMut) -> Result<(), Refusal> {
        let Phase::Negotiating { encryption_requests } = &mut self.phase else { return Ok(()) };
        *encryption_requests += 1;
        if *encryption_requests > MAX_ENCRYPTION_REQUESTS {
            return Err(violation("encryption was refused already"));
        }
        output.extend_from_slice(ENCRYPTION_REFUSED);
        Ok(())
    }

    fn offer(
        &mut self,
        startup: &StartupMessage,
        output: &mut BytesMut,
        context: &StartupContext,
    ) -> Result<PendingLogin, Refusal> {
        if startup.protocol_number_major != PROTOCOL_MAJOR {
            return Err(violation("protocol version is not 3"));
        }
        let pending = PendingLogin::new(&startup.parameters, context.catalog)?;
        if startup.protocol_number_minor > 0 {
            let newest = i32::from(PROTOCOL_MAJOR) << 16;
            let message = NegotiateProtocolVersion::new(newest, Vec::new());
            answer::put(PgWireBackendMessage::NegotiateProtocolVersion(message), output);
        }
        let offer = Authentication::SASL(vec![MECHANISM.to_owned()]);
        answer::put(PgWireBackendMessage::Authentication(offer), output);
        Ok(pending)
    }

    fn authenticate(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
        context: &StartupContext,
    ) -> Result<Option<StartupStep>, Refusal> {
        check_length(input.get(1..).and_then(|rest| rest.first_chunk::<LENGTH_BYTES>()))?;
        let Some(frame) = frames::next_frame(input).map_err(violation)? else {
            return Ok(Some(StartupStep::Incomplete));
        };
        if frame.tag != PASSWORD_MESSAGE {
            return Err(violation("a SASL response was expected"));
        }
        let phase =
            std::mem::replace(&mut self.phase, Phase::Negotiating { encryption_requests: 0 });
        match phase {
            Phase::Negotiating { .. } => Err(violation("no login is under way")),
            Phase::Offered(pending) => {
                let first = initial_response(frame.body())?;
                let exchange =
                    ServerExchange::begin(first, pending.verifier.clone(), rand::random())
                        .map_err(violation)?;
                let challenge = exchange.server_first.clone().into_bytes().into();
                let message = Authentication::SASLContinue(challenge);
                answer::put(PgWireBackendMessage::Authentication(message), output);
                self.phase = Phase::Challenged(pending, Box::new(exchange));
                Ok(None)
            }
            Phase::Challenged(pending, exchange) => {
                let last = std::str::from_utf8(frame.body()).map_err(violation)?;
                let proof = exchange.finish(last).map_err(|_| wrong_proof())?;
                let mut login = pending.outcome?;
                let message = Authentication::SASLFinal(proof.into_bytes().into());
                answer::put(PgWireBackendMessage::Authentication(message), output);
                login.cancel_key = CancelKey::new(context.node, rand::random());
                welcome(login.cancel_key, output);
                Ok(Some(StartupStep::LoggedIn(Box::new(login))))
            }
        }
    }
}

fn violation(detail: impl ToString) -> Refusal {
    Refusal::new(ResultCode::ProtocolViolation, detail.to_string())
}

/// The refusal of a wrong password. It equals that of an unknown login, so that the two cannot be
/// distinguished.
fn wrong_proof() -> Refusal {
    Refusal::new(ResultCode::LoginRefused, "login or password is wrong")
}

fn check_length(length: Option<&[u8; LENGTH_BYTES]>) -> Result<(), Refusal> {
    match length.map(|bytes| u32::from_be_bytes(*bytes) as usize) {
        Some(length) if length > MAX_STARTUP_BYTES => {
            Err(Refusal::new(ResultCode::MessageTooLarge, "start-up message is too large"))
        }
        Some(length) if length < LENGTH_BYTES => Err(violation("message length is out of range")),
        _ => Ok(()),
    }
}

/// The client's first message in a `SASLInitialResponse`.
fn initial_response(body: &[u8]) -> Result<&str, Refusal> {
    let malformed = || violation("SASL response is malformed");
    let (mechanism, rest) = split_string(body).ok_or_else(malformed)?;
    if mechanism != MECHANISM.as_bytes() {
        return Err(violation("only SCRAM-SHA-256 is offered"));
    }
    let (_, first) = rest.split_first_chunk::<LENGTH_BYTES>().ok_or_else(malformed)?;
    std::str::from_utf8(first).map_err(violation)
}

fn welcome(key: CancelKey, output: &mut BytesMut) {
    answer::put(PgWireBackendMessage::Authentication(Authentication::Ok), output);
    answer::put_parameter("server_version", SERVER_VERSION, output);
    answer::put_parameter("client_encoding", "UTF8", output);
    answer::put_parameter("server_encoding", "UTF8", output);
    answer::put_parameter("integer_datetimes", "on", output);
    answer::put_parameter("standard_conforming_strings", "on", output);
    let data = BackendKeyData::new(key.process as i32, SecretKey::I32(key.secret as i32));
    answer::put(PgWireBackendMessage::BackendKeyData(data), output);
    answer::put_ready(TransactionState::Idle, output);
}
