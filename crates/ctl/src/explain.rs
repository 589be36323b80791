//! Puts the log lines of one request, from the logs of all nodes, in order, with what the nodes
//! believed meanwhile.
//!
//! Logs are JSON lines as `kestrellockd --log-format json` writes them. Text before a line's first
//! brace names its node, as collectors put it there; without it the file's name does.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;

use miette::{IntoDiagnostic, Result, WrapErr, miette};
use serde_json::{Map, Value};

use crate::arguments::ExplainCommand;

/// Events that change what a node believes.
const BELIEFS: &[&str] = &[
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
    "promotion",
    "instance_displaced",
    "instance_started_again",
    "entry_left_out",
    "entry_unreadable",
];
/// Beliefs of each node that were formed before the request arrived, at most.
const EARLIER_BELIEFS: usize = 3;

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When, in the form of the log; lines of one cluster compare as text.
    pub time: String,
    /// The node that wrote it.
    pub node: String,
    /// What it says in words.
    pub message: String,
    /// Its fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; `None` for what is no line of the log.
    pub fn parse(text: &str, default_node: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let mut value: Value = serde_json::from_str(text[begin..].trim()).ok()?;
        let time = value.get("timestamp")?.as_str()?.to_owned();
        let message = value.get("message").and_then(Value::as_str).unwrap_or("").to_owned();
        let fields = match value.get_mut("kvs").map(Value::take) {
            Some(Value::Object(fields)) => fields,
            _ => Map::new(),
        };
        let named = text[..begin].split_whitespace().last();
        let node = named.unwrap_or(default_node).to_owned();
        Some(Self { time, node, message, fields })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    fn is_belief(&self) -> bool {
        self.field("event").is_some_and(|event| BELIEFS.contains(&event))
    }
}

/// The lines of one request, and beliefs of nodes before and meanwhile, in order; empty if no line
/// tells of the request.
pub fn explain(mut lines: Vec<Line>, id: &str) -> Vec<Line> {
    lines.sort_by(|one, other| one.time.cmp(&other.time));
    let tells = |line: &&Line| line.field("id") == Some(id);
    let own: Vec<&Line> = lines.iter().filter(tells).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let (first, last) = (first.time.clone(), last.time.clone());
    let nodes: BTreeSet<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let mut wanted: Vec<Line> = own.into_iter().cloned().collect();
    let meanwhile = |line: &&Line| line.is_belief() && (&first..=&last).contains(&&line.time);
    wanted.extend(lines.iter().filter(meanwhile).cloned());
    for node in nodes {
        let earlier = lines.iter().rev().filter(|line| line.is_belief() && line.time < first);
        let of_node = earlier.filter(|line| line.node == node);
        wanted.extend(of_node.take(EARLIER_BELIEFS).cloned());
    }
    wanted.sort_by(|one, other| one.time.cmp(&other.time));
    wanted
}

/// Reads logs and prints what they tell of one request.
pub fn run(command: &ExplainCommand, output: &mut dyn Write) -> Result<()> {
    let mut lines = Vec::new();
    for path in &command.log {
        lines.extend(read(Path::new(path))?);
    }
    let told = explain(lines, &command.id);
    if told.is_empty() {
        return Err(miette!(
            help = "ordinary successes are told up to a rate; the rest is only counted",
            "no line tells of request {}",
            command.id
        ));
    }
    for line in told {
        print(&line, &command.id, output)?;
    }
    Ok(())
}

fn read(path: &Path) -> Result<Vec<Line>> {
    let file = std::fs::File::open(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("the log {} cannot be read", path.display()))?;
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
    let told = line.fields.iter().filter(|(name, _)| *name != "id");
    let fields: Vec<String> = told.map(|(name, value)| format!("{name}={}", text(value))).collect();
    let (time, node, message) = (&line.time, &line.node, &line.message);
    writeln!(output, "{mark} {time} {node} {message}: {}", fields.join(" ")).into_diagnostic()
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
