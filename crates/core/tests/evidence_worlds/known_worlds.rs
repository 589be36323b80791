//! Worlds in which evidence was false, or still is, and planted faults that make it false there.

use crate::model::Violation;
use crate::node::PlantedUse;
use crate::scopes::{
    FORGOTTEN_STOP, JOINED, JOINED_AFTER_REPORTS, JOINED_CHECK_READ, JOINED_FORGOTTEN_STOP,
    JOINED_LASTING, JOINED_LATE_CHECKS, JOINED_LATE_STORE, JOINED_NODE_RESTARTS,
    JOINED_PRIMARY_RETURNS, JOINED_SILENT_COORDINATOR, JOINED_TWO, JOINED_TWO_LASTING,
    JOINED_TWO_WRITES, JOINED_UNKNOWN, JOINED_UNKNOWN_WRITES, JOINED_UNLISTED, JOINED_WRITES,
    RESTART_AFTER_REVOCATION, REVOCATIONS_FOLLOW_STOPS, SILENT_COORDINATOR, with_planted,
    with_rules,
};
use crate::{assert_detected, assert_no_violation};

/// Guards against a lost commit: evidence covers its answer, but a replica received it that had
/// restarted and forgotten its stop after the coordinator's last check of the stops.
#[test]
fn replica_that_forgets_its_stop_confirms_no_lost_commit() {
    assert_no_violation("a forgotten stop", FORGOTTEN_STOP, 10);
}

/// Guards against a search that cannot find it.
#[test]
fn answers_that_are_covered_until_the_successor_may_lead_are_detected() {
    let scope = with_planted(FORGOTTEN_STOP, PlantedUse::AnswersAsArrivals);
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
    let scope = with_planted(SILENT_COORDINATOR, PlantedUse::LongAfterExpiry);
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

/// Guards against stale reads where one instance that the node does not list leads and another one
/// confirms its commits: all replicas that the node lists report, and so does the old primary.
#[test]
fn evidence_is_true_beside_two_instances_that_are_not_listed() {
    assert_no_violation("two instances have joined", JOINED_TWO, 12);
}

/// Guards against evidence beside two such instances that lasts although a promotion has released
/// replicas.
#[test]
fn lasting_evidence_is_true_beside_two_instances_that_are_not_listed() {
    assert_no_violation("two instances have joined, lasting evidence", JOINED_TWO_LASTING, 12);
}

/// Guards against a lost commit that a replica confirms which the promotion of one of two such
/// instances has released.
#[test]
fn commits_are_safe_beside_two_instances_that_are_not_listed() {
    assert_no_violation("two instances have joined, with a write", JOINED_TWO_WRITES, 11);
}

/// Guards against kept reports that a replacement check in flight confirms, and that are false beside
/// an instance that is not listed.
#[test]
fn reports_that_a_check_in_flight_confirms_are_true() {
    assert_no_violation("late answers and checks, an instance has joined", JOINED_LATE_STORE, 6);
    assert_no_violation("late checks, an instance has joined", JOINED_LATE_CHECKS, 8);
    assert_no_violation("a check in flight, an instance has joined", JOINED_CHECK_READ, 11);
}

/// Guards against evidence that outlives a process beside an instance that is not listed.
#[test]
fn evidence_is_true_across_restarts_beside_an_instance_that_is_not_listed() {
    assert_no_violation("an instance has joined, primary returns", JOINED_PRIMARY_RETURNS, 11);
    assert_no_violation("an instance has joined, node restarts", JOINED_NODE_RESTARTS, 10);
    assert_no_violation("an instance has joined, a forgotten stop", JOINED_FORGOTTEN_STOP, 9);
}

/// Guards against evidence beside an instance that is not listed, at a node for which no coordinator
/// waits or that hears no more of a replacement.
#[test]
fn short_evidence_is_true_beside_an_instance_that_is_not_listed() {
    assert_no_violation("an instance has joined, unlisted node", JOINED_UNLISTED, 11);
    let scope = JOINED_SILENT_COORDINATOR;
    assert_no_violation("an instance has joined, a silent coordinator", scope, 10);
}

/// Guards against a search that cannot find a claim that outlives the old primary's process.
#[test]
fn claim_that_is_renewed_without_the_primarys_report_is_detected() {
    let scope = with_planted(JOINED_PRIMARY_RETURNS, PlantedUse::RenewedWithoutPrimary);
    assert_detected("renewed without the primary", scope, 12, Violation::Stale);
}

/// Guards against a search that cannot find a claim that released replicas renew.
#[test]
fn claim_that_is_renewed_after_its_end_is_detected() {
    let scope = with_planted(JOINED_AFTER_REPORTS, PlantedUse::RenewedTooLate);
    assert_detected("renewed too late", scope, 13, Violation::Stale);
}

/// Guards against a search that cannot find a kept report that a check must not confirm.
#[test]
fn check_that_confirms_reports_answered_too_late_is_detected() {
    let scope = with_planted(JOINED_CHECK_READ, PlantedUse::CheckFromResult);
    assert_detected("a check that counts from its result", scope, 12, Violation::Stale);
}

/// Guards against a lost commit that only an instance confirms which nobody lists, and so nobody
/// stops.
#[test]
fn commits_are_safe_beside_an_instance_that_the_coordinator_does_not_list() {
    assert_no_violation("nobody lists the instance, a write", JOINED_UNKNOWN_WRITES, 10);
}
