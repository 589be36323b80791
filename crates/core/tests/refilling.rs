//! When a restarted instance has every acknowledged commit again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Catalog, Elector, Group, IndexedCatalog, Instance};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::incarnation::InstanceIncarnation;
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::promotion::{
    KnownInstances, ObservedRestart, ReplicationStatus, RestartReport, RestartReports,
};
use kestrellock_core::routing::Role;

const PRIMARY: &str = "a";
const REPLICA: &str = "b";
const SECOND: Duration = Duration::from_secs(1);

fn group() -> GroupName {
    GroupName::new("orders")
}

/// A primary and two replicas; `REPLICA` has the given incarnation.
fn catalog(incarnation: u64) -> IndexedCatalog {
    let instance = |(number, name): (usize, &str)| Instance {
        name: InstanceName::new(name),
        zone: ZoneName::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
        slots: 3,
        connections: 40,
        leaving: false,
        incarnation: Some(InstanceIncarnation(if name == REPLICA { incarnation } else { 1 })),
        announced_role: Some(if name == PRIMARY { Role::Primary } else { Role::Replica }),
    };
    let group_of_three = Group {
        database: "orders".to_owned(),
        user: "kestrellock".to_owned(),
        instances: [PRIMARY, REPLICA, "c"].into_iter().enumerate().map(instance).collect(),
        confirmation: ConfirmationRule::Answered,
        elector: Elector::Proxy,
        synchronous_replicas: 1,
        connections: 40,
        promoted: None,
    };
    let mut catalog = Catalog::default();
    catalog.groups.insert(group(), group_of_three);
    IndexedCatalog::new(catalog)
}

fn status(role: Role, term: u32, offset: u64) -> ReplicationStatus {
    let received = Position { term: Term(term), offset: LogOffset(offset) };
    ReplicationStatus { role, term: Term(term), received, min_term: Term(0) }
}

/// The known instances after a restart of the replica, and the time at which the restart was seen.
fn restarted_replica() -> (KnownInstances, Instant) {
    let observed_since = Instant::now();
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(1), observed_since);
    let restart_seen = observed_since + 20 * SECOND;
    known.apply_catalog(&catalog(2), restart_seen);
    assert!(is_refilling(&known));
    (known, restart_seen)
}

fn is_refilling(known: &KnownInstances) -> bool {
    let members = known.members(&group());
    members.get(&InstanceName::new(REPLICA)).expect("the replica is listed").is_refilling
}

fn report_status(
    known: &mut KnownInstances,
    instance: &str,
    status: ReplicationStatus,
    asked: Instant,
) {
    known.on_status(&group(), &InstanceName::new(instance), &status, asked);
}

/// Guards against losing commits because a restarted instance counts as complete after some time.
/// It counted as complete 3 s after its restart although there was no primary from which it could
/// receive its log again (simulation of replacements, up to four faults, seed 604898).
#[test]
fn elapsed_time_does_not_complete_a_refill() {
    let (mut known, restart_seen) = restarted_replica();
    known.advance_time(restart_seen + 3600 * SECOND);
    assert!(is_refilling(&known));
    let targets = known.refill_status_targets(&group());
    let mut targets: Vec<&str> = targets.iter().map(InstanceName::as_str).collect();
    targets.sort_unstable();
    assert_eq!(targets, [PRIMARY, REPLICA]);
}

#[test]
fn refill_completes_at_a_position_reported_by_the_primary_after_the_restart() {
    let (mut known, restart_seen) = restarted_replica();
    report_status(&mut known, PRIMARY, status(Role::Primary, 1, 43), restart_seen + SECOND);
    report_status(&mut known, REPLICA, status(Role::Replica, 1, 42), restart_seen + SECOND);
    assert!(is_refilling(&known));
    // A later position of the primary does not matter.
    report_status(&mut known, PRIMARY, status(Role::Primary, 1, 60), restart_seen + 2 * SECOND);
    report_status(&mut known, REPLICA, status(Role::Replica, 1, 43), restart_seen + 2 * SECOND);
    assert!(!is_refilling(&known));
    let incarnation = InstanceIncarnation(2);
    let restart = ObservedRestart { instance: InstanceName::new(REPLICA), incarnation };
    let report = known.restart_report(&group(), None);
    assert_eq!((report.started_again, report.refilled), (vec![restart.clone()], vec![restart]));
    assert!(
        known.refill_status_targets(&group()).is_empty(),
        "no instance has to be queried any more"
    );
}

