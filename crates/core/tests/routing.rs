//! Where statements go, depending on the reported status of the instances.

use std::time::Duration;

use kestrellock_core::ids::{InstanceName, ZoneName};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::routing::Role::{self, Primary, Replica};
use kestrellock_core::routing::{
    Access, Candidate, Choice, InstanceStatus, choose, may_lack_session_commits,
};

const STALENESS: Duration = Duration::from_millis(2000);

fn position(term: u32, offset: u64) -> Position {
    Position { term: Term(term), offset: LogOffset(offset) }
}

fn status(name: &str, role: Role, applied: Position, age: u64) -> InstanceStatus {
    let age = Duration::from_millis(age);
    InstanceStatus {
        instance: InstanceName::new(name),
        role,
        applied,
        flushed: applied,
        reachable: true,
        queue_wait: None,
        lag: if role == Replica { age } else { Duration::ZERO },
        unconfirmed_for: (role == Primary).then_some(age),
    }
}

fn read(bound: Option<Position>) -> Access {
    Access::Read { bound, max_staleness: STALENESS }
}

fn write(bound: Option<Position>) -> Access {
    Access::Write { bound }
}

/// The chosen instance, if all statuses were received `age` ago.
fn chosen(access: &Access, statuses: &[(InstanceStatus, &str)], age: Duration) -> Option<String> {
    let zones: Vec<ZoneName> = statuses.iter().map(|(_, zone)| ZoneName::new(*zone)).collect();
    let candidates: Vec<Candidate> = statuses
        .iter()
        .zip(&zones)
        .map(|((status, _), zone)| Candidate { status, zone, age })
        .collect();
    match choose(access, &candidates, &ZoneName::new("here")) {
        Choice::Serve(name) | Choice::ServeAfter(name, _) => Some(name.as_str().to_owned()),
        Choice::NoInstance => None,
    }
}

#[test]
fn statements_go_to_instances_that_satisfy_the_session_bound() {
    let (old, new, next_term) = (position(1, 5), position(1, 9), position(2, 9));
    let primary = || (status("p", Primary, new, 10), "there");
    let lagging = || (status("r", Replica, old, 100), "here");
    let table = [
        (read(None), vec![primary(), lagging()], Some("r")),
        (read(Some(old)), vec![primary(), lagging()], Some("r")),
        (read(Some(new)), vec![primary(), lagging()], Some("p")),
        (write(None), vec![primary(), lagging()], Some("p")),
        (write(Some(new)), vec![primary(), lagging()], Some("p")),
        // The session has seen a later primary than this node knows.
        (read(Some(next_term)), vec![primary(), lagging()], None),
        (write(Some(next_term)), vec![primary(), lagging()], None),
        // Two instances report to be primary: the one with the higher term is chosen.
        (write(None), vec![primary(), (status("q", Primary, next_term, 10), "there")], Some("q")),
        // Too stale: the replica, and a primary that no majority has confirmed.
        (read(None), vec![primary(), (status("r", Replica, new, 2001), "here")], Some("p")),
        (read(None), vec![(status("p", Primary, new, 2001), "here")], None),
        (write(None), vec![(status("p", Primary, new, 2001), "here")], Some("p")),
        (read(None), vec![], None),
    ];
    for (access, statuses, expected) in table {
        let chosen = chosen(&access, &statuses, Duration::ZERO);
        assert_eq!(chosen.as_deref(), expected, "{access:?} with {statuses:?}");
    }
}

#[test]
fn status_age_counts_towards_staleness() {
    let statuses = [(status("r", Replica, position(1, 5), 100), "here")];
    let access = read(None);
    assert_eq!(chosen(&access, &statuses, Duration::from_millis(1900)).as_deref(), Some("r"));
    assert_eq!(chosen(&access, &statuses, Duration::from_millis(1901)), None);
}

#[test]
fn unreachable_instances_are_not_chosen() {
    let mut unreachable = status("p", Primary, position(1, 5), 0);
    unreachable.reachable = false;
    for access in [read(None), write(None)] {
        assert_eq!(chosen(&access, &[(unreachable.clone(), "here")], Duration::ZERO), None);
    }
}

/// Guards against a transaction that does not see its session's own commit (`review/3`): an old
/// primary lacks the commits of its successors, and no others.
#[test]
fn primary_lacks_session_commits_of_higher_terms_only() {
    let bound = position(3, 5);
    let table = [
        (Some(Term(2)), Some(&bound), true),
        (Some(Term(3)), Some(&bound), false),
        (Some(Term(4)), Some(&bound), false),
        (Some(Term(2)), None, false),
        // Evidence is required of an instance that has not been shown to lead any term.
        (None, Some(&bound), false),
    ];
    for (led, bound, expected) in table {
        assert_eq!(may_lack_session_commits(led, bound), expected, "{led:?}, {bound:?}");
    }
}
