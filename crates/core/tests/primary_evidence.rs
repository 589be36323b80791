//! Evidence that a primary is still the current one: what counts as evidence, and what invalidates
//! it.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use kestrellock_core::classify::StatementClass;
use kestrellock_core::ids::InstanceName;
use kestrellock_core::observed_process::ObservedProcess;
use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::{
    CheckSource, EVIDENCE_LIFETIME, EvidenceKind, Lead, MIN_PROMOTION_TIME, PrimaryEvidence,
    ReplicaTerms, Replication, TransactionWrites, UNLISTED_EVIDENCE_LIFETIME,
};
use kestrellock_core::promotion::ReplacementId;

const TERM: Term = Term(3);
const STOPPED: ReplicaTerms = ReplicaTerms { term: TERM, min_term: Term(4) };
const FOLLOWING: ReplicaTerms = ReplicaTerms { term: TERM, min_term: Term(0) };

const SYNCHRONOUS_ONE: Replication = Replication { synchronous: 1, instances: 3 };
const SYNCHRONOUS_TWO: Replication = Replication { synchronous: 2, instances: 3 };

/// An instance that leads `term`.
fn lead(term: Term) -> Lead<'static> {
    static PRIMARY: LazyLock<InstanceName> = LazyLock::new(|| InstanceName::new("a"));
    Lead { instance: &PRIMARY, term }
}

fn replica(name: &str) -> InstanceName {
    InstanceName::new(name)
}

/// Until when arriving reads are covered at the primary of a group with one synchronous replica of
/// two.
fn covered(evidence: &PrimaryEvidence) -> Option<Instant> {
    evidence.covers_until(lead(TERM), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME)
}

#[test]
fn requires_reports_of_as_many_replicas_as_are_synchronous() {
    let now = Instant::now();
    let later = now + Duration::from_millis(7);
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), FOLLOWING, later, later);
    evidence.on_no_replacement(later);
    assert_eq!(evidence.covers_until(lead(TERM), SYNCHRONOUS_TWO, EVIDENCE_LIFETIME), None);
    evidence.on_replica_report(&replica("c"), FOLLOWING, now, now);
    assert_eq!(
        evidence.covers_until(lead(TERM), SYNCHRONOUS_TWO, EVIDENCE_LIFETIME),
        Some(now + EVIDENCE_LIFETIME)
    );
    assert_eq!(covered(&evidence), Some(later + EVIDENCE_LIFETIME));
}

/// Guards against stale reads at the old primary. A promotion released a replica that did not learn
/// of it. A node that could not reach the store accepted the replica's report as evidence of the
/// old primary, and a moment later the replica confirmed commits of the successor (found by the
/// simulation in 33 of 2,000 seeds with many faults).
#[test]
fn reports_of_some_replicas_count_if_the_store_confirms_them() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    assert_eq!(covered(&evidence), None, "the store has not been queried");
    let would = evidence.would_cover_until(lead(TERM), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME);
    assert_eq!(would, Some(now + EVIDENCE_LIFETIME));
    evidence.on_no_replacement(now);
    assert_eq!(covered(&evidence), Some(now + EVIDENCE_LIFETIME));
    // The answer arrived so long after the store was queried that a replacement may have happened
    // in between.
    let later = now + MIN_PROMOTION_TIME + Duration::from_millis(1);
    evidence.on_replica_report(&replica("b"), FOLLOWING, later, later);
    assert_eq!(covered(&evidence), None);
    evidence.on_no_replacement(later);
    assert_eq!(covered(&evidence), Some(later + EVIDENCE_LIFETIME));
}

