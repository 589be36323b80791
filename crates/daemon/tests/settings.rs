//! Settings: the examples are valid, and every invalid field is refused with its error number and
//! line.

use std::path::{Path, PathBuf};

use kestrellock_core::catalog::Catalog;
use kestrellock_daemon::arguments::Arguments;
use kestrellock_program::command_line::{Invocation, parse};
use miette::Diagnostic;

const VALID: &str = r#"node = "a"
zone = "z"
caller_address = "127.0.0.1:6432"
peer_address = "127.0.0.1:7432"
admin_address = "127.0.0.1:7433"
store_endpoints = ["http://127.0.0.1:2379"]
peers = [{ node = "b", zone = "z", address = "127.0.0.2:7432" }]
[secrets]
admin_token = { file = "token" }
cluster_keys = [{ variable = "PATH" }]
"#;

fn arguments(words: &[&str]) -> Arguments {
    match parse("kestrellockd", words) {
        Invocation::Run(arguments) => arguments,
        other => panic!("{words:?} parsed as {other:?}"),
    }
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[test]
fn every_example_parses_and_validates() {
    let mut catalogs = 0;
    let mut nodes = 0;
    for entry in std::fs::read_dir(examples()).expect("the examples exist") {
        let path = entry.expect("a directory entry").path();
        let name = path.file_name().expect("a name").to_string_lossy().into_owned();
        if name.starts_with("catalog") {
            let text = std::fs::read_to_string(&path).expect("a readable example");
            let catalog: Catalog = toml::from_str(&text).expect("a catalog");
            catalog.validate().expect("a valid catalog");
            assert_eq!(catalog.groups.len(), 3, "{name}");
            assert!(catalog.groups.values().all(|group| group.instances.len() == 3), "{name}");
            catalogs += 1;
        } else if name.starts_with("node") {
            arguments(&[]).read_settings(&path).expect("valid settings");
            nodes += 1;
        }
    }
    assert_eq!((catalogs, nodes), (2, 1));
}

#[test]
fn invalid_settings_are_refused_with_error_number_and_line() {
    // Text to replace, its replacement, the error number, and the line of the diagnostic.
    let table = [
        ("node = \"a\"", "node = ", "KL2002", Some(1)),
        ("zone = \"z\"", "zone = 7", "KL2002", Some(2)),
        ("zone = \"z\"", "zonne = \"z\"", "KL2003", Some(2)),
        ("127.0.0.1:6432", "localhost", "KL2002", Some(3)),
        ("node = \"a\"", "", "KL2004", None),
        ("node = \"a\"", "node = \"A b\"", "KL2005", Some(1)),
        ("node = \"a\"", "node = \"a\"\nshards = 0", "KL2005", Some(2)),
        ("node = \"a\"", "node = \"a\"\nlink_mbps = 0", "KL2005", Some(2)),
        ("node = \"a\"", "node = \"a\"\nlink_mbps = nan", "KL2005", Some(2)),
        ("node = \"a\"", "node = \"a\"\nprewarm_connections = 1", "KL2002", Some(2)),
        ("node = \"a\"", "node = \"a\"\ntolerated_zone_losses = 101", "KL2005", Some(2)),
        ("node = \"a\"", "node = \"a\"\ntolerated_zone_losses = -1", "KL2002", Some(2)),
        ("node = \"a\"", "node = \"a\"\nshare_store_access = 1", "KL2002", Some(2)),
        ("node = \"a\"", "node = \"a\"\nshare_store_access = true", "KL2006", Some(2)),
        ("node = \"a\"", "node = \"a\"\nshare_instance_capacity = 1", "KL2002", Some(2)),
        ("127.0.0.1:7433", "127.0.0.1:7432", "KL2006", Some(5)),
        ("127.0.0.1:7433", "0.0.0.0:6432", "KL2006", Some(5)),
        ("peer_address = \"127.0.0.1", "peer_address = \"0.0.0.0", "KL2006", None),
        ("[\"http://127.0.0.1:2379\"]", "[]", "KL2005", Some(6)),
        ("[\"http://127.0.0.1:2379\"]", "[\"ftp://x\"]", "KL2005", Some(6)),
        ("node = \"b\"", "node = \"a\"", "KL2006", Some(7)),
        ("127.0.0.2:7432", "127.0.0.2:0", "KL2005", Some(7)),
        ("zone = \"z\", address", "zone = \"\", address", "KL2005", Some(7)),
        ("admin_token = { file = \"token\" }", "", "KL2004", Some(8)),
        ("{ file = \"token\" }", "{ }", "KL2006", Some(9)),
        ("{ file = \"token\" }", "{ file = \"token\", variable = \"T\" }", "KL2006", Some(9)),
        ("cluster_keys = [{ variable = \"PATH\" }]", "", "KL2006", Some(8)),
        ("node = \"a\"", "cluster = \"A b\"\nnode = \"a\"", "KL2005", Some(1)),
        ("{ file = \"token\" }", "\"a token in the file\"", "KL2002", Some(9)),
    ];
    for (from, to, code, line) in table {
        assert!(VALID.contains(from), "{from}");
        let text = VALID.replacen(from, to, 1);
        let outcome = arguments(&[]).settings_from(Path::new("n.toml"), &text);
        let error = outcome.expect_err(&text);
        assert_eq!(error.code.to_string(), code, "{from} -> {to}: {error}");
        let start = error.labels().and_then(|mut labels| labels.next()).map(|label| label.offset());
        let found = start.map(|start| text[..start].matches('\n').count() + 1);
        assert_eq!(found, line, "{from} -> {to}: {error}");
    }
}

#[test]
fn a_flag_overrides_its_field() {
    let words = ["--node", "c", "--shards", "3", "--store-endpoint", "http://127.0.0.1:1"];
    let settings = arguments(&words).settings_from(Path::new("n.toml"), VALID).expect("valid");
    assert_eq!(settings.node.as_str(), "c");
    assert_eq!(settings.shards, 3);
    assert_eq!(settings.store_endpoints, ["http://127.0.0.1:1"]);
    assert_eq!(settings.zone.as_str(), "z");
    let refused = arguments(&["--shards", "0"]).settings_from(Path::new("n.toml"), VALID);
    assert_eq!(refused.expect_err("flags are validated as well").code.number(), 2005);
}

/// Isolation must not be judged unless the settings ask for it.
#[test]
fn no_zone_losses_are_tolerated_unless_set() {
    let losses = |text: &str| {
        let settings = arguments(&[]).settings_from(Path::new("n.toml"), text).expect("valid");
        settings.tolerated_zone_losses
    };
    assert_eq!(losses(VALID), 0);
    assert_eq!(losses(&format!("tolerated_zone_losses = 0\n{VALID}")), 0);
    assert_eq!(losses(&format!("tolerated_zone_losses = 1\n{VALID}")), 1);
}

#[test]
fn a_missing_secret_is_reported_by_field_and_secret_values_are_never_printed() {
    let mut settings = arguments(&[]).settings_from(Path::new("n.toml"), VALID).expect("valid");
    let error = settings.read_secrets().expect_err("the file does not exist");
    assert_eq!((error.code.number(), error.field.as_str()), (2007, "secrets.admin_token"));
    let text = VALID.replace("{ file = \"token\" }", "{ variable = \"PATH\" }");
    let mut settings = arguments(&[]).settings_from(Path::new("n.toml"), &text).expect("valid");
    settings.read_secrets().expect("PATH is set");
    let value = std::env::var("PATH").expect("PATH is set");
    assert!(!format!("{settings:?}").contains(&value));
    assert!(settings.secrets.admin_token.is_some_and(|token| token.matches(&value)));
}

/// Guards against a group that an operator cannot bring back, and against loss that nobody accepted.
#[test]
fn commit_loss_is_accepted_only_for_the_groups_that_are_set() {
    let groups_of = |text: &str| {
        let settings = arguments(&[]).settings_from(Path::new("n.toml"), text).expect("valid");
        let groups = settings.accept_commit_loss.iter();
        groups.map(|group| group.as_str().to_owned()).collect::<Vec<_>>()
    };
    assert!(groups_of(VALID).is_empty());
    let accepted = format!("accept_commit_loss = [\"orders\"]\n{VALID}");
    assert_eq!(groups_of(&accepted), ["orders"]);
}
