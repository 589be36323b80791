//! Sessions of a shard whose thread panics and is restarted.

mod support;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use kestrellock_core::outcome::Refusal;
use kestrellock_core::session::SessionBound;
use kestrellock_core::session_state::ExchangeEnd;
use kestrellock_daemon::metrics::UnansweredRequest;
use kestrellock_peer::message::TransactionState;
use kestrellock_platform::lines::LineProtocol;
use kestrellock_protocol::backend::BackendProtocol;
use kestrellock_protocol::client::{
    ClientProtocol, InputLimits, Severity, StartupContext, StartupStep,
};
use kestrellock_protocol::facts_cache::FactsCache;
use kestrellock_protocol::request::{NextRequest, Timing};
use kestrellock_protocol::{Protocol, ProtocolTraits};
use support::lines::{LineClient, LineNode};

/// Input that makes the thread panic.
const FATAL: &str = "FATAL";
/// Time for the node's threads to see that they are paused.
const PAUSE: Duration = Duration::from_millis(200);

/// The line protocol, with a defect.
#[derive(Debug)]
struct DefectiveProtocol;

impl Protocol for DefectiveProtocol {
    fn client(&self) -> Box<dyn ClientProtocol> {
        Box::new(DefectiveClient(LineProtocol.client()))
    }

    fn backend(&self) -> Box<dyn BackendProtocol> {
        LineProtocol.backend()
    }

    fn traits(&self) -> ProtocolTraits {
        LineProtocol.traits()
    }
}

#[derive(Debug)]
struct DefectiveClient(Box<dyn ClientProtocol>);

impl ClientProtocol for DefectiveClient {
    fn limits(&self) -> InputLimits {
        self.0.limits()
    }

    fn startup(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
        context: &StartupContext,
    ) -> StartupStep {
        self.0.startup(input, output, context)
    }

    fn next_request(
        &mut self,
        input: &mut BytesMut,
        facts_cache: &mut FactsCache,
        timing: Timing,
    ) -> NextRequest {
        assert!(!input.starts_with(FATAL.as_bytes()), "the defect that this test needs");
        self.0.next_request(input, facts_cache, timing)
    }

    fn is_between_requests(&self) -> bool {
        self.0.is_between_requests()
    }

    fn put_refusal(&self, refusal: &Refusal, severity: Severity, output: &mut BytesMut) {
        self.0.put_refusal(refusal, severity, output);
    }

    fn put_ready(&self, state: TransactionState, output: &mut BytesMut) {
        self.0.put_ready(state, output);
    }

    fn put_setting_done(&self, output: &mut BytesMut) {
        self.0.put_setting_done(output);
    }

    fn put_disconnect_notice(&self, reason: &Refusal, output: &mut BytesMut) {
        self.0.put_disconnect_notice(reason, output);
    }

    fn put_session_bound(&self, bound: &SessionBound, output: &mut BytesMut) {
        self.0.put_session_bound(bound, output);
    }

    fn exchange_end(&self, answer: &Bytes, transaction: TransactionState) -> ExchangeEnd {
        self.0.exchange_end(answer, transaction)
    }

    fn forget_statements(&mut self) {
        self.0.forget_statements();
    }
}

/// A panic lost the events of all sessions behind the one that caused it: their requests were not
/// read until they sent more.
#[test]
fn requests_of_other_sessions_are_answered_after_a_panic() {
    let line_node = LineNode::start_with(Arc::new(DefectiveProtocol), |_| {});
    let mut defective = LineClient::connect(line_node.address);
    let mut others: Vec<_> = (0..3).map(|_| LineClient::connect(line_node.address)).collect();
    line_node.node().set_paused(true);
    thread::sleep(PAUSE);
    defective.send(FATAL);
    others.iter_mut().for_each(|client| client.send("QUERY 1 SET a b"));
    line_node.node().set_paused(false);
    for client in &mut others {
        assert!(client.line().expect("an answer").starts_with("COMPLETE"));
    }
}

/// The session whose input causes a panic kept that input, so that its shard panicked again at its
/// next event. It is closed, and what it asked counts as unanswered.
#[test]
fn session_that_causes_a_panic_is_closed() {
    let line_node = LineNode::start_with(Arc::new(DefectiveProtocol), |_| {});
    let mut defective = LineClient::connect(line_node.address);
    defective.send(FATAL);
    let (lines, _) = defective.lines_to_close();
    assert!(lines.is_empty(), "{lines:?}");
    let metrics = &line_node.node().context.metrics;
    assert_eq!(metrics.restarts.get(), 1);
    assert_eq!(metrics.unanswered_requests.get(UnansweredRequest::ThreadPanicked), 1);
    assert!(LineClient::connect(line_node.address).try_send("TERMINATE\r\n").is_ok());
}
