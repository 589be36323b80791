//! Scenario files: valid, and refused with the field that is wrong.

use std::path::{Path, PathBuf};

use kestrellock_lab::scenario::definition::Scenario;

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios")
}

fn load(name: &str) -> Scenario {
    Scenario::load(&directory().join(format!("{name}.toml"))).expect("the scenario is valid")
}

#[test]
fn every_scenario_file_is_valid_and_named_after_its_file() {
    let mut count = 0;
    for entry in std::fs::read_dir(directory()).expect("the directory is there") {
        let path = entry.expect("it can be listed").path();
        let scenario = Scenario::load(&path).expect("the scenario is valid");
        assert_eq!(path.file_stem().and_then(|name| name.to_str()), Some(&*scenario.name));
        count += 1;
    }
    assert!(count >= 10);
}

#[test]
fn bad_values_are_refused_with_their_field() {
    type Change = fn(&mut Scenario);
    let cases: [(&str, Change); 5] = [
        ("deployment.zones", |scenario| scenario.deployment.zones.clear()),
        ("workload.sessions", |scenario| scenario.workload.sessions = 0),
        ("workload.keyed_share", |scenario| scenario.workload.keyed_share = 1.5),
        ("workload.token_share", |scenario| scenario.workload.token_share = -0.1),
        ("faults.database", |scenario| scenario.deployment.databases = vec!["other".into()]),
    ];
    for (field, change) in cases {
        let mut scenario = load("failover");
        change(&mut scenario);
        let error = scenario.validate().expect_err(field).to_string();
        assert!(error.starts_with(field), "{field}: {error}");
    }
}
