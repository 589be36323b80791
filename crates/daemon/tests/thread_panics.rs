//! Sessions of a shard whose thread panics and is restarted.

mod support;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use kestrellock_daemon::metrics::UnansweredRequest;
use support::hooked::HookedProtocol;
use support::lines::{LineClient, LineNode};

/// Input that makes the thread panic.
const FATAL: &[u8] = b"FATAL";
/// Time for the node's threads to see that they are paused.
const PAUSE: Duration = Duration::from_millis(200);

/// A protocol with a defect.
const DEFECTIVE: HookedProtocol = HookedProtocol(panic_at_fatal_input);

fn panic_at_fatal_input(input: &[u8]) {
    assert!(!input.starts_with(FATAL), "the defect that this test needs");
}

/// A panic lost the events of all sessions behind the one that caused it: their requests were not
/// read until they sent more.
#[test]
fn requests_of_other_sessions_are_answered_after_a_panic() {
    let line_node = LineNode::start_with(Arc::new(DEFECTIVE), |_| {});
    let mut defective = LineClient::connect(line_node.address);
    let mut others: Vec<_> = (0..3).map(|_| LineClient::connect(line_node.address)).collect();
    line_node.node().set_paused(true);
    thread::sleep(PAUSE);
    defective.send_bytes(FATAL);
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
    let line_node = LineNode::start_with(Arc::new(DEFECTIVE), |_| {});
    let mut defective = LineClient::connect(line_node.address);
    defective.send_bytes(FATAL);
    let (lines, _) = defective.lines_to_close();
    assert!(lines.is_empty(), "{lines:?}");
    let metrics = &line_node.node().context.metrics;
    assert_eq!(metrics.restarts.get(), 1);
    assert_eq!(metrics.unanswered_requests.get(UnansweredRequest::ThreadPanicked), 1);
    assert!(LineClient::connect(line_node.address).try_send("TERMINATE\r\n").is_ok());
}
