//! Which vanished instances still count, and until when: until evidence shows that they have ended
//! and that the remaining instances hold every commit for which they may have counted.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Catalog, Elector, Group, IndexedCatalog, Instance};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::promotion::{
    AnsweredPositions, AnsweredPrimary, KnownInstances, ReplicationStatus, ReportingNodes,
    RestartReport, RestartReports,
};
use kestrellock_core::routing::Role;

const PRIMARY: &str = "a";
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

fn group() -> GroupName {
    GroupName::new("orders")
}

/// The group with the instances `names`, of which `leaving` is leaving. The first letter of a name
/// gives the address.
fn catalog(names: &[&str], leaving: &str) -> IndexedCatalog {
    let instance = |text: &&str| Instance {
        name: InstanceName::new(*text),
        zone: ZoneName::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], u16::from(text.as_bytes()[0]))),
        slots: 3,
        connections: 40,
        leaving: *text == leaving,
        incarnation: None,
        announced_role: Some(if *text == PRIMARY { Role::Primary } else { Role::Replica }),
    };
    let orders = Group {
        database: "orders".to_owned(),
        user: "kestrellock".to_owned(),
        instances: names.iter().map(instance).collect(),
        confirmation: ConfirmationRule::Answered,
        elector: Elector::Proxy,
        synchronous_replicas: 1,
        connections: 40,
        promoted: None,
    };
    let mut catalog = Catalog::default();
    catalog.groups.insert(group(), orders);
    IndexedCatalog::new(catalog)
}

fn report(known: &mut KnownInstances, instance: &str, role: Role, offset: u64, queried: Instant) {
    let received = Position { term: Term(1), offset: LogOffset(offset) };
    let status = ReplicationStatus { role, term: Term(1), received, min_term: Term(0) };
    known.on_status(&group(), &InstanceName::new(instance), &status, queried);
}

fn member_names(known: &KnownInstances) -> Vec<String> {
    let members = known.members(&group()).all;
    members.iter().map(|member| member.name.as_str().to_owned()).collect()
}

/// A group of `a` to `d` that has been observed for a while; `d` was leaving and has vanished.
fn after_a_leave() -> (KnownInstances, Instant) {
    let start = Instant::now();
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(&["a", "b", "c", "d"], ""), start);
    report(&mut known, "a", Role::Primary, 5, start);
    report(&mut known, "b", Role::Replica, 5, start);
    assert!(known.members(&group()).knows_log_holders);
    known.apply_catalog(&catalog(&["a", "b", "c", "d"], "d"), start + 4 * SECOND);
    let vanished = start + 8 * SECOND;
    known.apply_catalog(&catalog(&["a", "b", "c"], ""), vanished);
    assert_eq!(targets(&mut known, vanished), ["d"], "the node queries it");
    (known, vanished)
}

/// Guards against losing commits of an instance that is cut off from the platform for long and goes
/// on to receive: it counted for ten seconds only.
#[test]
fn vanished_instance_that_has_not_ended_counts_without_a_time_limit() {
    let (mut known, vanished) = after_a_leave();
    report(&mut known, "a", Role::Primary, 9, vanished + SECOND);
    report(&mut known, "b", Role::Replica, 9, vanished + SECOND);
    known.advance_time(vanished + HOUR);
    let members = known.members(&group());
    let member = members.get(&InstanceName::new("d")).expect("the instance may run");
    assert!(member.has_left && !member.has_ended);
}

/// Guards against losing commits for which only an ended replica counted (`review/1`). The elapsed
/// time and positions from before its end do not show that the others hold them.
#[test]
fn ended_instance_counts_until_the_others_hold_its_commits() {
    let (mut known, vanished) = after_a_leave();
    report(&mut known, "a", Role::Primary, 9, vanished);
    let ended = vanished + SECOND;
    known.on_ended(&group(), &InstanceName::new("d"), ended);
    assert!(known.members(&group()).get(&InstanceName::new("d")).expect("it counts").has_ended);
    report(&mut known, "b", Role::Replica, 9, ended);
    known.advance_time(ended + HOUR);
    assert_eq!(member_names(&known), ["a", "b", "c", "d"], "the position is from before the end");
    report(&mut known, "a", Role::Primary, 12, ended);
    report(&mut known, "b", Role::Replica, 11, ended + SECOND);
    assert_eq!(member_names(&known), ["a", "b", "c", "d"], "the replica lacks a commit");
    report(&mut known, "c", Role::Replica, 12, ended + SECOND);
    assert_eq!(member_names(&known), ["a", "b", "c"]);
}

