//! A planned stop of a node whose threads lag behind its schedule.

mod support;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use kestrellock_daemon::metrics::{Label, UnansweredRequest};
use support::hooked::HookedProtocol;
use support::lines::{LineClient, LineNode};

const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Shortly before the refusals that precede the end of the stop.
const BEFORE_REFUSALS: Duration = Duration::from_millis(1700);
/// Between a request that waits for an instance and the one that keeps the thread busy.
const GAP: Duration = Duration::from_millis(5);
/// Input that keeps the thread busy for [`BUSY_TIME`].
const SLOW: &[u8] = b"QUERY 1 SET slow b";
/// Until after the end of the stop.
const BUSY_TIME: Duration = Duration::from_millis(600);

fn be_slow(input: &[u8]) {
    if input.starts_with(SLOW) {
        thread::sleep(BUSY_TIME);
    }
}

/// A thread was busy from before the final refusals of a planned stop until after its end. The
/// process ended before the thread could refuse the requests that it held.
#[test]
fn requests_are_refused_when_the_final_refusals_are_late() {
    let mut line_node = LineNode::start_with(Arc::new(HookedProtocol(be_slow)), |settings| {
        settings.drain_limit = DRAIN_LIMIT;
        // Sessions stay open until the final refusals.
        settings.drain_notice = DRAIN_LIMIT;
    });
    let (mut slow, mut waiting) =
        (LineClient::connect(line_node.address), LineClient::connect(line_node.address));
    let context = line_node.node().context.clone();
    let node = line_node.node.take().expect("it runs");
    let stopping = thread::spawn(move || node.stop());
    thread::sleep(BEFORE_REFUSALS);
    waiting.send("QUERY 2 READ k");
    thread::sleep(GAP);
    slow.send_bytes(SLOW);
    slow.send("");
    let answer = waiting.line();
    stopping.join().expect("it stops");
    let counted = &context.metrics.unanswered_requests;
    for reason in UnansweredRequest::ALL {
        assert_eq!(counted.get(*reason), 0, "{reason:?}");
    }
    assert!(answer.expect("a refusal").starts_with("ERROR BUSY"));
}
