//! What a node does with a primary that restarted without its log under the same name, before the
//! store shows the node that it restarted.

use std::time::{Duration, Instant};

use kestrellock_core::catalog::Consistency;
use kestrellock_lab::platform::client::LineSession;
use kestrellock_lab::platform::judged::JudgedPlatform;
use kestrellock_lab::platform::{GROUPS, Platform, PlatformOptions, database, wait};

/// For how long the node cannot reach the store after the restart. Evidence of the time before the
/// restart is too old by then.
const OUTAGE: Duration = Duration::from_secs(3);

/// More than an instance runs at a time.
const QUEUED_READS: usize = 30;

/// Guards against stale reads. Replicas still followed the term that the primary had led, which the
/// node took for evidence that reads there are current, although the process that led it had ended.
#[test]
fn no_read_runs_at_a_primary_that_restarted_without_its_log() {
    let options = PlatformOptions { nodes: 1, own_addresses: true, ..PlatformOptions::default() };
    let platform = JudgedPlatform(Platform::start(options).expect("it starts"));
    platform.wait_until_ready().expect("it is ready");
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let open = |consistency, name| {
        let route = database(GROUPS[0], consistency);
        platform.open_session(0, &route, name).expect("it opens")
    };
    let mut sessions = [open(Consistency::Primary, "p"), open(Consistency::Bounded, "b")];
    wait("a write is answered", || {
        sessions[0].run("WRITE thing data").expect("an answer").is_success()
    })
    .expect("in time");
    std::thread::sleep(Duration::from_millis(200));
    let written = sessions[0].run("READ thing").expect("an answer");
    assert!(written.is_success() && !written.rows.is_empty(), "{written:?}");

    platform.store.set_outage(true);
    group.kill(&primary);
    group.restart_empty(&primary);
    let end = Instant::now() + OUTAGE;
    while Instant::now() < end {
        for session in &mut sessions {
            let answer = session.run("READ thing").expect("an answer");
            assert!(!answer.is_success() || answer.rows == written.rows, "{primary}: {answer:?}");
        }
    }
    platform.store.set_outage(false);
    wait("reads are served again", || {
        sessions.iter_mut().all(|session| {
            let answer = session.run("READ thing").expect("an answer");
            assert!(!answer.is_success() || answer.rows == written.rows, "{primary}: {answer:?}");
            answer.is_success()
        })
    })
    .expect("in time");
}

/// Guards against stale reads. They had been chosen for the primary on evidence, waited in its queue
/// when it ended, and ran on the new process.
#[test]
fn no_queued_read_runs_at_a_primary_that_restarted_without_its_log() {
    let options = PlatformOptions { nodes: 1, own_addresses: true, ..PlatformOptions::default() };
    let platform = JudgedPlatform(Platform::start(options).expect("it starts"));
    platform.wait_until_ready().expect("it is ready");
    let group = &platform.groups[0];
    let primary = group.primary().expect("a primary");
    let route = database(GROUPS[0], Consistency::Primary);
    let open = |name: &str| platform.open_session(0, &route, name).expect("it opens");
    let mut writer = open("writer");
    wait("a write is answered", || writer.run("WRITE thing data").expect("an answer").is_success())
        .expect("in time");
    let written = writer.run("READ thing").expect("an answer");
    let mut sessions: Vec<LineSession> =
        (0..QUEUED_READS).map(|number| open(&format!("reader{number}-"))).collect();
    group.set_reads_blocked(&primary, true);
    for session in &mut sessions {
        session.send_statement("READ thing").expect("it is sent");
    }
    std::thread::sleep(Duration::from_millis(100));
    platform.store.set_outage(true);
    group.kill(&primary);
    group.set_reads_blocked(&primary, false);
    group.restart_empty(&primary);
    for session in &mut sessions {
        let answer = session.read_answer().expect("an answer");
        assert!(!answer.is_success() || answer.rows == written.rows, "{primary}: {answer:?}");
    }
}
