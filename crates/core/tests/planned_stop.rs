//! The times of a planned stop, what a stopping node accepts, and when it ends sessions.

use std::time::{Duration, Instant};

use kestrellock_core::planned_stop::{
    SessionActivity, SessionTransaction, StopLimits, StopSchedule,
};
use kestrellock_core::session_end::DisconnectNotice::{BeginsAnswer, IsAnswer};

const INSTANT: Duration = Duration::from_nanos(1);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// A stop of 5 s: notice until 2 s, transactions until 2.5 s, final refusals from 4 s.
fn schedule(began: Instant) -> StopSchedule {
    let limits = StopLimits { notice: ms(2000), transactions: Some(ms(2500)), total: ms(5000) };
    StopSchedule::new(began, limits)
}

fn resting(last_active: Instant) -> SessionActivity {
    SessionActivity {
        has_request: false,
        has_just_answered: false,
        transaction: SessionTransaction::None,
        last_active,
        share: 0.0,
    }
}

/// Guards against parts that begin after the final refusals, which then come too late.
#[test]
fn no_part_begins_after_the_final_refusals() {
    let began = Instant::now();
    let stop = schedule(began);
    assert_eq!(stop.leaving, began + ms(2000));
    assert_eq!(stop.transactions, began + ms(2500));
    assert_eq!(stop.final_refusals, began + ms(4000));
    assert_eq!(stop.end, began + ms(5000));
    let limits = StopLimits { notice: ms(4900), transactions: Some(ms(4950)), total: ms(5000) };
    let late = StopSchedule::new(began, limits);
    assert_eq!((late.leaving, late.transactions), (late.final_refusals, late.final_refusals));
    let unlimited = StopSchedule::new(began, StopLimits { transactions: None, ..limits });
    assert_eq!(unlimited.transactions, unlimited.final_refusals);
    let long = StopSchedule::new(began, StopLimits { total: ms(60_000), ..limits });
    assert_eq!(long.final_refusals, began + ms(58_000));
    let none = StopSchedule::new(began, StopLimits { total: Duration::ZERO, ..limits });
    assert_eq!((none.leaving, none.end), (began, began));
}

/// Guards against a transaction that a leaving node begins and cannot finish, and against a request
/// that is accepted after the node has refused everything.
#[test]
fn a_leaving_node_admits_single_requests_until_the_final_refusals() {
    let began = Instant::now();
    let stop = schedule(began);
    for (notice, begins, last) in [
        (BeginsAnswer, false, stop.final_refusals),
        (BeginsAnswer, true, stop.leaving),
        (IsAnswer, false, stop.leaving),
        (IsAnswer, true, stop.leaving),
    ] {
        assert!(stop.admits(notice, begins, began), "{notice:?}, begins: {begins}");
        assert!(stop.admits(notice, begins, last - INSTANT), "{notice:?}, begins: {begins}");
        assert!(!stop.admits(notice, begins, last), "{notice:?}, begins: {begins}");
    }
}

#[test]
fn a_request_gets_no_time_after_the_final_refusals() {
    let began = Instant::now();
    let stop = schedule(began);
    assert_eq!(stop.limit_deadline(began + ms(3000)), began + ms(3000));
    assert_eq!(stop.limit_deadline(began + ms(9000)), stop.final_refusals);
    assert!(!stop.refuses_unfinished(false, stop.final_refusals - INSTANT));
    assert!(stop.refuses_unfinished(false, stop.final_refusals));
    assert!(!stop.withdraws_waiting(stop.final_refusals - INSTANT));
    assert!(stop.withdraws_waiting(stop.final_refusals));
    let between = stop.final_refusals + (stop.last_answers - stop.final_refusals) / 2;
    assert!(!stop.refuses_unfinished(true, between - INSTANT));
    assert!(stop.refuses_unfinished(true, between));
    assert!(!stop.ends_transactions(stop.transactions - INSTANT));
    assert!(stop.ends_transactions(stop.transactions));
}