/// Guards against refused statements while the store is unreachable, against reports that count for
/// longer than a released replica confirms no commit, and against a successor that the node does not
/// list: a replica that has not reported may confirm its commits.
#[test]
fn reports_of_all_replicas_cover_only_what_arrived_before_they_were_requested() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    let coverage =
        |evidence: &PrimaryEvidence, group| evidence.coverage(lead(TERM), group, EVIDENCE_LIFETIME);
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    evidence.on_replica_report(&replica("c"), FOLLOWING, now, now);
    assert_eq!(coverage(&evidence, SYNCHRONOUS_ONE), None);
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now + EVIDENCE_LIFETIME);
    assert_eq!(coverage(&evidence, SYNCHRONOUS_ONE), None);
    let earlier = now - Duration::from_millis(5);
    evidence.on_primary_report(lead(TERM).instance, TERM, earlier, now);
    let covered_until = coverage(&evidence, SYNCHRONOUS_ONE).map(|coverage| coverage.until);
    assert_eq!(covered_until, Some(earlier), "the older of the two");
    evidence.on_primary_report(lead(TERM).instance, TERM, now, now);
    for group in [SYNCHRONOUS_ONE, SYNCHRONOUS_TWO] {
        let found = coverage(&evidence, group).expect("covered");
        assert_eq!((found.until, found.kind), (now, EvidenceKind::UncheckedReplicas));
    }
    evidence.on_restart(&replica("c"));
    assert_eq!(coverage(&evidence, SYNCHRONOUS_ONE), None, "a replica has not reported");
}

/// The primary and the replicas report; the node keeps the claim that results.
fn report_and_renew(evidence: &mut PrimaryEvidence, replicas: &[&str], at: Instant) {
    evidence.on_primary_report(lead(TERM).instance, TERM, at, at);
    for name in replicas {
        evidence.on_replica_report(&replica(name), FOLLOWING, at, at);
        evidence.renew_claim(lead(TERM), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME, None);
    }
}

/// Guards against commits in doubt on a calm group: a check takes longer than it takes to query the
/// replicas again, so that their newest reports are too new for its result.
#[test]
fn check_confirms_earlier_reports_that_later_ones_have_followed() {
    let began = Instant::now();
    let after = |milliseconds| began + Duration::from_millis(milliseconds);
    let mut evidence = PrimaryEvidence::default();
    evidence.on_check_started(CheckSource::Store, began);
    for at in [20, 80, 140, 200] {
        for name in ["b", "c"] {
            evidence.on_replica_report(&replica(name), FOLLOWING, after(at), after(at + 3));
        }
    }
    evidence.on_no_replacement(began);
    assert_eq!(covered(&evidence), Some(began + EVIDENCE_LIFETIME));
    assert!(evidence.confirms_commit(lead(TERM), SYNCHRONOUS_ONE, after(80)));
    assert!(!evidence.confirms_commit(lead(TERM), SYNCHRONOUS_ONE, after(81)));
    evidence.on_replica_report(&replica("b"), STOPPED, after(210), after(211));
    evidence.on_replica_report(&replica("c"), STOPPED, after(210), after(211));
    assert!(!evidence.confirms_commit(lead(TERM), SYNCHRONOUS_ONE, after(80)), "both are stopped");
}

/// Guards against stale reads and lost commits beside a successor that the node does not list, whose
/// promotion has released all replicas that it lists.
#[test]
fn reports_of_all_replicas_without_earlier_evidence_are_none_that_lasts() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    report_and_renew(&mut evidence, &["b", "c"], now);
    assert_eq!(covered(&evidence), None);
    assert!(evidence.lacks_claim(lead(TERM), SYNCHRONOUS_ONE));
    assert!(!evidence.confirms_commit(lead(TERM), SYNCHRONOUS_ONE, now));
    evidence.on_no_replacement(now);
    assert!(evidence.confirms_commit(lead(TERM), SYNCHRONOUS_ONE, now));
    assert!(!evidence.lacks_claim(lead(TERM), SYNCHRONOUS_ONE));
}

