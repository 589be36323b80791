//! The catalog: validation names the field of each invalid value, encoding loses nothing, and a
//! fault affects only its own entry.

mod faults;
mod strategies;

use std::collections::BTreeMap;

use kestrellock_core::catalog::{Catalog, IndexedCatalog};
use kestrellock_core::credential::CredentialDigest;
use kestrellock_core::ids::{AccountName, GroupName, InstanceName, TemplateName, TenantName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strategies::{catalog, template, tenant};

const VERIFIER: &str = "SCRAM-SHA-256$4096:c2FsdA==$q0jRZFKpwzPmVmkWQNvSNQ5GwR8Cf8y9Xb6xkvJQ0OM=:O6V1x0pS8cVmlhz0OTWc0jT0tXKp0pRcm3V2yYcE9rI=";
pub(crate) const VALID: &str = r#"
[groups.orders]
database = "orders"
user = "proxy"
instances = [
  { name = "orders-1", zone = "north", address = "10.0.0.1:5432", slots = 5, connections = 35 },
  { name = "orders-2", zone = "south", address = "10.0.0.2:5432", slots = 5, connections = 35 },
]
[groups.proofs]
database = "proofs"
user = "proxy"
instances = [
  { name = "proofs-1", zone = "north", address = "10.0.0.3:5432", slots = 5, connections = 35 },
]
[templates.school]
groups = ["orders", "proofs"]
max_staleness_ms = 1000
capacity = 4
deadline_ms = 5000
[tenants.atlas]
template = "school"
logins = { teacher = "SCRAM-SHA-256$4096:c2FsdA==$q0jRZFKpwzPmVmkWQNvSNQ5GwR8Cf8y9Xb6xkvJQ0OM=:O6V1x0pS8cVmlhz0OTWc0jT0tXKp0pRcm3V2yYcE9rI=" }
[tenants.parents]
template = "school"
logins = { parent = "SCRAM-SHA-256$4096:c2FsdA==$q0jRZFKpwzPmVmkWQNvSNQ5GwR8Cf8y9Xb6xkvJQ0OM=:O6V1x0pS8cVmlhz0OTWc0jT0tXKp0pRcm3V2yYcE9rI=" }
capacity = 2
"#;

#[test]
fn every_invalid_value_is_rejected_with_its_field() {
    // The replaced text, its replacement, and the field that the error names; empty if the text
    // does not parse.
    let table = [
        ("[groups.orders]", "[groups.Orders]", "groups.Orders"),
        ("[groups.orders]", "[groups.\"\"]", "groups."),
        ("database = \"orders\"", "database = \"\"", "groups.orders.database"),
        ("database = \"orders\"", "database = \"a\\u0000\"", "groups.orders.database"),
        ("user = \"proxy\"", "user = \"\"", "groups.orders.user"),
        (
            "{ name = \"proofs-1\", zone = \"north\", address = \"10.0.0.3:5432\", slots = 5, connections = 35 },",
            "",
            "groups.proofs.instances",
        ),
        ("name = \"orders-1\"", "name = \"1\"", "groups.orders.instances[0].name"),
        ("name = \"orders-2\"", "name = \"orders-1\"", "groups.orders.instances[1].name"),
        ("name = \"proofs-1\"", "name = \"orders-1\"", "groups.proofs.instances[0].name"),
        ("zone = \"south\"", "zone = \"\"", "groups.orders.instances[1].zone"),
        ("10.0.0.2:5432", "10.0.0.1:5432", "groups.orders.instances[1].address"),
        ("10.0.0.3:5432", "10.0.0.1:5432", "groups.proofs.instances[0].address"),
        ("10.0.0.2:5432", "0.0.0.0:5432", "groups.orders.instances[1].address"),
        ("10.0.0.2:5432", "10.0.0.2:0", "groups.orders.instances[1].address"),
        ("slots = 5", "slots = 0", "groups.orders.instances[0].slots"),
        ("slots = 5", "slots = 1001", "groups.orders.instances[0].slots"),
        ("connections = 35", "connections = 0", "groups.orders.instances[0].connections"),
        ("connections = 35", "connections = 4", "groups.orders.instances[0].connections"),
        ("connections = 35", "connections = 10001", "groups.orders.instances[0].connections"),
        ("[templates.school]", "[templates.sch+ool]", ""),
        ("[templates.school]", "[templates.\"a b\"]", "templates.a b"),
        ("\"orders\", \"proofs\"", "\"orders\", \"none\"", "templates.school.groups[1]"),
        ("\"orders\", \"proofs\"", "\"orders\", \"orders\"", "templates.school.groups[1]"),
        ("database = \"proofs\"", "database = \"orders\"", "templates.school.groups[1]"),
        (
            "max_staleness_ms = 1000",
            "max_staleness_ms = 3600001",
            "templates.school.max_staleness_ms",
        ),
        ("capacity = 4", "capacity = 0", "templates.school.capacity"),
        ("capacity = 4", "capacity = 100001", "templates.school.capacity"),
        ("deadline_ms = 5000", "deadline_ms = 0", "templates.school.deadline_ms"),
        ("deadline_ms = 5000", "deadline_ms = 600001", "templates.school.deadline_ms"),
        ("[tenants.atlas]", "[tenants.\"Atlas\"]", "tenants.Atlas"),
        (
            "template = \"school\"\nlogins = { t",
            "template = \"none\"\nlogins = { t",
            "tenants.atlas.template",
        ),
        ("capacity = 2", "capacity = 0", "tenants.parents.capacity"),
        ("capacity = 2", "groups = [\"none\"]", "tenants.parents.groups[0]"),
        ("capacity = 2", "deadline_ms = 0", "tenants.parents.deadline_ms"),
        ("capacity = 2", "max_staleness_ms = 9999999", "tenants.parents.max_staleness_ms"),
        ("parent =", "teacher =", "tenants.parents.logins.teacher"),
        ("teacher =", "\"\" =", "tenants.atlas.logins."),
        ("teacher = \"SCRAM-SHA-256$4096", "teacher = \"MD5$4096", "tenants.atlas.logins.teacher"),
        (
            "teacher = \"SCRAM-SHA-256$4096",
            "teacher = \"SCRAM-SHA-256$0",
            "tenants.atlas.logins.teacher",
        ),
        (
            "$q0jRZFKpwzPmVmkWQNvSNQ5GwR8Cf8y9Xb6xkvJQ0OM=:O6V1x0pS8cVmlhz0OTWc0jT0tXKp0pRcm3V2yYcE9rI=\" }\n[tenants.parents]",
            "$q0jRZFKpwzPmVmkWQNvSNQ5GwR8Cf8y9Xb6xkvJQ0OM=\" }\n[tenants.parents]",
            "tenants.atlas.logins.teacher",
        ),
        (
            "c2FsdA==$q0jRZFKpwzPmVmkWQNvSNQ5GwR8Cf8y9Xb6xkvJQ0OM=:O6V1x0pS8cVmlhz0OTWc0jT0tXKp0pRcm3V2yYcE9rI=\" }\n[tenants.parents]",
            "c2F sdA$q0jRZFKpwzPmVmkWQNvSNQ5GwR8Cf8y9Xb6xkvJQ0OM=:O6V1x0pS8cVmlhz0OTWc0jT0tXKp0pRcm3V2yYcE9rI=\" }\n[tenants.parents]",
            "tenants.atlas.logins.teacher",
        ),
    ];
    for (from, to, field) in table {
        assert!(VALID.contains(from), "{from}");
        let text = VALID.replacen(from, to, 1);
        let Ok(catalog) = toml::from_str::<Catalog>(&text) else {
            assert_eq!(field, "", "{from} -> {to} does not parse");
            continue;
        };
        let error = catalog.validate().expect_err(&text);
        assert_eq!(error.field, field, "{from} -> {to}: {error}");
        assert!(!error.problem.contains("q0jRZFKp"), "the error shows a verifier: {error}");
    }
}

#[test]
fn unknown_fields_are_rejected() {
    for (from, to) in [
        ("user = ", "usr = \"x\"\nuser = "),
        ("slots = 5", "slots = 5, slot = 5"),
        ("capacity = 4", "capacity = 4\ncapacities = 4"),
        ("capacity = 2", "capacitor = 2"),
        ("[tenants.atlas]", "[tenant.atlas]"),
    ] {
        let text = VALID.replacen(from, to, 1);
        assert!(toml::from_str::<Catalog>(&text).is_err(), "{to}");
    }
}

#[test]
fn lookups_agree_with_the_catalog() {
    let catalog: Catalog = toml::from_str(VALID).expect("it parses");
    catalog.validate().expect("it is valid");
    let indexed = IndexedCatalog::new(catalog);
    let (tenant, verifier) = indexed.login("parent").expect("a login");
    assert_eq!((tenant.as_str(), verifier), ("parents", VERIFIER));
    assert!(indexed.login("atlas").is_none());
    let (group, instance) = indexed.instance(&InstanceName::new("orders-2")).expect("an instance");
    assert_eq!((group.as_str(), instance.zone.as_str()), ("orders", "south"));
    assert!(indexed.instance(&InstanceName::new("orders")).is_none());
    let parameters = indexed.parameters(&TenantName::new("parents")).expect("a tenant");
    assert_eq!((parameters.values.capacity, parameters.values.deadline_ms.0), (2, 5000));
    assert_eq!(indexed.group_for(&parameters, "proofs"), Some(&GroupName::new("proofs")));
}

/// Configuration with a fixed seed, so that every run generates the same cases.
pub(crate) fn fixed_seed(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(0x6b65_7374);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed(128))]

    #[test]
    fn validating_never_panics_and_is_repeatable(catalog in catalog()) {
        prop_assert_eq!(catalog.validate(), catalog.validate());
    }

    #[test]
    fn catalogs_survive_a_round_trip_through_toml_json_and_cbor(catalog in catalog()) {
        let text = toml::to_string(&catalog).expect("TOML");
        prop_assert_eq!(&toml::from_str::<Catalog>(&text).expect("TOML"), &catalog);
        let json = serde_json::to_vec(&catalog).expect("JSON");
        prop_assert_eq!(&serde_json::from_slice::<Catalog>(&json).expect("JSON"), &catalog);
        let mut cbor = Vec::new();
        ciborium::into_writer(&catalog, &mut cbor).expect("CBOR");
        let decoded: Catalog = ciborium::from_reader(cbor.as_slice()).expect("CBOR");
        prop_assert_eq!(&decoded, &catalog);
        for name in catalog.tenants.keys() {
            prop_assert_eq!(decoded.parameters(name), catalog.parameters(name));
        }
    }

    #[test]
    fn overrides_replace_template_values(
        template in template(), mut tenant in tenant(),
    ) {
        tenant.template = TemplateName::new("t");
        let name = TenantName::new("n");
        let catalog = Catalog {
            templates: BTreeMap::from([(TemplateName::new("t"), template.clone())]),
            tenants: BTreeMap::from([(name.clone(), tenant.clone())]),
            ..Catalog::default()
        };
        let merged = catalog.parameters(&name).expect("both exist").values;
        prop_assert_eq!(merged.groups, tenant.groups.unwrap_or(template.groups));
        prop_assert_eq!(merged.capacity, tenant.capacity.unwrap_or(template.capacity));
        prop_assert_eq!(merged.deadline_ms, tenant.deadline_ms.unwrap_or(template.deadline_ms));
        let staleness = tenant.max_staleness_ms.unwrap_or(template.max_staleness_ms);
        prop_assert_eq!(merged.max_staleness_ms, staleness);
        prop_assert_eq!(merged.write_priority, template.write_priority);
    }
}

