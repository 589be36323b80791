//! Tables and first rows of a scenario's databases, put in before callers begin.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use miette::{IntoDiagnostic, bail, miette};

use super::caller::connection::{Connection, Endpoint};
use super::catalog::TENANT;
use super::definition::Workload;
use super::deployment::{Cluster, Group};

/// Longest wait for a database or a node to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
const READY_WAIT: Duration = Duration::from_millis(20);
/// Rows put in by one statement.
const ROWS_PER_STATEMENT: u32 = 100;

/// Makes the tables of every database, and waits until every node serves them.
pub fn prepare(cluster: &Cluster, workload: &Workload) -> miette::Result<()> {
    for group in &cluster.groups {
        fill(group, workload)?;
        if !group.servers.wait_for_replicas(READY_LIMIT) {
            bail!("the replicas of {} did not follow", group.id);
        }
    }
    for node in &cluster.nodes {
        for group in &cluster.groups {
            wait_for_node(node.address, &group.id.0)?;
        }
    }
    Ok(())
}

fn endpoint(address: SocketAddr, database: &str) -> Endpoint {
    Endpoint { address, from: None, user: TENANT.into(), database: database.into() }
}

fn fill(group: &Group, workload: &Workload) -> miette::Result<()> {
    let primary = group.servers.primary().ok_or_else(|| miette!("{} has no primary", group.id))?;
    let endpoint = endpoint(group.servers.addresses[primary], &group.id.0);
    let mut connection = Connection::connect(&endpoint, None, READY_LIMIT).into_diagnostic()?;
    let mut texts = vec![
        "CREATE TABLE registers (id BIGINT PRIMARY KEY, value TEXT)".to_owned(),
        "CREATE TABLE seats (id BIGINT PRIMARY KEY, owner TEXT)".to_owned(),
        "CREATE TABLE deposits (operation TEXT, amount BIGINT)".to_owned(),
        "CREATE TABLE parts (operation TEXT, part BIGINT)".to_owned(),
    ];
    texts.extend(empty_rows("registers", workload.registers));
    texts.extend(empty_rows("seats", workload.seats));
    for text in texts {
        let limit = Instant::now() + READY_LIMIT;
        let reply = connection.query(&text, limit).into_diagnostic()?;
        if let Some(error) = reply.error {
            bail!("{}: {}: {}", group.id, error.sqlstate, error.message);
        }
    }
    connection.close();
    Ok(())
}

/// Statements that put in rows 0 to `count` with an empty text.
fn empty_rows(table: &str, count: u32) -> Vec<String> {
    let ids: Vec<u32> = (0..count).collect();
    ids.chunks(ROWS_PER_STATEMENT as usize)
        .map(|ids| {
            let rows: Vec<String> = ids.iter().map(|id| format!("({id}, '')")).collect();
            format!("INSERT INTO {table} VALUES {}", rows.join(", "))
        })
        .collect()
}

/// Waits until a node reads from and writes to a database.
fn wait_for_node(address: SocketAddr, database: &str) -> miette::Result<()> {
    let limit = Instant::now() + READY_LIMIT;
    let endpoint = endpoint(address, database);
    let mut last = String::new();
    while Instant::now() < limit {
        match probe(&endpoint, limit) {
            Ok(()) => return Ok(()),
            Err(error) => last = error,
        }
        thread::sleep(READY_WAIT);
    }
    bail!("node at {address} does not serve {database}: {last}")
}

fn probe(endpoint: &Endpoint, limit: Instant) -> Result<(), String> {
    let mut connection =
        Connection::connect(endpoint, None, READY_LIMIT).map_err(|error| error.to_string())?;
    let texts = [
        "SELECT value FROM registers WHERE id = 0",
        "UPDATE registers SET value = '' WHERE id = 0",
    ];
    for text in texts {
        let reply = connection.query(text, limit).map_err(|error| error.to_string())?;
        if let Some(error) = reply.error {
            return Err(error.message);
        }
    }
    connection.close();
    Ok(())
}
