//! Changes to the configuration: checked whole, made at most once, and truthfully reported.

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

/// Waits so short that a whole script of faults fits into a moment.
const LIMITS: ApplyLimits = ApplyLimits {
    total_timeout: Duration::from_millis(200),
    initial_delay: Duration::from_micros(10),
    max_delay: Duration::from_micros(50),
};

fn request(number: &str, base: u64, changes: Vec<Change>) -> ApplyRequest {
    let request = RequestId(number.to_owned());
    ApplyRequest { request, author: "tester".into(), base: Revision(base), changes }
}

/// A store that holds [`CATALOG`], and the revision at which it does.
fn filled() -> (MemoryStore, u64) {
    let store = MemoryStore::default();
    let catalog: Catalog = toml::from_str(CATALOG).expect("a catalog");
    let changes = EntryKind::ALL.into_iter().flat_map(|kind| catalog.entries(kind)).collect();
    let applied = apply(&store, &request("first", 0, changes), &LIMITS).expect("it applies");
    assert!(applied.changed);
    (store, applied.revision.0)
}

fn template(capacity: u32) -> Change {
    let catalog: Catalog = toml::from_str(CATALOG).expect("a catalog");
    let mut value = catalog.templates["school"].clone();
    value.capacity = capacity;
    Change { name: "school".into(), value: EntryValue::Template(value) }
}

fn capacity(store: &MemoryStore) -> u32 {
    read_catalog(store).expect("it reads").catalog.templates["school"].capacity
}

#[test]
fn a_change_is_in_the_catalog_at_a_higher_revision() {
    let (store, base) = filled();
    let applied = apply(&store, &request("r", base, vec![template(9)]), &LIMITS).expect("applied");
    let read = read_catalog(&store).expect("it reads").catalog;
    assert!(applied.revision.0 > base);
    assert_eq!((read.revision, read.templates["school"].capacity), (applied.revision, 9));
}

#[test]
fn the_same_value_again_changes_nothing() {
    let (store, base) = filled();
    let applied = apply(&store, &request("r", base, vec![template(4)]), &LIMITS).expect("applied");
    assert_eq!(applied, Applied { revision: Revision(base), changed: false });
}

#[test]
fn of_two_racing_operators_one_is_told_what_stands_there_now() {
    let (store, base) = filled();
    apply(&store, &request("one", base, vec![template(8)]), &LIMITS).expect("the first");
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
    let value = EntryValue::Tenant(toml::from_str(&text).expect("a tenant"));
    Change { name: name.into(), value }
}

#[test]
fn two_changes_that_are_only_together_invalid_do_not_pass_each_other() {
    let (store, base) = filled();
    store.before_next_commit(move |store| {
        let other = request("other", base, vec![tenant_with_login("parents")]);
        apply(store, &other, &LIMITS).expect("it is valid by itself");
    });
    let ours = request("ours", base, vec![tenant_with_login("teachers")]);
    match apply(&store, &ours, &LIMITS) {
        Err(ApplyError::Invalid(error)) => {
            assert_eq!(error.field, "tenants.teachers.logins.shared")
        }
        other => panic!("{other:?}"),
    }
    read_catalog(&store).expect("it reads").catalog.validate().expect("the whole stays valid");
}

#[test]
fn a_change_that_another_one_overtakes_is_a_conflict_or_is_repeated() {
    // The entry that the other change writes, and whether ours, to the template, goes through.
    let table = [(template(8), false), (tenant_with_login("parents"), true)];
    for (other, goes_through) in table {
        let (store, base) = filled();
        store.before_next_commit(move |store| {
            apply(store, &request("other", base, vec![other]), &LIMITS).expect("it is valid");
        });
        let outcome = apply(&store, &request("ours", base, vec![template(9)]), &LIMITS);
        assert_eq!(outcome.is_ok(), goes_through, "{outcome:?}");
        let conflict = matches!(outcome, Err(ApplyError::Conflict { .. }));
        assert_eq!(conflict, !goes_through, "{outcome:?}");
        assert_eq!(capacity(&store), if goes_through { 9 } else { 8 });
    }
}

#[test]
fn invalid_changes_name_the_field_and_change_nothing() {
    let (store, base) = filled();
    let mut homeless = template(4);
    homeless.name = "Bad Name".into();
    let tenant = |text: &str| Change {
        name: "atlas".into(),
        value: EntryValue::Tenant(toml::from_str(text).expect("a tenant")),
    };
    let table = [
        (template(0), "templates.school.capacity"),
        (homeless, "templates.Bad Name"),
        (tenant("template = \"none\""), "tenants.atlas.template"),
        (tenant("template = \"school\"\ngroups = [\"none\"]"), "tenants.atlas.groups[0]"),
    ];
    let before = read_catalog(&store).expect("it reads");
    for (change, field) in table {
        let mut changes = vec![change];
        if changes[0].name != "school" {
            // A valid entry beside the invalid one is not written either.
            changes.push(template(7));
        }
        match apply(&store, &request("r", base, changes), &LIMITS) {
            Err(ApplyError::Invalid(error)) => assert_eq!(error.field, field),
            other => panic!("{field}: {other:?}"),
        }
        assert_eq!(read_catalog(&store).expect("it reads"), before);
    }
}

