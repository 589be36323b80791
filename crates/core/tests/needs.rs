//! Which primaries are to be replaced, by what the platform and the nodes say.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Catalog, Elector, Group, IndexedCatalog, Instance};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::promotion::{
    CoordinationView, Need, NeedsEvidence, NeedsJudge, NodeVotes, Reason, Vote,
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
    judge: &mut NeedsJudge,
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
        NeedsEvidence { catalog: &catalog, view: &view, own, live: &nodes, listed: &nodes, now };
    judge.judge(&evidence).remove(&GroupName::new(GROUP))
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
        let mut judged = NeedsJudge::default();
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
    let mut judged = NeedsJudge::default();
    assert_eq!(judge(&mut judged, &[PRIMARY, REPLICA], (0, 3), start), None);
    assert_eq!(judge(&mut judged, &[REPLICA], (0, 3), start), None, "it may only be late");
    let need = judge(&mut judged, &[REPLICA], (0, 3), start + Duration::from_secs(1));
    let need = need.expect("nothing leads");
    assert_eq!((need.reason, need.former), (Reason::Missing, Some(InstanceName::new("a"))));
}

#[test]
fn a_primary_that_is_a_replica_by_now_is_stopped_like_one() {
    let start = Instant::now();
    let mut judged = NeedsJudge::default();
    judge(&mut judged, &[PRIMARY, REPLICA], (0, 3), start);
    let roles = [("a", Role::Replica), REPLICA];
    judge(&mut judged, &roles, (0, 3), start);
    let need = judge(&mut judged, &roles, (0, 3), start + Duration::from_secs(1));
    assert_eq!(need.expect("nothing leads").former, None);
}
