//! The benches of the deployments: their plans, their figures, and one short run.

use std::time::Duration;

use kestrellock_daemon::policy::Policy;
use kestrellock_lab::bench::deployment::figures::{figures, is_order, quantile, replica_share};
use kestrellock_lab::bench::deployment::plan::{Plan, RUSH_FACTOR, Site, Window, capacity, plan};
use kestrellock_lab::bench::deployment::plot::{Chart, Kind, Mark, Series};
use kestrellock_lab::bench::deployment::run::{Answered, ReadArrival, RunOutcome, run};
use kestrellock_lab::bench::deployment::series::charts;
use kestrellock_lab::check::history::{Action, GroupId, History, RowKey, RunTime};
use kestrellock_lab::check::violation::Verdict;
use kestrellock_lab::report::FailoverGap;
use kestrellock_lab::report::measurement::Failover;
use kestrellock_lab::scenario::caller::session::Latency;

const SITES: [Site; 2] = [Site::Atlas, Site::Gidanmu];

fn window(from: u64, to: u64) -> Window {
    Window { from: Duration::from_millis(from), to: Duration::from_millis(to) }
}

fn answered(action: Action, due: u64, took: u64) -> Answered {
    let latency =
        Latency { action, due: Duration::from_millis(due), time: Duration::from_millis(took) };
    Answered { group: GroupId::new("tickets"), latency }
}

fn outcome(answered: Vec<Answered>, reads: Vec<ReadArrival>) -> RunOutcome {
    RunOutcome {
        seed: 1,
        answered,
        history: History::default(),
        reads,
        failovers: Vec::new(),
        gaps: Vec::new(),
        samples: Vec::new(),
        verdict: Verdict::default(),
    }
}

#[test]
fn plans_are_valid_and_their_windows_lie_within_the_run() {
    for site in SITES {
        let plan = plan(site, 1);
        plan.scenario.validate().expect("the scenario is valid");
        let length = plan.scenario.duration();
        for window in [plan.calm, plan.busy, plan.far_behind.window] {
            assert!(window.from < window.to && window.to <= length, "{site:?}: {window:?}");
        }
        for population in &plan.populations {
            assert!(population.window.to <= length, "{site:?}: {population:?}");
        }
    }
}

#[test]
fn the_rush_offers_three_times_what_the_primary_serves() {
    let plan = plan(Site::Gidanmu, 1);
    let rush = plan.populations.last().expect("there are callers");
    let offered = f64::from(rush.workload.sessions) * 1_000.0 / rush.workload.think_ms;
    assert!((offered / capacity(&plan.scenario.deployment) - RUSH_FACTOR).abs() < 0.01);
}

#[test]
fn only_requests_of_the_window_and_kind_count() {
    let write = Action::Write(RowKey::Register(1));
    let read = Action::Read(RowKey::Register(1));
    let outcome = outcome(
        vec![answered(write, 10, 5), answered(write, 20, 7), answered(write, 99, 900)],
        Vec::new(),
    );
    assert_eq!(quantile(&outcome, window(0, 50), 1.0, is_order).map(f64::round), Some(7.0));
    assert_eq!(quantile(&outcome, window(30, 50), 1.0, is_order), None);
    assert!(!is_order(&read));
}

#[test]
fn replica_share_is_counted_at_the_instances() {
    let read = |at: u64, at_primary| ReadArrival { at: Duration::from_millis(at), at_primary };
    let reads = vec![read(1, true), read(2, false), read(3, false), read(4, false), read(99, true)];
    let outcome = outcome(Vec::new(), reads);
    assert_eq!(replica_share(&outcome, window(0, 50)), Some(0.75));
    assert_eq!(replica_share(&outcome, window(50, 90)), None);
}

#[test]
fn slow_pages_are_abandoned_unless_a_failover_explains_them() {
    let read = Action::Read(RowKey::Register(1));
    let pages = vec![
        answered(read, 100, 10),
        answered(read, 200, 2_500),
        answered(read, 5_100, 2_500),
        answered(read, 9_000, 10),
    ];
    let mut outcome = outcome(pages, Vec::new());
    let group = GroupId::new("tickets");
    let (lost, promoted) = (RunTime(5_000_000), RunTime(5_300_000));
    outcome.failovers.push(Failover { group: group.clone(), lost, promoted });
    outcome.gaps.push(FailoverGap {
        seed: 1,
        group: group.to_string(),
        election: 300.0,
        added: Some(50.0),
    });
    let plan = plan(Site::Gidanmu, 1);
    let all = figures(&plan, &outcome);
    let value =
        |name: &str| all.iter().find(|figure| figure.name == name).and_then(|one| one.value);
    assert_eq!(value("pages_abandoned"), Some(1.0 / 3.0));
    assert_eq!(value("failover_gap.added"), Some(50.0));
}

#[test]
fn charts_escape_their_texts_and_survive_missing_points() {
    let chart = Chart {
        title: "a < b & c".into(),
        x_label: "s".into(),
        y_label: "ms".into(),
        kind: Kind::Lines,
        series: vec![Series { name: "none".into(), points: Vec::new() }],
        marks: vec![Mark { x: 0.5, label: "<mark>".into() }],
    };
    let html = chart.to_html();
    assert!(html.contains("a &lt; b &amp; c") && html.contains("&lt;mark&gt;"));
    assert!(!html.contains("NaN") && !html.contains("inf"), "{html}");
}

/// A small and short version of a plan without faults.
fn shortened(site: Site) -> Plan {
    let mut plan = plan(site, 1);
    let length = window(0, 2_000);
    plan.scenario.duration_ms = length.to.as_millis() as u64;
    plan.scenario.faults.clear();
    for population in &mut plan.populations {
        population.window = length;
        population.workload.sessions = 3;
        population.workload.think_ms = 60.0;
        population.workload.roaming_share = 0.0;
    }
    plan.calm = window(0, 1_000);
    plan.busy = window(1_000, 2_000);
    plan.far_behind.window = window(1_500, 2_000);
    plan
}

#[test]
fn a_short_run_fills_every_figure_that_needs_no_fault() {
    for site in SITES {
        let plan = shortened(site);
        let outcome = run(&plan, 1, Policy::Standard).expect("the run ends");
        assert!(outcome.verdict.violations.is_empty(), "{:?}", outcome.verdict.violations);
        for figure in figures(&plan, &outcome) {
            let needs_fault = figure.name.starts_with("failover_gap");
            assert_eq!(figure.value.is_none(), needs_fault, "{site:?}: {figure:?}");
        }
        assert!(outcome.samples.iter().any(|sample| sample.connections > 0));
        assert!(charts(&outcome).iter().all(|chart| chart.to_html().contains("<svg")));
    }
}

#[test]
fn primary_only_reads_from_no_replica() {
    let plan = shortened(Site::Atlas);
    let outcome = run(&plan, 1, Policy::PrimaryOnly).expect("the run ends");
    assert_eq!(replica_share(&outcome, window(0, 2_000)), Some(0.0));
}
