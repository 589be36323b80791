//! Evidence covers reads at a process that was running when the evidence was gathered.

use std::time::{Duration, Instant};

use kestrellock_core::observed_process::ObservedProcess;
use kestrellock_core::primary_evidence::{EVIDENCE_LIFETIME, MIN_PROMOTION_TIME};

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

#[test]
fn evidence_covers_a_process_that_was_running_for_its_whole_lifetime() {
    let start = Instant::now();
    let mut process = ObservedProcess::default();
    assert_eq!(process.covers_until(start, EVIDENCE_LIFETIME), start + EVIDENCE_LIFETIME);
    process.on_seen(start, start);
    let evidence = after(start, 50);
    assert_eq!(process.covers_until(evidence, EVIDENCE_LIFETIME), evidence + EVIDENCE_LIFETIME);
}

/// Guards against stale reads on a new connection: the primary crashed unnoticed and is back.
#[test]
fn evidence_from_before_a_new_connection_covers_no_reads_that_arrive_late() {
    let start = Instant::now();
    let mut process = ObservedProcess::default();
    process.on_seen(start, after(start, 40));
    let evidence = after(start, 60);
    process.on_seen(after(start, 700), after(start, 700));
    let covered = process.covers_until(evidence, EVIDENCE_LIFETIME);
    assert_eq!(covered, evidence + MIN_PROMOTION_TIME, "replicas were not stopped yet");
    let newer = after(start, 701);
    assert_eq!(process.covers_until(newer, EVIDENCE_LIFETIME), newer + EVIDENCE_LIFETIME);
}

/// A busy pool opens connections without new evidence.
#[test]
fn answers_on_older_connections_extend_the_evidence() {
    let start = Instant::now();
    let mut process = ObservedProcess::default();
    process.on_seen(start, after(start, 690));
    for milliseconds in 700..712 {
        let opened = after(start, milliseconds);
        process.on_seen(opened, opened);
    }
    let covered = process.covers_until(start, EVIDENCE_LIFETIME);
    assert_eq!(covered, after(start, 690) + MIN_PROMOTION_TIME);
    process.on_seen(start, after(start, 715));
    assert!(process.was_running_at(start), "one process has answered on both connections");
    assert_eq!(process.covers_until(start, EVIDENCE_LIFETIME), start + EVIDENCE_LIFETIME);
}

#[test]
fn an_answer_to_an_earlier_request_does_not_show_that_the_process_is_the_same() {
    let start = Instant::now();
    let mut process = ObservedProcess::default();
    process.on_seen(start, start);
    process.on_seen(after(start, 700), after(start, 700));
    process.on_seen(start, after(start, 699));
    assert!(!process.was_running_at(start));
    let covered = process.covers_until(start, EVIDENCE_LIFETIME);
    assert_eq!(covered, after(start, 699) + MIN_PROMOTION_TIME);
}
