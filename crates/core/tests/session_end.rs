//! The steps by which a node ends a session.

use std::time::{Duration, Instant};

use kestrellock_core::session_end::{CrossingRequest, DisconnectNotice, EndStep, SessionEnd};

const INSTANT: Duration = Duration::from_nanos(1);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn check_steps(notice: DisconnectNotice, end_of_stream: Duration, close: Duration) {
    let sent = Instant::now();
    let mut end = SessionEnd::new(notice, sent);
    assert_eq!(end.step(true, sent), EndStep::Wait);
    assert_eq!(end.step(true, sent + end_of_stream - INSTANT), EndStep::Wait);
    assert_eq!(end.step(true, sent + end_of_stream), EndStep::EndStream);
    assert_eq!(end.step(true, sent + end_of_stream), EndStep::Wait, "the stream ends once");
    assert_eq!(end.step(true, sent + close - INSTANT), EndStep::Wait);
    assert_eq!(end.step(true, sent + close), EndStep::Close);
}

#[test]
fn a_notice_that_is_an_answer_is_followed_by_the_end_of_the_stream() {
    check_steps(DisconnectNotice::IsAnswer, ms(50), ms(500));
}

/// Guards against a stream that ends while a request is on its way.
#[test]
fn a_notice_that_begins_an_answer_waits_for_a_crossing_request() {
    check_steps(DisconnectNotice::BeginsAnswer, ms(2000), ms(2100));
}

/// Guards against a close while a part of an answer is unsent.
#[test]
fn the_times_count_from_the_moment_at_which_the_output_was_taken() {
    for notice in [DisconnectNotice::IsAnswer, DisconnectNotice::BeginsAnswer] {
        let began = Instant::now();
        let mut end = SessionEnd::new(notice, began);
        assert_eq!(end.step(false, began + ms(9999)), EndStep::Wait);
        assert_eq!(end.step(true, began + ms(9999)), EndStep::Wait);
        assert_eq!(end.step(true, began + ms(10_048)), EndStep::Wait);
    }
}

#[test]
fn a_client_that_does_not_read_is_disconnected() {
    for notice in [DisconnectNotice::IsAnswer, DisconnectNotice::BeginsAnswer] {
        let began = Instant::now();
        let mut end = SessionEnd::new(notice, began);
        assert_eq!(end.step(false, began + ms(10_000)), EndStep::Close);
    }
}

/// Guards against a second crossing request whose time began with the first notice.
#[test]
fn each_crossing_request_gets_a_notice_and_its_time() {
    let sent = Instant::now();
    let mut end = SessionEnd::new(DisconnectNotice::BeginsAnswer, sent);
    assert_eq!(end.step(true, sent), EndStep::Wait);
    assert_eq!(end.on_request(), CrossingRequest::Complete);
    assert_eq!(end.step(true, sent + ms(1900)), EndStep::Wait);
    assert_eq!(end.step(true, sent + ms(3899)), EndStep::Wait);
    assert_eq!(end.step(true, sent + ms(3900)), EndStep::EndStream);
    assert_eq!(end.on_request(), CrossingRequest::Unanswered);
}

#[test]
fn a_notice_that_is_an_answer_has_refused_every_crossing_request() {
    let sent = Instant::now();
    let mut end = SessionEnd::new(DisconnectNotice::IsAnswer, sent);
    assert_eq!(end.on_request(), CrossingRequest::Refused);
    assert_eq!(end.step(true, sent), EndStep::Wait);
    assert_eq!(end.step(true, sent + ms(50)), EndStep::EndStream);
    assert_eq!(end.on_request(), CrossingRequest::Refused);
}
