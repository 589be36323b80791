//! An attempt that may have promoted an instance ends with a successor, whichever coordinator
//! completes it.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{
    Attempt, Command, Event, Members, Need, PromotionAnswer, Reason, ReplacementId, Timing,
};

use crate::support::*;

/// The three instances with the given incarnations.
fn members_with_incarnations(primaries: &[&str], incarnations: [u64; 3]) -> Members {
    let mut members = members(primaries);
    for (member, incarnation) in members.all.iter_mut().zip(incarnations) {
        member.incarnation = Some(InstanceIncarnation(incarnation));
    }
    members
}

fn ends_without_a_successor(commands: &[Command]) -> bool {
    commands.iter().any(|command| matches!(command, Command::Finish { successor: None, .. }))
}

/// Guards against an attempt that ends without a successor although an instance was primary. The
/// promoted instance was primary for 142 ms, unnoticed because the store was down and the
/// coordinator was suspended, and then lost its log. The coordinator learned of its restart and
/// ended the attempt as if no instance had been promoted. Nodes continued at the old primary, which
/// acknowledged a commit (simulation of replacements, up to nine faults, seed 5976).
#[test]
fn promotes_another_instance_if_the_chosen_one_restarts() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members_with_incarnations(&["a"], [1, 1, 1]));
    record_intent(&mut attempt, now);
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 11)]);
    assert_eq!(chosen, Some(name("c")));
    let accepted = Event::Promoted { instance: name("c"), answer: PromotionAnswer::Accepted };
    attempt.on_event(accepted, now);
    let mut restarted = members_with_incarnations(&["a"], [1, 1, 2]);
    restarted.all[2].is_refilling = true;
    attempt.on_event(Event::Members(restarted), now);
    // The old primary has returned, so there is no reason to replace it any more.
    attempt.on_event(Event::StillNeeded(false), now);
    let commands = run_for(&mut attempt, &mut now, Duration::from_secs(2));
    assert!(!ends_without_a_successor(&commands), "{commands:?}");
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("a", 11), ("b", 10)]);
    assert_eq!(chosen, Some(name(OLD_PRIMARY)), "only it still has every acknowledged commit");
}

/// Guards against a next coordinator that cancels an attempt whose promotion took effect. The
/// previous coordinator crashed between the promotion and recording it. The promoted instance was
/// primary for 0.43 s and lost its log. The next coordinator found no reason for the attempt any
/// more and ended it without a successor (simulation of replacements, seed 17708).
#[test]
fn next_coordinator_completes_an_attempt_that_may_have_sent_a_promotion() {
    let need = Need { is_current: false, may_have_promoted: true, ..need(Reason::Unfinished) };
    assert!(need.needs_coordinator());
    let id = ReplacementId { fence: 9, attempt: 1 };
    let coordinator = NodeName::new("next");
    let mut attempt =
        Attempt::new(coordinator, id, &need, members(&["a"]), Term(1), Timing::default());
    let mut now = Instant::now();
    record_intent(&mut attempt, now);
    attempt.on_event(Event::StillNeeded(false), now);
    let commands = run_for(&mut attempt, &mut now, Duration::from_secs(2));
    assert!(!ends_without_a_successor(&commands), "{commands:?}");
    let is_demotion = |command: &Command| matches!(command, Command::Demote { .. });
    assert!(commands.iter().any(is_demotion), "the old primary is not demoted");
    assert!(run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).is_some());
}

/// The intent in the store says that a promotion may have been sent, before the promotion is sent.
#[test]
fn does_not_promote_before_the_store_records_the_pending_promotion() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let mut promoted = false;
    let mut recorded = None;
    let mut min_term = Term(0);
    for _ in 0..400 {
        now += STEP;
        for command in attempt.step(now) {
            match command {
                Command::Promote(_) => promoted = true,
                Command::RecordIntent(intent) => recorded = Some(intent),
                Command::ReadIncarnations => attempt.on_event(no_restarts(now), now),
                Command::Stop { term, .. } => min_term = term,
                _ => {}
            }
        }
        attempt.on_event(replica_status("b", 10, min_term, now), now);
        attempt.on_event(replica_status("c", 10, min_term, now), now);
    }
    assert!(!promoted);
    let recorded = recorded.expect("the attempt submits its intent");
    assert!(recorded.promoting);
    attempt.on_event(Event::IntentRecorded(recorded), now);
    assert!(run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).is_some());
}

