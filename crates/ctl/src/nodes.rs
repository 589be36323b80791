//! The live nodes and the revision that is active on each.

use std::io::Write;
use std::time::{Duration, Instant};

use kestrellock_core::admin::configuration::NodeRevision;
use kestrellock_core::catalog::Revision;
use kestrellock_core::outcome::ResultCode;
use miette::{Result, miette};

use crate::client::{Client, ClientError};
use crate::line;

const POLL_INTERVAL: Duration = Duration::from_millis(300);

fn read(client: &Client) -> Result<Vec<NodeRevision>, ClientError> {
    client.get("/v1/nodes")
}

/// Prints a line for each live node.
pub fn list(client: &Client, output: &mut dyn Write) -> Result<()> {
    for node in read(client)? {
        line(output, format!("{}\t{}\trevision {}", node.node, node.zone, node.revision.0))?;
    }
    Ok(())
}

/// Prints the newest revision that is active on any node, and the nodes that are behind it.
pub fn status(client: &Client, output: &mut dyn Write) -> Result<()> {
    let nodes = read(client)?;
    let newest = nodes.iter().map(|node| node.revision).max().unwrap_or_default();
    let behind = names_behind(&nodes, newest);
    let current = nodes.len() - behind.len();
    line(output, format!("revision {}: in force on {current} of {} nodes", newest.0, nodes.len()))?;
    for name in behind {
        line(output, format!("behind: {name}"))?;
    }
    Ok(())
}

fn names_behind(nodes: &[NodeRevision], revision: Revision) -> Vec<String> {
    let behind = nodes.iter().filter(|node| node.revision < revision);
    behind.map(|node| format!("{} (revision {})", node.node, node.revision.0)).collect()
}

/// Waits until `revision` is active on every live node. After `limit`, returns an error that names
/// the nodes that are behind.
pub fn wait(
    client: &Client,
    revision: Revision,
    limit: Duration,
    output: &mut dyn Write,
) -> Result<()> {
    let deadline = Instant::now() + limit;
    loop {
        let nodes = read(client)?;
        let behind = names_behind(&nodes, revision);
        // A node that has not joined the cluster yet lists no nodes, not even itself.
        if behind.is_empty() && !nodes.is_empty() {
            let count = nodes.len();
            return line(output, format!("revision {} in force on {count} nodes", revision.0));
        }
        if Instant::now() >= deadline {
            let code = ResultCode::NotInForceEverywhere;
            let not_joined =
                || vec!["any node: the queried node has not joined the cluster yet".to_owned()];
            let names = if behind.is_empty() { not_joined() } else { behind };
            let names = names.join(", ");
            return Err(miette!("{code}: revision {} not in force on {names}", revision.0));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
