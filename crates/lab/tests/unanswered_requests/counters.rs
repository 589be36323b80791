//! The counters of a node that show requests without an answer.

use std::io::Read;
use std::time::Duration;

use kestrellock_daemon::context::NodeContext;
use kestrellock_daemon::metrics::{Label, SessionEndEvent, UnansweredRequest};
use kestrellock_lab::platform::PlatformOptions;
use kestrellock_lab::platform::client::LineSession;

use crate::{Stop, answers, primary_database, start};

/// Clients of which at least one is fast enough to send a request before its node closes the
/// connection behind the end of its stream.
const CLIENTS: usize = 4;

/// Longer than a node waits for its client to close behind the end of the stream.
const LINGER: Duration = Duration::from_millis(400);

/// Requests whose connection the node closed without a complete answer.
pub fn unanswered(context: &NodeContext) -> u64 {
    let counters = &context.metrics.unanswered_requests;
    UnansweredRequest::ALL.iter().map(|reason| counters.get(*reason)).sum()
}

/// Requests that were on their way when their session ended, and were refused.
pub fn refused_crossing(context: &NodeContext) -> u64 {
    context.metrics.session_ends.get(SessionEndEvent::RefusedCrossing)
}

/// Sends a request behind the end of the stream.
fn ask_behind_the_end(mut session: LineSession) -> LineSession {
    while session.next_message().expect("a message or the end").is_some() {}
    // The node may have closed the connection already.
    let _ = session.send_statement("READ page");
    session
}

/// Guards against a cut request that no counter shows.
#[test]
fn request_behind_the_end_of_the_stream_is_counted_as_unanswered() {
    let platform =
        start(PlatformOptions { drain_limit: Duration::from_secs(6), ..Default::default() });
    let open = || {
        let mut session =
            LineSession::open(platform.client_addresses[0], &primary_database(), "late")
                .expect("it opens");
        assert!(session.run("READ page").expect("an answer").is_success());
        session
    };
    let sessions: Vec<LineSession> = (0..CLIENTS).map(|_| open()).collect();
    let stop = Stop::begin(platform);
    let asking: Vec<_> = sessions
        .into_iter()
        .map(|session| std::thread::spawn(|| ask_behind_the_end(session)))
        .collect();
    // The clients close only after the node has.
    let open: Vec<LineSession> =
        asking.into_iter().map(|thread| thread.join().expect("it has asked")).collect();
    std::thread::sleep(LINGER);
    drop(open);
    let late = stop.context.metrics.unanswered_requests.get(UnansweredRequest::AfterEndOfStream);
    assert!((1..=CLIENTS as u64).contains(&late), "{late}");
    assert_eq!(unanswered(&stop.context), late);
    stop.finish();
}

/// Guards against an answer that the end of the process cuts off without a trace.
#[test]
fn answer_that_its_client_has_not_read_at_the_end_of_the_stop_is_counted_as_unanswered() {
    let platform =
        start(PlatformOptions { drain_limit: Duration::from_secs(1), ..Default::default() });
    let mut client = answers::SlowClient::connect(&platform);
    client.send_reads();
    let stop = Stop::begin(platform);
    let context = stop.context.clone();
    stop.finish();
    assert_eq!(context.metrics.unanswered_requests.get(UnansweredRequest::EndOfStop), 1);
    let mut rest = Vec::new();
    // The connection ends with or without an error.
    let _ = client.stream.read_to_end(&mut rest);
    assert!(answers::complete_answers(&rest) < answers::READS, "the answers were cut off");
}
