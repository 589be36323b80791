//! The path bench: what one and two nodes between a caller and a back end cost.
//!
//! Every way and protocol is measured in short slices that take turns, so that whatever else the
//! machine does meanwhile hits all alike.

pub mod cluster;
pub mod idle;
pub mod load;
pub mod messages;

use std::collections::BTreeMap;
use std::time::Duration;

use miette::IntoDiagnostic;

use self::cluster::{PathCluster, Route, credentials};
use self::load::{LoadConnections, SliceOutcome};
use self::messages::Protocol;
use super::process::processor_time_of_nodes;
use super::report::{Better, Measure, Report};

/// Connections that are busy in a slice that measures throughput.
const BUSY_CONNECTIONS: usize = 32;
/// Share of the time that goes to slices with one busy connection, which measure latency.
const LATENCY_SHARE: f64 = 0.25;
const MINIMUM_ROUNDS: u32 = 4;
const LONGEST_THROUGHPUT_SLICE: Duration = Duration::from_millis(1_000);
const STATEMENTS_PER_CORE_SECOND: f64 = 50_000.0;
const ADDED_MEDIAN_MICROSECONDS: f64 = 100.0;
const IDLE_MEGABYTES: f64 = 64.0;

/// Idle callers held at once, unless chosen otherwise.
pub const IDLE_CALLERS: usize = 2_200;

/// How much is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathOptions {
    /// Length of all slices together.
    pub length: Duration,
    /// Idle callers whose memory is measured.
    pub idle_callers: usize,
}

/// One way and protocol, and its connections.
struct Variant {
    route: Route,
    protocol: Protocol,
    connections: LoadConnections,
    samples: BTreeMap<&'static str, Vec<f64>>,
}

/// Runs the bench.
pub fn run(options: &PathOptions) -> miette::Result<Report> {
    let cluster = PathCluster::start()?;
    let settings = BTreeMap::from([
        ("busy_connections".to_owned(), BUSY_CONNECTIONS.to_string()),
        ("idle_callers".to_owned(), options.idle_callers.to_string()),
        ("seconds".to_owned(), options.length.as_secs().to_string()),
    ]);
    let mut report = Report::new("path", settings);
    let idle_address = cluster.addresses(Route::OneNode)[0];
    match idle::growth_megabytes(idle_address, &credentials(), options.idle_callers) {
        Ok(growth) => add_idle(&mut report, growth),
        Err(error) => report.not_measured.push(format!("memory of idle callers: {error:?}")),
    }
    let mut variants = open_variants(&cluster, &mut report);
    let slices = options.length / (variants.len().max(1) as u32);
    let rounds = (slices.as_millis() / LONGEST_THROUGHPUT_SLICE.as_millis()) as u32;
    let rounds = rounds.max(MINIMUM_ROUNDS);
    for round in 0..rounds {
        for variant in &mut variants {
            variant.measure(slices / rounds)?;
        }
        eprintln!("round {} of {rounds}", round + 1);
    }
    summarise(&variants, &mut report);
    cluster.stop();
    Ok(report)
}

fn add_idle(report: &mut Report, growth: f64) {
    let measure = Measure::new("idle_callers.memory", "MB", Better::Lower, vec![growth]);
    report.measures.extend(measure.map(|measure| measure.with_target(IDLE_MEGABYTES)));
}

fn open_variants(cluster: &PathCluster, report: &mut Report) -> Vec<Variant> {
    let mut variants = Vec::new();
    for protocol in Protocol::ALL {
        for route in Route::ALL {
            let addresses = cluster.addresses(route);
            match LoadConnections::open(&addresses, BUSY_CONNECTIONS, &credentials(), protocol) {
                Ok(connections) => variants.push(Variant {
                    route,
                    protocol,
                    connections,
                    samples: BTreeMap::new(),
                }),
                Err(error) => report.not_measured.push(format!(
                    "{} reads, {}: {error}",
                    protocol.name(),
                    route.name()
                )),
            }
        }
    }
    variants
}

impl Variant {
    fn measure(&mut self, length: Duration) -> miette::Result<()> {
        let alone = self.connections.run(1, length.mul_f64(LATENCY_SHARE)).into_diagnostic()?;
        self.push("alone_p50", alone.latencies.at(0.5));
        self.push("alone_p99", alone.latencies.at(0.99));
        let before = processor_time_of_nodes().into_diagnostic()?;
        let busy = self
            .connections
            .run(BUSY_CONNECTIONS, length.mul_f64(1.0 - LATENCY_SHARE))
            .into_diagnostic()?;
        let after = processor_time_of_nodes().into_diagnostic()?;
        let spent = after.saturating_sub(before);
        self.push_throughput(&busy, spent);
        Ok(())
    }

    fn push_throughput(&mut self, busy: &SliceOutcome, spent: Duration) {
        let statements = busy.latencies.count() as f64;
        self.push("rate", statements / busy.elapsed.as_secs_f64());
        self.push("busy_p50", busy.latencies.at(0.5));
        self.push("busy_p99", busy.latencies.at(0.99));
        if self.route != Route::Direct && !spent.is_zero() {
            self.push("per_core_second", statements / spent.as_secs_f64());
        }
    }

    fn push(&mut self, name: &'static str, value: f64) {
        self.samples.entry(name).or_default().push(value);
    }

    fn name(&self, what: &str) -> String {
        format!("{}.{}.{what}", self.protocol.name(), self.route.name())
    }
}

fn summarise(variants: &[Variant], report: &mut Report) {
    for variant in variants {
        for (what, samples) in &variant.samples {
            let (unit, better) = match *what {
                "rate" => ("statements/s", Better::Higher),
                "per_core_second" => ("statements/core s", Better::Higher),
                _ => ("µs", Better::Lower),
            };
            let measure = Measure::new(&variant.name(what), unit, better, samples.clone());
            let is_cost = *what == "per_core_second" && variant.route == Route::OneNode;
            report.measures.extend(measure.map(|measure| match is_cost {
                true => measure.with_target(STATEMENTS_PER_CORE_SECOND),
                false => measure,
            }));
        }
        add_difference(variants, variant, report);
    }
}

/// The median latency beyond that of the direct way, slice against the slice beside it.
fn add_difference(variants: &[Variant], variant: &Variant, report: &mut Report) {
    let direct = variants
        .iter()
        .find(|other| other.route == Route::Direct && other.protocol == variant.protocol);
    let Some(direct) = direct.filter(|_| variant.route != Route::Direct) else { return };
    let pairs = variant.samples["alone_p50"].iter().zip(&direct.samples["alone_p50"]);
    let added = pairs.map(|(through, direct)| through - direct).collect();
    let measure = Measure::new(&variant.name("added_p50"), "µs", Better::Lower, added);
    report.measures.extend(measure.map(|measure| match variant.route {
        Route::OneNode => measure.with_target(ADDED_MEDIAN_MICROSECONDS),
        _ => measure,
    }));
}