/// Guards against loss of service while the store is unreachable and a replica is dead, and against
/// reports that count although the evidence before them has expired.
#[test]
fn reports_renew_evidence_that_still_holds() {
    let start = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, start);
    let mut at = start;
    for _ in 0..3 {
        at += EVIDENCE_LIFETIME - MIN_PROMOTION_TIME;
        report_and_renew(&mut evidence, &["b"], at);
        assert_eq!(covered(&evidence), Some(at + EVIDENCE_LIFETIME));
    }
    let late = at + EVIDENCE_LIFETIME - MIN_PROMOTION_TIME + Duration::from_millis(1);
    report_and_renew(&mut evidence, &["b", "c"], late);
    assert_eq!(covered(&evidence), Some(at + EVIDENCE_LIFETIME), "the evidence had expired");
}

/// Guards against evidence of a process of the primary that has ended: a coordinator that sees its end
/// does not wait.
#[test]
fn reports_renew_evidence_only_together_with_the_primary() {
    let now = Instant::now();
    let later = now + EVIDENCE_LIFETIME / 2;
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    for name in ["b", "c"] {
        evidence.on_replica_report(&replica(name), FOLLOWING, later, later);
        evidence.renew_claim(lead(TERM), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME, None);
    }
    assert_eq!(covered(&evidence), Some(now + EVIDENCE_LIFETIME));
    let mut returned = ObservedProcess::default();
    returned.on_seen(now, now);
    returned.on_seen(later, later);
    evidence.on_primary_report(lead(TERM).instance, TERM, later, later);
    let mut at_returned = evidence.clone();
    at_returned.renew_claim(lead(TERM), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME, Some(&returned));
    assert_eq!(covered(&at_returned), Some(now + EVIDENCE_LIFETIME), "another process answered");
    evidence.renew_claim(lead(TERM), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME, None);
    assert_eq!(covered(&evidence), Some(later + EVIDENCE_LIFETIME));
    evidence.on_replica_report(&replica("b"), STOPPED, later, later);
    assert_eq!(covered(&evidence), Some(now + EVIDENCE_LIFETIME), "the report of a stop");
}

#[test]
fn replacement_new_term_or_broken_connection_invalidates_the_confirmation_of_the_store() {
    let now = Instant::now();
    let confirmed = || {
        let mut evidence = PrimaryEvidence::default();
        evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
        evidence.on_no_replacement(now);
        evidence
    };
    let next = Term(TERM.0 + 1);
    let follows_next = ReplicaTerms { term: next, min_term: Term(0) };
    let covered_in_next_term = |mut evidence: PrimaryEvidence| {
        evidence.on_replica_report(&replica("b"), follows_next, now, now);
        evidence.covers_until(lead(next), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME)
    };
    assert_eq!(covered_in_next_term(confirmed()), None, "a new term");
    let mut evidence = confirmed();
    evidence.discard();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    assert_eq!(covered(&evidence), None, "broken");
    let mut evidence = confirmed();
    evidence.revoke(ReplacementId { fence: 9, attempt: 1 });
    assert_eq!(covered_in_next_term(evidence), None, "a replacement");
}

#[test]
fn stopped_replica_is_no_evidence() {
    let mut evidence = PrimaryEvidence::default();
    let now = Instant::now();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_no_replacement(now);
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    assert_eq!(covered(&evidence), None);
}

/// Guards against a successor that cannot serve reads, because the only other replica receives
/// nothing and so does not learn of the successor.
#[test]
fn replica_stopped_for_a_promotion_is_evidence_for_the_promoted_instance() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    evidence.on_no_replacement(now);
    let successor = STOPPED.min_term;
    assert_eq!(
        evidence.covers_until(lead(successor), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME),
        Some(now + EVIDENCE_LIFETIME)
    );
    assert_eq!(covered(&evidence), None);
    // The replica is stopped again, for another promotion.
    let again = ReplicaTerms { min_term: Term(successor.0 + 1), ..STOPPED };
    evidence.on_replica_report(&replica("b"), again, now, now);
    assert_eq!(evidence.covers_until(lead(successor), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME), None);
}

