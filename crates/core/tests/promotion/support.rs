//! An attempt on a group of three instances, whose primary is `a`, and the reports of the
//! instances.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{InstanceName, NodeName};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::promotion::{
    Attempt, Command, Event, Member, Members, Need, Reason, ReplacementId, ReplicationStatus,
    Timing,
};
use kestrellock_core::routing::Role;

/// Time between two steps of an attempt.
pub const STEP: Duration = Duration::from_millis(5);
/// Number of steps within which an attempt has to promote an instance: four seconds.
pub const STEPS: usize = 800;
/// The old primary.
pub const OLD_PRIMARY: &str = "a";

pub fn name(text: &str) -> InstanceName {
    InstanceName::new(text)
}

/// The three instances, of which `primaries` report to be primary.
pub fn members(primaries: &[&str]) -> Members {
    let member = |text: &&str| Member {
        name: name(text),
        leaving: false,
        has_vanished: false,
        has_left: false,
        has_ended: false,
        leads: primaries.contains(text),
        shares_address: false,
        incarnation: None,
        is_refilling: false,
    };
    let all = ["a", "b", "c"].iter().map(member).collect();
    Members { all, synchronous: 1, knows_restarts: true, knows_log_holders: true }
}

/// The need to replace the old primary.
pub fn need(reason: Reason) -> Need {
    let has_begun = reason == Reason::Unfinished;
    let (is_current, may_have_promoted, awaits_log) = (true, false, false);
    let last_primary_is_replica = false;
    let old_primary = Some(name(OLD_PRIMARY));
    Need {
        reason,
        old_primary,
        is_current,
        has_begun,
        may_have_promoted,
        awaits_log,
        last_primary_is_replica,
        old_primary_required_until: None,
        callers: Vec::new(),
        callers_known_since: None,
    }
}

/// A new attempt; the highest known term is 1.
pub fn attempt(reason: Reason, members: Members) -> Attempt {
    let id = ReplacementId { fence: 7, attempt: 1 };
    let coordinator = NodeName::new("node");
    Attempt::new(coordinator, id, &need(reason), members, Term(1), Timing::default())
}

/// The store shows no restarted instance.
pub fn no_restarts(requested_at: Instant) -> Event {
    Event::Incarnations { by_instance: BTreeMap::new(), requested_at }
}

/// The status of a replica in term 1.
pub fn replica_status(instance: &str, offset: u64, min_term: Term, sent: Instant) -> Event {
    let received = Position { term: Term(1), offset: LogOffset(offset) };
    let status = ReplicationStatus { role: Role::Replica, term: Term(1), received, min_term };
    Event::StatusReported { instance: name(instance), status, sent }
}

/// The status of a primary that leads `term`.
pub fn primary_status(instance: &str, term: u32, offset: u64, sent: Instant) -> Event {
    let received = Position { term: Term(1), offset: LogOffset(offset) };
    let status =
        ReplicationStatus { role: Role::Primary, term: Term(term), received, min_term: Term(0) };
    Event::StatusReported { instance: name(instance), status, sent }
}

/// The status of a replica that is stopped with term 2.
pub fn stopped_replica_status(instance: &str, offset: u64, sent: Instant) -> Event {
    replica_status(instance, offset, Term(2), sent)
}

/// Runs the attempt until it sends a promotion. The replicas in `offsets` answer and obey stops.
/// `None` if no promotion is sent within four seconds.
pub fn run_to_promotion(
    attempt: &mut Attempt,
    now: &mut Instant,
    offsets: &[(&str, u64)],
) -> Option<InstanceName> {
    run_to_promotion_with(attempt, now, no_restarts, |_| offsets.to_vec())
}

/// The same with a store that answers requests for incarnations with `incarnations`, and replicas
/// that report the `offsets` of each step.
pub fn run_to_promotion_with<'a>(
    attempt: &mut Attempt,
    now: &mut Instant,
    mut incarnations: impl FnMut(Instant) -> Event,
    offsets: impl Fn(usize) -> Vec<(&'a str, u64)>,
) -> Option<InstanceName> {
    let mut min_terms = BTreeMap::new();
    for step in 0..STEPS {
        *now += STEP;
        for command in attempt.step(*now) {
            match command {
                Command::Promote(instance) => return Some(instance),
                Command::Stop { instance, term } => {
                    min_terms.insert(instance, term);
                }
                Command::RecordIntent(intent) => {
                    attempt.on_event(Event::IntentRecorded(intent), *now)
                }
                Command::ReadIncarnations => attempt.on_event(incarnations(*now), *now),
                _ => {}
            }
        }
        for (instance, offset) in offsets(step) {
            let min_term = min_terms.get(&name(instance)).copied().unwrap_or_default();
            attempt.on_event(replica_status(instance, offset, min_term, *now), *now);
        }
    }
    None
}

/// Has the attempt submit its intent, and records it.
pub fn record_intent(attempt: &mut Attempt, now: Instant) {
    let commands = attempt.step(now);
    let [Command::RecordIntent(intent)] = commands.as_slice() else { panic!("{commands:?}") };
    attempt.on_event(Event::IntentRecorded(intent.clone()), now);
}

/// Runs the attempt for `duration` while no instance answers; returns its commands.
pub fn run_for(attempt: &mut Attempt, now: &mut Instant, duration: Duration) -> Vec<Command> {
    let until = *now + duration;
    let mut commands = Vec::new();
    while *now < until {
        *now += STEP;
        for command in attempt.step(*now) {
            if let Command::RecordIntent(intent) = &command {
                attempt.on_event(Event::IntentRecorded(intent.clone()), *now);
            }
            commands.push(command);
        }
    }
    commands
}
