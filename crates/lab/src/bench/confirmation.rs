//! What it costs a write to be confirmed: nothing waited for, the term alone, term and offset.
//!
//! The three rules run in turn, round by round, over the same group, so that each round is a pair.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_core::catalog::Catalog;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_daemon::policy::Policy;
use miette::{IntoDiagnostic, miette};
use postgres_protocol::message::frontend;
use postgres_protocol::password;
use serde_json::json;

use super::cluster::{Cluster, NodePlan};
use super::login::{self, Credentials};
use super::report::{Better, Measure, Report};
use super::statistics::Latencies;
use crate::standin::group::DatabaseGroup;
use crate::standin::group::options::GroupOptions;

const ZONE: &str = "data";
const NAME: &str = "confirmation";
const PASSWORD: &str = "confirmation-bench";
const WRITERS: [usize; 3] = [1, 16, 64];
const ROUNDS: usize = 5;
const SLOTS: u32 = 64;
const CONNECTIONS: u32 = 600;
const DEADLINE: Duration = Duration::from_secs(5);
const READY_LIMIT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The replica that receives no log in the second half.
const FAR_BEHIND: usize = 2;

/// What a commit waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    Nothing,
    Term,
    TermAndOffset,
}

impl Rule {
    const ALL: [Self; 3] = [Self::Nothing, Self::Term, Self::TermAndOffset];

    fn name(self) -> &'static str {
        match self {
            Self::Nothing => "none",
            Self::Term => "term",
            Self::TermAndOffset => "flushed",
        }
    }

    fn policy(self) -> Policy {
        if self == Self::Nothing { Policy::NoConfirmation } else { Policy::Standard }
    }

    fn setting(self) -> &'static str {
        if self == Self::Term { "term" } else { "flushed" }
    }
}

/// A node that follows one rule.
struct Deployment {
    rule: Rule,
    cluster: Cluster,
    address: SocketAddr,
}

/// What one round of writes came to.
struct Round {
    latencies: Latencies,
    per_second: f64,
}

/// Runs the bench; each round of each rule and number of writers takes `length`.
pub fn run(length: Duration) -> miette::Result<Report> {
    let group = DatabaseGroup::start(GroupOptions {
        zones: vec![ZoneName::new(ZONE); 3],
        slots: SLOTS as usize,
        connections: CONNECTIONS as usize,
        ..GroupOptions::default()
    })
    .into_diagnostic()?;
    let deployments: Vec<Deployment> = Rule::ALL
        .into_iter()
        .map(|rule| Deployment::start(rule, &group))
        .collect::<miette::Result<_>>()?;
    create_table(&deployments[0])?;
    let settings = BTreeMap::from([
        ("round_ms".to_owned(), length.as_millis().to_string()),
        ("rounds".to_owned(), ROUNDS.to_string()),
    ]);
    let mut report = Report::new(NAME, settings);
    let next_id = AtomicU64::new(1);
    for (condition, receiving) in [("even", true), ("one_behind", false)] {
        group.set_receiving(FAR_BEHIND, receiving);
        for writers in WRITERS {
            measure(&deployments, condition, writers, length, &next_id, &mut report)?;
        }
    }
    deployments.into_iter().for_each(|deployment| deployment.cluster.stop());
    Ok(report)
}

/// Measures every rule in turn, and adds the figures to the report.
fn measure(
    deployments: &[Deployment],
    condition: &str,
    writers: usize,
    length: Duration,
    next_id: &AtomicU64,
    report: &mut Report,
) -> miette::Result<()> {
    let mut rounds: Vec<Vec<Round>> = deployments.iter().map(|_| Vec::new()).collect();
    for _ in 0..ROUNDS {
        for (deployment, rounds) in deployments.iter().zip(&mut rounds) {
            rounds.push(deployment.round(writers, length, next_id)?);
        }
    }
    for (deployment, rounds) in deployments.iter().zip(rounds) {
        let name = format!("{condition}_{writers}_{}", deployment.rule.name());
        let milliseconds = |quantile: f64| {
            rounds.iter().map(|round| round.latencies.at(quantile) / 1000.0).collect()
        };
        let (median, tail) = (milliseconds(0.5), milliseconds(0.99));
        let rate = rounds.iter().map(|round| round.per_second).collect();
        report.measures.extend(
            [
                Measure::new(&format!("{name}_p50"), "ms", Better::Lower, median),
                Measure::new(&format!("{name}_p99"), "ms", Better::Lower, tail),
                Measure::new(&format!("{name}_rate"), "writes/s", Better::Higher, rate),
            ]
            .into_iter()
            .flatten(),
        );
    }
    Ok(())
}

