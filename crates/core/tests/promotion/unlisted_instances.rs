//! A planned replacement while an instance that the store does not list receives from the old
//! primary and counts for its acknowledgements.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{InstanceName, NodeName};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::promotion::{
    Attempt, Command, Event, Need, Phase, Reason, ReplacementId, ReplicationStatus, Timing,
};
use kestrellock_core::routing::Role;

use crate::support::*;

/// An attempt on a leaving primary, whose log is required for this time.
fn attempt_that_requires_the_primary(now: Instant, time: Duration) -> Attempt {
    let need = Need { old_primary_required_until: Some(now + time), ..need(Reason::Leaving) };
    let id = ReplacementId { fence: 7, attempt: 1 };
    let coordinator = NodeName::new("node");
    Attempt::new(coordinator, id, &need, members(&["a"]), Term(1), Timing::default())
}

/// How the old primary answers.
#[derive(Clone, Copy)]
pub struct OldPrimary {
    /// Its position while it leads, if it answers queries.
    pub leading: Option<u64>,
    /// Its position as a replica, if it obeys demotions.
    pub demoted: Option<u64>,
}

/// Runs the attempt for four seconds or to its promotion, which it returns with the time. All nodes
/// have revoked their evidence, and the replicas `b` and `c` are stopped at the position 10.
pub fn run(attempt: &mut Attempt, old_primary: OldPrimary) -> (Option<String>, Duration) {
    run_from(attempt, old_primary, Role::Primary, true)
}

/// The same. `role` is the old primary's role when the attempt begins, `is_revoked` says whether all
/// nodes have revoked their evidence.
pub fn run_from(
    attempt: &mut Attempt,
    old_primary: OldPrimary,
    role: Role,
    is_revoked: bool,
) -> (Option<String>, Duration) {
    run_observed(attempt, old_primary, role, is_revoked, |_, _| {})
}

/// The same. `observe` is called with each command.
fn run_observed(
    attempt: &mut Attempt,
    old_primary: OldPrimary,
    mut role: Role,
    is_revoked: bool,
    mut observe: impl FnMut(&Command, Instant),
) -> (Option<String>, Duration) {
    let began = Instant::now();
    let mut now = began;
    let mut min_terms = BTreeMap::new();
    for _ in 0..STEPS {
        now += STEP;
        if is_revoked {
            attempt.on_event(Event::EvidenceRevoked, now);
        }
        for command in attempt.step(now) {
            observe(&command, now);
            match command {
                Command::Promote(instance) => {
                    return (Some(instance.as_str().to_owned()), now - began);
                }
                Command::RecordIntent(intent) => {
                    attempt.on_event(Event::IntentRecorded(intent), now)
                }
                Command::ReadIncarnations => attempt.on_event(no_restarts(now), now),
                Command::QueryStatus(instance)
                | Command::Stop { instance, .. }
                | Command::Demote { instance, .. }
                    if instance == name(OLD_PRIMARY) && old_primary.leading.is_none() => {}
                Command::Demote { .. } if old_primary.demoted.is_none() => {}
                Command::QueryStatus(instance) => {
                    report(attempt, &instance, &min_terms, role, now, old_primary)
                }
                Command::Stop { instance, term } => {
                    min_terms.insert(instance.clone(), term);
                    report(attempt, &instance, &min_terms, role, now, old_primary);
                }
                Command::Demote { instance, .. } => {
                    role = Role::Replica;
                    report(attempt, &instance, &min_terms, role, now, old_primary);
                }
                Command::Release(instance) => attempt.on_event(Event::Released(instance), now),
                _ => {}
            }
        }
    }
    (None, now - began)
}

fn report(
    attempt: &mut Attempt,
    instance: &InstanceName,
    min_terms: &BTreeMap<InstanceName, Term>,
    old_primary_role: Role,
    now: Instant,
    old_primary: OldPrimary,
) {
    let min_term = min_terms.get(instance).copied().unwrap_or_default();
    let is_old_primary = *instance == name(OLD_PRIMARY);
    let (role, offset) = match (is_old_primary, old_primary_role) {
        (true, Role::Primary) => (Role::Primary, old_primary.leading.unwrap_or(10)),
        (true, Role::Replica) => (Role::Replica, old_primary.demoted.unwrap_or(10)),
        (false, _) => (Role::Replica, 10),
    };
    let received = Position { term: Term(1), offset: LogOffset(offset) };
    let status = ReplicationStatus { role, term: Term(1), received, min_term };
    attempt.on_event(Event::StatusReported { instance: instance.clone(), status, sent: now }, now);
}

const LIMIT: Duration = Duration::from_secs(3);

/// Guards against the loss of commits that the old primary has acknowledged through an instance
/// that the store does not list: its log ends beyond those of the stopped replicas.
#[test]
fn planned_replacement_is_cancelled_if_the_old_primary_is_ahead() {
    let mut attempt = attempt_that_requires_the_primary(Instant::now(), LIMIT);
    let old_primary = OldPrimary { leading: Some(13), demoted: Some(13) };
    assert_eq!(run(&mut attempt, old_primary).0, None);
    assert_eq!(attempt.phase(), Phase::Over);
}

