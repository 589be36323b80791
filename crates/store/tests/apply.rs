//! Changes to the configuration are validated as a whole, written at most once, and reported with
//! their real outcome.

mod memory_store;

use std::time::Duration;

use kestrellock_core::admin::configuration::{
    Applied, ApplyRequest, Change, EntryId, EntryKind, EntryValue, RequestId,
};
use kestrellock_core::catalog::{Catalog, Revision};
use kestrellock_store::apply::{ApplyError, ApplyLimits, MAX_CHANGES, apply};
use kestrellock_store::catalog::{
    MAX_HISTORY_VERSIONS, TENANTS_PREFIX, read_catalog, read_history,
};
use kestrellock_store::store::ConfigStore;
use memory_store::{Fault, MemoryStore};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CATALOG: &str = r#"
[groups.orders]
database = "orders"
user = "proxy"
instances = [
  { name = "orders-1", zone = "north", address = "10.0.0.1:5432", slots = 5, connections = 35 },
]
[templates.school]
groups = ["orders"]
max_staleness_ms = 1000
capacity = 4
deadline_ms = 5000
[tenants.atlas]
template = "school"
"#;

/// Short delays, so that a long script of faults is played within the time limit.
const LIMITS: ApplyLimits = ApplyLimits {
    total_timeout: Duration::from_millis(200),
    initial_delay: Duration::from_micros(10),
    max_delay: Duration::from_micros(50),
};

fn request(number: &str, base: u64, changes: Vec<Change>) -> ApplyRequest {
    let request = RequestId(number.to_owned());
    ApplyRequest { request, author: "tester".into(), base: Revision(base), changes }
}

/// A store that contains [`CATALOG`], and the revision of the catalog.
fn filled_store() -> (MemoryStore, u64) {
    let store = MemoryStore::default();
    let catalog: Catalog = toml::from_str(CATALOG).expect("the catalog is valid");
    let changes = EntryKind::ALL.into_iter().flat_map(|kind| catalog.entries(kind)).collect();
    let applied =
        apply(&store, &request("first", 0, changes), &LIMITS).expect("the change is applied");
    assert!(applied.changed);
    (store, applied.revision.0)
}

fn template(capacity: u32) -> Change {
    let catalog: Catalog = toml::from_str(CATALOG).expect("the catalog is valid");
    let mut value = catalog.templates["school"].clone();
    value.capacity = capacity;
    Change { name: "school".into(), value: EntryValue::Template(value) }
}

fn capacity(store: &MemoryStore) -> u32 {
    read_catalog(store).expect("the store is readable").catalog.templates["school"].capacity
}

#[test]
fn an_applied_change_raises_the_catalog_revision() {
    let (store, base) = filled_store();
    let applied = apply(&store, &request("r", base, vec![template(9)]), &LIMITS)
        .expect("the change is applied");
    let read = read_catalog(&store).expect("the store is readable").catalog;
    assert!(applied.revision.0 > base);
    assert_eq!((read.revision, read.templates["school"].capacity), (applied.revision, 9));
}

#[test]
fn applying_an_unchanged_value_writes_nothing() {
    let (store, base) = filled_store();
    let applied = apply(&store, &request("r", base, vec![template(4)]), &LIMITS)
        .expect("the change is applied");
    assert_eq!(applied, Applied { revision: Revision(base), changed: false });
}

