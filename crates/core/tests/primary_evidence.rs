//! Evidence that a primary still is the one: what counts, and what makes it count no more.

use std::time::{Duration, Instant};

use kestrellock_core::classify::StatementClass;
use kestrellock_core::ids::InstanceName;
use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::{
    EVIDENCE_LIFETIME, MIN_PROMOTION_TIME, PrimaryEvidence, ReplicaTerms, Replication,
    TransactionWrites,
};
use kestrellock_core::promotion::ReplacementId;

const TERM: Term = Term(3);
const STOPPED: ReplicaTerms = ReplicaTerms { term: TERM, min_term: Term(4) };
const FOLLOWING: ReplicaTerms = ReplicaTerms { term: TERM, min_term: Term(0) };

const SYNCHRONOUS_ONE: Replication = Replication { synchronous: 1, instances: 3 };
const SYNCHRONOUS_TWO: Replication = Replication { synchronous: 2, instances: 3 };

fn replica(name: &str) -> InstanceName {
    InstanceName::new(name)
}

/// Until when arrivals are covered at the primary of a group with one synchronous replica of two.
fn covered(evidence: &PrimaryEvidence) -> Option<Instant> {
    evidence.covers_until(TERM, SYNCHRONOUS_ONE, EVIDENCE_LIFETIME)
}

#[test]
fn as_many_replicas_as_are_synchronous_must_follow() {
    let now = Instant::now();
    let later = now + Duration::from_millis(7);
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), FOLLOWING, later, later);
    assert_eq!(evidence.covers_until(TERM, SYNCHRONOUS_TWO, EVIDENCE_LIFETIME), None);
    evidence.on_replica_report(&replica("c"), FOLLOWING, now, now);
    assert_eq!(
        evidence.covers_until(TERM, SYNCHRONOUS_TWO, EVIDENCE_LIFETIME),
        Some(now + EVIDENCE_LIFETIME)
    );
    evidence.on_no_replacement(later);
    assert_eq!(covered(&evidence), Some(later + EVIDENCE_LIFETIME));
}

/// Found by the simulation, 33 of 2,000 seeds with many faults: a promotion released a replica that did
/// not hear of it. Its word passed for evidence of the old primary at a node out of reach of the store,
/// and a moment later it answered the successor's commits.
#[test]
fn the_word_of_some_replicas_counts_if_the_store_confirms_it() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    assert_eq!(covered(&evidence), None, "the store has not been asked");
    let would = evidence.would_cover_until(TERM, SYNCHRONOUS_ONE, EVIDENCE_LIFETIME);
    assert_eq!(would, Some(now + EVIDENCE_LIFETIME));
    evidence.on_no_replacement(now);
    assert_eq!(covered(&evidence), Some(now + EVIDENCE_LIFETIME));
    // An answer that came so long after the look that a replacement may lie between them.
    let later = now + MIN_PROMOTION_TIME + Duration::from_millis(1);
    evidence.on_replica_report(&replica("b"), FOLLOWING, later, later);
    assert_eq!(covered(&evidence), None);
    evidence.on_no_replacement(later);
    assert_eq!(covered(&evidence), Some(later + EVIDENCE_LIFETIME));
}

#[test]
fn the_word_of_all_replicas_counts_while_the_store_is_out_of_reach() {
    let now = Instant::now();
    let later = now + Duration::from_millis(400);
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_replica_report(&replica("c"), FOLLOWING, later, later);
    assert_eq!(covered(&evidence), Some(now + EVIDENCE_LIFETIME), "the older of the two");
    evidence.on_replica_report(&replica("b"), STOPPED, later, later);
    assert_eq!(covered(&evidence), None);
}

#[test]
fn what_the_store_said_is_void_with_a_replacement_a_new_term_or_a_broken_connection() {
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
        evidence.covers_until(next, SYNCHRONOUS_ONE, EVIDENCE_LIFETIME)
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
fn a_stopped_replica_shows_nothing() {
    let mut evidence = PrimaryEvidence::default();
    let now = Instant::now();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_no_replacement(now);
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    assert_eq!(covered(&evidence), None);
}

/// Atlas with a replica that receives nothing while the primary dies: the successor could not be read,
/// as the only other replica did not hear of it.
#[test]
fn a_replica_that_was_stopped_for_a_promotion_shows_who_was_promoted() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    evidence.on_no_replacement(now);
    let successor = STOPPED.min_term;
    assert_eq!(
        evidence.covers_until(successor, SYNCHRONOUS_ONE, EVIDENCE_LIFETIME),
        Some(now + EVIDENCE_LIFETIME)
    );
    assert_eq!(covered(&evidence), None);
    // Stopped once more, for another promotion.
    let again = ReplicaTerms { min_term: Term(successor.0 + 1), ..STOPPED };
    evidence.on_replica_report(&replica("b"), again, now, now);
    assert_eq!(evidence.covers_until(successor, SYNCHRONOUS_ONE, EVIDENCE_LIFETIME), None);
}

