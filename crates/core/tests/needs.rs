//! Which primaries are to be replaced, by what the platform and the nodes say.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Catalog, Elector, Group, IndexedCatalog, Instance};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::promotion::{
    CoordinationView, KnownInstances, Need, NeedsEvaluator, NeedsInput, NodeVotes, Reason, Vote,
};
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::Cause;

const GROUP: &str = "orders";

/// A group of instances, each with the role that it tells.
fn catalog(roles: &[(&str, Role)]) -> IndexedCatalog {
    let instance = |(number, (name, role)): (usize, &(&str, Role))| Instance {
        name: InstanceName::new(*name),
        zone: ZoneName::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
        slots: 3,
        connections: 40,
        leaving: false,
        incarnation: None,
        announced_role: Some(*role),
    };
    let group = Group {
        database: "orders".to_owned(),
        user: "kestrellock".to_owned(),
        instances: roles.iter().enumerate().map(instance).collect(),
        confirmation: ConfirmationRule::Answered,
        elector: Elector::Proxy,
        synchronous_replicas: 1,
        connections: 40,
        promoted: None,
    };
    let mut catalog = Catalog::default();
    catalog.groups.insert(GroupName::new(GROUP), group);
    IndexedCatalog::new(catalog)
}

fn nodes(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| NodeName::new(format!("node-{number}"))).collect()
}

/// What the first of `count` nodes judges, of which `suspecting` others suspect instance `a`.
fn judge(
    judge: &mut NeedsEvaluator,
    roles: &[(&str, Role)],
    (suspecting, count): (usize, usize),
    now: Instant,
) -> Option<Need> {
    let nodes = nodes(count);
    let mut view = CoordinationView { revision: 1, ..CoordinationView::default() };
    let vote = Vote { instance: InstanceName::new("a"), cause: Cause::Silent };
    let votes = NodeVotes::from([(GroupName::new(GROUP), vote)]);
    view.votes = nodes[1..=suspecting].iter().map(|node| (node.clone(), votes.clone())).collect();
    let catalog = catalog(roles);
    let own_votes = NodeVotes::new();
    let own = (&nodes[0], &own_votes);
    let evidence =
        NeedsInput { catalog: &catalog, view: &view, own, live: &nodes, listed: &nodes, now };
    judge.apply_catalog(&catalog);
    judge.evaluate(&evidence).remove(&GroupName::new(GROUP))
}

const PRIMARY: (&str, Role) = ("a", Role::Primary);
const REPLICA: (&str, Role) = ("b", Role::Replica);

#[test]
fn most_nodes_or_a_third_for_a_while_have_a_primary_replaced() {
    let start = Instant::now();
    let table = [
        // Nodes that suspect, of how many, at once, and after a second.
        (0, 6, false, false),
        (1, 6, false, false),
        (2, 6, false, true),
        (3, 6, false, true),
        (4, 6, true, true),
        (1, 2, false, true),
        // Of many nodes seven own the group: the others send its primary nothing.
        (2, 90, false, false),
        (3, 90, false, true),
        (4, 90, true, true),
    ];
    for (suspecting, count, at_once, later) in table {
        let mut judged = NeedsEvaluator::default();
        let roles = [PRIMARY, REPLICA];
        let votes = (suspecting, count);
        let first = judge(&mut judged, &roles, votes, start);
        assert_eq!(first.is_some(), at_once, "{suspecting} of {count}");
        let second = judge(&mut judged, &roles, votes, start + Duration::from_secs(1));
        assert_eq!(second.is_some(), later, "{suspecting} of {count} after a second");
    }
}

/// Gidanmu: a primary that was cut off vanished from the store. The attempt took it for one of the
/// replicas to be stopped, and waited for it for as long as the cut lasted.
#[test]
fn a_primary_that_vanished_is_the_one_to_be_replaced() {
    let start = Instant::now();
    let mut judged = NeedsEvaluator::default();
    assert_eq!(judge(&mut judged, &[PRIMARY, REPLICA], (0, 3), start), None);
    assert_eq!(judge(&mut judged, &[REPLICA], (0, 3), start), None, "it may only be late");
    let need = judge(&mut judged, &[REPLICA], (0, 3), start + Duration::from_secs(1));
    let need = need.expect("nothing leads");
    assert_eq!((need.reason, need.old_primary), (Reason::Missing, Some(InstanceName::new("a"))));
}

