//! Scenario files, and a run of those that must hold.

use std::path::{Path, PathBuf};

use kestrellock_daemon::policy::Policy;
use kestrellock_lab::report::Report;
use kestrellock_lab::scenario::command::run_seeds;
use kestrellock_lab::scenario::definition::Scenario;

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios")
}

fn load(name: &str) -> Scenario {
    Scenario::load(&directory().join(format!("{name}.toml"))).expect("the scenario is valid")
}

/// Runs one seed and asserts that every invariant held and that work was done.
fn assert_holds(name: &str, seed: u64) {
    let scenario = load(name);
    let runs = run_seeds(&scenario, &[seed], 1, Policy::Standard).expect("the run ends");
    let report = Report::new(name, "standard", &runs);
    assert_eq!(report.violation_count(), 0, "{name}, seed {seed}: {}", report.broken());
    assert!(report.acknowledged > 100 && report.reads > 100, "{}", report.summary());
}

#[test]
fn every_scenario_file_is_valid_and_named_after_its_file() {
    let mut count = 0;
    for entry in std::fs::read_dir(directory()).expect("the directory is there") {
        let path = entry.expect("it can be listed").path();
        let scenario = Scenario::load(&path).expect("the scenario is valid");
        assert_eq!(path.file_stem().and_then(|name| name.to_str()), Some(&*scenario.name));
        count += 1;
    }
    assert!(count >= 10);
}

#[test]
fn bad_values_are_refused_with_their_field() {
    type Change = fn(&mut Scenario);
    let cases: [(&str, Change); 5] = [
        ("deployment.zones", |scenario| scenario.deployment.zones.clear()),
        ("workload.sessions", |scenario| scenario.workload.sessions = 0),
        ("workload.keyed_share", |scenario| scenario.workload.keyed_share = 1.5),
        ("workload.token_share", |scenario| scenario.workload.token_share = -0.1),
        ("faults.database", |scenario| scenario.deployment.databases = vec!["other".into()]),
    ];
    for (field, change) in cases {
        let mut scenario = load("failover");
        change(&mut scenario);
        let error = scenario.validate().expect_err(field).to_string();
        assert!(error.starts_with(field), "{field}: {error}");
    }
}

#[test]
fn failover() {
    assert_holds("failover", 1);
}

#[test]
fn double_failover() {
    assert_holds("double-failover", 1);
}
