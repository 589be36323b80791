//! A fault in one part of a catalog affects only that part and the entries that refer to it. If the
//! first fault rejected the whole catalog, an instance with an invalid report would block every
//! change of the operators.

use kestrellock_core::catalog::{Catalog, Revision, VersionedCatalog};
use kestrellock_core::ids::{GroupName, TenantName, ZoneName};
use proptest::prelude::*;

use crate::strategies::catalog;
use crate::{VALID, fixed_seed};

/// The valid catalog, with groups whose instances report themselves.
fn reported() -> String {
    VALID.replace("user = \"proxy\"", "user = \"proxy\"\nelector = \"proxy\"\nconnections = 35")
}

fn without_faults(text: &str) -> (VersionedCatalog, Vec<String>) {
    let catalog: Catalog = toml::from_str(text).expect(text);
    let (remaining, faults) =
        VersionedCatalog::from(Catalog { revision: Revision(7), ..catalog }).without_faults();
    let faults = faults.iter().map(|fault| format!("{} {}", fault.subject, fault.error.field));
    (remaining, faults.collect())
}

fn names<K: ToString, V>(table: &std::collections::BTreeMap<K, V>) -> Vec<String> {
    table.keys().map(ToString::to_string).collect()
}

#[test]
fn a_valid_catalog_stays_complete() {
    for text in [VALID.to_owned(), reported()] {
        let (catalog, faults) = without_faults(&text);
        assert!(faults.is_empty(), "{faults:?}");
        let whole: Catalog = toml::from_str(&text).expect("it parses");
        assert_eq!(*catalog, Catalog { revision: Revision(7), ..whole });
    }
}

#[test]
fn only_the_instance_with_an_invalid_report_is_removed() {
    // The replaced text, its replacement, and the field of the fault; empty if the instance is
    // valid.
    let table = [
        ("name = \"orders-2\"", "name = \"I-2\"", "groups.orders.instances[1].name"),
        ("name = \"orders-2\"", "name = \"orders-1\"", "groups.orders.instances[1].name"),
        ("zone = \"south\"", "zone = \"Far South\"", "groups.orders.instances[1].zone"),
        ("zone = \"south\"", "zone = \"\"", "groups.orders.instances[1].zone"),
        ("10.0.0.2:5432", "10.0.0.2:0", "groups.orders.instances[1].address"),
        ("10.0.0.2:5432", "0.0.0.0:5432", "groups.orders.instances[1].address"),
        (
            "10.0.0.2:5432\", slots = 5",
            "10.0.0.2:5432\", slots = 0",
            "groups.orders.instances[1].slots",
        ),
        (
            "10.0.0.2:5432\", slots = 5",
            "10.0.0.2:5432\", slots = 1001",
            "groups.orders.instances[1].slots",
        ),
        // More slots than its group's connections: the smaller number applies.
        ("10.0.0.2:5432\", slots = 5", "10.0.0.2:5432\", slots = 36", ""),
        // The address of another instance, of the same or another group: instances are addressed by
        // name, so both are valid.
        ("10.0.0.2:5432", "10.0.0.1:5432", ""),
        ("10.0.0.2:5432", "10.0.0.3:5432", ""),
    ];
    for (from, to, field) in table {
        let text = reported();
        assert!(text.contains(from), "{from}");
        let (catalog, faults) = without_faults(&text.replacen(from, to, 1));
        catalog.validate().expect("the remaining catalog is valid");
        let orders = &catalog.groups[&GroupName::new("orders")];
        let remaining: Vec<&str> = orders.instances.iter().map(|one| one.name.as_str()).collect();
        match field {
            "" => assert_eq!((faults.len(), remaining.len()), (0, 2), "{to}: {faults:?}"),
            field => {
                assert_eq!(faults.len(), 1, "{to}: {faults:?}");
                assert!(faults[0].ends_with(field), "{to}: {faults:?}");
                assert_eq!(remaining, ["orders-1"], "{to}");
            }
        }
        assert_eq!(names(&catalog.tenants), ["atlas", "parents"], "{to}");
        assert_eq!(catalog.groups[&GroupName::new("proofs")].instances.len(), 1, "{to}");
    }
}

#[test]
fn the_number_of_reported_instances_is_not_limited() {
    let mut catalog: Catalog = toml::from_str(&reported()).expect("it parses");
    let orders = catalog.groups.get_mut("orders").expect("a group");
    for number in 0..40 {
        let mut instance = orders.instances[0].clone();
        instance.name = format!("more-{number}").into();
        instance.address.set_port(6_000 + number);
        orders.instances.push(instance);
    }
    assert_eq!(catalog.validate(), Ok(()));
}

