//! A replica that has lost its log holds nothing of what was answered before: what must be compared instead.

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
fn members_without_the_log_of_c(leading: &[&str]) -> Members {
    let mut members = members(leading);
    members.all[2].is_refilling = true;
    members
}

/// A commit is answered once the primary and one replica hold it. That replica lost its log, and the old
/// primary, which held the commit and had stepped down, answered all the time; only the other replica and the
/// empty one were compared, and the promoted one lacked the commit (simulation of replacements, up to four
/// faults, seed 14008: old primary 69 commits, replica 68, the empty one 0; promoted at 7,825 ms with 68).
#[test]
fn an_old_primary_that_follows_is_compared_where_a_replica_has_lost_its_log() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members_without_the_log_of_c(&["a"]));
    begin(&mut attempt, now);
    assert_eq!(promotes(&mut attempt, &mut now, &[("b", 10)]), None, "one log of three");
    let chosen = promotes(&mut attempt, &mut now, &[("a", 11), ("b", 10)]);
    assert_eq!(chosen, Some(name(FORMER)));
}

/// An old primary that has stepped down may hold commits that it never answered. It is not needed where both
/// replicas have been stopped, and nobody wants it back.
#[test]
fn an_old_primary_that_follows_is_not_chosen_where_the_replicas_are_enough() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&[]));
    begin(&mut attempt, now);
    let chosen = promotes(&mut attempt, &mut now, &[("a", 12), ("b", 10), ("c", 11)]);
    assert_eq!(chosen, Some(name("c")));
}

/// An old primary that had stepped down and was promoted again led a lower term than replicas had been stopped
/// with, so that its word was not taken and the attempt never ended (simulation of replacements, up to four
/// faults, seed 38).
#[test]
fn an_old_primary_that_is_promoted_again_is_the_successor_by_its_own_word() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members_without_the_log_of_c(&["a"]));
    begin(&mut attempt, now);
    let sent_before = now;
    let chosen = promotes(&mut attempt, &mut now, &[("a", 11), ("b", 10)]);
    assert_eq!(chosen, Some(name(FORMER)));
    attempt.on_event(leads(FORMER, 1, 11, sent_before), now);
    assert!(!is_settling(&mut attempt, &mut now), "it said so before it stepped down");
    attempt.on_event(leads(FORMER, 2, 11, now), now);
    assert!(is_settling(&mut attempt, &mut now));
}

fn is_settling(attempt: &mut Attempt, now: &mut Instant) -> bool {
    *now += STEP;
    attempt.step(*now);
    matches!(attempt.phase(), Phase::Settling { .. })
}

/// Nobody leads, since the old primary has stepped down, and one replica has lost its log, which nobody can fill
/// again: all three were waited for.
#[test]
fn two_logs_of_three_are_enough_where_the_last_primary_is_one_of_the_replicas() {
    let need = Need { old_primary: None, last_primary_is_replica: true, ..need(Reason::Missing) };
    let id = ReplacementId { fence: 7, attempt: 1 };
    let holder = NodeName::new("node");
    let members = members_without_the_log_of_c(&[]);
    let mut attempt = Attempt::new(holder, id, &need, members, Term(1), Timing::default());
    let mut now = Instant::now();
    begin(&mut attempt, now);
    assert_eq!(promotes(&mut attempt, &mut now, &[("b", 10)]), None, "one log of three");
    let chosen = promotes(&mut attempt, &mut now, &[("a", 11), ("b", 10)]);
    assert_eq!(chosen, Some(name("a")));
}

/// A holder that was cut off from the store did not hear that a replica it had stopped had started again. The
/// replica, asked once more, said that it held nothing; the other one was promoted, and lacked what the first
/// had held (simulation of replacements, up to nine faults, seed 15444: i-1 43 commits, then 0; i-2 promoted
/// with 33; the old primary, with 43, still led).
#[test]
fn a_stopped_replica_that_says_less_than_before_has_lost_its_log() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    begin(&mut attempt, now);
    let offsets = |step| vec![("b", if step < 20 { 43 } else { 0 }), ("c", 33)];
    assert_eq!(plays(&mut attempt, &mut now, no_starts, offsets), None);
}

/// The same where the replica could not say so: the store knows of its start, the holder's copy is older.
#[test]
fn a_replica_that_has_started_again_by_the_stores_word_has_lost_its_log() {
    let mut now = Instant::now();
    let mut members = members(&["a"]);
    members.all[1].incarnation = Some(InstanceIncarnation(1));
    let mut attempt = attempt(Reason::Suspected, members);
    begin(&mut attempt, now);
    let starts = |asked| {
        let told = [(name("b"), InstanceIncarnation(2))].into();
        Event::Incarnations { by_instance: told, asked }
    };
    let offsets = |_| vec![("b", 33), ("c", 33)];
    assert_eq!(plays(&mut attempt, &mut now, starts, offsets), None);
}