impl Deployment {
    fn start(rule: Rule, group: &DatabaseGroup) -> miette::Result<Self> {
        let plan = NodePlan { name: NodeName::new(rule.name()), zone: ZoneName::new(ZONE) };
        let catalog = catalog(rule, &group.addresses)?;
        let cluster = Cluster::start(&catalog, &[plan], rule.policy())?;
        let address = cluster.nodes[0].caller_address;
        Ok(Self { rule, cluster, address })
    }

    fn open(&self) -> std::io::Result<std::net::TcpStream> {
        let [user, password, database] = [NAME, PASSWORD, NAME].map(str::to_owned);
        login::open(self.address, &Credentials { user, password, database })
    }

    fn round(
        &self,
        writers: usize,
        length: Duration,
        next_id: &AtomicU64,
    ) -> miette::Result<Round> {
        let end = Instant::now() + length;
        let found: Vec<std::io::Result<Latencies>> = thread::scope(|scope| {
            let running: Vec<_> =
                (0..writers).map(|_| scope.spawn(|| self.write_until(end, next_id))).collect();
            running.into_iter().map(|writer| writer.join().expect("a writer panicked")).collect()
        });
        let mut latencies = Latencies::default();
        for own in found {
            latencies.add(&own.into_diagnostic()?);
        }
        let per_second = latencies.count() as f64 / length.as_secs_f64();
        Ok(Round { latencies, per_second })
    }

    fn write_until(&self, end: Instant, next_id: &AtomicU64) -> std::io::Result<Latencies> {
        let mut stream = self.open()?;
        let mut latencies = Latencies::default();
        while Instant::now() < end {
            let id = next_id.fetch_add(1, Ordering::Relaxed);
            let began = Instant::now();
            run_query(&mut stream, &format!("INSERT INTO entries VALUES ({id})"))?;
            latencies.record(began.elapsed());
        }
        Ok(latencies)
    }
}

fn run_query(stream: &mut std::net::TcpStream, sql: &str) -> std::io::Result<()> {
    let mut output = BytesMut::new();
    frontend::query(sql, &mut output)?;
    stream.write_all(&output)?;
    login::read_answer(stream)
}

fn create_table(deployment: &Deployment) -> miette::Result<()> {
    let limit = Instant::now() + READY_LIMIT;
    loop {
        let created = deployment
            .open()
            .and_then(|mut stream| run_query(&mut stream, "CREATE TABLE entries (id BIGINT)"));
        match created {
            Ok(()) => return Ok(()),
            Err(error) if Instant::now() > limit => return Err(miette!("not ready: {error}")),
            Err(_) => thread::sleep(RETRY_INTERVAL),
        }
    }
}

fn catalog(rule: Rule, addresses: &[SocketAddr]) -> miette::Result<Catalog> {
    let instances: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| {
            json!({
                "name": format!("{NAME}-{index}"), "zone": ZONE, "address": address,
                "slots": SLOTS, "connections": CONNECTIONS / Rule::ALL.len() as u32,
            })
        })
        .collect();
    let verifier = password::scram_sha_256(PASSWORD.as_bytes());
    serde_json::from_value(json!({
        "groups": { NAME: {
            "database": NAME, "user": "kestrellock", "instances": instances,
            "confirmation": rule.setting(),
        } },
        "templates": { NAME: {
            "groups": [NAME], "max_staleness_ms": 1000, "capacity": SLOTS,
            "deadline_ms": DEADLINE.as_millis() as u64,
        } },
        "tenants": { NAME: { "template": NAME, "logins": { NAME: verifier } } },
    }))
    .into_diagnostic()
}