#[test]
fn a_primary_that_is_a_replica_by_now_is_stopped_like_one() {
    let start = Instant::now();
    let mut judged = NeedsEvaluator::default();
    judge(&mut judged, &[PRIMARY, REPLICA], (0, 3), start);
    let roles = [("a", Role::Replica), REPLICA];
    judge(&mut judged, &roles, (0, 3), start);
    let need = need_of_last(&mut judged, &roles, start);
    assert_eq!(need.old_primary, None);
    // Whatever it has answered is held by one of those that are told, so not all of them have to be stopped.
    assert!(need.last_primary_is_replica);
}

fn need_of_last(judged: &mut NeedsEvaluator, roles: &[(&str, Role)], start: Instant) -> Need {
    let later = start + Duration::from_secs(1);
    judge(judged, roles, (0, 3), later).expect("nothing leads")
}

/// `count` groups, each with a primary and a replica.
fn calm_catalog(count: usize) -> IndexedCatalog {
    let mut catalog = Catalog::default();
    let led = catalog_of_roles();
    for number in 0..count {
        catalog.groups.insert(GroupName::new(format!("group-{number}")), led.clone());
    }
    IndexedCatalog::new(catalog)
}

fn catalog_of_roles() -> Group {
    catalog(&[PRIMARY, REPLICA]).groups[&GroupName::new(GROUP)].clone()
}

/// What happened: every node judged every group and copied every instance twenty times a second: 85% of
/// the processor time of a node without work before 1,000 groups.
#[test]
fn groups_that_need_nothing_cost_nothing_while_nothing_changes() {
    for count in [10, 1_000] {
        let start = Instant::now();
        let (catalog, nodes) = (calm_catalog(count), nodes(3));
        let (mut judged, mut known) = (NeedsEvaluator::default(), KnownInstances::default());
        judged.apply_catalog(&catalog);
        known.apply_catalog(&catalog, start);
        let view = CoordinationView { revision: 1, ..CoordinationView::default() };
        let votes = NodeVotes::new();
        for look in 1..=100_u32 {
            let now = start + Duration::from_secs(5) + Duration::from_millis(50) * look;
            let own = (&nodes[0], &votes);
            let evidence = NeedsInput {
                catalog: &catalog,
                view: &view,
                own,
                live: &nodes,
                listed: &nodes,
                now,
            };
            assert!(judged.evaluate(&evidence).is_empty());
            // The first look ends the time in which starts from before are not known.
            let looked_at = known.advance_time(now);
            assert!(look == 1 || looked_at == 0, "{looked_at} of {count} groups looked at");
        }
        assert_eq!(judged.evaluation_count(), 0, "of {count} groups");
    }
}

/// A group whose votes have gone is judged until its count of votes is back at none.
#[test]
fn a_suspicion_that_ends_leaves_no_time_running() {
    let start = Instant::now();
    let mut judged = NeedsEvaluator::default();
    let roles = [PRIMARY, REPLICA];
    assert_eq!(judge(&mut judged, &roles, (2, 6), start), None);
    assert_eq!(judge(&mut judged, &roles, (0, 6), start + Duration::from_millis(900)), None);
    let again = start + Duration::from_millis(1_800);
    assert_eq!(judge(&mut judged, &roles, (2, 6), again), None, "it begins anew");
}

/// The same: a leaving instance counts for a while after its entry has gone.
#[test]
fn a_leaving_instance_whose_entry_has_gone_counts_as_one_that_may_run() {
    let start = Instant::now();
    let mut leaving = catalog(&[PRIMARY, REPLICA]);
    let mut known = KnownInstances::default();
    let group = GroupName::new(GROUP);
    let mut changed = kestrellock_core::catalog::Catalog::clone(&leaving);
    changed.groups.get_mut(&group).expect("the group").instances[1].leaving = true;
    leaving = IndexedCatalog::new(changed);
    known.apply_catalog(&leaving, start);
    known.apply_catalog(&catalog(&[PRIMARY]), start + Duration::from_secs(1));
    let members = known.members(&group);
    let member = members.get(&InstanceName::new("b")).expect("it may run");
    assert!(member.has_left);
    known.advance_time(start + Duration::from_secs(12));
    assert!(known.members(&group).get(&InstanceName::new("b")).is_none(), "it is long gone");
}
