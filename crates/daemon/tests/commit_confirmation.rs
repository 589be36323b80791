//! Which commits that their primary has answered may be acknowledged, if no evidence covered the
//! answer when it arrived.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::primary_evidence::{
    EVIDENCE_LIFETIME, Lead, MIN_PROMOTION_TIME, Replication,
};
use kestrellock_core::promotion::{Intent, Reason, ReplacementId};
use kestrellock_core::routing::Role;
use kestrellock_daemon::shared::statuses::{CommitConfirmation, StatusTable, UncoveredAnswer};
use kestrellock_protocol::backend::Report;

const REPLICATION: Replication = Replication { synchronous: 1, instances: 3 };

struct Fixture {
    table: StatusTable,
    group: GroupName,
}

fn name(name: &str) -> InstanceName {
    InstanceName::new(name)
}

impl Fixture {
    fn new() -> Self {
        Self { table: StatusTable::default(), group: GroupName::new("orders") }
    }

    /// The instance reports its replication status.
    fn report_status(&self, instance: &str, role: Role, term: u32) {
        self.answer_query(instance, role, term, Instant::now());
    }

    /// The instance answers a query of its replication status that was sent at `queried_at`.
    fn answer_query(&self, instance: &str, role: Role, term: u32, queried_at: Instant) {
        let at = Position { term: Term(term), offset: LogOffset(80) };
        let report = Report { role, flushed: at, applied: at, min_term: Term(0) };
        self.table.on_replication_status(&self.group, &name(instance), &report, queried_at);
    }

    /// A replacement check that begins now finds no replacement.
    fn check_for_replacement(&self) {
        self.table.on_replacement_check(&self.group, Instant::now());
    }

    /// The node learns that the primary `former` is being replaced.
    fn begin_replacement_of(&self, former: &str) {
        let intent = Intent {
            holder: NodeName::new("node"),
            id: ReplacementId { fence: 1, attempt: 1 },
            reason: Reason::Leaving,
            former: Some(name(former)),
            called_off: false,
            promoting: true,
            awaits_log: false,
            callers: Vec::new(),
        };
        self.table.follow_replacements(&BTreeMap::from([(self.group.clone(), intent)]));
    }

    /// What is known about a commit of `term` that the instance has just answered, if only reports
    /// count that were requested after the answer.
    fn confirmation(&self, instance: &str, term: u32, answered: Instant) -> CommitConfirmation {
        self.confirmation_of(instance, term, UncoveredAnswer { answered, lifetime: None })
    }

    fn confirmation_of(
        &self,
        instance: &str,
        term: u32,
        answer: UncoveredAnswer,
    ) -> CommitConfirmation {
        let instance = name(instance);
        let lead = Lead { instance: &instance, term: Term(term) };
        let now = Instant::now();
        self.table.commit_confirmation(&self.group, lead, REPLICATION, answer, now)
    }
}

/// Guards against commits of a successor that are reported as in doubt because the end of its
/// replacement has yet to be recorded.
#[test]
fn commits_of_a_successor_are_confirmed_while_its_replacement_is_recorded() {
    let fixture = Fixture::new();
    fixture.report_status("former", Role::Primary, 1);
    fixture.report_status("successor", Role::Replica, 1);
    fixture.begin_replacement_of("former");
    let answered = Instant::now();
    assert_eq!(fixture.confirmation("former", 1, answered), CommitConfirmation::Replaced);
    fixture.report_status("successor", Role::Primary, 2);
    let answered = Instant::now();
    assert_eq!(fixture.confirmation("successor", 2, answered), CommitConfirmation::Unconfirmed);
    fixture.report_status("former", Role::Replica, 2);
    fixture.report_status("replica", Role::Replica, 2);
    assert_eq!(fixture.confirmation("successor", 2, answered), CommitConfirmation::Confirmed);
    assert_eq!(fixture.confirmation("former", 1, answered), CommitConfirmation::Replaced);
}

/// Guards against lost commits: a former primary that follows its successor answers a commit that it
/// was sent before with the successor's term, for which the replicas give evidence.
#[test]
fn a_commit_answered_under_a_higher_term_is_not_confirmed() {
    let fixture = Fixture::new();
    fixture.report_status("former", Role::Primary, 1);
    let answered = Instant::now();
    fixture.report_status("successor", Role::Replica, 2);
    fixture.report_status("replica", Role::Replica, 2);
    fixture.check_for_replacement();
    assert_eq!(fixture.confirmation("former", 2, answered), CommitConfirmation::Unconfirmed);
    fixture.report_status("former", Role::Primary, 2);
    assert_eq!(fixture.confirmation("former", 2, answered), CommitConfirmation::Confirmed);
}

/// Guards against commits in doubt after a time in which the instances did not respond: the answer
/// of the commit arrives before those of the queries, which were sent before it and still cover it.
#[test]
fn reports_requested_before_an_answer_that_arrive_after_it_cover_it() {
    let fixture = Fixture::new();
    fixture.report_status("primary", Role::Primary, 1);
    let queried_at = Instant::now();
    let covered_for = EVIDENCE_LIFETIME - MIN_PROMOTION_TIME;
    let answer_after = |time: Duration, lifetime: Option<Duration>| {
        let answer = UncoveredAnswer { answered: queried_at + time, lifetime };
        fixture.confirmation_of("primary", 1, answer)
    };
    let lifetime = Some(EVIDENCE_LIFETIME);
    assert_eq!(answer_after(covered_for, lifetime), CommitConfirmation::Unconfirmed);
    fixture.answer_query("first replica", Role::Replica, 1, queried_at);
    fixture.answer_query("second replica", Role::Replica, 1, queried_at);
    let unchecked = answer_after(covered_for, lifetime);
    assert_eq!(unchecked, CommitConfirmation::Unconfirmed, "reports alone show nothing");
    fixture.check_for_replacement();
    assert_eq!(answer_after(covered_for, lifetime), CommitConfirmation::Covered);
    let late = covered_for + Duration::from_millis(1);
    assert_eq!(answer_after(late, lifetime), CommitConfirmation::Unconfirmed);
    let soon = Duration::from_millis(1);
    assert_eq!(answer_after(soon, None), CommitConfirmation::Unconfirmed, "nobody waits for it");
    fixture.begin_replacement_of("primary");
    assert_eq!(answer_after(soon, lifetime), CommitConfirmation::Replaced);
}