#[test]
fn accounts_are_parsed_and_invalid_values_are_rejected() {
    let digest = CredentialDigest::of("test").to_string();
    let text = |credentials: &str, quota: &str| {
        format!("[accounts.atlas]\ncredentials = [{credentials}]\n{quota}")
    };
    let valid = text(&format!("'{digest}'"), "quota = { per_second = 200, burst = 0.5 }");
    let catalog: Catalog = toml::from_str(&valid).expect("it parses");
    catalog.validate().expect("it is valid");
    let quota =
        catalog.accounts[&AccountName::new("atlas")].quota.expect("the account has a quota");
    assert_eq!((quota.per_second.count(), quota.burst.count()), (200.0, 0.5));
    for invalid in [
        text("'test'", ""),
        text("'9f86'", ""),
        text("", "quota = { per_second = -1, burst = 0 }"),
        text("", "quota = { per_second = 1 }"),
        text("", "quota = { per_second = nan, burst = 1 }"),
        text("", "quota = { per_second = 1e12, burst = 1 }"),
        text("", "rate = 5"),
    ] {
        let error = toml::from_str::<Catalog>(&invalid).expect_err(&invalid).to_string();
        assert!(!error.is_empty());
    }
    let twice = format!("{valid}\n[accounts.other]\ncredentials = ['{digest}']");
    let error = toml::from_str::<Catalog>(&twice).expect("it parses").validate();
    let error = error.expect_err("a credential may belong to only one account");
    assert_eq!(error.field, "accounts.other.credentials[0]");
    assert!(!error.to_string().contains(&digest), "the error shows a digest: {error}");
}
