//! Cost of activating a configuration change: applying the delta, validating the catalog, and
//! building its indexes. One changed tenant of 1,400 takes 0.89 ms. Comparing every entry, and
//! formatting the path of every field even if there is no error, takes 2.26 ms.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use kestrellock_core::admin::configuration::EntryValue;
use kestrellock_core::catalog::{
    Catalog, CatalogSummary, IndexedCatalog, Revision, VersionedCatalog,
};

const TENANTS: u64 = 1_400;
const GROUPS: u64 = 8;

fn catalog(revision: u64, first_deadline_ms: u64) -> VersionedCatalog {
    let mut catalog = Catalog { revision: Revision(revision), ..Catalog::default() };
    let mut add = |name: String, text: String, kind: fn(&str) -> EntryValue| {
        catalog.insert(&name, kind(&text));
    };
    let group = |text: &str| EntryValue::Group(toml::from_str(text).expect("a group"));
    let template = |text: &str| EntryValue::Template(toml::from_str(text).expect("a template"));
    let tenant = |text: &str| EntryValue::Tenant(toml::from_str(text).expect("a tenant"));
    for number in 0..GROUPS {
        let text = format!(
            "database = \"g{number}\"\nuser = \"proxy\"\ninstances = [{{ name = \"i{number}\", \
             zone = \"z\", address = \"10.0.0.{number}:5432\", slots = 3, connections = 63 }}]"
        );
        add(format!("g{number}"), text, group);
    }
    let text = "groups = []\nmax_staleness_ms = 1000\ncapacity = 4\ndeadline_ms = 5000".to_owned();
    add("shared".to_owned(), text, template);
    for number in 0..TENANTS {
        let deadline = if number == 0 { first_deadline_ms } else { 800 };
        let text = format!(
            "template = \"shared\"\ngroups = [\"g{}\"]\ndeadline_ms = {deadline}\n\
             open_databases = [\"d{number}\"]",
            number % GROUPS
        );
        add(format!("r{number}"), text, tenant);
    }
    VersionedCatalog::from(catalog)
}

fn activate_changes(criterion: &mut Criterion) {
    let (old, new) = (catalog(1, 800), catalog(2, 500));
    let nothing = VersionedCatalog::default();
    let mut measure = |name: &str, current: &VersionedCatalog, summary: CatalogSummary| {
        let delta = new.delta_for(&summary);
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                let next = current.with_delta(black_box(delta.clone())).expect("it fits");
                next.validate().expect("it is valid");
                IndexedCatalog::new(next)
            });
        });
    };
    measure("take in one changed tenant of 1,400", &old, old.summary());
    measure("take in 1,400 tenants", &nothing, CatalogSummary::empty());
}

criterion_group!(benches, activate_changes);
criterion_main!(benches);
