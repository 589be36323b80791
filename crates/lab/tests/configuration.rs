//! The operators' command line against a running cluster: every command, conflicts, refusals.

mod cluster;

use cluster::{Cluster, Told};
use kestrellock_core::ids::TemplateName;
use kestrellock_lab::standin::store::PlatformStore;

const ZONES: [&str; 3] = ["casa-ain", "casa-sidi", "casa-bouskoura"];

/// The example of a deployment, with addresses on loopback.
fn example(name: &str) -> String {
    let path = format!("{}/../../examples/catalog-{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the example is there");
    text.replace("\"10.", "\"127.")
}

fn start(test: &str) -> (PlatformStore, Cluster) {
    let store = PlatformStore::start().expect("a store");
    let cluster = Cluster::start(test, &store, &ZONES);
    (store, cluster)
}

fn capacity_everywhere(cluster: &Cluster, capacity: u32) {
    let name = TemplateName::new("yearbook");
    cluster.wait_for("capacity", |node| {
        let catalog = node.context.catalog.load();
        catalog.templates.get(&name).is_some_and(|template| template.capacity == capacity)
    });
}

#[test]
fn an_operator_configures_changes_compares_and_returns() {
    let (_store, cluster) = start("operator");
    let file = cluster.files.write("catalog.toml", &example("casablanca"));
    cluster.ctl(0, &["group", "apply", &file]).done();
    cluster.ctl(1, &["template", "apply", &file]).done();
    let told = cluster.ctl(2, &["tenant", "apply", &file, "--wait"]).done();
    assert!(told.contains("in force on 3 nodes"), "{told}");
    capacity_everywhere(&cluster, 4);

    let listed = cluster.ctl(0, &["tenant", "list"]).done();
    assert!(listed.contains("atlas\tversion 1") && listed.contains("atlas-teachers\t"), "{listed}");
    let shown = cluster.ctl(1, &["template", "get", "yearbook"]).done();
    let changed =
        cluster.files.write("yearbook.toml", &shown.replace("capacity = 4", "capacity = 6"));
    let difference = cluster.ctl(2, &["template", "diff", &changed]).done();
    assert!(difference.contains("-capacity = 4\n+capacity = 6"), "{difference}");
    cluster.ctl(0, &["template", "apply", &changed, "--author", "amina", "--wait"]).done();
    capacity_everywhere(&cluster, 6);

    let history = cluster.ctl(1, &["template", "history", "yearbook"]).done();
    assert!(history.contains("version 2") && history.contains("amina"), "{history}");
    cluster.ctl(2, &["template", "rollback", "yearbook", "1", "--wait"]).done();
    capacity_everywhere(&cluster, 4);
    let status = cluster.ctl(0, &["config", "status"]).done();
    assert!(status.contains("in force on 3 of 3 nodes"), "{status}");
    for words in [&["status"][..], &["nodes"], &["groups"], &["group", "list"]] {
        cluster.ctl(0, words).done();
    }
    cluster.stop();
}

#[test]
fn of_two_operators_the_second_is_told_and_shown_the_difference() {
    let (_store, cluster) = start("racing");
    let file = cluster.files.write("catalog.toml", &example("casablanca"));
    cluster.ctl(0, &["config", "apply", &file]).done();
    let shown = cluster.ctl(0, &["template", "get", "yearbook"]).done();
    let one = cluster.files.write("one.toml", &shown.replace("capacity = 4", "capacity = 5"));
    let two = cluster.files.write("two.toml", &shown.replace("capacity = 4", "capacity = 7"));
    cluster.ctl(0, &["template", "apply", &one, "--author", "amina"]).done();
    let told = cluster.ctl(1, &["template", "apply", &two]);
    assert!(told.output.contains("amina"), "{}", told.output);
    assert!(told.output.contains("-capacity = 5\n+capacity = 7"), "{}", told.output);
    assert!(told.failed().contains("KL3002"));
    capacity_everywhere(&cluster, 5);
    cluster.stop();
}