/// Guards against notices that all go out at once, and against one for a client that was just
/// active and is about to send a request.
#[test]
fn notices_are_spread_over_a_second_and_wait_for_a_rest() {
    let began = Instant::now();
    let stop = schedule(began);
    assert_eq!(stop.notice_time(began, 0.0), stop.leaving);
    assert_eq!(stop.notice_time(began, 0.5), stop.leaving + ms(500));
    assert_eq!(stop.notice_time(began, 1.0), stop.leaving + ms(1000));
    assert_eq!(stop.notice_time(stop.leaving, 0.1), stop.leaving + ms(1000));
    assert_eq!(stop.notice_time(began + ms(3900), 0.1), stop.final_refusals);
    let session = resting(began);
    assert!(!stop.ends_session(&session, BeginsAnswer, stop.leaving - INSTANT));
    assert!(stop.ends_session(&session, BeginsAnswer, stop.leaving));
}

/// Guards against a notice that a client library mistakes for the answer it has just read.
#[test]
fn only_a_notice_that_begins_an_answer_follows_an_answer() {
    let stop = schedule(Instant::now());
    let session = SessionActivity { has_just_answered: true, ..resting(stop.leaving) };
    assert!(stop.ends_session(&session, BeginsAnswer, stop.leaving));
    assert!(!stop.ends_session(&session, IsAnswer, stop.leaving));
    assert!(session.may_end_when_isolated(BeginsAnswer, stop.leaving));
    assert!(!session.may_end_when_isolated(IsAnswer, stop.leaving));
}

/// Guards against a notice of the final refusals that a client library reports in place of the
/// answer that it has just read, and against a request that waits because of that.
#[test]
fn a_notice_that_ends_the_session_leaves_time_to_read_an_answer_during_the_final_refusals() {
    let stop = schedule(Instant::now());
    let answered = stop.final_refusals + ms(10);
    let session = SessionActivity { has_just_answered: true, ..resting(answered) };
    let read = answered + ms(50);
    for now in [answered, read - INSTANT] {
        assert!(session.may_read_answer(IsAnswer, now));
        assert!(!stop.ends_session(&session, IsAnswer, now));
        assert!(!session.may_read_answer(BeginsAnswer, now));
        let asking = SessionActivity { has_request: true, ..session };
        assert!(!asking.may_read_answer(IsAnswer, now));
    }
    assert!(!session.may_read_answer(IsAnswer, read));
    assert!(stop.ends_session(&session, IsAnswer, read));
}

/// Guards against a session that ends while its node owes it an answer.
#[test]
fn a_session_with_a_request_or_an_open_transaction_does_not_end() {
    let began = Instant::now();
    let stop = schedule(began);
    let session = SessionActivity { has_just_answered: true, ..resting(began) };
    let asking = SessionActivity { has_request: true, ..session };
    let open = SessionActivity { transaction: SessionTransaction::Open, ..session };
    for busy in [asking, open] {
        assert!(!stop.ends_session(&busy, BeginsAnswer, stop.end), "{busy:?}");
        assert!(!busy.may_end_when_isolated(BeginsAnswer, stop.end), "{busy:?}");
    }
}

#[test]
fn a_session_whose_transaction_the_stop_has_aborted_ends() {
    let began = Instant::now();
    let stop = schedule(began);
    let session = SessionActivity { transaction: SessionTransaction::Aborted, ..resting(began) };
    assert!(!stop.ends_session(&session, BeginsAnswer, stop.transactions - INSTANT));
    assert!(stop.ends_session(&session, BeginsAnswer, stop.transactions));
    assert!(!stop.ends_session(&session, IsAnswer, stop.transactions));
    assert!(!session.may_end_when_isolated(BeginsAnswer, stop.end));
}

#[test]
fn an_isolated_node_ends_a_session_that_has_rested_for_a_second() {
    let began = Instant::now();
    for notice in [BeginsAnswer, IsAnswer] {
        assert!(!resting(began).may_end_when_isolated(notice, began + ms(999)));
        assert!(resting(began).may_end_when_isolated(notice, began + ms(1000)));
    }
}