/// The evidence of a replica that ends itself does not count any more.
#[test]
fn another_end_requires_new_evidence() {
    let (mut known, vanished) = after_a_leave();
    let ended = vanished + SECOND;
    known.on_ended(&group(), &InstanceName::new("d"), ended);
    report(&mut known, "a", Role::Primary, 12, ended);
    known.apply_catalog(&catalog(&["a", "b"], ""), ended + SECOND);
    known.on_ended(&group(), &InstanceName::new("c"), ended + 2 * SECOND);
    report(&mut known, "b", Role::Replica, 12, ended + 2 * SECOND);
    assert_eq!(member_names(&known), ["a", "b", "c", "d"]);
    report(&mut known, "a", Role::Primary, 14, ended + 2 * SECOND);
    report(&mut known, "b", Role::Replica, 14, ended + 3 * SECOND);
    assert_eq!(member_names(&known), ["a", "b"]);
}

/// A crashed primary returns with its log, so a refused connection shows no loss of it.
#[test]
fn crashed_primary_counts_as_one_that_may_return() {
    let (mut known, vanished) = after_a_leave();
    known.apply_catalog(&catalog(&["b", "c"], ""), vanished + SECOND);
    assert_eq!(targets(&mut known, vanished + SECOND), [PRIMARY, "d"]);
    known.on_ended(&group(), &InstanceName::new(PRIMARY), vanished + SECOND);
    known.advance_time(vanished + HOUR);
    let members = known.members(&group());
    let primary = members.get(&InstanceName::new(PRIMARY)).expect("it may return");
    assert!(!primary.has_ended && !primary.leads);
}

/// An instance that the platform lists may have crashed and be back at any time.
#[test]
fn listed_instance_does_not_count_as_ended() {
    let (mut known, vanished) = after_a_leave();
    known.on_ended(&group(), &InstanceName::new("c"), vanished);
    assert!(!known.members(&group()).get(&InstanceName::new("c")).expect("listed").has_ended);
}

/// The log of a leaving instance passes to a new one at its address.
#[test]
fn new_instance_at_the_address_replaces_a_leaving_one() {
    let (mut known, vanished) = after_a_leave();
    known.apply_catalog(&catalog(&["a", "b", "c", "d-2"], ""), vanished + SECOND);
    assert_eq!(member_names(&known), ["a", "b", "c", "d-2"]);
}

/// One that was not leaving has crashed, and the new instance does not have its log.
#[test]
fn new_instance_at_the_address_of_a_crashed_one_does_not_replace_it() {
    let (mut known, vanished) = after_a_leave();
    known.on_ended(&group(), &InstanceName::new("d"), vanished);
    report(&mut known, "a", Role::Primary, 9, vanished);
    report(&mut known, "b", Role::Replica, 9, vanished);
    known.apply_catalog(&catalog(&["a", "b", "c-2"], ""), vanished + SECOND);
    assert_eq!(member_names(&known), ["a", "b", "c", "c-2"]);
    report(&mut known, "a", Role::Primary, 11, vanished + SECOND);
    report(&mut known, "c-2", Role::Replica, 11, vanished + SECOND);
    assert_eq!(member_names(&known), ["a", "b", "c-2"]);
}

/// Guards against the same loss after a restart of the nodes: a node that has just started may not
/// know of an instance that has ended, however long it has observed the others.
#[test]
fn new_node_knows_all_holders_only_by_evidence() {
    let start = Instant::now();
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(&["a", "b", "c"], ""), start);
    known.advance_time(start + HOUR);
    assert!(!known.members(&group()).knows_log_holders);
    assert_eq!(known.restart_report(&group(), None).log_holders, None);
    report(&mut known, "a", Role::Primary, 7, start);
    report(&mut known, "c", Role::Replica, 6, start);
    assert!(!known.members(&group()).knows_log_holders);
    report(&mut known, "c", Role::Replica, 7, start + SECOND);
    assert!(known.members(&group()).knows_log_holders);
    let holders = known.restart_report(&group(), None).log_holders.expect("they are known");
    let names: Vec<&str> = holders.iter().map(|holder| holder.instance.as_str()).collect();
    assert_eq!(names, ["a", "b", "c"]);
}

