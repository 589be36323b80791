//! Worlds in which evidence is false, and rules that close some of them.

use crate::assert_no_violation;
use crate::scopes::{
    ANSWER_MARGIN, FORGOTTEN_STOP, JOINED, RESTART_AFTER_REVOCATION, REVOCATIONS_FOLLOW_STOPS,
    SILENT_COORDINATOR, with_rules,
};

/// Guards against a lost commit: evidence covers its answer, but a replica received it that had
/// restarted and forgotten its stop after the coordinator's last check of the stops.
#[test]
#[ignore = "known to fail: answers are covered until the successor may lead, stops are checked before"]
fn replica_that_forgets_its_stop_confirms_no_lost_commit() {
    assert_no_violation("a forgotten stop", FORGOTTEN_STOP, 10);
}

/// Guards against a rule that does not close the world of a forgotten stop.
#[test]
fn answers_that_are_covered_until_the_check_of_the_stops_are_safe() {
    assert_no_violation(
        "a forgotten stop, with the rule",
        with_rules(FORGOTTEN_STOP, ANSWER_MARGIN),
        10,
    );
}

/// Guards against stale reads at a node that has evidence again after it was reported as revoked.
#[test]
#[ignore = "known to fail: a revocation counts at the coordinator after the node has ended it"]
fn evidence_after_an_expired_revocation_is_true() {
    assert_no_violation("a silent coordinator", SILENT_COORDINATOR, 15);
}

/// Guards against stale reads at a node whose earlier process has revoked its evidence.
#[test]
#[ignore = "known to fail: a revocation counts at the coordinator after its process has ended"]
fn evidence_of_a_node_that_restarts_after_a_revocation_is_true() {
    assert_no_violation("a restart after a revocation", RESTART_AFTER_REVOCATION, 14);
}

/// Guards against a rule that does not close the worlds of revocations that have ended.
#[test]
#[ignore = "a tool: takes over a minute"]
fn revocations_that_are_reported_after_the_stops_are_final() {
    for (scope, depth) in [(SILENT_COORDINATOR, 15), (RESTART_AFTER_REVOCATION, 14)] {
        let scope = with_rules(scope, REVOCATIONS_FOLLOW_STOPS);
        assert_no_violation("revocations follow stops", scope, depth);
    }
}

/// Guards against stale reads where an instance that the node does not list confirms commits.
#[test]
#[ignore = "known to fail: the node does not know of the instance; design/0014, Not closed"]
fn evidence_is_true_beside_an_instance_that_is_not_listed() {
    assert_no_violation("an instance has joined", JOINED, 11);
}
