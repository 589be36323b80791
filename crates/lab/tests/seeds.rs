//! Whole runs of every scenario. Each seed that ever broke an invariant stays in the tables.

use std::path::Path;

use kestrellock_daemon::policy::Policy;
use kestrellock_lab::report::Report;
use kestrellock_lab::scenario::command::run_seeds;
use kestrellock_lab::scenario::definition::Scenario;

/// Runs at the same time.
const JOBS: usize = 2;

/// A scenario and the seeds of it that must hold.
struct Kept {
    scenario: &'static str,
    seeds: &'static [u64],
}

/// Seeds that showed a session without a token reading from a replica behind its own write.
const WITHOUT_TOKEN: &[Kept] = &[
    Kept { scenario: "failover", seeds: &[0, 1] },
    Kept { scenario: "failover-lagos", seeds: &[3] },
    Kept { scenario: "cut-off-primary", seeds: &[0] },
    Kept { scenario: "double-failover", seeds: &[1, 2] },
    Kept { scenario: "node-death", seeds: &[7] },
    Kept { scenario: "paused-gateway", seeds: &[0, 2] },
    Kept { scenario: "lost-answers", seeds: &[6] },
    Kept { scenario: "third-killed", seeds: &[1] },
    Kept { scenario: "zone-killed", seeds: &[2] },
    Kept { scenario: "zone-cut", seeds: &[0] },
    Kept { scenario: "leaving-replica", seeds: &[1] },
    Kept { scenario: "everything-at-once", seeds: &[0] },
];

/// Seeds that showed a planned stop cutting requests in progress.
const PLANNED_STOPS: &[Kept] = &[Kept { scenario: "rolling-restart", seeds: &[0, 5] }];

/// A seed that once showed a write acknowledged by a replaced primary.
const REPLACED_PRIMARY: &[Kept] = &[Kept { scenario: "double-failover", seeds: &[102] }];

/// Nodes that find that they are isolated refuse statements and close sessions: no request may be
/// lost by that, and no guarantee broken.
const ISOLATED: &[Kept] = &[Kept { scenario: "zone-isolated", seeds: &[0, 1] }];

/// Runs every seed of a table, and asserts that work was done and every invariant held.
fn assert_hold(table: &[Kept]) {
    let mut broken = Vec::new();
    for kept in table {
        let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios");
        let path = directory.join(format!("{}.toml", kept.scenario));
        let scenario = Scenario::load(&path).expect("the scenario is valid");
        let runs = run_seeds(&scenario, kept.seeds, JOBS, Policy::Standard).expect("they end");
        let report = Report::new(kept.scenario, "standard", &runs);
        assert!(report.acknowledged > 100 && report.reads > 100, "{}", report.summary());
        if report.violation_count() > 0 {
            broken.push(format!("{}: {}", kept.scenario, report.broken_invariants()));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn sessions_without_a_token_see_their_own_writes() {
    assert_hold(WITHOUT_TOKEN);
}

#[test]
fn planned_stops_cut_no_request() {
    assert_hold(PLANNED_STOPS);
}

#[test]
fn isolated_nodes_break_no_promise() {
    assert_hold(ISOLATED);
}

#[test]
fn no_replaced_primary_acknowledges() {
    assert_hold(REPLACED_PRIMARY);
}

#[test]
fn answers_are_whole_while_a_primary_is_cut_off() {
    assert_hold(&[Kept { scenario: "cut-off-primary", seeds: &[3, 5] }]);
}
