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
    assert_eq!(end.on_request(sent), CrossingRequest::RefusedByNotice);
    assert_eq!(end.step(true, sent + ms(1900)), EndStep::Wait);
    assert_eq!(end.step(true, sent + ms(3899)), EndStep::Wait);
    assert_eq!(end.step(true, sent + ms(3900)), EndStep::EndStream);
    assert_eq!(end.on_request(sent + ms(3900)), CrossingRequest::Unanswered);
}

#[test]
fn a_notice_that_is_an_answer_has_refused_every_crossing_request() {
    let sent = Instant::now();
    let mut end = SessionEnd::new(DisconnectNotice::IsAnswer, sent);
    assert_eq!(end.on_request(sent), CrossingRequest::Refused);
    assert_eq!(end.step(true, sent), EndStep::Wait);
    assert_eq!(end.step(true, sent + ms(50)), EndStep::EndStream);
    assert_eq!(end.on_request(sent), CrossingRequest::Refused);
}

/// Guards against a session that a client keeps open without an end by ignoring each notice.
#[test]
fn a_client_that_ignores_the_notices_is_refused_without_a_new_one_after_ten_seconds() {
    let began = Instant::now();
    let mut end = SessionEnd::new(DisconnectNotice::BeginsAnswer, began);
    for at in (1900..10_000).step_by(1900) {
        assert_eq!(end.step(true, began + ms(at)), EndStep::Wait);
        assert_eq!(end.on_request(began + ms(at)), CrossingRequest::RefusedByNotice);
    }
    assert_eq!(end.on_request(began + ms(10_000)), CrossingRequest::RefusedLast);
    assert_eq!(end.step(true, began + ms(10_000)), EndStep::EndStream);
    assert_eq!(end.on_request(began + ms(10_001)), CrossingRequest::Unanswered);
    assert_eq!(end.step(true, began + ms(10_500)), EndStep::Close);
}

/// Guards against the loss of an answer that a client still reads over a slow link.
#[test]
fn a_client_that_reads_slowly_is_not_disconnected() {
    let began = Instant::now();
    let mut end = SessionEnd::new(DisconnectNotice::BeginsAnswer, began);
    for at in (0..60_000).step_by(9_000) {
        assert_eq!(end.step(false, began + ms(at)), EndStep::Wait);
        end.on_output_taken(began + ms(at));
    }
    assert_eq!(end.step(false, began + ms(64_000)), EndStep::Close);
}
