//! Conclusions that a node draws from answers of instances: which primary its evidence covers, and
//! which instances are in doubt.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::primary_evidence::{EvidenceKind, Replication};
use kestrellock_core::routing::Role;
use kestrellock_daemon::shared::statuses::{
    CommitTimes, ConnectionOutcome, EvidenceScope, ExchangeResponse, StatusTable,
};
use kestrellock_protocol::backend::Report;

const EVIDENCE_LIFETIME: Duration = Duration::from_secs(1);
const REPLICATION: Replication = Replication { synchronous: 1, instances: 3 };

struct Fixture {
    table: StatusTable,
    group: GroupName,
}

fn position(term: u32, offset: u64) -> Position {
    Position { term: Term(term), offset: LogOffset(offset) }
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
        let at = position(term, 80);
        let report = Report { role, flushed: at, applied: at, min_term: Term(0) };
        self.table.on_replication_status(&self.group, &name(instance), &report, Instant::now());
    }

    /// The instance, which is primary according to the platform, answers a read.
    fn answer_read(&self, instance: &str, position: Position) {
        let number = self.table.on_sent(&self.group, &name(instance), false);
        let now = Instant::now();
        let answered = ExchangeResponse {
            sent: now,
            completed_at: now,
            position: Some(position),
            commit_position: None,
            role: Some(Role::Primary),
            is_read_only: false,
            continues_transaction: false,
        };
        self.table.on_ended(&self.group, &name(instance), number, Some(answered));
    }

    /// The instance, which has this role according to the platform, answers a commit of writes.
    fn answer_commit(&self, instance: &str, role: Option<Role>, position: Position) {
        let number = self.table.on_sent(&self.group, &name(instance), true);
        let now = Instant::now();
        let answered = ExchangeResponse {
            sent: now,
            completed_at: now,
            position: Some(position),
            commit_position: Some(position),
            role,
            is_read_only: false,
            continues_transaction: false,
        };
        self.commit(instance, position.term.0);
        self.table.on_ended(&self.group, &name(instance), number, Some(answered));
    }

    /// The instance answers a commit of `term`. Returns the evidence that covers the answer.
    fn commit(&self, instance: &str, term: u32) -> Option<EvidenceKind> {
        let now = Instant::now();
        let commit = CommitTimes { sent: now, answered: now };
        let scope = EvidenceScope { replication: REPLICATION, lifetime: EVIDENCE_LIFETIME };
        self.table.on_commit_answer(&self.group, &name(instance), Term(term), commit, scope)
    }

    /// The instance, which is primary according to the platform, refuses a write as a replica.
    fn refuse_write(&self, instance: &str, position: Position) {
        let number = self.table.on_sent(&self.group, &name(instance), true);
        let now = Instant::now();
        let refused = ExchangeResponse {
            sent: now,
            completed_at: now,
            position: Some(position),
            commit_position: None,
            role: Some(Role::Primary),
            is_read_only: true,
            continues_transaction: false,
        };
        self.table.on_ended(&self.group, &name(instance), number, Some(refused));
    }

    /// A replacement check finds that no replacement of the primary is in progress.
    fn confirm_no_replacement(&self) {
        self.table.on_replacement_check(&self.group, Instant::now());
    }

    /// Until when the evidence covers arrivals at the instance.
    fn covered_until(&self, instance: &str) -> Option<Instant> {
        let statuses = self.table.group(&self.group);
        let statuses = statuses.read().expect("no thread panicked");
        statuses.covered_until(&name(instance), REPLICATION, EVIDENCE_LIFETIME)
    }

    fn is_covered(&self, instance: &str) -> bool {
        self.covered_until(instance).is_some()
    }

    /// Whether a statement that arrives now is covered.
    fn is_arrival_covered(&self, instance: &str) -> bool {
        self.covered_until(instance).is_some_and(|until| Instant::now() <= until)
    }

    /// The position that a read at a replica needs, and which instance reported it.
    fn read_position(&self, primary: &str, moment: Instant) -> Option<(InstanceName, Position)> {
        let statuses = self.table.group(&self.group);
        let statuses = statuses.read().expect("no thread panicked");
        let primary = name(primary);
        let coverage = statuses.coverage(&primary, REPLICATION, EVIDENCE_LIFETIME)?;
        let sample = statuses.primary_samples.covering(&primary, &coverage, moment)?;
        Some((sample.instance.clone(), sample.position))
    }

    fn is_in_doubt(&self, instance: &str) -> bool {
        let statuses = self.table.group(&self.group);
        let statuses = statuses.read().expect("no thread panicked");
        statuses.exchange_records.get(&name(instance)).is_some_and(|record| record.is_unresponsive)
    }
}