#[test]
fn a_conflicting_change_returns_the_current_entries() {
    let (store, base) = filled_store();
    apply(&store, &request("one", base, vec![template(8)]), &LIMITS)
        .expect("the first change is applied");
    match apply(&store, &request("two", base, vec![template(9)]), &LIMITS) {
        Err(ApplyError::Conflict { entries, .. }) => {
            assert_eq!(entries[0].value, template(8).value);
            assert_eq!(entries[0].authorship.author, "tester");
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(capacity(&store), 8);
}

fn tenant_with_login(name: &str) -> Change {
    let keys = "q0jRZFKpwzPmVmkWQNvSNQ5GwR8Cf8y9Xb6xkvJQ0OM=";
    let text = format!(
        "template = \"school\"\nlogins = {{ shared = \"SCRAM-SHA-256$4096:c2FsdA==${keys}:{keys}\" }}"
    );
    let value = EntryValue::Tenant(toml::from_str(&text).expect("the tenant is valid"));
    Change { name: name.into(), value }
}

#[test]
fn concurrent_changes_that_are_only_invalid_together_are_not_both_applied() {
    let (store, base) = filled_store();
    store.before_next_commit(move |store| {
        let other = request("other", base, vec![tenant_with_login("parents")]);
        apply(store, &other, &LIMITS).expect("the change alone is valid");
    });
    let ours = request("ours", base, vec![tenant_with_login("teachers")]);
    match apply(&store, &ours, &LIMITS) {
        Err(ApplyError::Invalid(error)) => {
            assert_eq!(error.field, "tenants.teachers.logins.shared")
        }
        other => panic!("{other:?}"),
    }
    read_catalog(&store)
        .expect("the store is readable")
        .catalog
        .validate()
        .expect("the catalog is still valid");
}

#[test]
fn a_change_that_loses_a_race_is_retried_or_reported_as_a_conflict() {
    // The entry that the other change writes, and whether our change to the template is applied.
    let table = [(template(8), false), (tenant_with_login("parents"), true)];
    for (other, is_applied) in table {
        let (store, base) = filled_store();
        store.before_next_commit(move |store| {
            apply(store, &request("other", base, vec![other]), &LIMITS)
                .expect("the change is valid");
        });
        let outcome = apply(&store, &request("ours", base, vec![template(9)]), &LIMITS);
        assert_eq!(outcome.is_ok(), is_applied, "{outcome:?}");
        let conflict = matches!(outcome, Err(ApplyError::Conflict { .. }));
        assert_eq!(conflict, !is_applied, "{outcome:?}");
        assert_eq!(capacity(&store), if is_applied { 9 } else { 8 });
    }
}

#[test]
fn invalid_changes_report_the_field_and_write_nothing() {
    let (store, base) = filled_store();
    let mut badly_named = template(4);
    badly_named.name = "Bad Name".into();
    let tenant = |text: &str| Change {
        name: "atlas".into(),
        value: EntryValue::Tenant(toml::from_str(text).expect("the tenant is valid")),
    };
    let table = [
        (template(0), "templates.school.capacity"),
        (badly_named, "templates.Bad Name"),
        (tenant("template = \"none\""), "tenants.atlas.template"),
        (tenant("template = \"school\"\ngroups = [\"none\"]"), "tenants.atlas.groups[0]"),
    ];
    let before = read_catalog(&store).expect("the store is readable");
    for (change, field) in table {
        let mut changes = vec![change];
        if changes[0].name != "school" {
            // A valid entry in the same change must not be written either.
            changes.push(template(7));
        }
        match apply(&store, &request("r", base, changes), &LIMITS) {
            Err(ApplyError::Invalid(error)) => assert_eq!(error.field, field),
            other => panic!("{field}: {other:?}"),
        }
        assert_eq!(read_catalog(&store).expect("the store is readable"), before);
    }
}

#[test]
fn empty_oversized_and_duplicate_changes_are_rejected() {
    let (store, base) = filled_store();
    let named = |number: usize| Change { name: format!("t{number}"), ..template(4) };
    let table = [
        (vec![], true),
        (vec![template(1), template(2)], true),
        ((0..=MAX_CHANGES).map(named).collect(), true),
        ((0..MAX_CHANGES).map(named).collect(), false),
    ];
    for (changes, refused) in table {
        let count = changes.len();
        let outcome = apply(&store, &request("r", base, changes), &LIMITS);
        assert_eq!(matches!(outcome, Err(ApplyError::Size)), refused, "{count}: {outcome:?}");
    }
}

#[test]
fn a_malformed_entry_blocks_other_changes_and_can_be_replaced() {
    let (store, _) = filled_store();
    let key = format!("{TENANTS_PREFIX}atlas");
    let mod_revision = store.range(&key).expect("the store is readable").entries[0].mod_revision;
    store.compare_and_swap(&key, mod_revision, b"{ not JSON").expect("the value is written");
    let base = store.range("/").expect("the store is readable").revision;
    let outcome = apply(&store, &request("r", base, vec![template(5)]), &LIMITS);
    assert!(matches!(outcome, Err(ApplyError::Malformed(_))), "{outcome:?}");
    let value =
        EntryValue::Tenant(toml::from_str("template = \"school\"").expect("the tenant is valid"));
    let repair = Change { name: "atlas".into(), value };
    apply(&store, &request("s", base, vec![repair]), &LIMITS).expect("the entry is replaced");
    read_catalog(&store).expect("all entries are well formed");
}

#[test]
fn history_is_bounded_sorted_newest_first_and_keeps_unversioned_values() {
    let (store, mut base) = filled_store();
    let id = EntryId { kind: EntryKind::Template, name: "school".into() };
    for number in 1..=MAX_HISTORY_VERSIONS as u32 + 5 {
        let change = request(&format!("r{number}"), base, vec![template(100 + number)]);
        base = apply(&store, &change, &LIMITS).expect("the change is applied").revision.0;
    }
    let history = read_history(&store, &id).expect("the store is readable");
    assert_eq!(history.len() as u64, MAX_HISTORY_VERSIONS);
    assert_eq!(history[0].value, template(125).value);
    let versions: Vec<u64> = history.iter().map(|entry| entry.authorship.version).collect();
    assert!(versions.windows(2).all(|pair| pair[0] == pair[1] + 1), "{versions:?}");

    let other = EntryId { kind: EntryKind::Tenant, name: "bare".into() };
    let bare = br#"{"template":"school"}"#;
    store
        .compare_and_swap(&format!("{TENANTS_PREFIX}bare"), 0, bare)
        .expect("the value is written");
    let base = store.range("/").expect("the store is readable").revision;
    let value = EntryValue::Tenant(
        toml::from_str("template = \"school\"\ncapacity = 2").expect("the tenant is valid"),
    );
    let change = Change { name: "bare".into(), value };
    apply(&store, &request("b", base, vec![change]), &LIMITS).expect("the change is applied");
    let history = read_history(&store, &other).expect("the store is readable");
    let versions: Vec<u64> = history.iter().map(|entry| entry.authorship.version).collect();
    assert_eq!(versions, [1, 0]);
}

#[test]
fn each_store_fault_is_retried_or_reported_correctly() {
    use Fault::{AnswerLost, Late, None as NoFault, RateLimited, RequestLost, Unreachable};
    // An apply reads the catalog, reads the history and commits; then it repeats these calls.
    let down = vec![Unreachable; 10_000];
    let lost_then_down: Vec<Fault> =
        [NoFault, NoFault, AnswerLost].into_iter().chain(down.clone()).collect();
    let table = [
        ("answer lost", vec![NoFault, NoFault, AnswerLost], "applied"),
        ("request lost", vec![NoFault, NoFault, RequestLost], "applied"),
        ("late", vec![NoFault, NoFault, Late], "applied"),
        ("lost twice", vec![NoFault, NoFault, Late, NoFault, NoFault, AnswerLost], "applied"),
        ("rate", vec![RateLimited, NoFault, RateLimited, NoFault, NoFault, RateLimited], "applied"),
        (
            "reads lost",
            vec![RequestLost, NoFault, RequestLost, NoFault, NoFault, NoFault],
            "applied",
        ),
        ("down", down, "unavailable"),
        ("reads lost for long", vec![RequestLost; 10_000], "unavailable"),
        ("lost, then down", lost_then_down, "in doubt"),
    ];
    for (name, script, expected) in table {
        let (store, base) = filled_store();
        store.script(script);
        let outcome = apply(&store, &request("the-one", base, vec![template(6)]), &LIMITS);
        let reported = match &outcome {
            Ok(Applied { changed: true, .. }) => "applied",
            Err(ApplyError::Unavailable(_)) => "unavailable",
            Err(ApplyError::InDoubt(_)) => "in doubt",
            other => panic!("{name}: {other:?}"),
        };
        assert_eq!(reported, expected, "{name}: {outcome:?}");
        store.script([]);
        store.deliver_late();
        let commits = store.commits_of("\"request\":\"the-one\"");
        assert_eq!(commits, usize::from(expected != "unavailable"), "{name}");
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Unreachable),
        2 => Just(Fault::AnswerLost),
        1 => Just(Fault::RequestLost),
        2 => Just(Fault::Late),
        1 => Just(Fault::RateLimited),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn under_any_faults_a_request_is_written_at_most_once_and_never_after_a_definite_error(
        faults in prop::collection::vec(fault(), 0..30),
        capacities in prop::collection::vec(0_u32..4, 1..6),
    ) {
        let (store, base) = filled_store();
        let mut newest_revision = base;
        store.script(faults);
        for (number, capacity) in capacities.iter().enumerate() {
            let text = format!("request-{number}");
            let repeated_request = request(&text, newest_revision, vec![template(*capacity)]);
            let outcome = apply(&store, &repeated_request, &LIMITS);
            store.deliver_late();
            let commits = store.commits_of(&format!("\"request\":\"{text}\""));
            prop_assert!(commits <= 1);
            match outcome {
                Ok(applied) => {
                    prop_assert_eq!(commits, usize::from(applied.changed));
                    newest_revision = applied.revision.0;
                }
                Err(ApplyError::InDoubt(_)) => {
                    store.script([]);
                    let settled = apply(&store, &repeated_request, &LIMITS);
                    prop_assert!(settled.is_ok() || commits == 0, "{:?}", settled);
                }
                Err(_) => prop_assert_eq!(commits, 0),
            }
        }
    }
}
