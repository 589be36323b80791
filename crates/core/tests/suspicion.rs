//! When a node suspects a primary.

use std::time::{Duration, Instant};

use kestrellock_core::suspicion::{Cause, GIVEN_UP_SHOWS, GivenUpRequests, Judge, Signs};

const STEP: Duration = Duration::from_millis(50);

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// A judge that has looked without a pause since `start`.
fn judge(start: Instant, until: Instant) -> Judge {
    let mut judge = Judge::default();
    let mut now = start;
    while now <= until {
        judge.on_step(now);
        now += STEP;
    }
    judge
}

#[test]
fn a_request_without_an_answer_is_silence_after_a_while() {
    let start = Instant::now();
    let now = after(start, 1_000);
    let judge = judge(start, now);
    let waits_since = |at| Signs { waiting: Some(after(start, at)), ..Signs::default() };
    assert_eq!(judge.suspect(&waits_since(600), now), Some(Cause::Silent));
    assert_eq!(judge.suspect(&waits_since(900), now), None);
    let answers = Signs { answered: Some(after(start, 900)), ..waits_since(100) };
    assert_eq!(judge.suspect(&answers, now), None);
}

#[test]
fn a_node_that_stood_still_suspects_nobody_for_that_time() {
    let start = Instant::now();
    let now = after(start, 1_000);
    let mut judge = judge(start, after(start, 100));
    judge.on_step(now);
    let signs = Signs { waiting: Some(start), ..Signs::default() };
    assert_eq!(judge.suspect(&signs, now), None);
}

/// An incident at gidanmu: seven replacements of a silent primary began, ended the work on it, and
/// were called off within 100 ms because nothing waited for it any more.
#[test]
fn requests_given_up_show_silence_until_something_is_answered() {
    let start = Instant::now();
    let mut given_up = GivenUpRequests::default();
    given_up.on_given_up(after(start, 200), after(start, 700));
    given_up.on_given_up(after(start, 100), after(start, 710));
    assert_eq!(given_up.sent(after(start, 720)), Some(after(start, 100)));
    given_up.on_answer();
    assert_eq!(given_up.sent(after(start, 730)), None);
}

#[test]
fn requests_given_up_long_ago_show_nothing() {
    let start = Instant::now();
    let mut given_up = GivenUpRequests::default();
    given_up.on_given_up(start, start);
    assert_eq!(given_up.sent(start + GIVEN_UP_SHOWS), None);
    let later = start + GIVEN_UP_SHOWS * 2;
    given_up.on_given_up(later, later);
    assert_eq!(given_up.sent(later), Some(later));
}

/// Gidanmu with a primary cut from its replicas: commits were given up before the other nodes had
/// seen theirs wait for long enough, so no two suspected it at a time, and nobody replaced it.
#[test]
fn a_commit_that_waits_shows_a_primary_that_cannot_commit_unless_others_are_answered() {
    let start = Instant::now();
    let now = after(start, 1_000);
    let judge = judge(start, now);
    let stuck = Signs {
        committing: Some(after(start, 100)),
        answered: Some(after(start, 990)),
        ..Signs::default()
    };
    assert_eq!(judge.suspect(&stuck, now), Some(Cause::CannotCommit));
    let recently = Signs { committing: Some(after(start, 700)), ..stuck };
    assert_eq!(judge.suspect(&recently, now), None);
    let commits = Signs { committed: Some(after(start, 800)), ..stuck };
    assert_eq!(judge.suspect(&commits, now), None, "it has answered a commit since");
    let nothing_waits = Signs { committing: None, committed: Some(start), ..stuck };
    assert_eq!(judge.suspect(&nothing_waits, now), None);
}
