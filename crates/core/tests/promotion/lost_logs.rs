//! A replica that has lost its log has none of the acknowledged commits: which positions are
//! compared instead.

use std::time::Instant;

use kestrellock_core::ids::NodeName;
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::promotion::{
    Attempt, CombinedReport, Command, Event, Members, Need, ObservedRestart, Phase, Reason,
    ReplacementId, Timing,
};

use crate::support::*;

/// The three instances, of which `c` has lost its log.
fn members_without_the_log_of_c(primaries: &[&str]) -> Members {
    let mut members = members(primaries);
    members.all[2].is_refilling = true;
    members
}

/// Guards against losing a commit that only the old primary still has. The one replica that had
/// received the commit lost its log. The old primary had stepped down and was reachable, but only
/// the two replicas were compared, and the promoted one lacked the commit (simulation of
/// replacements, up to four faults, seed 14008).
#[test]
fn compares_an_old_primary_that_is_a_replica_if_another_replica_lost_its_log() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members_without_the_log_of_c(&["a"]));
    record_intent(&mut attempt, now);
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &[("b", 10)]), None, "one log of three");
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("a", 11), ("b", 10)]);
    assert_eq!(chosen, Some(name(OLD_PRIMARY)));
}

/// An old primary that has stepped down may have commits that it never acknowledged. It is not
/// needed if both replicas are stopped, and there is a reason to replace it.
#[test]
fn does_not_choose_the_old_primary_if_the_replicas_are_enough() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&[]));
    record_intent(&mut attempt, now);
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("a", 12), ("b", 10), ("c", 11)]);
    assert_eq!(chosen, Some(name("c")));
}

/// Guards against an attempt that never ends. An old primary that had stepped down was promoted
/// again with a term below the one that replicas had been stopped with, so its report was ignored
/// (simulation of replacements, up to four faults, seed 38).
#[test]
fn accepts_the_old_primary_as_successor_by_its_own_report() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members_without_the_log_of_c(&["a"]));
    record_intent(&mut attempt, now);
    let sent_before = now;
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("a", 11), ("b", 10)]);
    assert_eq!(chosen, Some(name(OLD_PRIMARY)));
    attempt.on_event(primary_status(OLD_PRIMARY, 1, 11, sent_before), now);
    assert!(!is_settling(&mut attempt, &mut now), "the report is from before it stepped down");
    attempt.on_event(primary_status(OLD_PRIMARY, 2, 11, now), now);
    assert!(is_settling(&mut attempt, &mut now));
}

fn is_settling(attempt: &mut Attempt, now: &mut Instant) -> bool {
    *now += STEP;
    attempt.step(*now);
    matches!(attempt.phase(), Phase::Settling { .. })
}

/// Guards against waiting for all three instances. The old primary has stepped down, so there is no
/// primary, and one replica has lost its log and cannot receive it again.
#[test]
fn two_of_three_logs_suffice_if_the_last_primary_is_a_replica() {
    let need = Need { old_primary: None, last_primary_is_replica: true, ..need(Reason::Missing) };
    let id = ReplacementId { fence: 7, attempt: 1 };
    let coordinator = NodeName::new("node");
    let members = members_without_the_log_of_c(&[]);
    let mut attempt = Attempt::new(coordinator, id, &need, members, Term(1), Timing::default());
    let mut now = Instant::now();
    record_intent(&mut attempt, now);
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &[("b", 10)]), None, "one log of three");
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("a", 11), ("b", 10)]);
    assert_eq!(chosen, Some(name("a")));
}

/// Guards against losing commits of a replica that was stopped and then restarted. The coordinator
/// was cut off from the store and did not learn of the restart. In the final check the replica
/// reported an empty log, and the other one was promoted, which lacked commits that the first had
/// (simulation of replacements, up to nine faults, seed 15444: 43 commits, then none; promoted with
/// 33).
#[test]
fn stopped_replica_with_a_lower_position_than_before_has_lost_its_log() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let offsets = |step| vec![("b", if step < 20 { 43 } else { 0 }), ("c", 33)];
    assert_eq!(run_to_promotion_with(&mut attempt, &mut now, no_restarts, offsets), None);
}

/// The same if the replica does not report a lower position: the store shows its restart, but the
/// coordinator's copy is older.
#[test]
fn replica_with_a_new_incarnation_in_the_store_has_lost_its_log() {
    let mut now = Instant::now();
    let mut members = members(&["a"]);
    members.all[1].incarnation = Some(InstanceIncarnation(1));
    let mut attempt = attempt(Reason::Suspected, members);
    record_intent(&mut attempt, now);
    let incarnations = |requested_at| {
        let by_instance = [(name("b"), InstanceIncarnation(2))].into();
        Event::Incarnations { by_instance, requested_at }
    };
    let offsets = |_| vec![("b", 33), ("c", 33)];
    assert_eq!(run_to_promotion_with(&mut attempt, &mut now, incarnations, offsets), None);
}

