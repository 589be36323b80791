//! An attempt on a group of three instances, the primary of which is called `a`, and what its instances say.

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
/// Steps that an attempt gets to have somebody promoted: four seconds.
pub const STEPS: usize = 800;
/// The old primary.
pub const FORMER: &str = "a";

/// The name of an instance.
pub fn name(text: &str) -> InstanceName {
    InstanceName::new(text)
}

/// The three instances, of which some say that they lead.
pub fn members(leading: &[&str]) -> Members {
    let member = |text: &&str| Member {
        name: name(text),
        leaving: false,
        has_left: false,
        leads: leading.contains(text),
        shares_address: false,
        incarnation: None,
        is_refilling: false,
    };
    let all = ["a", "b", "c"].iter().map(member).collect();
    Members { all, synchronous: 1, knows_restarts: true }
}

/// The need to replace the old primary.
pub fn need(reason: Reason) -> Need {
    let begun = reason == Reason::Unfinished;
    let (wanted, promoting, last_primary_follows) = (true, false, false);
    let former = Some(name(FORMER));
    Need {
        reason,
        old_primary: former,
        is_current: wanted,
        has_begun: begun,
        may_have_promoted: promoting,
        last_primary_is_replica: last_primary_follows,
    }
}

/// An attempt that begins; the highest term known is 1.
pub fn attempt(reason: Reason, members: Members) -> Attempt {
    let id = ReplacementId { fence: 7, attempt: 1 };
    let holder = NodeName::new("node");
    Attempt::new(holder, id, &need(reason), members, Term(1), Timing::default())
}

/// The store says of no instance that it has started again.
pub fn no_starts(asked: Instant) -> Event {
    Event::Incarnations { by_instance: BTreeMap::new(), asked }
}

/// A replica says how it stands.
pub fn stands(instance: &str, offset: u64, held: Term, sent: Instant) -> Event {
    let received = Position { term: Term(1), offset: LogOffset(offset) };
    let standing =
        ReplicationStatus { role: Role::Replica, term: Term(1), received, min_term: held };
    Event::StatusReported { instance: name(instance), status: standing, sent }
}

/// An instance says that it leads `term`.
pub fn leads(instance: &str, term: u32, offset: u64, sent: Instant) -> Event {
    let received = Position { term: Term(1), offset: LogOffset(offset) };
    let standing =
        ReplicationStatus { role: Role::Primary, term: Term(term), received, min_term: Term(0) };
    Event::StatusReported { instance: name(instance), status: standing, sent }
}

/// A replica says that it is stopped.
pub fn stopped(instance: &str, offset: u64, sent: Instant) -> Event {
    stands(instance, offset, Term(2), sent)
}

/// Steps until the attempt asks for a promotion; the replicas named answer, and are stopped when told
/// so. `None` if it does not within four seconds.
pub fn promotes(
    attempt: &mut Attempt,
    now: &mut Instant,
    offsets: &[(&str, u64)],
) -> Option<InstanceName> {
    plays(attempt, now, no_starts, |_| offsets.to_vec())
}

/// The same with a store that answers `starts` when it is asked which instances have started again, and replicas
/// that say what `offsets` has for each step.
pub fn plays<'a>(
    attempt: &mut Attempt,
    now: &mut Instant,
    mut starts: impl FnMut(Instant) -> Event,
    offsets: impl Fn(usize) -> Vec<(&'a str, u64)>,
) -> Option<InstanceName> {
    let mut held = BTreeMap::new();
    for step in 0..STEPS {
        *now += STEP;
        for command in attempt.step(*now) {
            match command {
                Command::Promote(instance) => return Some(instance),
                Command::Stop { instance, term } => {
                    held.insert(instance, term);
                }
                Command::RecordIntent(intent) => {
                    attempt.on_event(Event::IntentRecorded(intent), *now)
                }
                Command::ReadIncarnations => attempt.on_event(starts(*now), *now),
                _ => {}
            }
        }
        for (instance, offset) in offsets(step) {
            let held = held.get(&name(instance)).copied().unwrap_or_default();
            attempt.on_event(stands(instance, offset, held, *now), *now);
        }
    }
    None
}

/// Has the attempt record its intent.
pub fn begin(attempt: &mut Attempt, now: Instant) {
    let commands = attempt.step(now);
    let [Command::RecordIntent(intent)] = commands.as_slice() else { panic!("{commands:?}") };
    attempt.on_event(Event::IntentRecorded(intent.clone()), now);
}

/// Steps for a time without an answer of any instance; what the attempt asked for.
pub fn steps(attempt: &mut Attempt, now: &mut Instant, lasts: Duration) -> Vec<Command> {
    let until = *now + lasts;
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
