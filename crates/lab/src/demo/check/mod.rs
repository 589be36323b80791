//! Drives the demonstration through a PostgreSQL client library and checks what comes back.

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

/// Longest wait for anything that must come.
const READY_LIMIT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Counts of what was checked.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckCounts {
    /// Writes acknowledged.
    pub writes: usize,
    /// Reads that saw the session's last write.
    pub reads: usize,
    /// Of those, on another node, by a session that handed its token back.
    pub with_token: usize,
    /// Of those, on another node, by a session without a token.
    pub without_token: usize,
    /// Exchanges by prepared statements.
    pub prepared: usize,
    /// Transactions committed or rolled back.
    pub transactions: usize,
    /// Errors passed on whole.
    pub errors: usize,
    /// Statements cancelled.
    pub cancelled: usize,
    /// Nodes on which a changed template came into force.
    pub templates: usize,
}

impl fmt::Display for CheckCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = [
            (self.writes, "writes acknowledged"),
            (self.reads, "reads that saw the session's last write"),
            (self.with_token, "of them on another node, with the session's token"),
            (self.without_token, "of them on another node, without a token"),
            (self.prepared, "exchanges by prepared statements"),
            (self.transactions, "transactions committed or rolled back"),
            (self.errors, "errors passed on whole"),
            (self.cancelled, "statements cancelled"),
            (self.templates, "nodes on which a changed template came into force"),
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

/// Connects, waiting until the node has its configuration.
fn connect_when_ready(address: SocketAddr, user: &str, database: &str) -> miette::Result<Client> {
    let limit = Instant::now() + READY_LIMIT;
    loop {
        match connect(address, user, database) {
            Ok(client) => return Ok(client),
            Err(error) if Instant::now() > limit => {
                return Err(miette!("not ready in time: {error}"));
            }
            Err(_) => std::thread::sleep(RETRY_INTERVAL),
        }
    }
}

/// A tenant and the node at which it is checked first.
struct Subject<'a> {
    tenant: &'a DemoTenant,
    nodes: &'a [SocketAddr],
}

impl Subject<'_> {
    fn connect(&self, node: usize) -> miette::Result<Client> {
        connect_when_ready(self.nodes[node], self.tenant.name, self.tenant.database)
    }
}

/// A check that did not pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Which one.
    pub check: &'static str,
    /// What was wrong.
    pub problem: String,
}

/// What came of all checks.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What was checked.
    pub checked: CheckCounts,
    /// Checks that did not pass.
    pub failures: Vec<Failure>,
}

impl Verdict {
    /// Notes the outcome of one check and goes on to the next.
    fn note(&mut self, check: &'static str, outcome: miette::Result<()>) {
        if let Err(report) = outcome {
            self.failures.push(Failure { check, problem: report.to_string() });
        }
    }
}

/// Name of the check of sessions that move without a token.
pub const WITHOUT_TOKEN: &str = "sessions without a token";

/// Runs every check against a started demonstration.
pub fn run(demo: &Demo) -> Verdict {
    let mut verdict = Verdict::default();
    for tenant in &TENANTS {
        let subject = Subject { tenant, nodes: &demo.client_addresses };
        let outcome = statements::run(&subject, &mut verdict.checked);
        verdict.note("statements", outcome);
        let outcome = sessions::with_token(&subject, &mut verdict.checked);
        verdict.note("sessions with a token", outcome);
        let outcome = sessions::without_token(&subject, &mut verdict.checked);
        verdict.note(WITHOUT_TOKEN, outcome);
    }
    let outcome = template::run(demo, &mut verdict.checked);
    verdict.note("template", outcome);
    verdict
}
