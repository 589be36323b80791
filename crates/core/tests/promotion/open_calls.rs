//! Promotions of an earlier coordinator that may still reach the platform: a later coordinator sends
//! none until it has evidence that they have ended.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{
    Attempt, Command, Event, Intent, Need, Phase, PromotionAnswer, PromotionCaller, Reason,
    ReplacementId, Timing, UNKNOWN_PROCESS,
};

use crate::support::*;

/// The process that the later coordinator runs in.
const OWN_PROCESS: u64 = 5;

fn earlier_caller() -> PromotionCaller {
    PromotionCaller { node: NodeName::new("earlier"), process: 3, fence: 7 }
}

/// An attempt of a later coordinator on a group for which `callers` may have promotions open, with
/// its intent recorded.
fn later_attempt(callers: Vec<PromotionCaller>, now: Instant) -> Attempt {
    let need = Need { may_have_promoted: true, callers, ..need(Reason::Unfinished) };
    let id = ReplacementId { fence: 9, attempt: 1 };
    let coordinator = NodeName::new("later");
    let attempt = Attempt::new(coordinator, id, &need, members(&["a"]), Term(1), Timing::default());
    let mut attempt = attempt.in_process(OWN_PROCESS);
    record_intent(&mut attempt, now);
    attempt
}

/// The need of a group for which an earlier caller may have promotions open.
fn need_with_callers(reason: Reason, callers_known_since: Option<Instant>) -> Need {
    Need { callers: vec![earlier_caller()], callers_known_since, ..need(reason) }
}

/// The first attempt of a later coordinator, which has recorded nothing.
fn first_attempt(need: Need, now: Instant) -> Attempt {
    let id = ReplacementId { fence: 9, attempt: 1 };
    let coordinator = NodeName::new("later");
    let attempt = Attempt::new(coordinator, id, &need, members(&["a"]), Term(1), Timing::default());
    let mut attempt = attempt.in_process(OWN_PROCESS);
    attempt.on_event(Event::Members(members(&["a"])), now);
    attempt
}

/// Runs the attempt while two replicas answer and obey stops; returns its commands, without those
/// that repeat.
fn run_with_replicas(attempt: &mut Attempt, now: &mut Instant, duration: Duration) -> Vec<Command> {
    let until = *now + duration;
    let mut min_term = Term(0);
    let mut commands = Vec::new();
    while *now < until {
        *now += STEP;
        for command in attempt.step(*now) {
            match &command {
                Command::Stop { term, .. } => min_term = *term,
                Command::RecordIntent(intent) => {
                    attempt.on_event(Event::IntentRecorded(intent.clone()), *now);
                }
                Command::ReadIncarnations => attempt.on_event(no_restarts(*now), *now),
                _ => {}
            }
            commands.push(command);
        }
        for replica in ["b", "c"] {
            attempt.on_event(replica_status(replica, 10, min_term, *now), *now);
        }
    }
    commands
}

fn promotes(commands: &[Command]) -> bool {
    commands.iter().any(|command| matches!(command, Command::Promote(_)))
}

/// Guards against a promotion that takes effect after that of a later coordinator: the later one
/// treated the end of the lease as the end of the call.
#[test]
fn sends_no_promotion_while_one_of_an_earlier_coordinator_may_arrive() {
    let mut now = Instant::now();
    let mut attempt = later_attempt(vec![earlier_caller()], now);
    let commands = run_with_replicas(&mut attempt, &mut now, Duration::from_secs(25));
    assert!(!promotes(&commands), "promoted without evidence");
    assert!(commands.contains(&Command::QueryCaller(earlier_caller())), "nobody was asked");
    assert_eq!(attempt.open_callers(), [earlier_caller()]);
    attempt.on_event(Event::CallsEnded(earlier_caller()), now);
    let commands = run_with_replicas(&mut attempt, &mut now, Duration::from_secs(1));
    assert!(promotes(&commands), "{commands:?}");
}

/// Guards against evidence about another process, or another lease, of the same node.
#[test]
fn evidence_about_another_process_or_lease_does_not_count() {
    let mut now = Instant::now();
    let mut attempt = later_attempt(vec![earlier_caller()], now);
    let other_process = PromotionCaller { process: 2, ..earlier_caller() };
    let earlier_lease = PromotionCaller { fence: 6, ..earlier_caller() };
    attempt.on_event(Event::CallsEnded(other_process), now);
    attempt.on_event(Event::CallsEnded(earlier_lease), now);
    assert!(!promotes(&run_with_replicas(&mut attempt, &mut now, Duration::from_secs(5))));
}

/// Guards against a coordinator that waits for one of several earlier callers only.
#[test]
fn every_earlier_caller_has_to_have_ended() {
    let mut now = Instant::now();
    let second = PromotionCaller { node: NodeName::new("second"), process: 4, fence: 8 };
    let mut attempt = later_attempt(vec![earlier_caller(), second.clone()], now);
    attempt.on_event(Event::CallsEnded(second), now);
    assert!(!promotes(&run_with_replicas(&mut attempt, &mut now, Duration::from_secs(5))));
    attempt.on_event(Event::CallsEnded(earlier_caller()), now);
    assert!(promotes(&run_with_replicas(&mut attempt, &mut now, Duration::from_secs(1))));
}

