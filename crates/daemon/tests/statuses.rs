//! What answers of instances tell of a group, and what they do not.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::primary_evidence::Replication;
use kestrellock_core::routing::Role;
use kestrellock_daemon::shared::statuses::{ConnectionOutcome, ExchangeResponse, StatusTable};
use kestrellock_protocol::backend::Report;

const LIFE: Duration = Duration::from_secs(1);
const REPLICATION: Replication = Replication { synchronous: 1, instances: 3 };

struct Board {
    board: StatusTable,
    group: GroupName,
}

fn position(term: u32, offset: u64) -> Position {
    Position { term: Term(term), offset: LogOffset(offset) }
}

fn name(name: &str) -> InstanceName {
    InstanceName::new(name)
}

impl Board {
    fn new() -> Self {
        Self { board: StatusTable::default(), group: GroupName::new("orders") }
    }

    fn stands(&self, instance: &str, role: Role, term: u32) {
        let at = position(term, 80);
        let report = Report { role, flushed: at, applied: at, held: Term(0) };
        self.board.on_replication_status(&self.group, &name(instance), &report, Instant::now());
    }

    /// The instance, which the platform tells to be the primary, answers a read.
    fn answers(&self, instance: &str, position: Position) {
        let number = self.board.on_sent(&self.group, &name(instance), false);
        let now = Instant::now();
        let role = Some(Role::Primary);
        let answered = ExchangeResponse { sent: now, at: now, position: Some(position), role };
        self.board.on_ended(&self.group, &name(instance), number, Some(answered));
    }

    /// The store has nobody replace the primary.
    fn is_unreplaced(&self) {
        self.board.on_replacement_check(&self.group, Instant::now());
    }

    fn is_covered(&self, instance: &str) -> bool {
        let known = self.board.group(&self.group);
        let known = known.read().expect("nobody panicked");
        known.covered_until(&name(instance), REPLICATION, LIFE).is_some()
    }

    fn is_in_doubt(&self, instance: &str) -> bool {
        let known = self.board.group(&self.group);
        let known = known.read().expect("nobody panicked");
        known.exchange_records.get(&name(instance)).is_some_and(|record| record.in_doubt)
    }
}

#[test]
fn a_primary_that_says_so_is_covered_by_a_replica_of_its_term() {
    let board = Board::new();
    board.stands("replica", Role::Replica, 1);
    assert!(!board.is_covered("primary"), "its term is unknown");
    board.stands("primary", Role::Primary, 1);
    assert!(!board.is_covered("primary"), "the other replica has not answered, nor the store");
    board.is_unreplaced();
    assert!(board.is_covered("primary"));
}

#[test]
fn a_commit_that_wrote_shows_which_term_its_primary_leads() {
    let board = Board::new();
    board.board.on_commit(&board.group, &name("primary"), Term(1), Instant::now());
    assert!(board.is_covered("primary"));
}

/// Swanreach grown, scale-2: a primary that was cut off and replaced came back and followed its
/// successor. A node out of reach of the store still took it for the primary: its positions had the
/// successor's term, for which a replica was evidence, and a read there lacked a commit.
#[test]
fn a_primary_that_was_demoted_is_not_covered_by_the_evidence_of_its_successor() {
    let board = Board::new();
    board.stands("old", Role::Primary, 1);
    board.stands("replica", Role::Replica, 1);
    board.is_unreplaced();
    assert!(board.is_covered("old"));
    board.stands("replica", Role::Replica, 2);
    board.is_unreplaced();
    board.answers("old", position(2, 80));
    assert!(!board.is_covered("old"));
    board.stands("old", Role::Replica, 2);
    assert!(!board.is_covered("old"));
    board.stands("old", Role::Primary, 3);
    board.stands("replica", Role::Replica, 3);
    board.is_unreplaced();
    assert!(board.is_covered("old"), "it leads again");
}

/// SHORT: one connection of an owner failed while others worked. No new one was needed, so nothing took
/// the doubt back, and none of the owner's reads went there any more.
#[test]
fn an_instance_that_answers_a_question_is_in_doubt_no_more() {
    let board = Board::new();
    let replica = name("replica");
    board.board.on_connection(&board.group, &replica, ConnectionOutcome::Established(None));
    board.board.on_connection(&board.group, &replica, ConnectionOutcome::Broken);
    assert!(board.is_in_doubt("replica"));
    board.stands("replica", Role::Replica, 1);
    assert!(!board.is_in_doubt("replica"));
}

#[test]
fn an_instance_in_doubt_is_asked_again_and_again_until_it_answers() {
    let board = Board::new();
    let replica = name("replica");
    let now = Instant::now();
    let asked = |after: u64| {
        board.board.take_due_status_queries(&board.group, now + Duration::from_millis(after))
    };
    board.board.on_connection(&board.group, &replica, ConnectionOutcome::Established(None));
    assert!(asked(0).is_empty(), "nobody doubts it");
    board.board.on_connection(&board.group, &replica, ConnectionOutcome::Broken);
    assert_eq!(asked(0), std::slice::from_ref(&replica));
    assert!(asked(100).is_empty(), "a question is under way");
    assert_eq!(asked(600), std::slice::from_ref(&replica));
    board.stands("replica", Role::Replica, 1);
    assert!(asked(1_200).is_empty(), "it has answered");
}
