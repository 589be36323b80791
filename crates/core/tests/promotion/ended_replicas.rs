//! Replicas that have left and ended: the commits for which they counted may be left at the old
//! primary alone.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{InstanceName, NodeName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::promotion::{
    Attempt, Command, Event, LogHolder, Members, Need, Phase, Reason, ReplacementId, Timing,
};

use crate::support::*;

/// The three instances and `d`, a replica that was leaving and whose entry has disappeared.
fn members_after_a_leave(has_ended: bool) -> Members {
    let mut members = members(&["a"]);
    let mut left = members.all[2].clone();
    left.name = name("d");
    (left.leaving, left.has_vanished, left.has_left) = (true, true, true);
    left.has_ended = has_ended;
    members.all.push(left);
    members
}

fn recorded_attempt(members: Members, now: Instant) -> Attempt {
    let mut attempt = attempt(Reason::Suspected, members);
    record_intent(&mut attempt, now);
    attempt
}

/// Guards against losing commits that a leaving replica has received. A zone with the primary and a
/// leaving replica was cut off, and the replica's entry expired. The attempt ignored the replica,
/// although the two went on acknowledging commits, and promoted another one that lacked 14 of them.
#[test]
fn waits_for_a_vanished_leaving_replica_while_it_may_run() {
    let mut now = Instant::now();
    let mut attempt = recorded_attempt(members_after_a_leave(false), now);
    let others = [("b", 10), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &others), None);
    let with_it = [("b", 10), ("c", 10), ("d", 12)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &with_it), Some(name("d")));
}

/// Guards against losing commits that the primary acknowledged because a replica had received them
/// that ended afterwards, while the other replicas received nothing. The attempt went on without the
/// ended replica and promoted one that lacked the commits, although the primary returned with them
/// (`review/1`).
#[test]
fn ended_replica_counts_until_the_old_primary_is_back() {
    let mut now = Instant::now();
    let mut attempt = recorded_attempt(members_after_a_leave(true), now);
    let others = [("b", 10), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &others), None);
    let missing = attempt.missing_logs().expect("the attempt waits");
    assert_eq!((missing.stopped, missing.required), (2, Some(3)));
    assert_eq!(missing.missing, [name(OLD_PRIMARY), name("d")]);
    let with_primary = [("a", 17), ("b", 10), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &with_primary), Some(name(OLD_PRIMARY)));
}

/// The same if the attempt itself finds out that the replica has ended.
#[test]
fn replica_that_ends_during_the_attempt_counts_as_well() {
    let mut now = Instant::now();
    let mut attempt = recorded_attempt(members_after_a_leave(false), now);
    attempt.on_event(Event::Refused { instance: name("d"), sent: now }, now);
    let others = [("b", 10), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &others), None);
}

/// Once the others are known to hold the commits of the ended replica, it is no member any more.
#[test]
fn does_not_wait_once_the_ended_replica_is_covered() {
    let mut now = Instant::now();
    let mut attempt = recorded_attempt(members_after_a_leave(true), now);
    let others = [("b", 10), ("c", 11)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &others), None);
    attempt.on_event(Event::Members(members(&["a"])), now);
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &others), Some(name("c")));
}

/// A commit on two of four replicas survives the end of one of them. Three of the others have to be
/// stopped, so that one of them has the commit, and the old primary is not needed.
#[test]
fn with_two_synchronous_replicas_one_ended_replica_does_not_call_for_the_primary() {
    let mut now = Instant::now();
    let mut members = members_after_a_leave(true);
    let mut further = members.all[2].clone();
    further.name = name("e");
    members.all.push(further);
    members.synchronous = 2;
    let mut attempt = recorded_attempt(members, now);
    let two = [("b", 10), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &two), None);
    let three = [("b", 10), ("c", 10), ("e", 11)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &three), Some(name("e")));
}

/// Without synchronous replicas the primary acknowledges commits alone, so an ended replica shows
/// nothing about them.
#[test]
fn ended_replica_does_not_count_without_synchronous_replicas() {
    let mut now = Instant::now();
    let mut members = members_after_a_leave(true);
    members.synchronous = 0;
    let mut attempt = recorded_attempt(members, now);
    let others = [("b", 10), ("c", 11)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &others), Some(name("c")));
}

/// The group is served again without the old primary if no node has acknowledged a commit that the
/// stopped replicas lack.
#[test]
fn acknowledged_position_replaces_the_missing_logs() {
    for (offset, is_enough) in [(11, false), (10, true)] {
        let mut now = Instant::now();
        let mut attempt = recorded_attempt(members_after_a_leave(true), now);
        let position = Position { term: Term(1), offset: LogOffset(offset) };
        attempt.on_event(Event::AcknowledgedPosition(position), now);
        let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 9)]);
        assert_eq!(chosen, is_enough.then(|| name("b")), "acknowledged up to {offset}");
    }
}

