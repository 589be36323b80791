//! Which instance of a group leads, and whether one may be an old primary.

use std::net::SocketAddr;

use kestrellock_core::catalog::{Elector, Group, Instance};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{InstanceName, ZoneName};
use kestrellock_core::routing::Role;

fn instance(name: &str, role: Role) -> Instance {
    Instance {
        name: InstanceName::new(name),
        zone: ZoneName::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 3,
        connections: 30,
        leaving: false,
        announced_role: Some(role),
        incarnation: None,
    }
}

fn group(instances: Vec<Instance>, promoted: Option<&str>) -> Group {
    Group {
        database: "orders".to_owned(),
        user: "kestrellock".to_owned(),
        instances,
        confirmation: ConfirmationRule::Answered,
        elector: Elector::Proxy,
        synchronous_replicas: 1,
        connections: 30,
        promoted: promoted.map(InstanceName::new),
    }
}

/// Guards against writes at an old primary that is back while the one promoted after it is being replaced.
#[test]
fn an_old_primary_is_not_the_newest_while_its_successor_is_replaced() {
    let (old, successor) = (InstanceName::new("old"), InstanceName::new("successor"));
    let both = vec![instance("old", Role::Primary), instance("successor", Role::Primary)];
    let group = group(both, Some("successor"));
    let leader = group.leader(Some(&successor)).expect("one leads");
    assert_eq!(leader.name, old);
    assert!(!group.is_last_promoted(&old));
    assert!(group.is_last_promoted(&successor));
}

/// Guards against a group that nobody may write to because whoever was promoted last is gone for good.
#[test]
fn any_leader_may_be_the_newest_where_the_one_promoted_last_is_gone() {
    let group = group(vec![instance("old", Role::Primary)], Some("successor"));
    assert!(group.is_last_promoted(&InstanceName::new("old")));
}