#[test]
fn released_replica_is_evidence_for_the_old_primary() {
    let now = Instant::now();
    let later = now + Duration::from_millis(50);
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    evidence.on_replica_report(&replica("b"), FOLLOWING, later, later);
    evidence.on_no_replacement(later);
    assert_eq!(covered(&evidence), Some(later + EVIDENCE_LIFETIME));
    // A late answer to an earlier query is ignored.
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    assert_eq!(covered(&evidence), Some(later + EVIDENCE_LIFETIME));
}

#[test]
fn node_without_a_known_term_has_no_evidence_during_a_replacement() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.revoke(ReplacementId { fence: 9, attempt: 1 });
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_no_replacement(now);
    assert_eq!(covered(&evidence), None);
    evidence.end_revocation();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_no_replacement(now);
    assert_eq!(covered(&evidence), Some(now + EVIDENCE_LIFETIME));
}

/// The platform also releases replicas that do not learn of a promotion, so they report that they
/// follow the old primary.
#[test]
fn replica_is_evidence_for_a_successor_that_it_does_not_know() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_no_replacement(now);
    let successor = Term(TERM.0 + 2);
    let covered = evidence.covers_until(lead(successor), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME);
    assert_eq!(covered, Some(now + EVIDENCE_LIFETIME));
}

/// Evidence for the old primary has to leave its successor too few replicas to acknowledge a
/// commit, since the reporting replicas may not know the successor.
#[test]
fn required_reports_leave_another_primary_too_few_replicas() {
    let table = [
        // Synchronous replicas, instances, required reports.
        (0, 3, 2),
        (1, 3, 1),
        (2, 3, 2),
        (1, 5, 3),
        (2, 5, 2),
        (3, 5, 3),
        (1, 2, 1),
        (0, 1, 1),
    ];
    for (synchronous, instances, needed) in table {
        let group = Replication { synchronous, instances };
        assert_eq!(group.replicas_needed(), needed, "{group:?}");
    }
}

#[test]
fn commit_is_evidence_for_its_own_term_only() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    assert_eq!(covered(&evidence), Some(now + EVIDENCE_LIFETIME));
    assert_eq!(
        evidence.covers_until(lead(Term(TERM.0 + 1)), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME),
        None
    );
    evidence.on_commit(Term(TERM.0 + 1), now);
    assert_eq!(covered(&evidence), None);
}

#[test]
fn revoked_evidence_does_not_become_valid_again() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    evidence.revoke(ReplacementId { fence: 9, attempt: 1 });
    assert_eq!(covered(&evidence), None);
    evidence.on_commit(TERM, now);
    assert_eq!(covered(&evidence), None);
    evidence.end_revocation();
    assert_eq!(covered(&evidence), None);
}

/// Guards against reads at a primary that crashed and returned. It refused connections, so the
/// coordinator did not wait for evidence to expire, and it returned before its successor was
/// primary. A node that could not reach the store read there (simulation of replacements, seed
/// 9511).
#[test]
fn evidence_from_a_terminated_process_is_discarded() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_no_replacement(now);
    evidence.discard();
    assert_eq!(covered(&evidence), None);
}

/// Guards against stale reads after a COMMIT without writes. It waits for no replica, so an old
/// primary acknowledged it, a node accepted that as evidence, and read there.
#[test]
fn a_commit_that_wrote_nothing_shows_nothing() {
    use StatementClass::{Begin, Commit, Read, Rollback, Write};
    let shown = |steps: &[(StatementClass, bool, bool)]| {
        let mut writes = TransactionWrites::default();
        let answers =
            steps.iter().map(|(class, failed, open)| writes.on_answer(*class, *failed, *open));
        answers.collect::<Vec<bool>>()
    };
    assert_eq!(shown(&[(Write, false, false)]), [true]);
    assert_eq!(shown(&[(Write, true, false)]), [false]);
    assert_eq!(shown(&[(Read, false, false)]), [false]);
    let empty = [(Begin, false, true), (Read, false, true), (Commit, false, false)];
    assert_eq!(shown(&empty), [false, false, false]);
    let full = [(Begin, false, true), (Write, false, true), (Commit, false, false)];
    assert_eq!(shown(&full), [false, false, true]);
    let failed = [(Begin, false, true), (Write, true, true), (Commit, false, false)];
    assert_eq!(shown(&failed), [false, false, false]);
    let rolled_back = [(Begin, false, true), (Write, false, true), (Rollback, false, false)];
    assert_eq!(shown(&rolled_back), [false, false, false]);
    let next_one = [full.as_slice(), empty.as_slice()].concat();
    assert_eq!(shown(&next_one), [false, false, true, false, false, false]);
}