/// Guards against a working primary that cannot acknowledge commits for as long as the attempt waits
/// for a caller that the last replacement has left.
#[test]
fn a_planned_replacement_stops_no_replica_while_a_promotion_may_arrive() {
    let mut now = Instant::now();
    let mut attempt = first_attempt(need_with_callers(Reason::Leaving, None), now);
    let commands = run_with_replicas(&mut attempt, &mut now, Duration::from_secs(5));
    let stops = |command: &Command| matches!(command, Command::Stop { .. });
    assert!(!commands.iter().any(stops), "{commands:?}");
    attempt.on_event(Event::CallsEnded(earlier_caller()), now);
    assert!(promotes(&run_with_replicas(&mut attempt, &mut now, Duration::from_secs(2))));
}

/// Guards against a working primary that gets no writes for as long as a planned replacement waits:
/// nodes give the primary of an active intent no work, whether or not its replicas are stopped.
#[test]
fn a_planned_replacement_has_no_active_intent_while_a_promotion_may_arrive() {
    let mut now = Instant::now();
    let mut attempt = first_attempt(need_with_callers(Reason::Leaving, None), now);
    run_with_replicas(&mut attempt, &mut now, Duration::from_secs(3));
    assert_eq!(attempt.open_callers(), [earlier_caller()]);
    let active = attempt.recorded_intent().filter(|intent| !intent.called_off);
    assert_eq!(active, None);
}

/// Guards against an attempt that stays with its coordinator after the need for it has ended, although
/// it has recorded nothing that could be finished.
#[test]
fn an_attempt_that_waits_before_its_record_is_withdrawn_once_it_is_not_needed() {
    let mut now = Instant::now();
    let mut attempt = first_attempt(need_with_callers(Reason::Leaving, None), now);
    run_with_replicas(&mut attempt, &mut now, Duration::from_secs(1));
    assert!(!attempt.is_withdrawn());
    attempt.on_event(Event::StillNeeded(false), now);
    let commands = run_with_replicas(&mut attempt, &mut now, Duration::from_secs(1));
    assert!(attempt.is_withdrawn());
    assert_eq!(commands, [], "there is nothing to finish");
}

/// Guards against a working primary without writes: a planned replacement continues that of a
/// coordinator which had recorded its intent, and waits for a promotion.
#[test]
fn a_planned_replacement_that_was_begun_is_cancelled_while_a_promotion_may_arrive() {
    let mut now = Instant::now();
    let begun = Need { has_begun: true, ..need_with_callers(Reason::Leaving, None) };
    let mut attempt = first_attempt(begun, now);
    record_intent(&mut attempt, now);
    let commands = run_with_replicas(&mut attempt, &mut now, Duration::from_secs(1));
    let releases = |command: &Command| matches!(command, Command::Release(_));
    assert!(commands.iter().any(releases), "{commands:?}");
    assert!(matches!(attempt.phase(), Phase::Cancelling { .. }), "{:?}", attempt.phase());
}

/// Guards against a group without a primary for the whole limit of the wait whenever a replacement
/// follows the loss of a machine that had a promotion open, however long ago it was lost.
#[test]
fn the_limit_of_the_wait_counts_from_when_the_node_knew_the_callers() {
    let limit = Timing::default().open_call_timeout;
    let waits = |known_for: Duration, waited: Duration| {
        let mut now = Instant::now() + limit * 2;
        let known_since = now - known_for;
        let need = need_with_callers(Reason::Suspected, Some(known_since));
        let mut attempt = first_attempt(need, now);
        run_with_replicas(&mut attempt, &mut now, waited);
        !attempt.open_callers().is_empty()
    };
    assert!(waits(limit - Duration::from_secs(5), Duration::from_millis(4_900)));
    assert!(!waits(limit - Duration::from_secs(5), Duration::from_millis(5_100)));
    // They are asked nevertheless: most answer at once.
    assert!(waits(limit * 2, Duration::from_millis(900)));
    assert!(!waits(limit * 2, Duration::from_millis(1_100)));
}

/// Guards against a promotion on stops that were confirmed before the wait: a promotion that took
/// effect meanwhile has released the replicas.
#[test]
fn replicas_confirm_that_they_are_stopped_after_the_wait() {
    let mut now = Instant::now();
    let mut attempt = later_attempt(vec![earlier_caller()], now);
    run_with_replicas(&mut attempt, &mut now, Duration::from_secs(3));
    attempt.on_event(Event::CallsEnded(earlier_caller()), now);
    // No replica answers any more.
    let commands = run_for(&mut attempt, &mut now, Duration::from_secs(1));
    assert!(!promotes(&commands), "{commands:?}");
}