/// If the old primary never returns, the operator decides. The instances within reach are compared
/// before one of them is promoted.
#[test]
fn operator_may_accept_the_loss_of_commits() {
    let mut now = Instant::now();
    let mut attempt = recorded_attempt(members_after_a_leave(true), now);
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 11)]), None);
    attempt.on_event(Event::CommitLossAccepted, now);
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 11)]);
    assert_eq!(chosen, Some(name("c")));
}

/// A coordinator that has only begun to observe the group.
fn attempt_without_history(now: Instant) -> Attempt {
    let members = Members { knows_log_holders: false, ..members(&["a"]) };
    recorded_attempt(members, now)
}

fn holders(names: &[(&str, Option<u64>)]) -> Event {
    let holder = |(text, incarnation): &(&str, Option<u64>)| LogHolder {
        instance: name(text),
        incarnation: incarnation.map(InstanceIncarnation),
    };
    Event::LogHoldersReported(names.iter().map(holder).collect())
}

/// Guards against the same loss after a restart of the nodes: the coordinator has never seen the
/// replica that ended.
#[test]
fn coordinator_without_history_waits_for_the_old_primary() {
    let mut now = Instant::now();
    let mut attempt = attempt_without_history(now);
    let others = [("b", 10), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &others), None);
    assert_eq!(attempt.missing_logs().expect("the attempt waits").required, None);
    let with_primary = [("a", 12), ("b", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &with_primary), Some(name(OLD_PRIMARY)));
}

/// Another node that knows all instances that may hold commits makes up for the coordinator's
/// missing history; an instance that only that node knows counts as ended.
#[test]
fn report_of_another_node_replaces_the_history() {
    let listed = [("a", None), ("b", None), ("c", None)];
    let with_unlisted = [("a", None), ("b", None), ("c", None), ("d", None)];
    for (reported, is_enough) in [(&listed[..], true), (&with_unlisted[..], false)] {
        let mut now = Instant::now();
        let mut attempt = attempt_without_history(now);
        attempt.on_event(holders(reported), now);
        let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 11)]);
        assert_eq!(chosen, is_enough.then(|| name("c")), "{reported:?}");
    }
}

/// Guards against a wait in vain: a coordinator that does not own the group does not learn that the
/// others hold the commits of a vanished instance; a node that owns it reports that.
#[test]
fn vanished_member_counts_only_if_a_node_that_knows_reports_it() {
    let listed = [("a", None), ("b", None), ("c", None)];
    let with_vanished = [("a", None), ("b", None), ("c", None), ("d", None)];
    for (reported, is_enough) in [(&listed[..], true), (&with_vanished[..], false)] {
        let mut now = Instant::now();
        let members = Members { knows_log_holders: false, ..members_after_a_leave(false) };
        let mut attempt = recorded_attempt(members, now);
        attempt.on_event(holders(reported), now);
        let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 11)]);
        assert_eq!(chosen, is_enough.then(|| name("c")), "{reported:?}");
    }
}

/// Guards against the loss of commits by a restart that the coordinator has not seen: the report
/// names an earlier incarnation.
#[test]
fn instance_that_restarted_since_the_report_has_lost_its_log() {
    let mut now = Instant::now();
    let mut members = Members { knows_log_holders: false, ..members(&["a"]) };
    members.all[2].incarnation = Some(InstanceIncarnation(2));
    let mut attempt = recorded_attempt(members, now);
    attempt.on_event(holders(&[("a", None), ("b", None), ("c", Some(1))]), now);
    let others = [("b", 10), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &others), None);
    let with_primary = [("a", 12), ("b", 10), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &with_primary), Some(name(OLD_PRIMARY)));
}

/// A primary whose entry has expired and whose name only the intent of an earlier coordinator shows
/// returns with its log.
#[test]
fn old_primary_that_is_not_listed_is_waited_for() {
    let mut now = Instant::now();
    let mut members = Members { knows_log_holders: false, ..members(&[]) };
    members.all.remove(0);
    let need = Need { has_begun: true, ..need(Reason::Unfinished) };
    let id = ReplacementId { fence: 7, attempt: 1 };
    let coordinator = NodeName::new("node");
    let mut attempt = Attempt::new(coordinator, id, &need, members, Term(1), Timing::default());
    record_intent(&mut attempt, now);
    let commands = run_for(&mut attempt, &mut now, Duration::from_millis(20));
    assert!(!commands.is_empty(), "the replicas are queried");
    let others = [("b", 10), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &others), None);
    let chosen = run_beyond_the_return_of_a_primary(&mut attempt, &mut now, &others);
    assert_eq!(chosen, Some(name("b")), "it is gone for good");
}