/// A promotion that the platform refused does not take effect, so the attempt may end without a
/// successor.
#[test]
fn can_be_cancelled_after_the_platform_refused_the_promotion() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 10)])
        .expect("an instance is chosen");
    let refused = Event::Promoted { instance: chosen, answer: PromotionAnswer::NotRunning };
    attempt.on_event(refused, now);
    attempt.on_event(Event::StillNeeded(false), now);
    attempt.on_event(Event::Released(name("b")), now);
    attempt.on_event(Event::Released(name("c")), now);
    let mut commands = run_for(&mut attempt, &mut now, Duration::from_millis(20));
    attempt.on_event(Event::Released(name("b")), now);
    attempt.on_event(Event::Released(name("c")), now);
    commands.extend(run_for(&mut attempt, &mut now, Duration::from_millis(200)));
    assert!(ends_without_a_successor(&commands), "{commands:?}");
}

/// An attempt that has adopted `c` as the successor from its entry. Neither `c` nor the old primary
/// answers.
fn attempt_with_silent_successor(now: &mut Instant) -> Attempt {
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, *now);
    let chosen = run_to_promotion(&mut attempt, now, &[("b", 10), ("c", 11)]);
    assert_eq!(chosen, Some(name("c")));
    attempt.on_event(Event::Members(members(&["a", "c"])), *now);
    let commands = run_for(&mut attempt, now, Duration::from_millis(10));
    assert!(commands.contains(&Command::RecordSuccessor(name("c"))), "{commands:?}");
    attempt
}

fn ends(commands: &[Command]) -> bool {
    commands.iter().any(|command| matches!(command, Command::Finish { .. }))
}

/// Guards against an attempt that ends before nodes can recognize the old primary. The successor
/// had not reported its term and the old primary could not be demoted; nodes were notified of the
/// end without a term and used the old primary again (simulation of replacements, seed 58126929).
#[test]
fn does_not_end_while_the_old_primary_may_lead_and_the_term_is_unknown() {
    let mut now = Instant::now();
    let mut attempt = attempt_with_silent_successor(&mut now);
    let commands = run_for(&mut attempt, &mut now, Duration::from_secs(5));
    assert!(!ends(&commands), "{commands:?}");
    attempt.on_event(primary_status("c", 2, 11, now), now);
    let commands = run_for(&mut attempt, &mut now, Duration::from_millis(100));
    assert!(ends(&commands), "{commands:?}");
    assert!(attempt.may_announce_end());
}

/// Guards against nodes that use the old primary again after an end without the successor's term:
/// to them it looks like a cancelled replacement.
#[test]
fn end_without_the_term_of_the_successor_is_not_announced() {
    let mut now = Instant::now();
    let mut attempt = attempt_with_silent_successor(&mut now);
    attempt.on_event(replica_status("a", 10, Term(0), now), now);
    let commands = run_for(&mut attempt, &mut now, Duration::from_secs(2));
    assert!(ends(&commands), "{commands:?}");
    assert!(!attempt.may_announce_end());
}

/// Guards against an attempt that ends with a successor that no longer leads. It led for 58 ms
/// while the store was down and lost its log; its entry showed it as primary for longer (simulation
/// of replacements, seed 58126929).
#[test]
fn promotes_another_instance_if_the_successor_is_lost_before_it_reported_its_term() {
    let mut now = Instant::now();
    let mut attempt = attempt_with_silent_successor(&mut now);
    attempt.on_event(Event::Released(name("b")), now);
    attempt.on_event(Event::Members(members(&["a"])), now);
    attempt.on_event(Event::StillNeeded(false), now);
    let commands = run_for(&mut attempt, &mut now, Duration::from_secs(2));
    assert!(!ends(&commands), "{commands:?}");
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 12), ("c", 11)]);
    assert_eq!(chosen, Some(name("b")));
    attempt.on_event(primary_status("b", 3, 12, now), now);
    attempt.on_event(replica_status("a", 10, Term(0), now), now);
    let commands = run_for(&mut attempt, &mut now, Duration::from_millis(100));
    let release = Command::Release(name("c"));
    assert!(commands.contains(&release), "the replica stays stopped: {commands:?}");
}

/// A promotion that was never sent does not take effect: the attempt sends it again, and may end
/// without a successor.
#[test]
fn promotion_that_was_not_sent_is_repeated_and_does_not_prevent_cancelling() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    for _ in 0..2 {
        let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 11)]);
        assert_eq!(chosen, Some(name("c")));
        let not_sent = Event::Promoted { instance: name("c"), answer: PromotionAnswer::NotSent };
        attempt.on_event(not_sent, now);
    }
    attempt.on_event(Event::StillNeeded(false), now);
    let mut commands = Vec::new();
    for _ in 0..2 {
        commands.extend(run_for(&mut attempt, &mut now, Duration::from_millis(200)));
        attempt.on_event(Event::Released(name("b")), now);
        attempt.on_event(Event::Released(name("c")), now);
    }
    commands.extend(run_for(&mut attempt, &mut now, Duration::from_millis(200)));
    assert!(ends_without_a_successor(&commands), "{commands:?}");
}