#[test]
fn a_replica_that_is_released_again_shows_the_old_primary() {
    let now = Instant::now();
    let later = now + Duration::from_millis(50);
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    evidence.on_replica_report(&replica("b"), FOLLOWING, later, later);
    evidence.on_no_replacement(later);
    assert_eq!(covered(&evidence), Some(later + EVIDENCE_LIFETIME));
    // An answer that was asked for before comes late.
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    assert_eq!(covered(&evidence), Some(later + EVIDENCE_LIFETIME));
}

#[test]
fn a_node_that_knows_no_term_has_no_evidence_during_a_replacement() {
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

/// Found by a test of the whole path: the platform releases replicas that do not hear of a promotion,
/// too, so they say that they follow the old primary.
#[test]
fn a_replica_that_has_not_heard_of_the_successor_shows_it_all_the_same() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_no_replacement(now);
    let successor = Term(TERM.0 + 2);
    let covered = evidence.covers_until(successor, SYNCHRONOUS_ONE, EVIDENCE_LIFETIME);
    assert_eq!(covered, Some(now + EVIDENCE_LIFETIME));
}

/// What shows the old primary must leave its successor no replica to answer a commit with: such
/// replicas may not have heard of the successor.
#[test]
fn so_many_replicas_are_needed_that_no_other_primary_finds_enough() {
    let table = [
        // Synchronous replicas, instances, replicas needed.
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
fn a_commit_shows_it_for_its_own_term_only() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    assert_eq!(covered(&evidence), Some(now + EVIDENCE_LIFETIME));
    assert_eq!(evidence.covers_until(Term(TERM.0 + 1), SYNCHRONOUS_ONE, EVIDENCE_LIFETIME), None);
    evidence.on_commit(Term(TERM.0 + 1), now);
    assert_eq!(covered(&evidence), None);
}

#[test]
fn evidence_that_has_been_given_up_does_not_come_back() {
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

/// Found by the simulation, seed 9511: a primary died, refused connections, so nobody waited for
/// evidence, and it returned before its successor led. A node out of reach of the store read there.
#[test]
fn evidence_of_a_process_that_died_counts_no_more() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_no_replacement(now);
    evidence.discard();
    assert_eq!(covered(&evidence), None);
}

/// Found by a hunt on both sites: an old primary answered a COMMIT that had written nothing, a node
/// took that for evidence, and read there.
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
fn a_replica_whose_word_covers_what_arrives_now_need_not_be_asked() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_replica_report(&replica("b"), FOLLOWING, now, now);
    evidence.on_replica_report(&replica("c"), STOPPED, now, now);
    let shown =
        |name: &str, at| evidence.has_valid_report(&replica(name), TERM, EVIDENCE_LIFETIME, at);
    assert!(shown("b", now + EVIDENCE_LIFETIME));
    assert!(!shown("b", now + EVIDENCE_LIFETIME + Duration::from_millis(1)), "it is too old");
    assert!(!shown("c", now), "it has been stopped");
    assert!(!shown("d", now), "it has said nothing");
}

/// An old primary that nobody could reach for long came back after its successor had led and gone. Nodes that
/// had never had an answer of that successor wrote to it (simulation of replacements, seed 15611).
#[test]
fn a_primary_of_a_lower_term_than_has_been_led_is_an_old_one() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    assert!(!evidence.is_outdated(Some(TERM)));
    evidence.on_term_led(Term(TERM.0 + 1));
    assert!(evidence.is_outdated(Some(TERM)));
    assert!(!evidence.is_outdated(Some(Term(TERM.0 + 1))));
    assert_eq!(covered(&evidence), None, "what it had shown counts no more");
}

/// Replicas that are stopped do not make the primary an old one: the attempt may be called off. Owners told it to
/// step down, and a group whose primary worked had to be given another one (simulation of replacements, up to nine
/// faults, seed 6: a fifth more promotions than before).
#[test]
fn a_term_that_replicas_were_stopped_with_has_not_been_led() {
    let now = Instant::now();
    let mut evidence = PrimaryEvidence::default();
    evidence.on_commit(TERM, now);
    evidence.on_replica_report(&replica("b"), STOPPED, now, now);
    assert_eq!(evidence.highest_led(), TERM);
    let followed = ReplicaTerms { term: STOPPED.min_term, min_term: Term(0) };
    evidence.on_replica_report(&replica("b"), followed, now, now);
    assert_eq!(evidence.highest_led(), STOPPED.min_term);
}
