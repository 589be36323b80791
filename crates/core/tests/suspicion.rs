//! When a node suspects a primary.

use std::time::{Duration, Instant};

use kestrellock_core::suspicion::{
    ABANDONED_REQUEST_VALIDITY, AbandonedRequests, Cause, FailureDetector, HealthSignals,
};

const STEP: Duration = Duration::from_millis(50);

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// A judge that has looked without a pause since `start`.
fn judge(start: Instant, until: Instant) -> FailureDetector {
    let mut judge = FailureDetector::default();
    let mut now = start;
    while now <= until {
        judge.tick(now);
        now += STEP;
    }
    judge
}

#[test]
fn a_request_without_an_answer_is_silence_after_a_while() {
    let start = Instant::now();
    let now = after(start, 1_000);
    let judge = judge(start, now);
    let waits_since =
        |at| HealthSignals { oldest_request: Some(after(start, at)), ..HealthSignals::default() };
    assert_eq!(judge.suspect(&waits_since(600), now), Some(Cause::Silent));
    assert_eq!(judge.suspect(&waits_since(900), now), None);
    let answers = HealthSignals { last_answer: Some(after(start, 900)), ..waits_since(100) };
    assert_eq!(judge.suspect(&answers, now), None);
}

#[test]
fn a_node_that_stood_still_suspects_nobody_for_that_time() {
    let start = Instant::now();
    let now = after(start, 1_000);
    let mut judge = judge(start, after(start, 100));
    judge.tick(now);
    let signs = HealthSignals { oldest_request: Some(start), ..HealthSignals::default() };
    assert_eq!(judge.suspect(&signs, now), None);
}

/// An incident at gidanmu: seven replacements of a silent primary began, ended the work on it, and
/// were called off within 100 ms because nothing waited for it any more.
#[test]
fn requests_given_up_show_silence_until_something_is_answered() {
    let start = Instant::now();
    let mut given_up = AbandonedRequests::default();
    given_up.on_abandoned(after(start, 200), after(start, 700));
    given_up.on_abandoned(after(start, 100), after(start, 710));
    assert_eq!(given_up.oldest_sent(after(start, 720)), Some(after(start, 100)));
    given_up.on_answer();
    assert_eq!(given_up.oldest_sent(after(start, 730)), None);
}

#[test]
fn requests_given_up_long_ago_show_nothing() {
    let start = Instant::now();
    let mut given_up = AbandonedRequests::default();
    given_up.on_abandoned(start, start);
    assert_eq!(given_up.oldest_sent(start + ABANDONED_REQUEST_VALIDITY), None);
    let later = start + ABANDONED_REQUEST_VALIDITY * 2;
    given_up.on_abandoned(later, later);
    assert_eq!(given_up.oldest_sent(later), Some(later));
}

/// Gidanmu with a primary cut from its replicas: commits were given up before the other nodes had
/// seen theirs wait for long enough, so no two suspected it at a time, and nobody replaced it.
#[test]
fn a_commit_that_waits_shows_a_primary_that_cannot_commit_unless_others_are_answered() {
    let start = Instant::now();
    let now = after(start, 1_000);
    let judge = judge(start, now);
    let stuck = HealthSignals {
        oldest_commit: Some(after(start, 100)),
        last_answer: Some(after(start, 990)),
        ..HealthSignals::default()
    };
    assert_eq!(judge.suspect(&stuck, now), Some(Cause::CannotCommit));
    let recently = HealthSignals { oldest_commit: Some(after(start, 700)), ..stuck };
    assert_eq!(judge.suspect(&recently, now), None);
    let commits = HealthSignals { last_commit: Some(after(start, 800)), ..stuck };
    assert_eq!(judge.suspect(&commits, now), None, "it has answered a commit since");
    let nothing_waits = HealthSignals { oldest_commit: None, last_commit: Some(start), ..stuck };
    assert_eq!(judge.suspect(&nothing_waits, now), None);
}
