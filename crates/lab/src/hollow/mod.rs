//! Hollow nodes: the agents of many nodes in one process, on loopback addresses.
//!
//! They show what control costs a node at sizes that one machine cannot run for real.

pub mod catalog;
mod cluster;
pub mod node;
mod process;
pub mod report;
mod worker;

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use bytes::BytesMut;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::routing::{InstanceStatus, Role};
use kestrellock_peer::auth::ClusterKeys;
use kestrellock_peer::channel::{Channel, Hello, Side};
use kestrellock_peer::message::{PROTOCOL_VERSION, PeerMessage, ToFront};
use miette::{IntoDiagnostic, ensure, miette};

use self::cluster::Cluster;
use self::report::{HollowReport, StatusCost};

/// Most nodes that the address plan and the memory of one machine allow.
const MAX_NODES: usize = 2000;

/// run the agents of many nodes in one process and report what each costs
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hollow")]
pub struct HollowCommand {
    /// number of nodes, or several separated by commas, run one after the other
    #[argh(option)]
    nodes: String,
    /// number of databases, three instances each
    #[argh(option, default = "550")]
    databases: usize,
    /// seed of all random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds for each of the two phases: at rest, and under churn
    #[argh(option, default = "20")]
    seconds: u64,
    /// file for the report, as JSON
    #[argh(option)]
    out: Option<PathBuf>,
}

impl HollowCommand {
    /// Runs every size, prints the figures and writes the report.
    pub fn run(&self) -> miette::Result<()> {
        let sizes: Vec<usize> = self
            .nodes
            .split(',')
            .map(|size| size.trim().parse())
            .collect::<Result<_, _>>()
            .map_err(|_| miette!("--nodes takes numbers separated by commas"))?;
        let allowed = sizes.iter().all(|size| (1..=MAX_NODES).contains(size));
        ensure!(allowed, "--nodes must be 1 to {MAX_NODES}");
        let report = run(&sizes, self.databases, self.seed, self.seconds)?;
        report.print();
        if let Some(path) = &self.out {
            let text = serde_json::to_string_pretty(&report).into_diagnostic()?;
            std::fs::write(path, text).into_diagnostic()?;
        }
        Ok(())
    }
}

/// Measures every size in turn, each phase for `seconds`.
pub fn run(
    sizes: &[usize],
    databases: usize,
    seed: u64,
    seconds: u64,
) -> miette::Result<HollowReport> {
    let time = Duration::from_secs(seconds);
    let mut report = HollowReport { seed, status: status_cost()?, sizes: Vec::new() };
    for &nodes in sizes {
        let mut cluster = Cluster::start(nodes, databases, seed)?;
        let measured = cluster.measure(time);
        cluster.stop()?;
        report.sizes.push(measured?);
    }
    Ok(report)
}

/// Encodes a status message as a real node does.
fn status_cost() -> miette::Result<StatusCost> {
    let one = status_message_bytes(1)?;
    let two = status_message_bytes(2)?;
    Ok(StatusCost { message_bytes: one, further_status_bytes: two - one })
}

fn status_message_bytes(count: usize) -> miette::Result<usize> {
    let mut channel = established()?;
    let position = Position { term: Term(3), offset: LogOffset(0x12_3456_7890) };
    let status = |number: usize| InstanceStatus {
        instance: InstanceName::new(format!("group-0042-{number}")),
        role: Role::Replica,
        applied: position,
        flushed: position,
        reachable: true,
        queue_wait: Some(Duration::from_micros(1500)),
        lag: Duration::from_millis(120),
        unconfirmed_for: None,
    };
    let statuses = (0..count).map(status).collect();
    let group = GroupName::new("group-0042");
    let message =
        PeerMessage::ToFront { shard: None, message: ToFront::Statuses { group, statuses } };
    let mut output = BytesMut::new();
    channel.send(&message, &mut output).into_diagnostic()?;
    Ok(output.len())
}

/// One side of a stream that is ready to send.
fn established() -> miette::Result<Channel> {
    let hello = |node: &str| Hello {
        version: PROTOCOL_VERSION,
        cluster: "hollow".into(),
        node: NodeName::new(node),
        incarnation: 1,
        shard: 0,
        shards: 1,
        nonce: [0; 16],
    };
    let keys = ClusterKeys::new([b"key of a measurement".as_slice()]).into_diagnostic()?;
    let (mut there, mut back) = (BytesMut::new(), BytesMut::new());
    let begin = |side, node, output: &mut BytesMut| {
        Channel::begin(side, hello(node), keys.clone(), output).into_diagnostic()
    };
    let mut opener = begin(Side::Opener, "a", &mut there)?;
    let mut acceptor = begin(Side::Acceptor, "b", &mut back)?;
    acceptor.advance(&mut there, &mut back).into_diagnostic()?;
    opener.advance(&mut back, &mut there).into_diagnostic()?;
    Ok(opener)
}