#[test]
fn a_faulty_entry_is_removed_with_entries_that_refer_to_it() {
    let account = |name: &str| format!("[accounts.{name}]\ncredentials = []\n");
    // The replaced text, its replacement, the remaining tenants, and the fields of the faults.
    let table: [(&str, &str, &[&str], &[&str]); 8] = [
        ("capacity = 2", "capacity = 0", &["atlas"], &["tenants.parents.capacity"]),
        ("capacity = 2", "groups = [\"none\"]", &["atlas"], &["tenants.parents.groups[0]"]),
        ("[tenants.parents]", "[tenants.\"Parents\"]", &["atlas"], &["tenants.Parents"]),
        ("parent =", "teacher =", &["atlas"], &["tenants.parents.logins.teacher"]),
        (
            "capacity = 4",
            "capacity = 0",
            &[],
            &["templates.school.capacity", "tenants.atlas.template", "tenants.parents.template"],
        ),
        (
            "10.0.0.2:5432",
            "10.0.0.1:5432",
            &[],
            &[
                "groups.orders.instances[1].address",
                "templates.school.groups[0]",
                "tenants.atlas.template",
                "tenants.parents.template",
            ],
        ),
        (
            "deadline_ms = 5000",
            "deadline_ms = 0",
            &[],
            &["templates.school.deadline_ms", "tenants.atlas.template", "tenants.parents.template"],
        ),
        ("[groups.orders]", &account("\"a b\""), &["atlas", "parents"], &["accounts.a b"]),
    ];
    for (from, to, tenants, fields) in table {
        let text = match to.starts_with("[accounts") {
            true => format!("{VALID}\n{to}"),
            false => VALID.replacen(from, to, 1),
        };
        let (catalog, faults) = without_faults(&text);
        catalog.validate().expect("the remaining catalog is valid");
        assert_eq!(names(&catalog.tenants), tenants, "{to}");
        assert_eq!(faults.len(), fields.len(), "{to}: {faults:?}");
        for (fault, field) in faults.iter().zip(fields) {
            assert!(fault.ends_with(field), "{to}: {faults:?}");
        }
    }
}

#[test]
fn a_duplicate_login_stays_with_the_first_valid_tenant() {
    let text = VALID.replacen("teacher =", "\"\" =", 1).replacen("parent =", "teacher =", 1);
    let (catalog, faults) = without_faults(&text);
    assert_eq!(names(&catalog.tenants), ["parents"], "{faults:?}");
    assert!(catalog.tenants[&TenantName::new("parents")].logins.contains_key("teacher"));
}

/// Every node logs the faults of reported instances. An instance may report a zone of a megabyte.
#[test]
fn the_fault_of_a_long_name_is_short() {
    for long in ["z".repeat(1_000_000), "\u{e9}".repeat(500_000), "\n".repeat(1_000_000)] {
        let mut catalog: Catalog = toml::from_str(&reported()).expect("it parses");
        let group = catalog.groups.get_mut(&GroupName::new("orders")).expect("the group");
        group.instances[1].zone = ZoneName::new(&long);
        let faults = catalog.faults();
        let [fault] = &faults[..] else { panic!("one fault, not {}", faults.len()) };
        assert_eq!(fault.error.field, "groups.orders.instances[1].zone");
        assert!(fault.error.problem.len() < 500, "{} bytes", fault.error.problem.len());
        assert!(fault.error.problem.contains("1000000 bytes"), "{}", fault.error.problem);
    }
}

proptest! {
    #![proptest_config(fixed_seed(512))]

    #[test]
    fn only_faulty_parts_are_removed_and_the_rest_is_valid(catalog in catalog()) {
        let faults = catalog.faults();
        prop_assert_eq!(faults.is_empty(), catalog.validate().is_ok());
        let (remaining, reported_faults) = VersionedCatalog::from(catalog.clone()).without_faults();
        prop_assert_eq!(remaining.validate(), Ok(()));
        prop_assert_eq!(reported_faults.len(), faults.len());
        let entries = |catalog: &Catalog| {
            let instances: usize =
                catalog.groups.values().map(|group| group.instances.len()).sum();
            let entries = catalog.templates.len() + catalog.tenants.len() + catalog.accounts.len();
            (catalog.groups.len(), instances, entries + catalog.zones.len())
        };
        let (groups, instances, others) = entries(&catalog);
        let (groups_left, instances_left, others_left) = entries(&remaining);
        prop_assert!(groups + instances + others >= groups_left + instances_left + others_left);
        let removed = (groups - groups_left) + (others - others_left);
        let of_entries = reported_faults.iter().filter(|fault| !fault.subject.to_string().starts_with("instance ")).count();
        prop_assert_eq!(removed, of_entries);
        prop_assert_eq!(remaining.fingerprint(), VersionedCatalog::from(Catalog::clone(&remaining)).fingerprint());
    }
}
