//! Worlds in which evidence was false, or still is, and a rule that would close some of the latter.

use crate::model::Violation;
use crate::node::PlantedUse;
use crate::scopes::{
    FORGOTTEN_STOP, JOINED, JOINED_LASTING, JOINED_UNKNOWN, JOINED_WRITES,
    RESTART_AFTER_REVOCATION, REVOCATIONS_FOLLOW_STOPS, SILENT_COORDINATOR, with_rules,
};
use crate::{assert_detected, assert_no_violation, with};

/// Guards against a lost commit: evidence covers its answer, but a replica received it that had
/// restarted and forgotten its stop after the coordinator's last check of the stops.
#[test]
fn replica_that_forgets_its_stop_confirms_no_lost_commit() {
    assert_no_violation("a forgotten stop", FORGOTTEN_STOP, 10);
}

/// Guards against a search that cannot find it.
#[test]
fn answers_that_are_covered_until_the_successor_may_lead_are_detected() {
    let scope = with(FORGOTTEN_STOP, PlantedUse::AnswersAsArrivals);
    assert_detected("answers as arrivals", scope, 10, Violation::Lost);
}

/// Guards against stale reads at a node that has evidence again after it was reported as revoked.
#[test]
#[ignore = "a tool: takes long without optimization"]
fn evidence_after_an_expired_revocation_is_true() {
    assert_no_violation("a silent coordinator", SILENT_COORDINATOR, 15);
}

/// Guards against a search that cannot find it.
#[test]
#[ignore = "a tool: takes long without optimization"]
fn full_lifetime_after_an_expired_revocation_is_detected() {
    let scope = with(SILENT_COORDINATOR, PlantedUse::LongAfterExpiry);
    assert_detected("a silent coordinator, long evidence", scope, 15, Violation::Stale);
}

/// Guards against stale reads at a node whose earlier process has revoked its evidence.
#[test]
fn evidence_of_a_node_that_restarts_after_a_revocation_is_true() {
    assert_no_violation("a restart after a revocation", RESTART_AFTER_REVOCATION, 14);
}

/// Guards against a rule that does not close the worlds of revocations that have ended.
#[test]
#[ignore = "a tool: takes long without optimization"]
fn revocations_that_are_reported_after_the_stops_are_final() {
    for (scope, depth) in [(SILENT_COORDINATOR, 15), (RESTART_AFTER_REVOCATION, 14)] {
        let scope = with_rules(scope, REVOCATIONS_FOLLOW_STOPS);
        assert_no_violation("revocations follow stops", scope, depth);
    }
}

/// Guards against stale reads where an instance that the node does not list confirms commits.
#[test]
fn evidence_is_true_beside_an_instance_that_is_not_listed() {
    assert_no_violation("an instance has joined", JOINED, 11);
}

/// Guards against reports of all listed replicas that count for a while after a promotion of an
/// instance that the node does not list has released them.
#[test]
fn lasting_evidence_is_true_beside_an_instance_that_is_not_listed() {
    assert_no_violation("an instance has joined, lasting evidence", JOINED_LASTING, 10);
}

/// Guards against a commit that a replica confirms which the promotion of an instance that the node
/// does not list has released.
#[test]
fn commits_are_safe_beside_an_instance_that_is_not_listed() {
    assert_no_violation("an instance has joined, with a write", JOINED_WRITES, 11);
}

/// Guards against unchecked reads while an instance that nobody lists confirms a successor's commits.
#[test]
fn evidence_is_true_beside_an_instance_that_the_coordinator_does_not_list() {
    assert_no_violation("nobody lists the instance that has joined", JOINED_UNKNOWN, 11);
}
