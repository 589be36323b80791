//! What one part of a catalog says wrongly concerns that part, and what refers to it. While the first fault
//! refused the whole, an instance that said something wrong of itself held every change of the operators
//! back.

use kestrellock_core::catalog::{Catalog, Revision, VersionedCatalog};
use kestrellock_core::ids::{GroupName, TenantName};
use proptest::prelude::*;

use crate::strategies::catalog;
use crate::{VALID, fixed};

/// The same catalog with instances that report themselves.
fn reported() -> String {
    VALID.replace("user = \"proxy\"", "user = \"proxy\"\nelector = \"proxy\"\nconnections = 35")
}

fn usable(text: &str) -> (VersionedCatalog, Vec<String>) {
    let catalog: Catalog = toml::from_str(text).expect(text);
    let (usable, faults) =
        VersionedCatalog::from(Catalog { revision: Revision(7), ..catalog }).without_faults();
    let faults = faults.iter().map(|fault| format!("{} {}", fault.subject, fault.error.field));
    (usable, faults.collect())
}

fn names<K: ToString, V>(table: &std::collections::BTreeMap<K, V>) -> Vec<String> {
    table.keys().map(ToString::to_string).collect()
}

#[test]
fn nothing_is_left_out_of_a_valid_catalog() {
    for text in [VALID.to_owned(), reported()] {
        let (catalog, faults) = usable(&text);
        assert!(faults.is_empty(), "{faults:?}");
        let whole: Catalog = toml::from_str(&text).expect("it parses");
        assert_eq!(*catalog, Catalog { revision: Revision(7), ..whole });
    }
}

#[test]
fn an_instance_that_reports_something_wrong_is_left_out_alone() {
    // What it says, the field that is told; empty: it is used all the same.
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
        // More slots than its group's connections: the smaller number holds.
        ("10.0.0.2:5432\", slots = 5", "10.0.0.2:5432\", slots = 36", ""),
        // Told at the address of another one of its group, or of another group: whoever answers is there.
        ("10.0.0.2:5432", "10.0.0.1:5432", ""),
        ("10.0.0.2:5432", "10.0.0.3:5432", ""),
    ];
    for (from, to, field) in table {
        let text = reported();
        assert!(text.contains(from), "{from}");
        let (catalog, faults) = usable(&text.replacen(from, to, 1));
        catalog.validate().expect("the rest is valid");
        let orders = &catalog.groups[&GroupName::new("orders")];
        let known: Vec<&str> = orders.instances.iter().map(|one| one.name.as_str()).collect();
        match field {
            "" => assert_eq!((faults.len(), known.len()), (0, 2), "{to}: {faults:?}"),
            field => {
                assert_eq!(faults.len(), 1, "{to}: {faults:?}");
                assert!(faults[0].ends_with(field), "{to}: {faults:?}");
                assert_eq!(known, ["orders-1"], "{to}");
            }
        }
        assert_eq!(names(&catalog.tenants), ["atlas", "parents"], "{to}");
        assert_eq!(catalog.groups[&GroupName::new("proofs")].instances.len(), 1, "{to}");
    }
}

#[test]
fn any_number_of_instances_may_report_themselves() {
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
fn a_faulty_entry_goes_with_what_refers_to_it() {
    let account = |name: &str| format!("[accounts.{name}]\ncredentials = []\n");
    // What is written, tenants that stay, fields that are told.
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
        let written = match to.starts_with("[accounts") {
            true => format!("{VALID}\n{to}"),
            false => VALID.replacen(from, to, 1),
        };
        let (catalog, faults) = usable(&written);
        catalog.validate().expect("the rest is valid");
        assert_eq!(names(&catalog.tenants), tenants, "{to}");
        assert_eq!(faults.len(), fields.len(), "{to}: {faults:?}");
        for (fault, field) in faults.iter().zip(fields) {
            assert!(fault.ends_with(field), "{to}: {faults:?}");
        }
    }
}

#[test]
fn a_login_or_credential_of_two_stays_with_the_first_that_is_whole() {
    let text = VALID.replacen("teacher =", "\"\" =", 1).replacen("parent =", "teacher =", 1);
    let (catalog, faults) = usable(&text);
    assert_eq!(names(&catalog.tenants), ["parents"], "{faults:?}");
    assert!(catalog.tenants[&TenantName::new("parents")].logins.contains_key("teacher"));
}

proptest! {
    #![proptest_config(fixed(512))]

    #[test]
    fn what_stays_is_valid_and_nothing_that_was_not_faulty_goes(catalog in catalog()) {
        let faults = catalog.faults();
        prop_assert_eq!(faults.is_empty(), catalog.validate().is_ok());
        let (usable, told) = VersionedCatalog::from(catalog.clone()).without_faults();
        prop_assert_eq!(usable.validate(), Ok(()));
        prop_assert_eq!(told.len(), faults.len());
        let entries = |catalog: &Catalog| {
            let instances: usize =
                catalog.groups.values().map(|group| group.instances.len()).sum();
            let entries = catalog.templates.len() + catalog.tenants.len() + catalog.accounts.len();
            (catalog.groups.len(), instances, entries + catalog.zones.len())
        };
        let (groups, instances, others) = entries(&catalog);
        let (groups_left, instances_left, others_left) = entries(&usable);
        prop_assert!(groups + instances + others >= groups_left + instances_left + others_left);
        let gone = (groups - groups_left) + (others - others_left);
        let of_entries = told.iter().filter(|fault| !fault.subject.to_string().starts_with("instance ")).count();
        prop_assert_eq!(gone, of_entries);
        prop_assert_eq!(usable.fingerprint(), VersionedCatalog::from(Catalog::clone(&usable)).fingerprint());
    }
}