fn established() -> ConnectionOutcome {
    ConnectionOutcome::Established { position: None, opened_at: Instant::now() }
}

#[test]
fn a_reported_primary_is_covered_by_a_replica_of_its_term() {
    let fixture = Fixture::new();
    fixture.report_status("replica", Role::Replica, 1);
    assert!(!fixture.is_covered("primary"), "its term is unknown");
    fixture.report_status("primary", Role::Primary, 1);
    assert!(
        !fixture.is_arrival_covered("primary"),
        "no other replica has answered, and no replacement check"
    );
    fixture.confirm_no_replacement();
    assert!(fixture.is_arrival_covered("primary"));
}

/// Guards against queries for each statement of a group that commits all the time.
#[test]
fn a_covered_commit_with_writes_renews_the_evidence_for_its_primary() {
    let fixture = Fixture::new();
    fixture.report_status("primary", Role::Primary, 1);
    assert!(!fixture.is_covered("primary"), "nothing shows that it was not replaced");
    fixture.report_status("replica", Role::Replica, 1);
    fixture.confirm_no_replacement();
    let until = fixture.covered_until("primary");
    assert!(until.is_some());
    fixture.commit("primary", 1);
    assert!(fixture.covered_until("primary") > until);
}

/// Guards against stale reads: a node that knew nothing of an instance and did not reach the store
/// sent its first write there. The instance became a replica before it answered, under the term of
/// its successor, and the node took it for that successor.
#[test]
fn the_first_commit_of_an_unknown_instance_does_not_show_that_it_leads() {
    let fixture = Fixture::new();
    let before = Instant::now();
    fixture.commit("old", 2);
    fixture.answer_read("old", position(2, 80));
    assert!(!fixture.is_covered("old"), "it may follow the primary of the term");
    fixture.report_status("replica", Role::Replica, 2);
    fixture.confirm_no_replacement();
    assert!(!fixture.is_covered("old"));
    assert_eq!(fixture.read_position("old", before), None);
    fixture.report_status("old", Role::Primary, 2);
    fixture.commit("old", 2);
    assert!(fixture.is_covered("old"), "it leads the term");
}

/// An isolated primary was replaced and then rejoined as a replica of the new primary. A node that
/// could not reach the store still considered it the primary: its positions had the new term, for
/// which another replica provided evidence. A read there missed an acknowledged commit.
#[test]
fn an_old_primary_is_not_covered_by_evidence_for_the_new_primary() {
    let fixture = Fixture::new();
    fixture.report_status("old", Role::Primary, 1);
    fixture.report_status("replica", Role::Replica, 1);
    fixture.confirm_no_replacement();
    assert!(fixture.is_covered("old"));
    fixture.report_status("replica", Role::Replica, 2);
    fixture.confirm_no_replacement();
    fixture.answer_read("old", position(2, 80));
    assert!(!fixture.is_covered("old"));
    fixture.report_status("old", Role::Replica, 2);
    assert!(!fixture.is_covered("old"));
    fixture.report_status("old", Role::Primary, 3);
    fixture.report_status("replica", Role::Replica, 3);
    fixture.confirm_no_replacement();
    assert!(fixture.is_covered("old"), "it is primary again");
}

