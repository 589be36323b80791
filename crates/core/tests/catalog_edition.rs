//! Catalogs after a store restore: the operators' entries of the active edition stay, and the
//! reports of instances come from the restored store.

use std::collections::BTreeMap;

use kestrellock_core::catalog::{
    Catalog, CatalogVersion, Edition, Elector, Group, Instance, Revision, VersionedCatalog, Zone,
};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{GroupName, InstanceName, ZoneName};

fn instance(name: &str) -> Instance {
    Instance {
        name: InstanceName::new(name),
        zone: ZoneName::new("zone"),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 1,
        connections: 10,
        leaving: false,
        announced_role: None,
        incarnation: None,
    }
}

fn group(connections: u32, instances: &[&str]) -> Group {
    Group {
        database: "orders".to_owned(),
        user: "proxy".to_owned(),
        instances: instances.iter().map(|name| instance(name)).collect(),
        confirmation: ConfirmationRule::Answered,
        elector: Elector::Proxy,
        synchronous_replicas: 1,
        connections,
        promoted: instances.last().map(InstanceName::new),
    }
}

fn catalog(edition: u64, revision: u64, groups: Vec<(&str, Group)>) -> VersionedCatalog {
    let groups: BTreeMap<GroupName, Group> =
        groups.into_iter().map(|(name, group)| (GroupName::new(name), group)).collect();
    let (edition, revision) = (Edition(edition), Revision(revision));
    Catalog { edition, revision, groups, ..Catalog::default() }.into()
}

#[test]
fn from_an_older_edition_only_instances_are_taken() {
    let drained = [(ZoneName::new("zone"), Zone { drained: true })].into();
    let mut active =
        catalog(7, 30, vec![("orders", group(20, &["i-1"])), ("added-since", group(20, &["i-5"]))]);
    active = Catalog { zones: drained, ..Catalog::clone(&active) }.into();
    let read = catalog(
        5,
        1_000,
        vec![("orders", group(10, &["i-1", "i-2"])), ("removed-since", group(10, &[]))],
    );
    assert!(read.is_older_edition_than(&active));
    let merged = read.with_operator_entries_of(&active);
    let expected = [("orders", group(20, &["i-1", "i-2"])), ("added-since", group(20, &["i-5"]))];
    let expected = catalog(7, 1_000, expected.into());
    assert_eq!(merged.groups, expected.groups);
    assert_eq!(merged.version(), expected.version());
    assert_eq!(merged.zones, active.zones);
    assert_eq!(merged.fingerprint(), VersionedCatalog::from(Catalog::clone(&merged)).fingerprint());
}

#[test]
fn catalogs_without_an_edition_are_never_older() {
    let numbered = |edition| catalog(edition, 1, Vec::new());
    assert!(!numbered(0).is_older_edition_than(&numbered(7)));
    assert!(!numbered(7).is_older_edition_than(&numbered(7)));
    assert!(!numbered(8).is_older_edition_than(&numbered(7)));
}

/// A delta from another node must carry the edition even if no entry has changed.
#[test]
fn a_delta_carries_the_edition() {
    let before = catalog(5, 1, vec![("orders", group(10, &["i-1"]))]);
    let after = catalog(6, 2, vec![("orders", group(10, &["i-1"]))]);
    let arrived = before.with_delta(after.delta_for(&before.summary())).expect("it fits");
    let expected = CatalogVersion { edition: Edition(6), revision: Revision(2) };
    assert_eq!(arrived.version(), expected);
}

/// A node that started on a restored store lacks newer operator changes. Evidence of another node
/// for the newer edition must not count for this node's catalog, although its revision is higher.
#[test]
fn a_version_covers_another_only_in_both_numbers() {
    let version = |edition, revision| CatalogVersion {
        edition: Edition(edition),
        revision: Revision(revision),
    };
    assert!(version(7, 1_000).covers(version(7, 30)));
    assert!(!version(5, 1_000).covers(version(7, 30)));
    assert!(!version(7, 30).covers(version(7, 1_000)));
}