/// Guards against the same loss if the old primary cannot be asked.
#[test]
fn planned_replacement_is_cancelled_if_the_old_primary_does_not_answer() {
    let mut attempt = attempt_that_requires_the_primary(Instant::now(), LIMIT);
    let old_primary = OldPrimary { leading: None, demoted: None };
    assert_eq!(run(&mut attempt, old_primary).0, None);
    assert_eq!(attempt.phase(), Phase::Over);
}

/// Guards against the loss of commits that the old primary acknowledges after its answer and before
/// it steps down: it is promoted again, since only its log has them.
#[test]
fn old_primary_that_stepped_down_ahead_is_promoted_again() {
    let mut attempt = attempt_that_requires_the_primary(Instant::now(), LIMIT);
    let old_primary = OldPrimary { leading: Some(10), demoted: Some(11) };
    assert_eq!(run(&mut attempt, old_primary).0.as_deref(), Some(OLD_PRIMARY));
}

#[test]
fn planned_replacement_is_no_slower_if_the_old_primary_answers() {
    let old_primary = OldPrimary { leading: Some(10), demoted: Some(10) };
    let mut asked = attempt_that_requires_the_primary(Instant::now(), LIMIT);
    let mut not_asked = attempt_that_requires_the_primary(Instant::now(), Duration::ZERO);
    let (chosen, time) = run(&mut asked, old_primary);
    let (chosen_without, time_without) = run(&mut not_asked, old_primary);
    assert_eq!(chosen, chosen_without);
    assert!(time <= time_without + STEP, "{time:?}, {time_without:?}");
    assert!(!asked.lacks_old_primary_log());
}

/// The wait for the old primary is bounded, since it must get no requests after the platform's drain
/// time.
#[test]
fn planned_replacement_goes_on_without_the_old_primary_after_the_limit() {
    for old_primary in [
        OldPrimary { leading: None, demoted: None },
        OldPrimary { leading: Some(13), demoted: None },
    ] {
        let mut attempt = attempt_that_requires_the_primary(Instant::now(), Duration::ZERO);
        assert!(run(&mut attempt, old_primary).0.is_some());
        assert!(attempt.lacks_old_primary_log());
    }
    // The old primary answers, and its demotion is lost.
    let mut attempt = attempt_that_requires_the_primary(Instant::now(), LIMIT);
    let (chosen, time) = run(&mut attempt, OldPrimary { leading: Some(10), demoted: None });
    assert!(chosen.is_some() && time >= LIMIT - STEP * 2, "{time:?}");
    assert!(attempt.lacks_old_primary_log());
}

/// Guards against the loss of commits that the old primary acknowledges while evidence expires and
/// the limit passes. An earlier replacement had promoted the leaving primary again, which left less
/// time for the next one (simulation of replacements with an unlisted instance, seed 1923).
#[test]
fn old_primary_steps_down_if_the_limit_passes_while_evidence_expires() {
    let limit = Duration::from_millis(500);
    let mut attempt = attempt_that_requires_the_primary(Instant::now(), limit);
    let old_primary = OldPrimary { leading: Some(10), demoted: Some(13) };
    let (chosen, _) = run_from(&mut attempt, old_primary, Role::Primary, false);
    assert_eq!(chosen.as_deref(), Some(OLD_PRIMARY));
}

/// The old primary has little time to answer if the limit has passed by then.
#[test]
fn planned_replacement_goes_on_soon_if_the_limit_passes_while_evidence_expires() {
    let limit = Duration::from_millis(500);
    let mut attempt = attempt_that_requires_the_primary(Instant::now(), limit);
    let old_primary = OldPrimary { leading: Some(10), demoted: None };
    let (chosen, time) = run_from(&mut attempt, old_primary, Role::Primary, false);
    assert!(chosen.is_some() && time < Duration::from_millis(1_500), "{time:?}");
    assert!(attempt.lacks_old_primary_log());
}

/// Guards against the loss of commits: while the attempt waits for the old primary to step down, a
/// stopped replica may restart, forget its stop and receive commits of the old primary.
#[test]
fn replicas_confirm_their_stops_again_after_the_wait_for_the_old_primary() {
    let mut attempt = attempt_that_requires_the_primary(Instant::now(), LIMIT);
    let old_primary = OldPrimary { leading: Some(10), demoted: None };
    let (mut confirmed_at, mut promoted_at) = (None, None);
    run_observed(&mut attempt, old_primary, Role::Primary, true, |command, now| match command {
        Command::QueryStatus(instance) if *instance != name(OLD_PRIMARY) => {
            confirmed_at = Some(now)
        }
        Command::Promote(_) => promoted_at = Some(now),
        _ => {}
    });
    let (promoted_at, confirmed_at) = promoted_at.zip(confirmed_at).expect("it promotes");
    let age = promoted_at - confirmed_at;
    assert!(age <= STEP, "{age:?}");
}