/// Guards against an attempt that does not take the instance that an earlier coordinator's promotion
/// has made primary, and promotes another one over it.
#[test]
fn an_instance_that_the_earlier_promotion_made_primary_is_the_successor() {
    let mut now = Instant::now();
    let mut attempt = later_attempt(vec![earlier_caller()], now);
    run_with_replicas(&mut attempt, &mut now, Duration::from_secs(2));
    attempt.on_event(Event::Members(members(&["a", "c"])), now);
    let commands = run_for(&mut attempt, &mut now, Duration::from_millis(50));
    assert!(commands.contains(&Command::RecordSuccessor(name("c"))), "{commands:?}");
    assert!(!promotes(&commands));
}

/// Guards against a group that stays without a primary for good because the machine of an earlier
/// coordinator does not come back.
#[test]
fn goes_on_without_evidence_after_the_timeout() {
    let mut now = Instant::now();
    let mut attempt = later_attempt(vec![earlier_caller()], now);
    let wait = Timing::default().open_call_timeout + Duration::from_secs(1);
    assert!(promotes(&run_with_replicas(&mut attempt, &mut now, wait)));
    assert_eq!(attempt.unconfirmed_callers(), [earlier_caller()]);
}

/// Guards against a wait that an operator cannot end.
#[test]
fn an_operator_who_accepts_the_loss_of_commits_ends_the_wait() {
    let mut now = Instant::now();
    let mut attempt = later_attempt(vec![earlier_caller()], now);
    assert!(!promotes(&run_with_replicas(&mut attempt, &mut now, Duration::from_secs(3))));
    attempt.on_event(Event::CommitLossAccepted, now);
    assert!(promotes(&run_with_replicas(&mut attempt, &mut now, Duration::from_secs(1))));
}

/// Guards against a caller that the next coordinator does not know: the store has to name each
/// process before it sends a promotion, beside those that may still have one open.
#[test]
fn intent_names_the_process_before_it_sends_a_promotion() {
    let mut now = Instant::now();
    let mut attempt = later_attempt(vec![earlier_caller()], now);
    let commands = run_with_replicas(&mut attempt, &mut now, Duration::from_secs(2));
    let recorded: Vec<&Intent> = commands.iter().filter_map(recorded_intent).collect();
    let own = PromotionCaller { node: NodeName::new("later"), process: OWN_PROCESS, fence: 9 };
    let newest = recorded.last().expect("the intent is recorded before the promotion");
    assert!(newest.promoting);
    assert_eq!(newest.callers, [earlier_caller(), own]);
}

/// Guards against a promotion that is sent before the store names its process: the earlier
/// coordinator's intent already says that a promotion may have been sent.
#[test]
fn sends_no_promotion_before_the_store_names_the_process() {
    let mut now = Instant::now();
    let mut attempt = later_attempt(Vec::new(), now);
    let mut min_term = Term(0);
    let mut commands = Vec::new();
    for _ in 0..400 {
        now += STEP;
        for command in attempt.step(now) {
            match &command {
                Command::Stop { term, .. } => min_term = *term,
                Command::ReadIncarnations => attempt.on_event(no_restarts(now), now),
                _ => {}
            }
            commands.push(command);
        }
        for replica in ["b", "c"] {
            attempt.on_event(replica_status(replica, 10, min_term, now), now);
        }
    }
    assert!(commands.iter().any(|command| recorded_intent(command).is_some()));
    assert!(!promotes(&commands), "{commands:?}");
}

/// Guards against an intent of an earlier version, which names no callers: its coordinator may have
/// sent a promotion.
#[test]
fn an_intent_without_callers_names_its_coordinator() {
    let json = r#"{"holder":"earlier","id":{"fence":7,"attempt":1},"reason":"suspected",
        "former":"a","promoting":true}"#;
    let intent: Intent = serde_json::from_str(json).expect("an intent of an earlier version");
    let expected = PromotionCaller { process: UNKNOWN_PROCESS, ..earlier_caller() };
    assert_eq!(intent.open_callers(), [expected]);
    let not_sent = Intent { promoting: false, ..intent };
    assert!(not_sent.open_callers().is_empty());
}

/// Guards against a replacement that finishes while a promotion may still arrive, and is forgotten:
/// the next replacement has to wait for it as well.
#[test]
fn callers_that_have_not_ended_are_known_when_the_attempt_finishes() {
    let mut now = Instant::now();
    let mut attempt = later_attempt(vec![earlier_caller()], now);
    run_with_replicas(&mut attempt, &mut now, Duration::from_secs(1));
    assert_eq!(attempt.callers_at_end(), [earlier_caller()]);
    attempt.on_event(Event::CallsEnded(earlier_caller()), now);
    assert!(promotes(&run_with_replicas(&mut attempt, &mut now, Duration::from_secs(1))));
    let own = PromotionCaller { node: NodeName::new("later"), process: OWN_PROCESS, fence: 9 };
    assert_eq!(attempt.callers_at_end(), [own], "its own promotion is open");
    let answer = PromotionAnswer::Accepted;
    attempt.on_event(Event::Promoted { instance: name("b"), answer }, now);
    assert!(attempt.callers_at_end().is_empty());
}

fn recorded_intent(command: &Command) -> Option<&Intent> {
    match command {
        Command::RecordIntent(intent) => Some(intent),
        _ => None,
    }
}
