//! Requests that are in progress when a limit of the stop passes, or that begin too much.

use std::time::{Duration, Instant};

use kestrellock_lab::platform::client::{Answer, LineSession};
use kestrellock_lab::platform::{Platform, PlatformOptions, extra_database, wait};
use kestrellock_peer::message::TransactionState;

use crate::counters::unanswered;
use crate::{Stop, ask, has_run, is_promise, primary_database, start};

const DRAIN_LIMIT: Duration = Duration::from_millis(1_500);
/// Beginning of the error of a request that may run although its node has stopped.
const STOPPED_IN_DOUBT: &str = "KL1606 in doubt";
/// Time limit of statements on a route whose requests outlast the stop.
const LONG_TIMEOUT_MS: u64 = 8_000;

fn start_with_long_route() -> Platform {
    let mut platform = start(PlatformOptions { drain_limit: DRAIN_LIMIT, ..Default::default() });
    platform.configure_extra_routes(&[LONG_TIMEOUT_MS]);
    let name = extra_database(0);
    wait("the nodes know the route", || {
        platform.nodes().all(|node| node.context.catalog.load().open_database(&name).is_some())
    })
    .expect("in time");
    platform
}

fn open(platform: &Platform, database: &str, name: &str) -> LineSession {
    LineSession::open(platform.client_addresses[0], database, name).expect("it opens")
}

fn kill_instances(platform: &Platform) {
    let group = &platform.groups[0];
    group.instances().iter().for_each(|instance| group.kill(instance));
}

/// The answer to the request that was sent last, and the age of the stop when it arrived.
fn answer_of(mut session: LineSession, began: Instant) -> (Answer, Duration) {
    let answer = session.read_answer();
    let age = began.elapsed();
    (answer.unwrap_or_else(|error| panic!("{error} after {age:?}")), age)
}

fn await_refusals(sessions: Vec<LineSession>, stop: Stop) {
    let began = stop.began;
    let waiting: Vec<_> = sessions
        .into_iter()
        .map(|session| std::thread::spawn(move || answer_of(session, began)))
        .collect();
    for thread in waiting {
        let (answer, age) = thread.join().expect("it was refused");
        assert!(is_promise(&answer), "{answer:?} after {age:?}");
        assert!(age < DRAIN_LIMIT, "{answer:?} after {age:?}");
    }
    let context = stop.context.clone();
    stop.finish();
    assert_eq!(unanswered(&context), 0);
}

/// Sends the requests, which wait for an instance, and then stops their node.
fn assert_refused_when_sent_before_the_stop(texts: &[&str]) {
    let platform = start_with_long_route();
    let mut sessions: Vec<LineSession> =
        texts.iter().map(|text| open(&platform, &extra_database(0), &text[..4])).collect();
    kill_instances(&platform);
    for (session, text) in sessions.iter_mut().zip(texts) {
        session.send_statement(text).expect("it is sent");
    }
    std::thread::sleep(Duration::from_millis(200));
    await_refusals(sessions, Stop::begin(platform));
}

/// Guards against a request that arrived before the stop, waits for an instance, and is dropped
/// when the limit of the stop passes.
#[test]
fn request_that_waits_for_an_instance_since_before_the_stop_is_refused_before_its_end() {
    assert_refused_when_sent_before_the_stop(&["READ page", "BEGIN", "BEGIN READ"]);
}

/// Guards against a write that is dropped when the limit of the stop passes, or reported as in
/// doubt, although no instance has received it.
#[test]
fn write_that_waits_for_an_instance_since_before_the_stop_is_refused_as_not_run() {
    assert_refused_when_sent_before_the_stop(&["WRITE page 1"]);
}

/// Guards against a request that arrives during the stop, waits for an instance, and is dropped
/// when the limit of the stop passes.
#[test]
fn request_that_waits_for_an_instance_during_the_stop_is_refused_before_its_end() {
    let platform = start_with_long_route();
    let texts = ["READ page", "WRITE page 1"];
    let mut sessions: Vec<LineSession> =
        texts.iter().map(|text| open(&platform, &extra_database(0), &text[..4])).collect();
    kill_instances(&platform);
    let stop = Stop::begin(platform);
    for (session, text) in sessions.iter_mut().zip(texts) {
        session.send_statement(text).expect("it is sent");
    }
    await_refusals(sessions, stop);
}

/// Guards against a write that an instance is running when the limit of the stop passes, and that
/// gets no answer or one which states that it has not run.
#[test]
fn write_that_is_running_at_the_end_of_the_stop_is_in_doubt() {
    let platform = start_with_long_route();
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    for replica in group.instances().iter().filter(|one| **one != primary) {
        group.set_replication_blocked(replica, true);
    }
    let mut session = open(&platform, &extra_database(0), "writer");
    let id = session.next_statement_id();
    session.send_statement("WRITE page 1").expect("it is sent");
    wait("the write runs", || has_run(&platform, &id)).expect("in time");
    let stop = Stop::begin(platform);
    let (answer, age) = answer_of(session, stop.began);
    let (_, text) = answer.outcome.expect_err("its outcome is not known");
    assert!(text.starts_with(STOPPED_IN_DOUBT), "{text}");
    assert!(age < DRAIN_LIMIT, "{text} after {age:?}");
    let context = stop.context.clone();
    stop.finish();
    assert_eq!(unanswered(&context), 0);
}

/// Guards against a transaction that a leaving node begins although it will abort it before the
/// client has finished it.
#[test]
fn begin_after_the_node_began_to_leave_is_refused() {
    let options =
        PlatformOptions { drain_transactions: Duration::from_millis(300), ..Default::default() };
    let platform = start(options);
    let database = primary_database();
    let sessions: Vec<LineSession> =
        (0..16).map(|number| open(&platform, &database, &format!("begins-{number}"))).collect();
    let stop = Stop::begin(platform);
    let began = stop.began;
    let clients: Vec<_> = sessions
        .into_iter()
        .zip((30..).step_by(60))
        .map(|(mut session, moment_ms)| {
            let text = if moment_ms % 120 == 30 { "BEGIN" } else { "BEGIN READ" };
            std::thread::spawn(move || {
                crate::sleep_until(began + Duration::from_millis(moment_ms));
                ask(&mut session, text)
            })
        })
        .collect();
    let answers = clients.into_iter().filter_map(|client| client.join().expect("it was refused"));
    let answers: Vec<Answer> = answers.collect();
    assert!(!answers.is_empty(), "no client asked before it was told to go elsewhere");
    for answer in answers {
        assert_eq!(answer.error_code(), Some("BUSY"), "{answer:?}");
        assert_eq!(answer.state, TransactionState::Idle, "{answer:?}");
    }
    let context = stop.context.clone();
    stop.finish();
    assert_eq!(unanswered(&context), 0);
}
