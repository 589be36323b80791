//! Checks the demonstration end to end, mostly through a PostgreSQL client library.

mod sessions;
mod statements;
mod template;

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use miette::miette;
use postgres::{Client, Config, NoTls};

use super::{Demo, DemoTenant, TENANTS};
use crate::logins::password_of;

/// Timeout for connecting and for each answer.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Counts of successful checks.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckCounts {
    /// Writes acknowledged.
    pub writes: usize,
    /// Reads that returned the session's last write.
    pub reads: usize,
    /// Those reads on another node by a session that presented its token.
    pub with_token: usize,
    /// Those reads on another node by a session without a token.
    pub without_token: usize,
    /// Executions of prepared statements.
    pub prepared: usize,
    /// Transactions committed or rolled back.
    pub transactions: usize,
    /// Database errors that arrived with their SQLSTATE and message.
    pub errors: usize,
    /// Statements cancelled.
    pub cancelled: usize,
    /// Nodes that activated a changed template.
    pub templates: usize,
}

impl fmt::Display for CheckCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = [
            (self.writes, "writes acknowledged"),
            (self.reads, "reads that returned the session's last write"),
            (self.with_token, "of them on another node, with the session's token"),
            (self.without_token, "of them on another node, without a token"),
            (self.prepared, "executions of prepared statements"),
            (self.transactions, "transactions committed or rolled back"),
            (self.errors, "errors forwarded completely"),
            (self.cancelled, "statements cancelled"),
            (self.templates, "nodes that activated a changed template"),
        ];
        for (count, what) in lines {
            writeln!(formatter, "{count:>5}  {what}")?;
        }
        Ok(())
    }
}

fn connect(address: SocketAddr, user: &str, database: &str) -> Result<Client, postgres::Error> {
    Config::new()
        .host(&address.ip().to_string())
        .port(address.port())
        .user(user)
        .password(password_of(user))
        .dbname(database)
        .connect(NoTls)
}

/// Connects, and retries until the node accepts this user and database. A node refuses them until
/// it has activated a configuration that permits them.
fn connect_when_ready(address: SocketAddr, user: &str, database: &str) -> miette::Result<Client> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        match connect(address, user, database) {
            Ok(client) => return Ok(client),
            Err(error) if Instant::now() > deadline => {
                return Err(miette!("timed out connecting to {address}: {error}"));
            }
            Err(_) => std::thread::sleep(RETRY_INTERVAL),
        }
    }
}

/// A tenant to check, and the client addresses of the nodes.
struct Subject<'a> {
    tenant: &'a DemoTenant,
    nodes: &'a [SocketAddr],
}

impl Subject<'_> {
    fn connect(&self, node: usize) -> miette::Result<Client> {
        connect_when_ready(self.nodes[node], self.tenant.name, self.tenant.database)
    }
}

/// A failed check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Name of the check.
    pub check: &'static str,
    /// Its error.
    pub problem: String,
}

/// Result of all checks.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Counts of successful checks.
    pub checked: CheckCounts,
    /// Failed checks.
    pub failures: Vec<Failure>,
}

impl Verdict {
    /// Records a failed check, so that the other checks still run.
    fn record(&mut self, check: &'static str, outcome: miette::Result<()>) {
        if let Err(report) = outcome {
            self.failures.push(Failure { check, problem: report.to_string() });
        }
    }
}

/// Name of the check of sessions that move between nodes without a token.
pub const WITHOUT_TOKEN: &str = "sessions without a token";

/// Runs every check against a running demonstration.
pub fn run(demo: &Demo) -> Verdict {
    let mut verdict = Verdict::default();
    for tenant in &TENANTS {
        let subject = Subject { tenant, nodes: &demo.client_addresses };
        let outcome = statements::run(&subject, &mut verdict.checked);
        verdict.record("statements", outcome);
        let outcome = sessions::with_token(&subject, &mut verdict.checked);
        verdict.record("sessions with a token", outcome);
        let outcome = sessions::without_token(&subject, &mut verdict.checked);
        verdict.record(WITHOUT_TOKEN, outcome);
    }
    let outcome = template::run(demo, &mut verdict.checked);
    verdict.record("template", outcome);
    verdict
}
