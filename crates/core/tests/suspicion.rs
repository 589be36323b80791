//! When a node suspects a primary from its own exchanges.

use std::time::{Duration, Instant};

use kestrellock_core::suspicion::{
    ABANDONED_REQUEST_VALIDITY, AbandonedRequests, Cause, FailureDetector, HealthSignals,
};

const STEP: Duration = Duration::from_millis(50);

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// A detector that was ticked without interruption from `start` to `until`.
fn detector(start: Instant, until: Instant) -> FailureDetector {
    let mut detector = FailureDetector::default();
    let mut now = start;
    while now <= until {
        detector.tick(now);
        now += STEP;
    }
    detector
}

#[test]
fn unanswered_request_shows_silence_after_the_timeout() {
    let start = Instant::now();
    let now = after(start, 1_000);
    let detector = detector(start, now);
    let waits_since =
        |at| HealthSignals { oldest_request: Some(after(start, at)), ..HealthSignals::default() };
    assert_eq!(detector.suspect(&waits_since(600), now), Some(Cause::Silent));
    assert_eq!(detector.suspect(&waits_since(900), now), None);
    let answers = HealthSignals { last_answer: Some(after(start, 900)), ..waits_since(100) };
    assert_eq!(detector.suspect(&answers, now), None);
}

#[test]
fn suspended_node_does_not_suspect_for_that_time() {
    let start = Instant::now();
    let now = after(start, 1_000);
    let mut detector = detector(start, after(start, 100));
    detector.tick(now);
    let signals = HealthSignals { oldest_request: Some(start), ..HealthSignals::default() };
    assert_eq!(detector.suspect(&signals, now), None);
}

/// Guards against replacements of a silent primary that cancel themselves. A replacement ended the
/// work on the primary and was cancelled within 100 ms, because no request waited for the primary
/// any more. This happened seven times in a row.
#[test]
fn requests_given_up_show_silence_until_something_is_answered() {
    let start = Instant::now();
    let mut abandoned = AbandonedRequests::default();
    abandoned.on_abandoned(after(start, 200), after(start, 700));
    abandoned.on_abandoned(after(start, 100), after(start, 710));
    assert_eq!(abandoned.oldest_sent(after(start, 720)), Some(after(start, 100)));
    abandoned.on_answer();
    assert_eq!(abandoned.oldest_sent(after(start, 730)), None);
}

#[test]
fn abandoned_requests_expire() {
    let start = Instant::now();
    let mut abandoned = AbandonedRequests::default();
    abandoned.on_abandoned(start, start);
    assert_eq!(abandoned.oldest_sent(start + ABANDONED_REQUEST_VALIDITY), None);
    let later = start + ABANDONED_REQUEST_VALIDITY * 2;
    abandoned.on_abandoned(later, later);
    assert_eq!(abandoned.oldest_sent(later), Some(later));
}

/// Guards against a primary that is cut off from its replicas and is not replaced. Each node
/// abandoned its commits before the commits of the other nodes had waited for long enough, so no
/// two nodes suspected the primary at the same time.
#[test]
fn waiting_commit_causes_suspicion_unless_other_commits_are_acknowledged() {
    let start = Instant::now();
    let now = after(start, 1_000);
    let detector = detector(start, now);
    let stuck = HealthSignals {
        oldest_commit: Some(after(start, 100)),
        last_answer: Some(after(start, 990)),
        ..HealthSignals::default()
    };
    assert_eq!(detector.suspect(&stuck, now), Some(Cause::CannotCommit));
    let recently = HealthSignals { oldest_commit: Some(after(start, 700)), ..stuck };
    assert_eq!(detector.suspect(&recently, now), None);
    let commits = HealthSignals { last_commit: Some(after(start, 800)), ..stuck };
    assert_eq!(detector.suspect(&commits, now), None, "it has acknowledged a commit since");
    let none_waiting = HealthSignals { oldest_commit: None, last_commit: Some(start), ..stuck };
    assert_eq!(detector.suspect(&none_waiting, now), None);
}