/// Guards against stale bounded reads: a node whose copy of the store was old took the position of
/// a replica that had been the primary for that of the primary.
#[test]
fn an_old_primary_does_not_supply_the_position_that_reads_need() {
    let fixture = Fixture::new();
    let before = Instant::now();
    fixture.report_status("old", Role::Primary, 1);
    fixture.answer_read("old", position(2, 3));
    fixture.report_status("new", Role::Primary, 2);
    fixture.report_status("replica", Role::Replica, 2);
    fixture.confirm_no_replacement();
    assert!(fixture.is_covered("new"));
    assert_eq!(fixture.read_position("new", before), None, "the primary has not answered");
    std::thread::sleep(Duration::from_millis(50));
    fixture.answer_read("new", position(2, 9));
    let expected = (name("new"), position(2, 9));
    assert_eq!(fixture.read_position("new", before), Some(expected));
}

/// Guards against lost commits: a node reported to a coordinator a position that lacked a commit
/// which it had acknowledged, since the commit's position was none that reads may rely on.
#[test]
fn a_commit_whose_position_is_no_sample_is_included_in_the_reported_position() {
    let fixture = Fixture::new();
    fixture.report_status("old", Role::Primary, 1);
    fixture.answer_read("old", position(1, 5));
    fixture.answer_commit("old", Some(Role::Primary), position(2, 7));
    let answered = fixture.table.answered_primary(&fixture.group);
    assert_eq!(answered.sampled.map(|(sampled, _)| sampled), Some(position(1, 5)));
    assert_eq!(answered.highest(), Some(position(2, 7)));
    let age = answered.sample_age(answered.highest(), Instant::now());
    assert_eq!(age, None, "the sample is one of an earlier primary");
    fixture.answer_commit("old", None, position(2, 9));
    let answered = fixture.table.answered_primary(&fixture.group);
    assert_eq!(answered.highest(), Some(position(2, 9)), "its entry has vanished meanwhile");
}

/// Guards against stale reads: a primary restarted without its log under its name, and replicas
/// still followed the term that it had led.
#[test]
fn a_primary_whose_process_may_have_ended_is_not_covered_until_it_is_shown_to_lead() {
    let fixture = Fixture::new();
    let lead = || {
        fixture.report_status("primary", Role::Primary, 1);
        fixture.report_status("replica", Role::Replica, 1);
        fixture.confirm_no_replacement();
    };
    lead();
    assert!(fixture.is_covered("primary"));
    fixture.table.on_process_ended(&fixture.group, &name("primary"));
    fixture.table.forget_evidence(&fixture.group);
    fixture.report_status("replica", Role::Replica, 1);
    fixture.confirm_no_replacement();
    assert!(!fixture.is_covered("primary"), "its process may be another one");
    lead();
    assert!(fixture.is_covered("primary"));
}

/// Guards against stale reads: an old primary acknowledged a commit through a replica that a
/// promotion had released, and then became a replica itself. The position of its answer had the
/// successor's term, which the node took for evidence that the old primary led that term.
#[test]
fn a_commit_answered_under_a_higher_term_does_not_show_that_its_instance_leads_that_term() {
    let fixture = Fixture::new();
    fixture.report_status("old", Role::Primary, 1);
    fixture.report_status("replica", Role::Replica, 1);
    fixture.confirm_no_replacement();
    fixture.commit("old", 1);
    assert!(fixture.is_covered("old"));
    fixture.commit("old", 2);
    assert!(!fixture.is_covered("old"), "it may follow the primary of the term");
    fixture.report_status("old", Role::Primary, 2);
    fixture.commit("old", 2);
    assert!(fixture.is_covered("old"), "it leads the term");
}

