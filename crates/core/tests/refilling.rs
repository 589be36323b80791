//! Instances that have started again: when they hold again what they held before.

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

/// A primary and two replicas, of which one tells the start of its process.
fn catalog(start: u64) -> IndexedCatalog {
    let instance = |(number, name): (usize, &str)| Instance {
        name: InstanceName::new(name),
        zone: ZoneName::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
        slots: 3,
        connections: 40,
        leaving: false,
        incarnation: Some(InstanceIncarnation(if name == REPLICA { start } else { 1 })),
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

fn stands(role: Role, term: u32, offset: u64) -> ReplicationStatus {
    let received = Position { term: Term(term), offset: LogOffset(offset) };
    ReplicationStatus { role, term: Term(term), received, min_term: Term(0) }
}

/// Instances of which the replica started again, as seen at the returned time.
fn started_again() -> (KnownInstances, Instant) {
    let watched = Instant::now();
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(1), watched);
    let seen = watched + 20 * SECOND;
    known.apply_catalog(&catalog(2), seen);
    assert!(is_refilling(&known));
    (known, seen)
}

fn is_refilling(known: &KnownInstances) -> bool {
    let members = known.members(&group());
    members.get(&InstanceName::new(REPLICA)).expect("it is told").is_refilling
}

fn says(known: &mut KnownInstances, instance: &str, standing: ReplicationStatus, asked: Instant) {
    known.on_status(&group(), &InstanceName::new(instance), &standing, asked);
}

/// An instance counted as whole 3 s after its start. Nobody led that could refill it, and a commit was lost that
/// another one held (simulation of replacements, up to four faults, seed 604898).
#[test]
fn time_refills_nothing() {
    let (mut known, seen) = started_again();
    known.advance_time(seen + 3600 * SECOND);
    assert!(is_refilling(&known));
    let asked = known.refill_status_targets(&group());
    let mut asked: Vec<&str> = asked.iter().map(InstanceName::as_str).collect();
    asked.sort_unstable();
    assert_eq!(asked, [PRIMARY, REPLICA]);
}

#[test]
fn it_is_whole_once_it_has_received_what_the_primary_had_after_its_start() {
    let (mut known, seen) = started_again();
    says(&mut known, PRIMARY, stands(Role::Primary, 1, 43), seen + SECOND);
    says(&mut known, REPLICA, stands(Role::Replica, 1, 42), seen + SECOND);
    assert!(is_refilling(&known));
    // What the primary has received since does not matter.
    says(&mut known, PRIMARY, stands(Role::Primary, 1, 60), seen + 2 * SECOND);
    says(&mut known, REPLICA, stands(Role::Replica, 1, 43), seen + 2 * SECOND);
    assert!(!is_refilling(&known));
    let start = InstanceIncarnation(2);
    let seen = ObservedRestart { instance: InstanceName::new(REPLICA), incarnation: start };
    let witness = known.restart_report(&group(), None);
    assert_eq!((witness.started_again, witness.refilled), (vec![seen.clone()], vec![seen]));
    assert!(known.refill_status_targets(&group()).is_empty(), "nothing is asked any more");
}

#[test]
fn what_was_said_before_its_start_was_seen_counts_for_nothing() {
    let (mut known, seen) = started_again();
    says(&mut known, PRIMARY, stands(Role::Primary, 1, 43), seen - SECOND);
    says(&mut known, REPLICA, stands(Role::Replica, 1, 43), seen + SECOND);
    assert!(is_refilling(&known), "the primary may have made commits since");
    says(&mut known, PRIMARY, stands(Role::Primary, 1, 43), seen + SECOND);
    says(&mut known, REPLICA, stands(Role::Replica, 1, 43), seen - SECOND);
    assert!(is_refilling(&known), "the process before said so");
}

/// Commits of a newer term may have been answered before the start: an old primary does not know of them.
#[test]
fn it_has_to_follow_the_newest_primary() {
    let (mut known, seen) = started_again();
    says(&mut known, PRIMARY, stands(Role::Primary, 1, 43), seen + SECOND);
    says(&mut known, "c", stands(Role::Primary, 2, 50), seen + SECOND);
    says(&mut known, REPLICA, stands(Role::Replica, 1, 60), seen + SECOND);
    assert!(is_refilling(&known));
    says(&mut known, REPLICA, stands(Role::Replica, 2, 50), seen + SECOND);
    assert!(!is_refilling(&known));
}

#[test]
fn another_start_begins_anew() {
    let (mut known, seen) = started_again();
    says(&mut known, PRIMARY, stands(Role::Primary, 1, 43), seen + SECOND);
    says(&mut known, REPLICA, stands(Role::Replica, 1, 43), seen + SECOND);
    known.apply_catalog(&catalog(3), seen + 2 * SECOND);
    assert!(is_refilling(&known));
    assert!(known.restart_report(&group(), None).refilled.is_empty());
}

/// A node that has just begun to watch cannot know what started again before.
#[test]
fn a_node_that_has_just_begun_to_watch_knows_no_starts() {
    let watched = Instant::now();
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(1), watched);
    assert!(!known.members(&group()).knows_restarts);
    known.advance_time(watched + 4 * SECOND);
    assert!(known.members(&group()).knows_restarts);
}

/// A node that has just begun to watch may have passed on commits, as the process before, that it does not
/// remember.
#[test]
fn a_node_that_has_just_begun_to_watch_bears_no_witness() {
    let watched = Instant::now();
    let mut known = KnownInstances::default();
    known.apply_catalog(&catalog(1), watched);
    known.apply_catalog(&catalog(2), watched + SECOND);
    assert!(known.restart_report(&group(), None).started_again.is_empty());
    known.advance_time(watched + 4 * SECOND);
    assert_eq!(known.restart_report(&group(), None).started_again.len(), 1);
}

#[test]
fn what_all_nodes_have_heard_needs_the_word_of_each() {
    let nodes = ["one", "two", "three"].map(NodeName::new);
    let start = |number| ObservedRestart {
        instance: InstanceName::new(REPLICA),
        incarnation: InstanceIncarnation(number),
    };
    let position = |offset| Position { term: Term(1), offset: LogOffset(offset) };
    let says = |starts: &[u64], offset: Option<u64>| RestartReport {
        started_again: starts.iter().map(|number| start(*number)).collect(),
        refilled: Vec::new(),
        primary_position: offset.map(position),
    };
    let mut witnesses = RestartReports::default();
    witnesses.add(&nodes[0], says(&[2, 3], Some(7)));
    witnesses.add(&nodes[1], says(&[2], Some(9)));
    assert_eq!(witnesses.combined(&nodes), None, "one has not spoken");
    witnesses.add(&nodes[2], says(&[2, 3], None));
    let heard = witnesses.combined(&nodes).expect("all have spoken");
    assert_eq!((heard.started_again, heard.highest_position), (vec![start(2)], position(9)));
}
