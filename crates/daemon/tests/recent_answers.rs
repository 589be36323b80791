//! Recent answers that a gateway's node keeps, so that a front can request them again after a link
//! went silent.

use std::time::{Duration, Instant};

use bytes::Bytes;
use kestrellock_core::ids::{LeaseId, NodeName};
use kestrellock_daemon::shard::recent_answers::RecentAnswers;
use kestrellock_peer::message::LeaseEvent;

fn lease(serial: u64) -> LeaseId {
    LeaseId { node: NodeName::new("front"), incarnation: 1, shard: 0, serial }
}

fn answer(bytes: usize) -> LeaseEvent {
    LeaseEvent::Part(Bytes::from(vec![0; bytes]))
}

#[test]
fn answers_are_repeated_from_the_first_missing_one() {
    let (mut answers, now) = (RecentAnswers::default(), Instant::now());
    for sequence in 0..3 {
        answers.record(&lease(1), sequence, &answer(1), now);
        answers.record(&lease(2), sequence, &answer(1), now);
    }
    let repeated = answers.since(&lease(1), 1);
    assert_eq!(repeated.iter().map(|(sequence, _)| *sequence).collect::<Vec<_>>(), [1, 2]);
}

#[test]
fn an_absent_answer_proves_nothing_once_it_may_have_been_dropped() {
    let (mut answers, start) = (RecentAnswers::default(), Instant::now());
    assert!(answers.covers(Duration::from_millis(400), start));
    assert!(!answers.covers(Duration::from_secs(2), start), "longer than answers are kept");
    answers.record(&lease(1), 0, &answer(5 * 1024 * 1024), start);
    assert!(answers.covers(Duration::from_millis(400), start));
    answers.record(&lease(2), 0, &answer(5 * 1024 * 1024), start);
    assert!(!answers.covers(Duration::ZERO, start), "the first answer was dropped for space");
    let later = start + Duration::from_secs(1);
    assert!(answers.covers(Duration::from_millis(400), later), "no newer answer was dropped");
}

#[test]
fn answers_are_kept_for_the_period_that_they_must_cover() {
    let (mut answers, start) = (RecentAnswers::default(), Instant::now());
    answers.record(&lease(1), 0, &answer(1), start);
    let last = start + Duration::from_millis(1_999);
    answers.record(&lease(2), 0, &answer(1), last);
    assert!(answers.covers(Duration::from_millis(1_999), last));
    assert_eq!(answers.since(&lease(1), 0).len(), 1);
    answers.record(&lease(3), 0, &answer(1), start + Duration::from_secs(4));
    assert!(answers.since(&lease(1), 0).is_empty(), "memory is bounded");
}