/// Nothing is promoted while the store does not say which instances have started again.
#[test]
fn nobody_is_promoted_while_the_store_does_not_tell_starts() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    begin(&mut attempt, now);
    let mut asked = 0;
    let starts = |_| {
        asked += 1;
        Event::IncarnationsUnavailable
    };
    let offsets = |_| vec![("b", 33), ("c", 33)];
    assert_eq!(plays(&mut attempt, &mut now, starts, offsets), None);
    let most =
        STEPS as u128 * STEP.as_millis() / Timing::default().store_retry_interval.as_millis() + 1;
    assert!((2..=most).contains(&asked), "asked {asked} times");
    assert!(promotes(&mut attempt, &mut now, &[("b", 33), ("c", 33)]).is_some());
}

/// The old primary refused connections, so that the chosen replica alone was asked once more before it was
/// promoted. It lost its log 4 ms later; the other one, which had been stopped before and was away, held
/// everything and was not waited for (simulation of replacements, up to nine faults, seed 19308: asked at 2,349 ms,
/// promoted at 2,384, empty from 2,388 on; the other one back at 3,062).
#[test]
fn as_many_replicas_as_are_needed_say_once_more_that_they_are_stopped() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    begin(&mut attempt, now);
    let mut held = Term(0);
    let mut promoted = None;
    for step in 0..STEPS {
        now += STEP;
        for command in attempt.step(now) {
            match command {
                Command::Promote(instance) => promoted = Some(instance),
                Command::RecordIntent(intent) => {
                    attempt.on_event(Event::IntentRecorded(intent), now)
                }
                Command::ReadIncarnations => attempt.on_event(no_starts(now), now),
                Command::Stop { term, .. } => held = held.max(term),
                _ => {}
            }
        }
        attempt.on_event(Event::Refused { instance: name(FORMER), sent: now }, now);
        let is_stopping = matches!(attempt.phase(), Phase::Stopping { .. });
        attempt.on_event(stands("b", 33, held, now), now);
        if step == 0 || is_stopping {
            attempt.on_event(stands("c", 33, held, now), now);
        }
    }
    assert_eq!(promoted, None);
    assert!(promotes(&mut attempt, &mut now, &[("b", 33), ("c", 33)]).is_some());
}

/// Another node has seen that the replica received everything again: it counts.
#[test]
fn a_replica_that_a_node_has_seen_refilled_counts() {
    let mut now = Instant::now();
    let mut members = members_without_the_log_of_c(&["a"]);
    members.all[2].incarnation = Some(InstanceIncarnation(2));
    let mut attempt = attempt(Reason::Suspected, members);
    begin(&mut attempt, now);
    let refilled = |start| {
        let start = InstanceIncarnation(start);
        Event::Refilled(ObservedRestart { instance: name("c"), incarnation: start })
    };
    attempt.on_event(refilled(1), now);
    let both = [("b", 10), ("c", 10)];
    assert_eq!(promotes(&mut attempt, &mut now, &both), None, "that was another start");
    attempt.on_event(refilled(2), now);
    assert!(promotes(&mut attempt, &mut now, &both).is_some());
}

/// What an instance held that is gone for good cannot be had by waiting: the best of what is left is promoted.
#[test]
fn logs_that_are_gone_for_good_are_not_waited_for() {
    let mut now = Instant::now();
    let mut without_primary = members_without_the_log_of_c(&[]);
    without_primary.all.remove(0);
    let mut attempt = attempt(Reason::Missing, without_primary);
    begin(&mut attempt, now);
    let chosen = promotes(&mut attempt, &mut now, &[("b", 10), ("c", 0)]);
    assert_eq!(chosen, Some(name("b")));
}

/// After a start of all instances there is nothing to lose, and somebody has to lead.
#[test]
fn somebody_is_promoted_where_all_have_lost_their_logs() {
    let mut now = Instant::now();
    let mut members = members(&[]);
    members.all.iter_mut().for_each(|member| member.is_refilling = true);
    let mut attempt = attempt(Reason::Missing, members);
    begin(&mut attempt, now);
    let chosen = promotes(&mut attempt, &mut now, &[("b", 0), ("c", 3)]);
    assert_eq!(chosen, Some(name("c")));
}

fn hears(attempt: &mut Attempt, offset: u64, now: Instant) {
    let highest = Position { term: Term(1), offset: LogOffset(offset) };
    let seen = ObservedRestart { instance: name("c"), incarnation: InstanceIncarnation(2) };
    let heard = CombinedReport { started_again: vec![seen], highest_position: highest };
    attempt.on_event(Event::ReportsCombined(heard), now);
}

/// No node has passed on a commit beyond what it has heard of the primary: a replica that has received all of that
/// holds whatever was acknowledged, though the primary is gone and nobody has seen the replica refilled.
#[test]
fn a_replica_that_holds_what_all_nodes_have_heard_counts() {
    let mut now = Instant::now();
    let mut members = members_without_the_log_of_c(&["a"]);
    members.all[2].incarnation = Some(InstanceIncarnation(2));
    for (held, is_enough) in [(9, false), (10, true)] {
        let mut attempt = attempt(Reason::Suspected, members.clone());
        begin(&mut attempt, now);
        hears(&mut attempt, 10, now);
        let chosen = promotes(&mut attempt, &mut now, &[("b", 10), ("c", held)]);
        assert_eq!(chosen.is_some(), is_enough, "it holds {held} of 10");
    }
}