/// Runs the attempt for so long that a crashed primary would have returned.
fn run_beyond_the_return_of_a_primary(
    attempt: &mut Attempt,
    now: &mut Instant,
    offsets: &[(&str, u64)],
) -> Option<InstanceName> {
    let until = *now + Timing::default().primary_return_timeout + Duration::from_secs(4);
    while *now < until {
        if let Some(chosen) = run_to_promotion(attempt, now, offsets) {
            return Some(chosen);
        }
    }
    None
}

/// Guards against a group that stays without a primary: it crashed for good when all nodes had just
/// started, so no node knew the history of the group.
#[test]
fn start_of_all_nodes_does_not_leave_the_group_without_a_primary() {
    let mut now = Instant::now();
    let began = now;
    let mut attempt = attempt_without_history(now);
    let others = [("b", 10), ("c", 11)];
    let chosen = run_beyond_the_return_of_a_primary(&mut attempt, &mut now, &others);
    assert_eq!(chosen, Some(name("c")));
    assert!(now - began >= Timing::default().primary_return_timeout);
}

/// Signs that the others lack commits: the primary has reported a higher position, or an earlier
/// coordinator has recorded that it waits.
#[test]
fn coordinator_without_history_waits_on_if_the_others_lack_commits() {
    let others = [("b", 10), ("c", 11)];
    let mut now = Instant::now();
    let mut attempt = attempt_without_history(now);
    let position = Position { term: Term(1), offset: LogOffset(12) };
    attempt.on_event(Event::PositionReported(position), now);
    assert_eq!(run_beyond_the_return_of_a_primary(&mut attempt, &mut now, &others), None);

    let members = Members { knows_log_holders: false, ..members(&["a"]) };
    let need = Need { awaits_log: true, ..need(Reason::Unfinished) };
    let id = ReplacementId { fence: 8, attempt: 1 };
    let coordinator = NodeName::new("node");
    let mut attempt = Attempt::new(coordinator, id, &need, members, Term(1), Timing::default());
    record_intent(&mut attempt, now);
    assert_eq!(run_beyond_the_return_of_a_primary(&mut attempt, &mut now, &others), None);
}

/// Guards against the loss of what the coordinator knows about ended replicas by a restart of all
/// nodes: it records that the attempt waits, once.
#[test]
fn attempt_that_waits_for_a_log_records_that() {
    let mut now = Instant::now();
    let mut attempt = recorded_attempt(members_after_a_leave(true), now);
    let mut records = Vec::new();
    for _ in 0..STEPS {
        now += STEP;
        for command in attempt.step(now) {
            if let Command::RecordIntent(intent) = command {
                attempt.on_event(Event::IntentRecorded(intent.clone()), now);
                records.push(intent);
            }
        }
        attempt.on_event(stopped_replica_status("b", 10, now), now);
        attempt.on_event(stopped_replica_status("c", 10, now), now);
    }
    let [intent] = records.as_slice() else { panic!("{records:?}") };
    assert!(intent.awaits_log && !intent.promoting, "{intent:?}");
}

/// Guards against commits that wait in vain: a planned replacement stopped the replicas again and
/// again, although only the working primary had the commits of an ended replica.
#[test]
fn planned_replacement_does_not_stop_replicas_that_cannot_suffice() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Leaving, members_after_a_leave(true));
    record_intent(&mut attempt, now);
    let mut commands = Vec::new();
    while attempt.phase() != Phase::Over {
        now += STEP;
        commands.extend(attempt.step(now));
        for replica in ["b", "c"] {
            attempt.on_event(replica_status(replica, 10, Term(0), now), now);
        }
    }
    let stops = |command: &Command| matches!(command, Command::Stop { .. } | Command::Promote(_));
    assert!(!commands.iter().any(stops), "{commands:?}");
}

/// Guards against an attempt that never ends: the record that it waits was lost and repeated after the
/// record that a promotion may be sent, and replaced it in the store (simulation of replacements,
/// up to nine faults while connections go silent, seed 211).
#[test]
fn promotion_is_recorded_after_the_log_wait_is() {
    let mut now = Instant::now();
    let mut attempt = recorded_attempt(members_after_a_leave(true), now);
    let mut pending = None;
    let mut step = |attempt: &mut Attempt, offsets: &[(&str, u64)]| {
        now += STEP;
        for command in attempt.step(now) {
            if let Command::RecordIntent(intent) = command {
                assert_eq!(pending.replace(intent), None, "one write at a time");
            }
        }
        for (replica, offset) in offsets {
            attempt.on_event(stopped_replica_status(replica, *offset, now), now);
        }
        (pending.clone(), now)
    };
    let mut written = None;
    while written.is_none() {
        (written, _) = step(&mut attempt, &[("b", 10), ("c", 10)]);
    }
    for _ in 0..STEPS {
        let (_, at) = step(&mut attempt, &[("a", 12), ("b", 10), ("c", 10)]);
        assert!(matches!(attempt.phase(), Phase::Stopping { .. }), "{at:?}");
    }
}
