//! The checker can fail: baselines that break an invariant are caught by it in a whole run.

use std::path::Path;

use kestrellock_daemon::policy::Policy;
use kestrellock_lab::check::violation::Invariant;
use kestrellock_lab::report::Report;
use kestrellock_lab::scenario::command::run_seeds;
use kestrellock_lab::scenario::definition::Scenario;

const SEEDS: [u64; 2] = [0, 1];

/// Runs a scenario under a baseline and asserts that the checker finds `broken`.
fn assert_caught(name: &str, policy: Policy, broken: Invariant) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios");
    let path = directory.join(format!("{name}.toml"));
    let scenario = Scenario::load(&path).expect("the scenario is valid");
    let runs = run_seeds(&scenario, &SEEDS, 2, policy).expect("the runs end");
    let report = Report::new(name, "baseline", &runs);
    assert!(report.violations[&broken] > 0, "{}; {}", report.summary(), report.broken_invariants());
}

#[test]
fn acknowledging_without_confirmation_is_caught() {
    assert_caught("cut-off-primary", Policy::NoConfirmation, Invariant::ReplacedPrimary);
}

#[test]
fn sending_a_write_again_is_caught() {
    assert_caught("lost-answers", Policy::ResendOnError, Invariant::AtMostOnce);
}
