//! Which positions count as those of the primary, so that a read at a replica may rely on them.

use std::time::{Duration, Instant};

use kestrellock_core::ids::InstanceName;
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::primary_evidence::{Coverage, EVIDENCE_LIFETIME, EvidenceKind};
use kestrellock_core::primary_samples::{PositionReport, PrimarySamples};

/// Longer than the shortest time between two kept positions.
const STEP: Duration = Duration::from_millis(50);

fn position(term: u32, offset: u64) -> Position {
    Position { term: Term(term), offset: LogOffset(offset) }
}

struct Fixture {
    samples: PrimarySamples,
    start: Instant,
}

impl Fixture {
    fn new() -> Self {
        Self { samples: PrimarySamples::default(), start: Instant::now() }
    }

    fn at(&self, steps: u32) -> Instant {
        self.start + STEP * steps
    }

    /// The instance, which has led `led_term`, answers at once a query sent after `steps`.
    fn report<'a>(
        &self,
        instance: &'a InstanceName,
        led_term: u32,
        position: Position,
        steps: u32,
    ) -> PositionReport<'a> {
        PositionReport {
            instance,
            position,
            led_term: Some(Term(led_term)),
            is_read_only: false,
            may_be_earlier: false,
            queried_at: self.at(steps),
            answered_at: self.at(steps) + STEP / 10,
        }
    }

    /// The position that a read at a replica needs to see the commits acknowledged before the start,
    /// if `primary` leads `term`.
    fn required(&self, primary: &InstanceName, term: u32) -> Option<Position> {
        let coverage = Coverage {
            term: Term(term),
            until: self.start + EVIDENCE_LIFETIME,
            kind: EvidenceKind::Commit,
            requested_at: self.start,
            replacement_check_at: None,
        };
        let sample = self.samples.covering(primary, &coverage, self.start);
        sample.map(|sample| sample.position)
    }
}

fn name(name: &str) -> InstanceName {
    InstanceName::new(name)
}

#[test]
fn a_position_of_the_primary_covers_commits_acknowledged_before_its_query() {
    let mut fixture = Fixture::new();
    let primary = name("a");
    assert_eq!(fixture.required(&primary, 1), None);
    fixture.samples.record(fixture.report(&primary, 1, position(1, 7), 0));
    fixture.samples.record(fixture.report(&primary, 1, position(1, 9), 1));
    assert_eq!(fixture.required(&primary, 1), Some(position(1, 7)), "the lowest one");
    assert_eq!(fixture.samples.highest(), Some(position(1, 9)));
    assert_eq!(fixture.samples.newest(), Some(fixture.at(1)));
}

/// Guards against stale bounded reads. A demoted primary that a node still took for the primary
/// reported positions of the new term at which it lagged as a replica.
#[test]
fn positions_of_a_demoted_primary_do_not_count_for_its_successor() {
    let mut fixture = Fixture::new();
    let (old, new) = (name("old"), name("new"));
    fixture.samples.record(fixture.report(&old, 1, position(2, 3), 0));
    assert_eq!(fixture.required(&new, 2), None, "the old primary has not led the term");
    assert_eq!(fixture.samples.highest(), None);
    fixture.samples.record(fixture.report(&new, 2, position(2, 9), 1));
    assert_eq!(fixture.required(&new, 2), Some(position(2, 9)));
}

#[test]
fn positions_of_an_instance_that_is_not_known_to_have_led_do_not_count() {
    let mut fixture = Fixture::new();
    let primary = name("a");
    let report = fixture.report(&primary, 1, position(1, 7), 0);
    fixture.samples.record(PositionReport { led_term: None, ..report });
    assert_eq!(fixture.required(&primary, 1), None);
    assert_eq!(fixture.samples.highest(), None);
}

/// Positions of a lower term were kept until the new primary had reported one, and evidence of the
/// new primary covered the times at which they were reported.
#[test]
fn positions_of_another_term_than_that_of_the_evidence_do_not_count() {
    let mut fixture = Fixture::new();
    let (old, new) = (name("old"), name("new"));
    fixture.samples.record(fixture.report(&old, 1, position(1, 7), 0));
    assert_eq!(fixture.required(&new, 2), None, "the new primary has reported nothing");
    fixture.samples.record(fixture.report(&new, 2, position(2, 9), 1));
    assert_eq!(fixture.required(&old, 1), None, "the evidence is older than the position");
}

#[test]
fn a_primary_that_reports_the_previous_term_until_its_first_commit_supplies_no_position() {
    let mut fixture = Fixture::new();
    let primary = name("a");
    fixture.samples.record(fixture.report(&primary, 2, position(1, 7), 0));
    assert_eq!(fixture.required(&primary, 2), None);
    fixture.samples.record(fixture.report(&primary, 2, position(2, 8), 1));
    assert_eq!(fixture.required(&primary, 2), Some(position(2, 8)));
}

#[test]
fn a_refusal_of_an_instance_that_does_not_lead_supplies_no_position() {
    let mut fixture = Fixture::new();
    let primary = name("a");
    let report = fixture.report(&primary, 1, position(1, 7), 0);
    fixture.samples.record(PositionReport { is_read_only: true, ..report });
    assert_eq!(fixture.required(&primary, 1), None);
}

/// The answer may show the state in which the transaction began, which may be older than its query.
#[test]
fn an_answer_inside_a_transaction_supplies_no_position() {
    let mut fixture = Fixture::new();
    let primary = name("a");
    let report = fixture.report(&primary, 1, position(1, 7), 0);
    fixture.samples.record(PositionReport { may_be_earlier: true, ..report });
    assert_eq!(fixture.required(&primary, 1), None);
}

/// An instance that restarted with an empty log under its name reports positions from its start
/// again, while the node still knows that it led the term.
#[test]
fn a_position_below_an_earlier_one_of_the_same_term_does_not_count() {
    let mut fixture = Fixture::new();
    let primary = name("a");
    let before = fixture.start - STEP;
    let report = fixture.report(&primary, 1, position(1, 50), 0);
    fixture.samples.record(PositionReport { queried_at: before, answered_at: before, ..report });
    fixture.samples.record(fixture.report(&primary, 1, position(1, 4), 1));
    assert_eq!(fixture.required(&primary, 1), None, "its log was lost");
    fixture.samples.record(fixture.report(&primary, 1, position(1, 51), 2));
    assert_eq!(fixture.required(&primary, 1), Some(position(1, 51)));
}

/// Answers arrive on several connections, and not in the order in which their queries were sent.
#[test]
fn a_lower_position_counts_if_its_query_was_sent_before_the_higher_one_was_answered() {
    let mut fixture = Fixture::new();
    let primary = name("a");
    let earlier = fixture.report(&primary, 1, position(1, 9), 0);
    let earlier =
        PositionReport { queried_at: fixture.start - STEP, answered_at: fixture.at(2), ..earlier };
    fixture.samples.record(earlier);
    fixture.samples.record(fixture.report(&primary, 1, position(1, 8), 1));
    assert_eq!(fixture.required(&primary, 1), Some(position(1, 8)));
}
