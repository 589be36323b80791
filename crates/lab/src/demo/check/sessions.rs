//! Checks that a session that moves between nodes reads its own writes, although replicas lag.

use std::net::SocketAddr;
use std::time::Instant;

use miette::{IntoDiagnostic, ensure, miette};

use super::{CheckCounts, READY_TIMEOUT, Subject};
use crate::scenario::caller::connection::{Connection, Endpoint};

const MOVES: i64 = 10;
const FIRST_ID_WITH_TOKEN: i64 = 10_000;
const FIRST_ID_WITHOUT_TOKEN: i64 = 20_000;

fn open(subject: &Subject, address: SocketAddr, token: Option<&str>) -> miette::Result<Connection> {
    let endpoint = Endpoint {
        address,
        from: None,
        user: subject.tenant.name.to_owned(),
        database: subject.tenant.database.to_owned(),
    };
    Connection::connect(&endpoint, token, READY_TIMEOUT).into_diagnostic()
}

/// Checks that a session that presents its token reads its writes on any node. The client library
/// cannot send the token, so this check uses the lab's own connection.
pub fn with_token(subject: &Subject, checked: &mut CheckCounts) -> miette::Result<()> {
    let table = subject.tenant.table;
    let mut token: Option<String> = None;
    for step in 0..MOVES {
        let id = FIRST_ID_WITH_TOKEN + step;
        let node = step as usize % subject.nodes.len();
        let next = (node + 1) % subject.nodes.len();
        subject.connect(next)?;
        let mut writer = open(subject, subject.nodes[node], token.as_deref())?;
        query(&mut writer, &format!("INSERT INTO {table} VALUES ({id}, 'moved', true)"))?;
        checked.writes += 1;
        let received = writer.token.clone();
        token = Some(received.ok_or_else(|| miette!("a write was answered without a token"))?);
        let mut reader = open(subject, subject.nodes[next], token.as_deref())?;
        let rows = query(&mut reader, &format!("SELECT body FROM {table} WHERE id = {id}"))?;
        ensure!(rows == 1, "a session with its token did not see write {id} on another node");
        checked.reads += 1;
        checked.with_token += 1;
    }
    Ok(())
}

fn query(connection: &mut Connection, sql: &str) -> miette::Result<usize> {
    let reply = connection.query(sql, Instant::now() + READY_TIMEOUT).into_diagnostic()?;
    match reply.error {
        Some(error) => Err(miette!("{sql}: {} {}", error.sqlstate, error.message)),
        None => Ok(reply.rows.len()),
    }
}

/// Checks that a new connection without a token reads every write that was acknowledged before the
/// connection was opened.
pub fn without_token(subject: &Subject, checked: &mut CheckCounts) -> miette::Result<()> {
    let table = subject.tenant.table;
    let insert = format!("INSERT INTO {table} VALUES ($1, 'moved', true)");
    let select = format!("SELECT count(*) FROM {table} WHERE id = $1");
    for step in 0..MOVES {
        let id = FIRST_ID_WITHOUT_TOKEN + step;
        let node = step as usize % subject.nodes.len();
        let next = (node + 1) % subject.nodes.len();
        subject.connect(node)?.execute(&insert, &[&id]).into_diagnostic()?;
        checked.writes += 1;
        let row = subject.connect(next)?.query_one(&select, &[&id]).into_diagnostic()?;
        let count: i64 = row.get(0);
        ensure!(count == 1, "a session without a token did not see write {id} on another node");
        checked.reads += 1;
        checked.without_token += 1;
    }
    Ok(())
}
