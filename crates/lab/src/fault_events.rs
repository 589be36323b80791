//! Counters and log events that rest while nothing is wrong.
//!
//! Faults of the configuration were counted for many landings before anybody saw one: nobody looked at the
//! counters. Here stands which of them rest, so that tests, scenarios and whoever looks through the logs of
//! many days can ask for those that did not.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use argh::FromArgs;
use kestrellock_ctl::explain::Line;
use kestrellock_daemon::metrics::{ConfigurationEvent, MessageEvent, Metrics, StoreResult};
use miette::{IntoDiagnostic, WrapErr, miette};

/// Log events that rest, and what each shows.
const FAULT_EVENTS: &[(&str, &str)] = &[
    (
        "configuration_refused",
        "a configuration that cannot be used at all: a defect of the program",
    ),
    ("entry_unreadable", "another writer's entry, or a defect of a writer"),
    ("entry_left_out", "an entry or instance with a faulty field"),
    ("configuration_asked_elsewhere", "a node that died, froze or has a full link"),
    ("peer_silent", "a connection between nodes, or a node, that carries nothing"),
    ("link_replaced", "a connection between nodes that went silent"),
    ("dependency_lost", "the store"),
    ("instance_displaced", "an instance that started again at its address under another name"),
    ("instance_started_again", "an instance that started again under its name"),
    ("hold_lost", "a node that replaced a primary and stood still, or the store"),
];

/// Counters that rest in a test on one machine, with what they have counted.
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

/// What one event came to.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    count: u64,
    nodes: BTreeSet<String>,
    first: String,
    last: String,
}

/// Events that rest and were seen in log lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultEvents {
    seen: BTreeMap<&'static str, Seen>,
}

impl FaultEvents {
    /// Takes in a line of a log; what is none is passed over.
    pub fn add_line(&mut self, text: &str, default_node: &str) {
        // Most lines of a log tell ordinary answers: only those that name an event are parsed.
        let named = |(event, _): &&(&str, &str)| text.contains(*event);
        if !FAULT_EVENTS.iter().any(|event| named(&event)) {
            return;
        }
        let Some(line) = Line::parse(text, default_node) else { return };
        let event = line.fields.get("event").and_then(|event| event.as_str()).unwrap_or_default();
        let Some((event, _)) = FAULT_EVENTS.iter().find(|(known, _)| *known == event) else {
            return;
        };
        let seen = self.seen.entry(event).or_insert_with(|| Seen {
            count: 0,
            nodes: BTreeSet::new(),
            first: line.time.clone(),
            last: line.time.clone(),
        });
        seen.count += 1;
        seen.nodes.insert(line.node);
        seen.first = seen.first.clone().min(line.time.clone());
        seen.last = seen.last.clone().max(line.time);
    }

    /// Events seen that are not `allowed`, in words.
    pub fn report(&self, allowed: &[String]) -> Vec<String> {
        let told = self.seen.iter().filter(|(event, _)| !allowed.iter().any(|one| one == *event));
        told.map(|(event, seen)| {
            let shows = FAULT_EVENTS.iter().find(|(known, _)| known == event);
            format!(
                "{event}: {} times on {} nodes from {} to {}; shows: {}",
                seen.count,
                seen.nodes.len(),
                seen.first,
                seen.last,
                shows.map_or("", |(_, shows)| *shows)
            )
        })
        .collect()
    }
}

/// tell log events that should rest; exit code 1 if there are any
#[derive(FromArgs)]
#[argh(subcommand, name = "resting")]
pub struct FaultEventsCommand {
    /// a log, or what a run printed; may be given again
    #[argh(option)]
    log: Vec<PathBuf>,
    /// an event that was brought about on purpose; may be given again
    #[argh(option)]
    allow: Vec<String>,
}

impl FaultEventsCommand {
    /// Reads the logs and tells what did not rest.
    pub fn run(&self) -> miette::Result<()> {
        let mut unrest = FaultEvents::default();
        for path in &self.log {
            read(path, &mut unrest)?;
        }
        let report = unrest.report(&self.allow);
        for line in &report {
            println!("{line}");
        }
        match report.len() {
            0 => Ok(()),
            count => Err(miette!("{count} kinds of events did not rest")),
        }
    }
}

fn read(path: &Path, unrest: &mut FaultEvents) -> miette::Result<()> {
    let file = File::open(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} cannot be read", path.display()))?;
    let default_node = path.file_stem().unwrap_or_default().to_string_lossy();
    for line in BufReader::new(file).split(b'\n') {
        let line = line.into_diagnostic()?;
        unrest.add_line(&String::from_utf8_lossy(&line), &default_node);
    }
    Ok(())
}