fn targets(known: &mut KnownInstances, now: Instant) -> Vec<String> {
    let targets = known.take_coverage_targets(&group(), now);
    targets.iter().map(|instance| instance.as_str().to_owned()).collect()
}

/// Guards against idle cost, and against connection attempts at a constant rate to a machine that
/// does not return.
#[test]
fn instances_are_queried_only_while_evidence_is_missing() {
    let (mut known, vanished) = after_a_leave();
    assert!(targets(&mut known, vanished + SECOND / 2).is_empty(), "it was queried recently");
    assert_eq!(targets(&mut known, vanished + SECOND), ["d"]);
    let later = vanished + HOUR;
    assert_eq!(targets(&mut known, later), ["d"]);
    assert!(targets(&mut known, later + 60 * SECOND).is_empty(), "it has been silent for an hour");
    known.on_ended(&group(), &InstanceName::new("d"), later);
    assert!(targets(&mut known, later).is_empty(), "answers to clients may suffice");
    let queried = later + SECOND / 2;
    assert_eq!(targets(&mut known, queried), ["a"], "the primary first");
    assert!(targets(&mut known, queried + SECOND / 20).is_empty(), "it was queried recently");
    report(&mut known, "a", Role::Primary, 9, queried);
    let mut replicas = Vec::new();
    for round in 1..=2 {
        replicas.extend(targets(&mut known, queried + SECOND * round));
    }
    replicas.sort();
    assert_eq!(replicas, ["b", "c"], "one replica at a time suffices, another one each time");
    assert_eq!(targets(&mut known, later + HOUR).len(), 1);
    assert!(targets(&mut known, later + HOUR + 60 * SECOND).is_empty(), "open for an hour");
    report(&mut known, "c", Role::Replica, 9, later + HOUR);
    assert!(targets(&mut known, later + 2 * HOUR).is_empty());
    assert!(!known.has_status_targets(&group()));
}

/// Guards against queries that take up slots of busy instances: the answers to clients' statements show
/// that the others hold the commits. Answers from before the end, and a replica that lacks a commit,
/// do not.
#[test]
fn answers_to_clients_are_evidence() {
    let (mut known, vanished) = after_a_leave();
    let ended = vanished + SECOND;
    known.on_ended(&group(), &InstanceName::new("d"), ended);
    let position = |offset| Position { term: Term(1), offset: LogOffset(offset) };
    let answered = |primary: (u64, Instant), replica: u64| AnsweredPositions {
        primary: Some((position(primary.0), primary.1)),
        replicas: [(InstanceName::new("b"), (position(replica), ended + SECOND))].into(),
    };
    known.on_answered_positions(&group(), &answered((12, vanished), 12));
    assert_eq!(member_names(&known), ["a", "b", "c", "d"], "the position is from before the end");
    known.on_answered_positions(&group(), &answered((12, ended), 11));
    assert_eq!(member_names(&known), ["a", "b", "c", "d"], "the replica lacks a commit");
    known.on_answered_positions(&group(), &answered((14, ended + SECOND), 12));
    assert_eq!(member_names(&known), ["a", "b", "c"], "the first position after the end counts");
}

/// Guards against memory that grows, and against knowledge that a node does not have: it does not own
/// the group, so it queries no instance and does not learn when a vanished one is covered.
#[test]
fn node_that_does_not_query_a_vanished_instance_does_not_know_all_holders() {
    let start = Instant::now();
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(&["a", "b", "c"], ""), start);
    report(&mut known, "a", Role::Primary, 5, start);
    report(&mut known, "b", Role::Replica, 5, start);
    assert!(known.members(&group()).knows_log_holders);
    known.apply_catalog(&catalog(&["a", "b"], ""), start + SECOND);
    assert!(!known.members(&group()).knows_log_holders);
    assert_eq!(known.restart_report(&group(), None).log_holders, None);
    known.advance_time(start + 30 * SECOND);
    assert_eq!(member_names(&known), ["a", "b"]);
    assert!(!known.members(&group()).knows_log_holders);
    report(&mut known, "a", Role::Primary, 9, start + 30 * SECOND);
    report(&mut known, "b", Role::Replica, 9, start + 30 * SECOND);
    assert!(known.members(&group()).knows_log_holders, "it has become an owner and has evidence");
}

