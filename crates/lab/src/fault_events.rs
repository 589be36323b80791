//! Fault events and fault counters: those that stay at zero while the cluster works normally.
//!
//! Nodes counted faults of the configuration for a long time without anybody noticing, because
//! nothing examined the counters. This module lists the log events and counters that show a fault,
//! so that tests, scenarios and operators who search the logs of many days can report those that
//! occurred.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use argh::FromArgs;
use kestrellock_ctl::explain::Line;
use kestrellock_daemon::metrics::{ConfigurationEvent, MessageEvent, Metrics, StoreResult};
use miette::{IntoDiagnostic, WrapErr, miette};

/// Log events that occur only when something is wrong, and the probable cause of each.
const FAULT_EVENTS: &[(&str, &str)] = &[
    ("configuration_refused", "a configuration that no node can use: a defect of the proxy"),
    ("entry_unreadable", "an entry of a foreign writer, or a defect of a writer"),
    ("entry_left_out", "an entry or instance with an invalid field"),
    ("configuration_asked_elsewhere", "a node that died or froze, or a congested link to it"),
    ("peer_silent", "a link or a node that delivers no messages"),
    ("link_replaced", "a link that stopped delivering messages"),
    ("isolated", "a network partition, with this node on the smaller side"),
    ("dependency_lost", "an outage of the store"),
    ("instance_displaced", "an instance that restarted at its address under another name"),
    ("instance_started_again", "an instance that restarted under its name"),
    (
        "hold_lost",
        "a coordinator that paused during a primary replacement, or an outage of the store",
    ),
];

/// Counters of faults that are above zero, with their values. In a test on one machine without
/// injected faults, there are none.
pub fn nonzero_fault_counters(metrics: &Metrics) -> Vec<(&'static str, u64)> {
    let counters = [
        ("configurations refused", metrics.configuration.get(ConfigurationEvent::Refused)),
        ("configurations left_out", metrics.configuration.get(ConfigurationEvent::LeftOut)),
        ("configurations unreadable", metrics.configuration.get(ConfigurationEvent::Unreadable)),
        ("datagrams refused", metrics.datagrams.get(MessageEvent::Refused)),
        ("messages refused", metrics.messages.get(MessageEvent::Refused)),
        ("store_requests protocol", metrics.store.get(StoreResult::Protocol)),
        ("restarts", metrics.restarts.get()),
    ];
    counters.into_iter().filter(|(_, count)| *count > 0).collect()
}

/// Occurrences of one event.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Occurrences {
    count: u64,
    nodes: BTreeSet<String>,
    first: String,
    last: String,
}

/// Fault events found in log lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultEvents {
    occurrences: BTreeMap<&'static str, Occurrences>,
}

impl FaultEvents {
    /// Counts the fault event of a log line. Ignores other events, and text that is no log line.
    /// `default_node` is the node of lines that name none.
    pub fn add_line(&mut self, text: &str, default_node: &str) {
        // Most log lines report routine answers, so only lines that contain an event's name are
        // parsed.
        let named = |(event, _): &&(&str, &str)| text.contains(*event);
        if !FAULT_EVENTS.iter().any(|event| named(&event)) {
            return;
        }
        let Some(line) = Line::parse(text, default_node) else { return };
        let event = line.fields.get("event").and_then(|event| event.as_str()).unwrap_or_default();
        let Some((event, _)) = FAULT_EVENTS.iter().find(|(known, _)| *known == event) else {
            return;
        };
        let occurrences = self.occurrences.entry(event).or_insert_with(|| Occurrences {
            count: 0,
            nodes: BTreeSet::new(),
            first: line.time.clone(),
            last: line.time.clone(),
        });
        occurrences.count += 1;
        occurrences.nodes.insert(line.node);
        occurrences.first = occurrences.first.clone().min(line.time.clone());
        occurrences.last = occurrences.last.clone().max(line.time);
    }

    /// Describes each event that occurred and is not `allowed`.
    pub fn report(&self, allowed: &[String]) -> Vec<String> {
        let unexpected = self
            .occurrences
            .iter()
            .filter(|(event, _)| !allowed.iter().any(|allowed| allowed == *event));
        unexpected
            .map(|(event, occurrences)| {
                let cause = FAULT_EVENTS.iter().find(|(known, _)| known == event);
                format!(
                    "{event}: {} times on {} nodes from {} to {}; probable cause: {}",
                    occurrences.count,
                    occurrences.nodes.len(),
                    occurrences.first,
                    occurrences.last,
                    cause.map_or("", |(_, cause)| *cause)
                )
            })
            .collect()
    }
}

/// report log events that show a fault; exit code 1 if there are any
#[derive(FromArgs)]
#[argh(subcommand, name = "resting")]
pub struct FaultEventsCommand {
    /// a log file, or the output of a run; may be repeated
    #[argh(option)]
    log: Vec<PathBuf>,
    /// an event to ignore because it was caused on purpose; may be repeated
    #[argh(option)]
    allow: Vec<String>,
}

impl FaultEventsCommand {
    /// Reads the logs and prints a line for each fault event. Fails if there are any.
    pub fn run(&self) -> miette::Result<()> {
        let mut events = FaultEvents::default();
        for path in &self.log {
            read_log(path, &mut events)?;
        }
        let report = events.report(&self.allow);
        for line in &report {
            println!("{line}");
        }
        match report.len() {
            0 => Ok(()),
            count => Err(miette!("the logs hold {count} kinds of fault events")),
        }
    }
}

fn read_log(path: &Path, events: &mut FaultEvents) -> miette::Result<()> {
    let file = File::open(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot open {}", path.display()))?;
    let default_node = path.file_stem().unwrap_or_default().to_string_lossy();
    for line in BufReader::new(file).split(b'\n') {
        let line = line.into_diagnostic()?;
        events.add_line(&String::from_utf8_lossy(&line), &default_node);
    }
    Ok(())
}