/// Nothing is promoted while the store does not show which instances were restarted.
#[test]
fn does_not_promote_while_the_store_returns_no_incarnations() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let mut requests = 0;
    let unavailable = |_| {
        requests += 1;
        Event::IncarnationsUnavailable
    };
    let offsets = |_| vec![("b", 33), ("c", 33)];
    assert_eq!(run_to_promotion_with(&mut attempt, &mut now, unavailable, offsets), None);
    let max_requests =
        STEPS as u128 * STEP.as_millis() / Timing::default().store_retry_interval.as_millis() + 1;
    assert!((2..=max_requests).contains(&requests), "{requests} requests");
    assert!(run_to_promotion(&mut attempt, &mut now, &[("b", 33), ("c", 33)]).is_some());
}

/// Guards against a final check of the chosen replica alone. The old primary refused connections,
/// so only the replica to be promoted was queried again. It lost its log 4 ms after the promotion
/// was sent, while the other stopped replica, which was unreachable, had every acknowledged commit
/// (simulation of replacements, up to nine faults, seed 19308).
#[test]
fn all_required_replicas_confirm_their_stop_before_the_promotion() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let mut min_term = Term(0);
    let mut promoted = None;
    for step in 0..STEPS {
        now += STEP;
        for command in attempt.step(now) {
            match command {
                Command::Promote(instance) => promoted = Some(instance),
                Command::RecordIntent(intent) => {
                    attempt.on_event(Event::IntentRecorded(intent), now)
                }
                Command::ReadIncarnations => attempt.on_event(no_restarts(now), now),
                Command::Stop { term, .. } => min_term = min_term.max(term),
                _ => {}
            }
        }
        attempt.on_event(Event::Refused { instance: name(OLD_PRIMARY), sent: now }, now);
        let is_stopping = matches!(attempt.phase(), Phase::Stopping { .. });
        attempt.on_event(replica_status("b", 33, min_term, now), now);
        if step == 0 || is_stopping {
            attempt.on_event(replica_status("c", 33, min_term, now), now);
        }
    }
    assert_eq!(promoted, None);
    assert!(run_to_promotion(&mut attempt, &mut now, &[("b", 33), ("c", 33)]).is_some());
}

/// A replica that lost its log counts again once a node has seen it receive everything.
#[test]
fn replica_counts_after_a_node_has_seen_it_refilled() {
    let mut now = Instant::now();
    let mut members = members_without_the_log_of_c(&["a"]);
    members.all[2].incarnation = Some(InstanceIncarnation(2));
    let mut attempt = attempt(Reason::Suspected, members);
    record_intent(&mut attempt, now);
    let refilled = |incarnation| {
        let incarnation = InstanceIncarnation(incarnation);
        Event::Refilled(ObservedRestart { instance: name("c"), incarnation })
    };
    attempt.on_event(refilled(1), now);
    let both = [("b", 10), ("c", 10)];
    assert_eq!(
        run_to_promotion(&mut attempt, &mut now, &both),
        None,
        "the report is about an earlier incarnation"
    );
    attempt.on_event(refilled(2), now);
    assert!(run_to_promotion(&mut attempt, &mut now, &both).is_some());
}

/// The log of an instance that is permanently gone cannot be recovered by waiting: the best
/// remaining replica is promoted.
#[test]
fn does_not_wait_for_logs_that_are_lost() {
    let mut now = Instant::now();
    let mut without_primary = members_without_the_log_of_c(&[]);
    without_primary.all.remove(0);
    let mut attempt = attempt(Reason::Missing, without_primary);
    record_intent(&mut attempt, now);
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 0)]);
    assert_eq!(chosen, Some(name("b")));
}

/// After a restart of all instances there are no commits left to lose, and the group needs a
/// primary.
#[test]
fn promotes_an_instance_if_all_logs_are_lost() {
    let mut now = Instant::now();
    let mut members = members(&[]);
    members.all.iter_mut().for_each(|member| member.is_refilling = true);
    let mut attempt = attempt(Reason::Missing, members);
    record_intent(&mut attempt, now);
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 0), ("c", 3)]);
    assert_eq!(chosen, Some(name("c")));
}

/// All nodes have reported the restart of `c` and positions of the primary up to `offset`.
fn combine_reports(attempt: &mut Attempt, offset: u64, now: Instant) {
    let highest_position = Position { term: Term(1), offset: LogOffset(offset) };
    let restart = ObservedRestart { instance: name("c"), incarnation: InstanceIncarnation(2) };
    let report = CombinedReport { started_again: vec![restart], highest_position };
    attempt.on_event(Event::ReportsCombined(report), now);
}

/// No node has acknowledged a commit beyond the highest position that the primary reported to it. A
/// replica that has received the log up to the highest of these positions has every acknowledged
/// commit, even if the primary is gone and no node has seen the replica refilled.
#[test]
fn replica_counts_after_receiving_the_highest_position_of_all_nodes() {
    let mut now = Instant::now();
    let mut members = members_without_the_log_of_c(&["a"]);
    members.all[2].incarnation = Some(InstanceIncarnation(2));
    for (received, is_enough) in [(9, false), (10, true)] {
        let mut attempt = attempt(Reason::Suspected, members.clone());
        record_intent(&mut attempt, now);
        combine_reports(&mut attempt, 10, now);
        let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", received)]);
        assert_eq!(chosen.is_some(), is_enough, "it has received {received} of 10");
    }
}