#[test]
fn empty_oversized_and_double_changes_are_refused() {
    let (store, base) = filled();
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
fn a_malformed_entry_stops_other_changes_and_can_itself_be_replaced() {
    let (store, _) = filled();
    let key = format!("{TENANTS_PREFIX}atlas");
    let modified = store.range(&key).expect("it reads").entries[0].mod_revision;
    store.compare_and_swap(&key, modified, b"{ not JSON").expect("written past the checks");
    let base = store.range("/").expect("it reads").revision;
    let outcome = apply(&store, &request("r", base, vec![template(5)]), &LIMITS);
    assert!(matches!(outcome, Err(ApplyError::Malformed(_))), "{outcome:?}");
    let value = EntryValue::Tenant(toml::from_str("template = \"school\"").expect("a tenant"));
    let repair = Change { name: "atlas".into(), value };
    apply(&store, &request("s", base, vec![repair]), &LIMITS).expect("it is replaced");
    read_catalog(&store).expect("all is well formed");
}

#[test]
fn history_is_bounded_newest_first_and_keeps_values_written_by_other_means() {
    let (store, mut base) = filled();
    let id = EntryId { kind: EntryKind::Template, name: "school".into() };
    for number in 1..=MAX_HISTORY_VERSIONS as u32 + 5 {
        let change = request(&format!("r{number}"), base, vec![template(100 + number)]);
        base = apply(&store, &change, &LIMITS).expect("it applies").revision.0;
    }
    let history = read_history(&store, &id).expect("it reads");
    assert_eq!(history.len() as u64, MAX_HISTORY_VERSIONS);
    assert_eq!(history[0].value, template(125).value);
    let versions: Vec<u64> = history.iter().map(|entry| entry.authorship.version).collect();
    assert!(versions.windows(2).all(|pair| pair[0] == pair[1] + 1), "{versions:?}");

    let other = EntryId { kind: EntryKind::Tenant, name: "bare".into() };
    let bare = br#"{"template":"school"}"#;
    store.compare_and_swap(&format!("{TENANTS_PREFIX}bare"), 0, bare).expect("it is written");
    let base = store.range("/").expect("it reads").revision;
    let value =
        EntryValue::Tenant(toml::from_str("template = \"school\"\ncapacity = 2").expect("valid"));
    let change = Change { name: "bare".into(), value };
    apply(&store, &request("b", base, vec![change]), &LIMITS).expect("it applies");
    let history = read_history(&store, &other).expect("it reads");
    let versions: Vec<u64> = history.iter().map(|entry| entry.authorship.version).collect();
    assert_eq!(versions, [1, 0]);
}

#[test]
fn each_fault_of_the_commit_is_settled_or_truthfully_reported() {
    use Fault::{AnswerLost, Late, None as Fine, RateLimited, RequestLost, Unreachable};
    // Calls of an apply: read, read history, commit; then again.
    let down = vec![Unreachable; 10_000];
    let lost_then_down: Vec<Fault> =
        [Fine, Fine, AnswerLost].into_iter().chain(down.clone()).collect();
    let table = [
        ("answer lost", vec![Fine, Fine, AnswerLost], "applied"),
        ("request lost", vec![Fine, Fine, RequestLost], "applied"),
        ("late", vec![Fine, Fine, Late], "applied"),
        ("lost twice", vec![Fine, Fine, Late, Fine, Fine, AnswerLost], "applied"),
        ("rate", vec![RateLimited, Fine, RateLimited, Fine, Fine, RateLimited], "applied"),
        ("reads lost", vec![RequestLost, Fine, RequestLost, Fine, Fine, Fine], "applied"),
        ("down", down, "unavailable"),
        ("reads lost for long", vec![RequestLost; 10_000], "unavailable"),
        ("lost, then down", lost_then_down, "in doubt"),
    ];
    for (name, script, expected) in table {
        let (store, base) = filled();
        store.script(script);
        let outcome = apply(&store, &request("the-one", base, vec![template(6)]), &LIMITS);
        let found = match &outcome {
            Ok(Applied { changed: true, .. }) => "applied",
            Err(ApplyError::Unavailable(_)) => "unavailable",
            Err(ApplyError::InDoubt(_)) => "in doubt",
            other => panic!("{name}: {other:?}"),
        };
        assert_eq!(found, expected, "{name}: {outcome:?}");
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
    fn whatever_fails_a_request_is_made_at_most_once_and_never_after_a_refusal(
        faults in prop::collection::vec(fault(), 0..30),
        capacities in prop::collection::vec(0_u32..4, 1..6),
    ) {
        let (store, base) = filled();
        let mut seen = base;
        store.script(faults);
        for (number, capacity) in capacities.iter().enumerate() {
            let text = format!("request-{number}");
            let asked = request(&text, seen, vec![template(*capacity)]);
            let outcome = apply(&store, &asked, &LIMITS);
            store.deliver_late();
            let commits = store.commits_of(&format!("\"request\":\"{text}\""));
            prop_assert!(commits <= 1);
            match outcome {
                Ok(applied) => {
                    prop_assert_eq!(commits, usize::from(applied.changed));
                    seen = applied.revision.0;
                }
                Err(ApplyError::InDoubt(_)) => {
                    store.script([]);
                    let settled = apply(&store, &asked, &LIMITS);
                    prop_assert!(settled.is_ok() || commits == 0, "{:?}", settled);
                }
                Err(_) => prop_assert_eq!(commits, 0),
            }
        }
    }
}
