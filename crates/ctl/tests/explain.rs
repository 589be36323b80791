//! `kestrellockctl explain`: finds the log lines that explain a request, across nodes.

use kestrellock_ctl::explain::{Line, explain};
use kestrellock_ctl::{arguments::Arguments, run};

const NODE_A: &str = r#"
{"timestamp":"2026-01-01T00:00:01.000+00:00","message":"the node runs","kvs":{"event":"start"}}
{"timestamp":"2026-01-01T00:00:05.000+00:00","message":"waits","kvs":{"event":"held","id":"aa"}}
{"timestamp":"2026-01-01T00:00:05.500+00:00","message":"refused","kvs":{"event":"refused","id":"aa","code":"KL1502"}}
{"timestamp":"2026-01-01T00:00:05.600+00:00","message":"answered","kvs":{"event":"answered","id":"bb"}}
not a line of the log
"#;
const NODE_B: &str = r#"
{"timestamp":"2026-01-01T00:00:05.200+00:00","message":"a primary is to be replaced","kvs":{"event":"attempt","reason":"Silent"}}
{"timestamp":"2026-01-01T00:00:05.300+00:00","message":"retrying the request","kvs":{"event":"retried","id":"aa"}}
{"timestamp":"2026-01-01T00:00:09.000+00:00","message":"the attempt is over","kvs":{"event":"attempt_over"}}
"#;

fn lines(text: &str, node: &str) -> Vec<Line> {
    text.lines().filter_map(|line| Line::parse(line, node)).collect()
}

#[test]
fn request_lines_are_ordered_with_the_state_events_of_all_nodes() {
    let mut all = lines(NODE_A, "a");
    all.extend(lines(NODE_B, "b"));
    let explanation = explain(all, "aa");
    let explanation: Vec<(&str, &str)> =
        explanation.iter().map(|line| (line.node.as_str(), line.message.as_str())).collect();
    let expected = [
        ("a", "the node runs"),
        ("a", "waits"),
        ("b", "a primary is to be replaced"),
        ("b", "retrying the request"),
        ("a", "refused"),
    ];
    assert_eq!(explanation, expected);
}

#[test]
fn prefix_of_a_line_names_its_node() {
    let text = r#" 12.5 node-7 {"timestamp":"t","message":"m","kvs":{"event":"stop"}}"#;
    let line = Line::parse(text, "file").expect("a line");
    assert_eq!(line.node, "node-7");
    assert_eq!(Line::parse("{\"timestamp\":\"t\"}", "file").expect("a line").node, "file");
    assert_eq!(Line::parse("{broken", "file"), None);
}

fn explain_files(id: &str) -> (Result<(), String>, String) {
    let folder = std::env::temp_dir().join(format!("explain-{}-{id}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut args = vec!["explain".to_owned(), id.to_owned()];
    for (name, text) in [("a", NODE_A), ("b", NODE_B)] {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, text).expect("a file");
        args.extend(["--log".to_owned(), path.display().to_string()]);
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments: Arguments = argh::FromArgs::from_args(&["kestrellockctl"], &args)
        .unwrap_or_else(|early| panic!("{}", early.output));
    let mut output = Vec::new();
    let result = run(arguments, &mut output).map_err(|error| error.to_string());
    std::fs::remove_dir_all(&folder).expect("the folder exists");
    (result, String::from_utf8(output).expect("text"))
}

#[test]
fn explain_reads_the_logs_of_all_nodes() {
    let (result, output) = explain_files("aa");
    assert_eq!(result, Ok(()));
    let refused = output.lines().last().expect("lines");
    assert!(refused.starts_with("> 2026-01-01T00:00:05.500+00:00 a refused:"), "{refused}");
    assert!(refused.contains("code=KL1502"), "{refused}");
}

#[test]
fn request_id_without_log_lines_is_an_error() {
    let (result, output) = explain_files("none");
    assert!(result.expect_err("no line has the id").contains("none"));
    assert_eq!(output, "");
}
