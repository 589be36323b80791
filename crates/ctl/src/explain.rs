//! Collects the log lines of one request from the logs of all nodes and prints them in order,
//! together with the events that changed a node's view of the cluster.
//!
//! Logs are JSON lines as `kestrellockd --log-format json` writes them. Log collectors often put
//! the node's name in front of a line: the last word before the first brace is taken as the node.
//! Without such a prefix, the node is the file's name without its extension.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;

use miette::{IntoDiagnostic, Result, WrapErr, miette};
use serde_json::{Map, Value};

use crate::arguments::ExplainCommand;

/// Events that change a node's view of the cluster.
const STATE_EVENTS: &[&str] = &[
    "start",
    "stop",
    "reload",
    "dependency_lost",
    "dependency_regained",
    "vote",
    "intents",
    "attempt",
    "phase",
    "attempt_over",
    "hold_taken",
    "hold_lost",
    "primary_left",
    "promotion_begun",
    "promotion",
    "instance_displaced",
    "instance_started_again",
    "entry_left_out",
    "entry_unreadable",
];
/// Maximum number of state events per node that are shown from before the request.
const MAX_EARLIER_STATE_EVENTS: usize = 3;

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Timestamp as written in the log. Timestamps of one cluster have the same format, so they are
    /// compared as text.
    pub time: String,
    /// The node that wrote the line.
    pub node: String,
    /// The message text.
    pub message: String,
    /// The key-value fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` if it is not a log line.
    pub fn parse(text: &str, default_node: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let mut value: Value = serde_json::from_str(text[begin..].trim()).ok()?;
        let time = value.get("timestamp")?.as_str()?.to_owned();
        let message = value.get("message").and_then(Value::as_str).unwrap_or("").to_owned();
        let fields = match value.get_mut("kvs").map(Value::take) {
            Some(Value::Object(fields)) => fields,
            _ => Map::new(),
        };
        let prefix = text[..begin].split_whitespace().last();
        let node = prefix.unwrap_or(default_node).to_owned();
        Some(Self { time, node, message, fields })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    fn is_state_event(&self) -> bool {
        self.field("event").is_some_and(|event| STATE_EVENTS.contains(&event))
    }
}

/// The lines of one request in order, with the state events of all nodes during the request and
/// the last state events before it of the nodes that handled it. Empty if no line has the id.
pub fn explain(mut lines: Vec<Line>, id: &str) -> Vec<Line> {
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let has_id = |line: &&Line| line.field("id") == Some(id);
    let matches: Vec<&Line> = lines.iter().filter(has_id).collect();
    let (Some(first), Some(last)) = (matches.first(), matches.last()) else { return Vec::new() };
    let (first, last) = (first.time.clone(), last.time.clone());
    let nodes: BTreeSet<&str> = matches.iter().map(|line| line.node.as_str()).collect();
    let mut selected: Vec<Line> = matches.into_iter().cloned().collect();
    let meanwhile = |line: &&Line| line.is_state_event() && (&first..=&last).contains(&&line.time);
    selected.extend(lines.iter().filter(meanwhile).cloned());
    for node in nodes {
        let earlier = lines.iter().rev().filter(|line| line.is_state_event() && line.time < first);
        let of_node = earlier.filter(|line| line.node == node);
        selected.extend(of_node.take(MAX_EARLIER_STATE_EVENTS).cloned());
    }
    selected.sort_by(|a, b| a.time.cmp(&b.time));
    selected
}

/// Reads log files and prints the lines that explain one request.
pub fn run(command: &ExplainCommand, output: &mut dyn Write) -> Result<()> {
    let mut lines = Vec::new();
    for path in &command.log {
        lines.extend(read(Path::new(path))?);
    }
    let explanation = explain(lines, &command.id);
    if explanation.is_empty() {
        return Err(miette!(
            help =
                "routine lines of successful requests are rate-limited; the rest is only counted",
            "no log line has the request id {}",
            command.id
        ));
    }
    for line in explanation {
        print(&line, &command.id, output)?;
    }
    Ok(())
}

fn read(path: &Path) -> Result<Vec<Line>> {
    let file = std::fs::File::open(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read log {}", path.display()))?;
    let node = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
    let node = node.unwrap_or_default();
    let mut lines = Vec::new();
    for text in BufReader::new(file).split(b'\n') {
        let text = text.into_diagnostic()?;
        lines.extend(Line::parse(&String::from_utf8_lossy(&text), &node));
    }
    Ok(lines)
}

fn print(line: &Line, id: &str, output: &mut dyn Write) -> Result<()> {
    let mark = if line.field("id") == Some(id) { '>' } else { ' ' };
    let fields = line.fields.iter().filter(|(name, _)| *name != "id");
    let fields: Vec<String> =
        fields.map(|(name, value)| format!("{name}={}", text(value))).collect();
    let (time, node, message) = (&line.time, &line.node, &line.message);
    writeln!(output, "{mark} {time} {node} {message}: {}", fields.join(" ")).into_diagnostic()
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