#[test]
fn report_is_valid_until_its_lifetime_has_passed() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_replica_report(&replica("c"), STOPPED, now, now);
    let shown = |name: &str, at| {
        let queried_at = evidence.report_queried_at(&replica(name), TERM);
        queried_at.is_some_and(|queried_at| at <= queried_at + EVIDENCE_LIFETIME)
    };
    assert!(shown("b", now + EVIDENCE_LIFETIME));
    assert!(
        !shown("b", now + EVIDENCE_LIFETIME + Duration::from_millis(1)),
        "the report has expired"
    );
    assert!(!shown("c", now), "the replica is stopped");
    assert!(!shown("d", now), "the replica has not reported");
}

/// Guards against writes at an old primary that returns after its successor was primary and is gone
/// again. Nodes that had never received an answer of that successor wrote to the old primary
/// (simulation of replacements, seed 15611).
#[test]
fn primary_of_a_lower_term_than_the_highest_led_is_outdated() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    assert!(!evidence.is_outdated(Some(TERM)));
    evidence.on_term_led(Term(TERM.0 + 1));
    assert!(evidence.is_outdated(Some(TERM)));
    assert!(!evidence.is_outdated(Some(Term(TERM.0 + 1))));
    assert_eq!(covered(&evidence), None, "its evidence no longer counts");
}

/// Guards against demoting a working primary. Stopped replicas do not make the primary outdated,
/// since the attempt may be cancelled. Owners demoted the primary because of the minimum term of
/// the replicas, so that another promotion was needed (simulation of replacements, up to nine
/// faults, seed 6: a fifth more promotions).
#[test]
fn minimum_term_of_stopped_replicas_does_not_count_as_led() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    assert_eq!(evidence.highest_led(), TERM);
    let followed = ReplicaTerms { term: STOPPED.min_term, min_term: Term(0) };
    evidence.on_replica_report(&replica("b"), followed, now, now);
    assert_eq!(evidence.highest_led(), STOPPED.min_term);
}

/// How long evidence covers answers: until the coordinator may check for the last time that replicas
/// are stopped. One that restarts after that forgets its stop and confirms commits that its successor
/// lacks.
const ANSWER_COVERAGE: Duration = EVIDENCE_LIFETIME.saturating_sub(MIN_PROMOTION_TIME);

/// Until when answers of the primary are covered in a group with one synchronous replica of two.
fn answers_covered(evidence: &PrimaryEvidence) -> Option<Instant> {
    let coverage = evidence.answer_coverage(lead(TERM), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME);
    coverage.map(|coverage| coverage.until)
}

/// Guards against commits that are lost: the old primary answers them through a replica that the
/// promotion of its successor has released. Reports without the store's word cover no answer, since
/// that replica gives the same ones.
#[test]
fn answers_are_covered_only_by_evidence_that_lasts() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    assert_eq!(answers_covered(&evidence), None);
    evidence.on_primary_report(lead(TERM).instance, TERM, now, now);
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_replica_report(&replica("c"), FOLLOWING, now, now);
    assert!(evidence.unchecked_coverage(lead(TERM), SYNCHRONOUS_ONE).is_some());
    assert_eq!(answers_covered(&evidence), None);
    evidence.on_no_replacement(now);
    assert_eq!(answers_covered(&evidence), Some(now + ANSWER_COVERAGE));
    let sent = now + EVIDENCE_LIFETIME / 2;
    evidence.on_commit(TERM, sent);
    assert_eq!(answers_covered(&evidence), Some(sent + ANSWER_COVERAGE), "a commit renews it");
    evidence.on_term_led(Term(TERM.0 + 1));
    assert_eq!(answers_covered(&evidence), None, "a successor leads");
}

