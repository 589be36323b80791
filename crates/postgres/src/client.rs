//! The PostgreSQL codec of a client connection.

use bytes::{Bytes, BytesMut};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::session::SessionBound;
use kestrellock_core::session_state::ExchangeEnd;
use kestrellock_peer::message::TransactionState;
use kestrellock_protocol::client::{
    ClientProtocol, InputLimits, Severity, StartupContext, StartupStep,
};
use kestrellock_protocol::facts_cache::FactsCache;
use kestrellock_protocol::request::{NextRequest, Timing};

use crate::collector::Collector;
use crate::startup::{MAX_STARTUP_BYTES, Startup};
use crate::{answer, exchange_end, frames};

const SET_REPLY: &[u8] = b"C\0\0\0\x08SET\0";

/// Codec of a client connection: parses its start-up, then its requests.
#[derive(Debug, Default)]
pub struct PostgresClient {
    startup: Startup,
    collector: Collector,
}

impl ClientProtocol for PostgresClient {
    fn limits(&self) -> InputLimits {
        InputLimits { startup: MAX_STARTUP_BYTES, message: frames::MAX_MESSAGE_BYTES }
    }

    fn startup(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
        context: &StartupContext,
    ) -> StartupStep {
        self.startup.advance(input, output, context)
    }

    fn next_request(
        &mut self,
        input: &mut BytesMut,
        facts_cache: &mut FactsCache,
        timing: Timing,
    ) -> NextRequest {
        self.collector.next(input, facts_cache, timing)
    }

    fn is_between_requests(&self) -> bool {
        self.collector.is_empty()
    }

    fn put_refusal(&self, refusal: &Refusal, severity: Severity, output: &mut BytesMut) {
        answer::put_refusal(refusal, severity, output);
    }

    fn put_ready(&self, state: TransactionState, output: &mut BytesMut) {
        answer::put_ready(state, output);
    }

    fn put_setting_done(&self, output: &mut BytesMut) {
        output.extend_from_slice(SET_REPLY);
    }

    fn put_disconnect_notice(&self, reason: &Refusal, output: &mut BytesMut) {
        answer::put_disconnect_notice(reason, output);
    }

    fn put_session_bound(&self, bound: &SessionBound, output: &mut BytesMut) {
        answer::put_session_token(bound, output);
    }

    fn exchange_end(&self, answer: &Bytes, transaction: TransactionState) -> ExchangeEnd {
        exchange_end::exchange_end(answer, transaction)
    }

    fn forget_statements(&mut self) {
        self.collector.statements.clear();
    }

    fn undo_request(&mut self) {
        self.collector.statements.undo_request();
    }
}