#[test]
fn reports_from_before_the_restart_was_seen_are_ignored() {
    let (mut known, restart_seen) = restarted_replica();
    report_status(&mut known, PRIMARY, status(Role::Primary, 1, 43), restart_seen - SECOND);
    report_status(&mut known, REPLICA, status(Role::Replica, 1, 43), restart_seen + SECOND);
    assert!(is_refilling(&known), "the primary may have acknowledged commits since");
    report_status(&mut known, PRIMARY, status(Role::Primary, 1, 43), restart_seen + SECOND);
    report_status(&mut known, REPLICA, status(Role::Replica, 1, 43), restart_seen - SECOND);
    assert!(is_refilling(&known), "the report is from the previous process");
}

/// Commits of a newer term may have been acknowledged before the restart, and an old primary lacks
/// them.
#[test]
fn refill_requires_the_newest_primary() {
    let (mut known, restart_seen) = restarted_replica();
    report_status(&mut known, PRIMARY, status(Role::Primary, 1, 43), restart_seen + SECOND);
    report_status(&mut known, "c", status(Role::Primary, 2, 50), restart_seen + SECOND);
    report_status(&mut known, REPLICA, status(Role::Replica, 1, 60), restart_seen + SECOND);
    assert!(is_refilling(&known));
    report_status(&mut known, REPLICA, status(Role::Replica, 2, 50), restart_seen + SECOND);
    assert!(!is_refilling(&known));
}

#[test]
fn another_restart_begins_a_new_refill() {
    let (mut known, restart_seen) = restarted_replica();
    report_status(&mut known, PRIMARY, status(Role::Primary, 1, 43), restart_seen + SECOND);
    report_status(&mut known, REPLICA, status(Role::Replica, 1, 43), restart_seen + SECOND);
    known.apply_catalog(&catalog(3), restart_seen + 2 * SECOND);
    assert!(is_refilling(&known));
    assert!(known.restart_report(&group(), None).refilled.is_empty());
}

/// A node that has just begun to observe a group cannot know about earlier restarts.
#[test]
fn node_does_not_know_restarts_until_it_has_observed_long_enough() {
    let observed_since = Instant::now();
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(1), observed_since);
    assert!(!known.members(&group()).knows_restarts);
    known.advance_time(observed_since + 4 * SECOND);
    assert!(known.members(&group()).knows_restarts);
}

/// A node that has just started may have acknowledged commits to clients in its previous process,
/// and does not remember their positions.
#[test]
fn node_reports_no_restarts_until_it_has_observed_long_enough() {
    let observed_since = Instant::now();
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(1), observed_since);
    known.apply_catalog(&catalog(2), observed_since + SECOND);
    assert!(known.restart_report(&group(), None).started_again.is_empty());
    known.advance_time(observed_since + 4 * SECOND);
    assert_eq!(known.restart_report(&group(), None).started_again.len(), 1);
}

#[test]
fn combined_report_requires_the_reports_of_all_nodes() {
    let nodes = ["one", "two", "three"].map(NodeName::new);
    let restart = |number| ObservedRestart {
        instance: InstanceName::new(REPLICA),
        incarnation: InstanceIncarnation(number),
    };
    let position = |offset| Position { term: Term(1), offset: LogOffset(offset) };
    let report = |incarnations: &[u64], offset: Option<u64>| RestartReport {
        started_again: incarnations.iter().map(|number| restart(*number)).collect(),
        refilled: Vec::new(),
        primary_position: offset.map(position),
        ..RestartReport::default()
    };
    let now = Instant::now();
    let mut reports = RestartReports::default();
    reports.add(&nodes[0], report(&[2, 3], Some(7)), now);
    reports.add(&nodes[1], report(&[2], Some(9)), now);
    assert_eq!(reports.combined(&nodes), None, "one report is missing");
    reports.add(&nodes[2], report(&[2, 3], None), now);
    let combined = reports.combined(&nodes).expect("all nodes have sent a report");
    assert_eq!(
        (combined.started_again, combined.highest_position),
        (vec![restart(2)], position(9))
    );
}