/// Guards against commits in doubt while a primary is drained, and against lost commits: after this
/// node has reported that it revoked its evidence, a coordinator waits as for a node that it does
/// not know.
#[test]
fn revoked_evidence_covers_answers_for_as_long_as_that_of_an_unlisted_node() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    evidence.revoke(ReplacementId { fence: 9, attempt: 1 });
    assert_eq!(covered(&evidence), None, "no new arrival");
    let covered_for = UNLISTED_EVIDENCE_LIFETIME - MIN_PROMOTION_TIME;
    assert_eq!(answers_covered(&evidence), Some(now + covered_for));
    evidence.end_revocation();
    assert_eq!(answers_covered(&evidence), None);
}

/// Guards against lost commits: a partitioned instance whose entry had lapsed came back and was
/// promoted, and a node that had lost the store meanwhile counted the reports of the replicas that it
/// still listed as those of all (wedge, seed 9123, on real processes).
#[test]
fn reports_of_the_listed_replicas_are_not_all_while_an_instance_may_have_returned() {
    let two = Replication { synchronous: 1, instances: 2 };
    let names = |names: &[&str]| names.iter().map(|name| replica(name)).collect();
    let now = Instant::now();
    let covered =
        |evidence: &PrimaryEvidence| evidence.unchecked_coverage(lead(TERM), two).is_some();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_instances_listed(names(&["a", "b", "c"]), now);
    evidence.on_primary_report(lead(TERM).instance, TERM, now, now);
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_instances_listed(names(&["a", "b"]), now);
    assert!(!covered(&evidence), "c may have returned");
    assert!(!evidence.confirms_commit(lead(TERM), two, now));
    evidence.on_no_replacement(now);
    assert!(evidence.covers_until(lead(TERM), two, EVIDENCE_LIFETIME).is_some());
    assert!(evidence.confirms_commit(lead(TERM), two, now), "the store confirms the report");
    let mut evidence = PrimaryEvidence::default();
    evidence.on_instances_listed(names(&["a", "b", "c"]), now);
    evidence.on_instances_listed(names(&["a", "b"]), now);
    evidence.on_instances_listed(names(&["a", "b"]), now + Duration::from_secs(60));
    evidence.on_primary_report(lead(TERM).instance, TERM, now, now);
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    assert!(covered(&evidence), "it has ended");
    evidence.on_instances_listed(names(&["a", "b", "c"]), now + Duration::from_secs(61));
    evidence.on_instances_listed(names(&["a", "b"]), now + Duration::from_secs(62));
    assert!(!covered(&evidence));
}

/// Guards against stale reads where enough replicas of a shorter list report: an instance that has
/// vanished from the list may have been promoted, and the replica without a report confirms its commits.
#[test]
fn a_vanished_instance_counts_in_the_number_of_replicas_that_are_needed() {
    let now = Instant::now();
    let names = |names: &[&str]| names.iter().copied().map(InstanceName::new).collect();
    let three = Replication { synchronous: 1, instances: 3 };
    let mut evidence = PrimaryEvidence::default();
    evidence.on_instances_listed(names(&["a", "b", "c", "d"]), now);
    evidence.on_instances_listed(names(&["a", "b", "c"]), now);
    evidence.on_primary_report(lead(TERM).instance, TERM, now, now);
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    assert_eq!(evidence.coverage(lead(TERM), three, EVIDENCE_LIFETIME), None);
    evidence.on_no_replacement(now);
    assert_eq!(evidence.coverage(lead(TERM), three, EVIDENCE_LIFETIME), None);
    evidence.on_replica_report(&replica("c"), FOLLOWING, now, now);
    assert!(evidence.coverage(lead(TERM), three, EVIDENCE_LIFETIME).is_some());
}