/// No connection was open when the primary restarted, so that none broke.
#[test]
fn a_primary_that_reports_a_lower_position_than_before_is_not_covered() {
    let fixture = Fixture::new();
    fixture.report_status("primary", Role::Primary, 1);
    fixture.report_status("replica", Role::Replica, 1);
    fixture.confirm_no_replacement();
    fixture.answer_read("primary", position(1, 9));
    let start = |position, opened_at| {
        let outcome = ConnectionOutcome::Established { position, opened_at };
        fixture.table.on_connection(&fixture.group, &name("primary"), outcome);
    };
    start(Some(position(1, 9)), Instant::now());
    start(Some(position(1, 8)), Instant::now() - Duration::from_secs(1));
    assert!(fixture.is_covered("primary"), "the connection was opened before the last answer");
    start(Some(position(1, 3)), Instant::now());
    assert!(!fixture.is_covered("primary"), "it has lost its log");
}

/// One connection of an owner failed while its others worked. No new connection was needed, so
/// nothing cleared the doubt, and the owner sent no more reads to the instance.
#[test]
fn a_status_report_clears_the_doubt_about_an_instance() {
    let fixture = Fixture::new();
    let replica = name("replica");
    fixture.table.on_connection(&fixture.group, &replica, established());
    fixture.table.on_connection(&fixture.group, &replica, ConnectionOutcome::Broken);
    assert!(fixture.is_in_doubt("replica"));
    fixture.report_status("replica", Role::Replica, 1);
    assert!(!fixture.is_in_doubt("replica"));
}

#[test]
fn an_instance_in_doubt_is_queried_repeatedly_until_it_answers() {
    let fixture = Fixture::new();
    let replica = name("replica");
    let now = Instant::now();
    let due_queries = |after_ms: u64| {
        fixture.table.take_due_status_queries(&fixture.group, now + Duration::from_millis(after_ms))
    };
    fixture.table.on_connection(&fixture.group, &replica, established());
    assert!(due_queries(0).is_empty(), "the instance is not in doubt");
    fixture.table.on_connection(&fixture.group, &replica, ConnectionOutcome::Broken);
    assert_eq!(due_queries(0), std::slice::from_ref(&replica));
    assert!(due_queries(100).is_empty(), "a query is pending");
    assert_eq!(due_queries(600), std::slice::from_ref(&replica));
    fixture.report_status("replica", Role::Replica, 1);
    assert!(due_queries(1_200).is_empty(), "the instance has answered");
}

/// Guards against a transaction that does not see its session's own commit (`review/3`). A node that
/// had been suspended gave a plain BEGIN to an old primary: its evidence was recent enough for
/// commits of others, and nothing compared the session's bound with the term that the instance
/// leads.
#[test]
fn old_primary_may_lack_the_commits_of_a_session_that_has_written_since() {
    let fixture = Fixture::new();
    fixture.answer_read("a", position(1, 90));
    fixture.report_status("a", Role::Primary, 1);
    fixture.confirm_no_replacement();
    let lacks = |bound: Option<Position>| {
        let statuses = fixture.table.group(&fixture.group);
        let statuses = statuses.read().expect("no thread panicked");
        statuses.may_lack_session_commits(&name("a"), bound.as_ref())
    };
    assert!(lacks(Some(position(3, 80))), "its successor has acknowledged the commit");
    assert!(!lacks(Some(position(1, 95))), "it has acknowledged the commit itself");
    assert!(!lacks(None), "the session has not written");
    // It is primary again: the primary of a term has every commit of the lower ones.
    fixture.report_status("a", Role::Primary, 4);
    assert!(!lacks(Some(position(3, 80))));
}

