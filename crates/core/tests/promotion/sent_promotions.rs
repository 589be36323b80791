//! A promotion that may have been carried out is followed by a successor, whoever goes on with the attempt.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{
    Attempt, Command, Event, Members, Need, PromotionAnswer, Reason, ReplacementId, Timing,
};

use crate::support::*;

/// The three instances, with the start of the process of each.
fn members_started_at(leading: &[&str], starts: [u64; 3]) -> Members {
    let mut members = members(leading);
    for (member, start) in members.all.iter_mut().zip(starts) {
        member.incarnation = Some(InstanceIncarnation(start));
    }
    members
}

fn ends_without_a_successor(commands: &[Command]) -> bool {
    commands.iter().any(|command| matches!(command, Command::Finish { successor: None, .. }))
}

/// The promoted instance led for 142 ms, which nobody heard of since the store was down and the holder stood
/// still, and lost its log. When the holder heard of its new start it ended the attempt as one that had promoted
/// nobody, and nodes went on at the old primary, which answered a commit two seconds later (simulation of
/// replacements, up to nine faults, seed 5976: led at 2,226 ms, gone at 2,368, ended without a successor at
/// 3,774, commit of the old primary at 4,521).
#[test]
fn an_attempt_whose_chosen_instance_has_started_again_promotes_another_one() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members_started_at(&["a"], [1, 1, 1]));
    begin(&mut attempt, now);
    let chosen = promotes(&mut attempt, &mut now, &[("b", 10), ("c", 11)]);
    assert_eq!(chosen, Some(name("c")));
    let accepted = Event::Promoted { instance: name("c"), answer: PromotionAnswer::Accepted };
    attempt.on_event(accepted, now);
    let mut started_again = members_started_at(&["a"], [1, 1, 2]);
    started_again.all[2].is_refilling = true;
    attempt.on_event(Event::Members(started_again), now);
    // The reason to replace the old primary is gone as well: it is back.
    attempt.on_event(Event::StillNeeded(false), now);
    let commands = steps(&mut attempt, &mut now, Duration::from_secs(2));
    assert!(!ends_without_a_successor(&commands), "{commands:?}");
    let chosen = promotes(&mut attempt, &mut now, &[("a", 11), ("b", 10)]);
    assert_eq!(chosen, Some(name(FORMER)), "the only one that still holds what was answered");
}

/// The holder died between the promotion and its record. The promoted one led for 0.43 s and lost its log; the
/// next holder found an attempt that nothing called for any more and ended it as one that had promoted nobody
/// (seed 17708: led at 1,477 ms, gone at 1,905, ended without a successor at 4,183).
#[test]
fn the_next_holder_brings_a_promotion_that_may_have_been_sent_to_its_end() {
    let need = Need { is_current: false, may_have_promoted: true, ..need(Reason::Unfinished) };
    assert!(need.needs_coordinator());
    let id = ReplacementId { fence: 9, attempt: 1 };
    let holder = NodeName::new("next");
    let mut attempt = Attempt::new(holder, id, &need, members(&["a"]), Term(1), Timing::default());
    let mut now = Instant::now();
    begin(&mut attempt, now);
    attempt.on_event(Event::StillNeeded(false), now);
    let commands = steps(&mut attempt, &mut now, Duration::from_secs(2));
    assert!(!ends_without_a_successor(&commands), "{commands:?}");
    let told = |command: &Command| matches!(command, Command::Demote { .. });
    assert!(commands.iter().any(told), "the old primary is not told to step down");
    assert!(promotes(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).is_some());
}

/// The store says that a promotion may be sent before it is.
#[test]
fn nothing_is_promoted_before_the_store_says_that_it_may_be() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    begin(&mut attempt, now);
    let mut promoted = false;
    let mut recorded = None;
    let mut held = Term(0);
    for _ in 0..400 {
        now += STEP;
        for command in attempt.step(now) {
            match command {
                Command::Promote(_) => promoted = true,
                Command::RecordIntent(intent) => recorded = Some(intent),
                Command::ReadIncarnations => attempt.on_event(no_starts(now), now),
                Command::Stop { term, .. } => held = term,
                _ => {}
            }
        }
        attempt.on_event(stands("b", 10, held, now), now);
        attempt.on_event(stands("c", 10, held, now), now);
    }
    assert!(!promoted);
    let recorded = recorded.expect("it is given to be recorded");
    assert!(recorded.promoting);
    attempt.on_event(Event::IntentRecorded(recorded), now);
    assert!(promotes(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).is_some());
}

/// A promotion that the platform has refused is not carried out: the attempt may end without a successor.
#[test]
fn an_attempt_whose_promotion_was_refused_can_be_called_off() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    begin(&mut attempt, now);
    let chosen = promotes(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).expect("one is chosen");
    let refused = Event::Promoted { instance: chosen, answer: PromotionAnswer::NotRunning };
    attempt.on_event(refused, now);
    attempt.on_event(Event::StillNeeded(false), now);
    attempt.on_event(Event::Released(name("b")), now);
    attempt.on_event(Event::Released(name("c")), now);
    let mut commands = steps(&mut attempt, &mut now, Duration::from_millis(20));
    attempt.on_event(Event::Released(name("b")), now);
    attempt.on_event(Event::Released(name("c")), now);
    commands.extend(steps(&mut attempt, &mut now, Duration::from_millis(200)));
    assert!(ends_without_a_successor(&commands), "{commands:?}");
}
