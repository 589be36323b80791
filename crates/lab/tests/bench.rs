//! The benches: their arithmetic, the comparison of reports, and a short run of the path.

use std::collections::BTreeMap;
use std::time::Duration;

use kestrellock_lab::bench::compare::{Verdict, compare, regressions};
use kestrellock_lab::bench::path::{self, PathOptions};
use kestrellock_lab::bench::report::{Better, Measure, Report};
use kestrellock_lab::bench::statistics::{Latencies, quantile, spread};

/// No node runs that many statements in a second of one core.
const IMPLAUSIBLE_RATE: f64 = 500_000.0;

fn report(better: Better, samples: &[f64]) -> Report {
    let mut report = Report::new("test", BTreeMap::new());
    report.measures.extend(Measure::new("figure", "ms", better, samples.to_vec()));
    report
}

#[test]
fn quantiles_are_by_nearest_rank() {
    let samples = [5.0, 1.0, 4.0, 2.0, 3.0];
    assert_eq!(quantile(&samples, 0.0), Some(1.0));
    assert_eq!(quantile(&samples, 0.5), Some(3.0));
    assert_eq!(quantile(&samples, 1.0), Some(5.0));
    assert_eq!(quantile(&[], 0.5), None);
}

#[test]
fn one_outlier_of_twenty_lies_outside_the_spread() {
    let mut samples = vec![10.0; 19];
    samples.push(1_000.0);
    let spread = spread(&samples).expect("there are samples");
    assert_eq!((spread.low, spread.median, spread.high), (10.0, 10.0, 10.0));
}

#[test]
fn merged_latencies_hold_both_parts() {
    let mut fast = Latencies::default();
    let mut slow = Latencies::default();
    (0..99).for_each(|_| fast.record(Duration::from_micros(100)));
    slow.record(Duration::from_millis(50));
    fast.add(&slow);
    assert_eq!(fast.count(), 100);
    assert_eq!(fast.at(0.5), 100.0);
    assert!(fast.at(1.0) >= 50_000.0);
}

#[test]
fn a_change_counts_only_beyond_the_spread_of_both() {
    let base = [10.0, 11.0, 12.0];
    let cases: [(Better, &[f64], Verdict); 6] = [
        (Better::Higher, &[20.0, 21.0, 22.0], Verdict::Better),
        (Better::Lower, &[20.0, 21.0, 22.0], Verdict::Worse),
        (Better::Higher, &[1.0, 2.0, 3.0], Verdict::Worse),
        (Better::Lower, &[1.0, 2.0, 3.0], Verdict::Better),
        (Better::Higher, &[10.0, 12.0, 14.0], Verdict::Same),
        (Better::Lower, &[9.0, 30.0, 40.0], Verdict::Same),
    ];
    for (better, after, expected) in cases {
        let changes = compare(&report(better, &base), &report(better, after));
        assert_eq!(changes[0].verdict, expected, "{better:?} {after:?}");
        assert_eq!(regressions(&changes), usize::from(expected == Verdict::Worse));
    }
}

#[test]
fn a_measure_that_is_gone_is_a_regression_and_a_new_one_is_not() {
    let full = report(Better::Higher, &[1.0]);
    let empty = Report::new("test", BTreeMap::new());
    assert_eq!(regressions(&compare(&full, &empty)), 1);
    let changes = compare(&empty, &full);
    assert_eq!(changes[0].verdict, Verdict::New);
    assert_eq!(regressions(&changes), 0);
}

#[test]
fn a_report_survives_its_file() {
    let directory = std::env::temp_dir().join(format!("bench-report-{}", std::process::id()));
    let written = report(Better::Lower, &[1.0, 2.0]);
    written.write(&directory).expect("the report is written");
    let read = Report::read(&directory.join("report.json")).expect("the report is read");
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
    assert_eq!(read, written);
}

#[test]
fn the_path_bench_measures_every_route() {
    let options = PathOptions { length: Duration::from_secs(1), idle_callers: 20 };
    let report = path::run(&options).expect("the bench runs");
    for route in ["direct", "one_node", "two_nodes"] {
        for figure in ["rate", "busy_p50", "busy_p99", "alone_p50", "alone_p99"] {
            let name = format!("simple.{route}.{figure}");
            let measure = report.measure(&name).unwrap_or_else(|| panic!("{name} is missing"));
            assert!(measure.median > 0.0, "{name}: {measure:?}");
        }
    }
    for route in ["one_node", "two_nodes"] {
        let name = format!("simple.{route}.per_core_second");
        let measure = report.measure(&name).unwrap_or_else(|| panic!("{name} is missing"));
        assert!(measure.median < IMPLAUSIBLE_RATE, "the nodes' threads were missed: {measure:?}");
    }
    assert!(report.measure("idle_callers.memory").is_some());
}
