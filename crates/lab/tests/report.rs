//! The report: counts, gaps and quantiles of a small history.

use std::time::Duration;

use kestrellock_lab::check::history::{
    Action, Answer, Attempt, GroupId, History, NodeId, OperationId, Outcome, RunTime,
    SessionNumber, Told,
};
use kestrellock_lab::check::violation::{Invariant, Verdict};
use kestrellock_lab::report::measurement::{Failover, Measurement};
use kestrellock_lab::report::{Report, RunResult};

fn deposit(operation: &str, completed_ms: u64, keyed: bool, outcome: Outcome) -> Attempt {
    Attempt {
        operation: OperationId::new(operation),
        session: SessionNumber(1),
        group: GroupId::new("orders"),
        node: NodeId::new("node-a"),
        invoked: RunTime(0),
        completed: RunTime(completed_ms * 1000),
        action: Action::Deposit,
        keyed,
        with_token: false,
        mark: operation.into(),
        statements_answered: 0,
        outcome,
    }
}

fn told(number: u16) -> Told {
    Told { number: Some(number), sqlstate: "08007".into() }
}

fn history() -> History {
    let answered = || Outcome::Answered(Answer { tag: "INSERT 0 1".into(), ..Answer::default() });
    let attempts = vec![
        deposit("a", 90, false, answered()),
        deposit("b", 110, true, Outcome::InDoubt(told(1601))),
        deposit("b", 410, true, Outcome::AlreadyRan(told(1702))),
        deposit("c", 120, false, Outcome::Disconnected),
        deposit("d", 130, false, Outcome::NotRun(told(1302))),
        deposit("e", 450, false, answered()),
    ];
    History { attempts, ..History::default() }
}

fn measured() -> Measurement {
    let lost = RunTime(100_000);
    let failover = Failover { group: GroupId::new("orders"), lost, promoted: RunTime(400_000) };
    Measurement::new(7, &history(), &[failover])
}

#[test]
fn outcomes_are_counted_by_operation() {
    let measured = measured();
    assert_eq!(measured.acknowledged, 2);
    assert_eq!(measured.not_run, 1);
    assert_eq!((measured.in_doubt, measured.in_doubt_keyed, measured.in_doubt_resolved), (2, 1, 1));
    assert_eq!(measured.longest_resolution_ms, 300.0);
    assert_eq!(measured.results["KL1601"], 1);
    assert_eq!(measured.results["disconnected"], 1);
}

#[test]
fn a_gap_ends_with_the_first_write_acknowledged_after_the_election() {
    let gap = &measured().failovers[0];
    assert_eq!((gap.election, gap.added), (300.0, Some(10.0)));
}

#[test]
fn a_report_sums_up_its_runs() {
    let mut broken = Verdict::default();
    broken.add(Invariant::AtMostOnce, "twice");
    let mut first = measured();
    first.record_latency(&Action::Deposit, Duration::from_millis(10));
    let runs = [
        RunResult { seed: 7, measurement: first, verdict: Verdict::default(), trace: None },
        RunResult { seed: 8, measurement: measured(), verdict: broken, trace: None },
    ];
    let report = Report::new("failover", "standard", &runs);
    assert_eq!((report.seeds, report.failed_seeds), (vec![7, 8], vec![8]));
    assert_eq!(report.acknowledged, 4);
    assert_eq!(report.violations[&Invariant::AtMostOnce], 1);
    assert_eq!(report.violations[&Invariant::ReadYourWrites], 0);
    assert_eq!(report.violations.len(), Invariant::ALL.len());
    let latency = report.latency_ms["deposit"];
    assert_eq!(latency.count, 1);
    assert!((9.9..10.1).contains(&latency.p50), "{latency:?}");
    assert_eq!(report.details[0].seed, 8);
}

#[test]
fn a_report_is_read_back_as_it_was_written() {
    let directory = std::env::temp_dir().join(format!("kestrellock-report-{}", std::process::id()));
    let run =
        RunResult { seed: 7, measurement: measured(), verdict: Verdict::default(), trace: None };
    let report = Report::new("failover", "standard", &[run]);
    report.write(&directory).expect("the report is written");
    let text = std::fs::read_to_string(directory.join("report.json")).expect("it is there");
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
    let read: Report = serde_json::from_str(&text).expect("it is JSON");
    assert_eq!(read, report);
}