#[test]
fn bad_values_are_refused_by_field_and_change_nothing() {
    let (_store, cluster) = start("refused");
    let file = cluster.files.write("catalog.toml", &example("casablanca"));
    cluster.ctl(0, &["config", "apply", &file, "--wait"]).done();
    let good = example("casablanca");
    // What is replaced by what, and what the complaint must show.
    let table = [
        ("capacity = 4 ", "capacity = 0 ", "templates.yearbook.capacity"),
        ("slots = 5 ", "slots = 50 ", "instances[0].connections"),
        ("template = \"yearbook\"", "template = \"none\"", "tenants.atlas.template"),
        ("capacity = 4 ", "capacity = \"four\" ", "invalid type"),
        ("capacity = 4 ", "capacity = 4\nspeed = 4 ", "unknown field"),
    ];
    let before = cluster.nodes[0].context.catalog.load().revision;
    for (from, to, shown) in table {
        let bad = cluster.files.write("bad.toml", &good.replacen(from, to, 1));
        let error = cluster.ctl(0, &["config", "apply", &bad]).failed();
        assert!(error.contains("KL3001"), "{error}");
        assert!(error.contains(shown), "{shown}: {error}");
        assert!(error.contains("bad.toml:"), "the line is shown: {error}");
    }
    let listed = cluster.ctl(0, &["template", "list"]).done();
    assert!(listed.contains(&format!("# revision {}", before.0)), "{listed}");
    assert!(cluster.ctl(0, &["tenant", "get", "nobody"]).failed().contains("KL3005"));
    cluster.stop();
}

#[test]
fn without_the_store_changes_are_refused_and_the_last_configuration_stays() {
    let (store, cluster) = start("store-down");
    let file = cluster.files.write("catalog.toml", &example("casablanca"));
    cluster.ctl(0, &["config", "apply", &file, "--wait"]).done();
    store.set_outage(true);
    let changed = example("casablanca").replacen("capacity = 4 ", "capacity = 9 ", 1);
    let changed = cluster.files.write("changed.toml", &changed);
    let refused: Told = cluster.ctl(0, &["template", "apply", &changed, "--revision", "99"]);
    assert!(refused.failed().contains("KL300"), "store unavailable or in doubt");
    capacity_everywhere(&cluster, 4);
    let shown = cluster.ctl(0, &["template", "get", "yearbook"]).done();
    assert!(shown.contains("the store does not answer"), "{shown}");
    cluster.stop();
}

#[test]
fn a_change_whose_answer_is_lost_is_made_once_and_reported_as_made() {
    let (store, cluster) = start("lost-answer");
    let file = cluster.files.write("catalog.toml", &example("casablanca"));
    cluster.ctl(0, &["config", "apply", &file, "--wait"]).done();
    let changed = example("casablanca").replacen("capacity = 4 ", "capacity = 8 ", 1);
    let changed = cluster.files.write("changed.toml", &changed);
    store.lose_next_responses(1);
    let request = ["template", "apply", &changed, "--request", "the-one", "--wait"];
    assert!(cluster.ctl(0, &request).done().contains("accepted"));
    // The operator, who may have seen nothing, asks again through another node.
    let again = cluster.ctl(1, &request).done();
    assert!(again.contains("accepted") || again.contains("nothing to change"), "{again}");
    let history = cluster.ctl(2, &["template", "history", "yearbook"]).done();
    let versions = history.lines().filter(|line| line.starts_with("yearbook\t")).count();
    assert_eq!(versions, 2, "{history}");
    capacity_everywhere(&cluster, 8);
    cluster.stop();
}

#[test]
fn operators_who_change_different_entries_at_once_all_succeed() {
    let (_store, cluster) = start("at-once");
    let file = cluster.files.write("catalog.toml", &example("casablanca"));
    cluster.ctl(0, &["config", "apply", &file, "--wait"]).done();
    let copies: Vec<String> = (0..ZONES.len())
        .map(|number| {
            let text = format!("[tenants.school-{number}]\ntemplate = \"yearbook\"\n");
            cluster.files.write(&format!("{number}.toml"), &text)
        })
        .collect();
    std::thread::scope(|scope| {
        for (node, file) in copies.iter().enumerate() {
            let cluster = &cluster;
            scope.spawn(move || cluster.ctl(node, &["tenant", "apply", file]).done());
        }
    });
    cluster.wait_for("every tenant", |node| node.context.catalog.load().tenants.len() == 5);
    cluster.stop();
}