/// Guards against stale reads at a primary that crashed unnoticed and is back: a new connection may
/// lead to a process that started after the evidence was gathered.
#[test]
fn evidence_covers_no_late_arrivals_at_a_process_that_may_have_started_later() {
    let fixture = Fixture::new();
    let primary = name("primary");
    let start = Instant::now();
    let until = || {
        let statuses = fixture.table.group(&fixture.group);
        let statuses = statuses.read().expect("no thread panicked");
        statuses.covered_until(&primary, REPLICATION, EVIDENCE_LIFETIME).expect("it is covered")
    };
    fixture.report_status("primary", Role::Primary, 1);
    fixture.table.on_process_seen(&fixture.group, &primary, start, start);
    fixture.report_status("replica", Role::Replica, 1);
    fixture.report_status("other", Role::Replica, 1);
    fixture.confirm_no_replacement();
    assert!(until() >= start + EVIDENCE_LIFETIME);
    let reconnected = start + EVIDENCE_LIFETIME / 2;
    fixture.table.on_process_seen(&fixture.group, &primary, reconnected, reconnected);
    assert!(until() < reconnected, "its process may be another one");
    fixture.table.on_process_seen(&fixture.group, &primary, start, reconnected);
    assert!(until() >= start + EVIDENCE_LIFETIME, "the process is the same");
}

/// Guards against stale reads at a former primary: a node that reached nothing else took the report
/// that it gave as a demoted replica for that of a replica that follows it.
#[test]
fn the_report_of_a_former_primary_is_no_evidence_that_it_leads() {
    let fixture = Fixture::new();
    fixture.report_status("former", Role::Primary, 1);
    fixture.report_status("former", Role::Replica, 1);
    assert!(!fixture.is_covered("former"), "it has stepped down");
    fixture.report_status("replica", Role::Replica, 1);
    assert!(!fixture.is_covered("former"), "two reports, one of them its own");
    // An earlier answer that shows it as primary is processed late.
    fixture.report_status("former", Role::Primary, 1);
    let arrived = Instant::now();
    assert!(fixture.covered_until("former").is_none_or(|until| until < arrived));
}

/// Guards against stale reads at a former primary that follows its successor and confirms its
/// commits, while the node reaches only a replica that knows neither.
#[test]
fn a_replica_alone_covers_nothing_after_the_primary_has_last_shown_that_it_leads() {
    let fixture = Fixture::new();
    fixture.report_status("primary", Role::Primary, 1);
    let arrived = Instant::now();
    fixture.report_status("replica", Role::Replica, 1);
    assert!(fixture.covered_until("primary").is_none_or(|until| until < arrived));
    fixture.report_status("primary", Role::Primary, 1);
    let until = fixture.covered_until("primary");
    assert!(until.is_none_or(|until| until < arrived), "the other replica may follow a successor");
    fixture.report_status("other replica", Role::Replica, 1);
    fixture.report_status("primary", Role::Primary, 1);
    assert!(fixture.covered_until("primary").is_some_and(|until| until >= arrived));
}

/// Guards against reads at a former primary that has just refused a write as a replica.
#[test]
fn a_primary_that_refuses_writes_is_not_covered_until_it_is_shown_to_lead() {
    let fixture = Fixture::new();
    fixture.report_status("primary", Role::Primary, 1);
    fixture.report_status("replica", Role::Replica, 1);
    fixture.confirm_no_replacement();
    assert!(fixture.is_covered("primary"));
    fixture.refuse_write("primary", position(1, 80));
    assert!(!fixture.is_covered("primary"));
    fixture.report_status("primary", Role::Primary, 1);
    assert!(fixture.is_covered("primary"));
}

/// Guards against a chain of commits without a beginning: each would be the evidence on which the
/// next one is acknowledged, although another instance leads since before the first.
#[test]
fn a_commit_whose_answer_no_earlier_evidence_covers_is_none_itself() {
    let fixture = Fixture::new();
    fixture.report_status("primary", Role::Primary, 1);
    assert_eq!(fixture.commit("primary", 1), None);
    assert_eq!(fixture.commit("primary", 1), None, "the first one shows nothing");
    assert!(!fixture.is_covered("primary"));
    fixture.report_status("replica", Role::Replica, 1);
    fixture.confirm_no_replacement();
    assert_eq!(fixture.commit("primary", 1), Some(EvidenceKind::SomeReplicas));
    assert_eq!(fixture.commit("primary", 1), Some(EvidenceKind::Commit));
    assert_eq!(fixture.commit("primary", 2), None, "the instance follows a successor");
}
