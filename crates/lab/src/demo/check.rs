//! Drives the demonstration through a PostgreSQL client library and checks what comes back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use miette::{IntoDiagnostic, ensure, miette};
use postgres::{Client, Config, NoTls, SimpleQueryMessage};

use super::Demo;
use crate::logins::password_of;

const READY_LIMIT: Duration = Duration::from_secs(10);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const WRITES: usize = 20;

/// Counts of what was checked.
#[derive(Clone, Copy, Debug, Default)]
pub struct Checked {
    /// Writes acknowledged.
    pub writes: usize,
    /// Reads that saw the session's last write.
    pub reads: usize,
}

fn connect(address: SocketAddr, tenant: &str, database: &str) -> Result<Client, postgres::Error> {
    Config::new()
        .host(&address.ip().to_string())
        .port(address.port())
        .user(tenant)
        .password(password_of(tenant))
        .dbname(database)
        .connect(NoTls)
}

fn connect_when_ready(address: SocketAddr, tenant: &str, database: &str) -> miette::Result<Client> {
    let limit = Instant::now() + READY_LIMIT;
    loop {
        match connect(address, tenant, database) {
            Ok(client) => return Ok(client),
            Err(error) if Instant::now() > limit => {
                return Err(miette!("not ready in time: {error}"));
            }
            Err(_) => std::thread::sleep(RETRY_INTERVAL),
        }
    }
}

fn first_value(client: &mut Client, sql: &str) -> miette::Result<Option<String>> {
    let messages = client.simple_query(sql).into_diagnostic()?;
    Ok(messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    }))
}

/// Runs every check against a started demonstration.
pub fn run(demo: &Demo) -> miette::Result<Checked> {
    let mut checked = Checked::default();
    let first = demo.caller_addresses[0];
    for (tenant, database, table) in
        [("atlas", "orders", "captions"), ("gidanmu", "tickets", "seats")]
    {
        let mut client = connect_when_ready(first, tenant, database)?;
        let create = format!("CREATE TABLE {table} (id BIGINT PRIMARY KEY, body TEXT)");
        client.simple_query(&create).into_diagnostic()?;
        for id in 0..WRITES {
            let insert = format!("INSERT INTO {table} VALUES ({id}, 'text {id}')");
            client.simple_query(&insert).into_diagnostic()?;
            checked.writes += 1;
            let select = format!("SELECT body FROM {table} WHERE id = {id}");
            let body = first_value(&mut client, &select)?;
            ensure!(body == Some(format!("text {id}")), "write {id} to {table} not seen: {body:?}");
            checked.reads += 1;
        }
    }
    Ok(checked)
}