/// What a node reports that has run for `uptime`, has ended its commits, and received its newest
/// position `age` ago.
fn node_report(offset: u64, age: Duration, uptime: Duration) -> RestartReport {
    RestartReport {
        primary_position: Some(Position { term: Term(2), offset: LogOffset(offset) }),
        position_age: Some(age),
        has_ended_commits: true,
        uptime,
        ..RestartReport::default()
    }
}

/// The acknowledged position from the reports of two nodes, after `change` to the second report
/// and to what the coordinator knows of the nodes.
fn acknowledged(
    change: impl FnOnce(&mut RestartReport, &mut ReportingNodes, Instant),
) -> Option<u64> {
    let now = Instant::now() + HOUR;
    let current = vec![NodeName::new("one"), NodeName::new("two")];
    let mut nodes = ReportingNodes { current, last_removal: None, highest_led: Term(2) };
    let mut second = node_report(9, 5 * SECOND, HOUR);
    change(&mut second, &mut nodes, now);
    let mut reports = RestartReports::default();
    reports.add(&NodeName::new("one"), node_report(7, 4 * SECOND, HOUR), now);
    assert_eq!(reports.acknowledged_position(&nodes), None, "a report is missing");
    reports.add(&NodeName::new("two"), second, now);
    reports.acknowledged_position(&nodes).map(|position| position.offset.0)
}

/// Guards against a promotion on reported positions alone, which are samples: commits may have been
/// acknowledged after them, by a node that has ended since or goes on to acknowledge.
#[test]
fn acknowledged_position_requires_the_reports_of_all_that_may_have_acknowledged() {
    assert_eq!(acknowledged(|_, _, _| {}), Some(9));
    assert_eq!(acknowledged(|report, _, _| report.primary_position = None), Some(7));
    let goes_on = acknowledged(|report, _, _| report.has_ended_commits = false);
    assert_eq!(goes_on, None, "the node may acknowledge further commits");
    let restarted = acknowledged(|report, _, _| report.uptime = 5 * SECOND);
    assert_eq!(restarted, None, "its earlier process may have acknowledged commits");
    let removed = acknowledged(|_, nodes, now| nodes.last_removal = Some(now - 5 * SECOND));
    assert_eq!(removed, None, "a node that is gone may have acknowledged commits");
    let removed_before = acknowledged(|_, nodes, now| nodes.last_removal = Some(now - 9 * SECOND));
    assert_eq!(removed_before, Some(9));
    let outdated = acknowledged(|_, nodes, _| nodes.highest_led = Term(3));
    assert_eq!(outdated, None, "the positions are those of an earlier primary");
}

/// Guards against lost commits: an owner knows a position of the new primary from a status query,
/// and its newest sample is one of the old primary. The sample covers no commit of the new primary
/// that a process acknowledged which has ended since.
#[test]
fn sample_of_an_earlier_primary_does_not_date_the_position_of_its_successor() {
    let start = Instant::now();
    let now = start + HOUR;
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(&["a", "b", "c"], ""), start);
    let at = |term, offset| Position { term: Term(term), offset: LogOffset(offset) };
    let status = |received: Position| ReplicationStatus {
        role: Role::Primary,
        term: received.term,
        received,
        min_term: Term::default(),
    };
    known.on_status(&group(), &InstanceName::new("b"), &status(at(2, 9)), now - 10 * SECOND);
    let acknowledged_with = |answered: AnsweredPrimary| {
        let report = known.restart_report(&group(), answered.highest());
        assert_eq!(report.primary_position, Some(at(2, 9)));
        let position_age = answered.sample_age(report.primary_position, now);
        let report =
            RestartReport { position_age, has_ended_commits: true, uptime: HOUR, ..report };
        let node = NodeName::new("one");
        let nodes = ReportingNodes {
            current: vec![node.clone()],
            last_removal: Some(now - 5 * SECOND),
            highest_led: Term(2),
        };
        let mut reports = RestartReports::default();
        reports.add(&node, report, now);
        reports.acknowledged_position(&nodes)
    };
    let sampled = |position| Some((position, now - SECOND));
    let of_old = AnsweredPrimary { sampled: sampled(at(1, 90)), committed: None };
    assert_eq!(acknowledged_with(of_old), None);
    let of_new = AnsweredPrimary { sampled: sampled(at(2, 8)), committed: None };
    assert_eq!(acknowledged_with(of_new), Some(at(2, 9)));
}
