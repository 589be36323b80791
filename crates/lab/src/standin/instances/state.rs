//! State of the instances of a group.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::routing::Role;
use kestrellock_platform::standin::lines::InstanceError;

use super::InstanceOptions;
use super::links::Links;
use super::request_faults::RequestFaults;
use crate::check::final_state::LogPlace;
use crate::check::statements::record::GroupStatements;
use crate::standin::listener::RestartableListener;

/// Incarnation of the initial processes: their start time in milliseconds since the Unix epoch.
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// One commit in a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Term of the primary that made it.
    pub term: Term,
    /// Its number in the log, starting from one.
    pub number: u64,
    /// The rows that it wrote, with their new data.
    pub writes: Vec<(String, String)>,
    /// Ids of the statements that wrote them.
    pub ids: Vec<String>,
}

impl Commit {
    /// Its place in the log.
    pub fn place(&self) -> LogPlace {
        LogPlace { term: self.term.0, offset: self.number }
    }
}

/// Place of the last commit of a log; the default place if it is empty.
fn place_of_last(log: &[Commit]) -> LogPlace {
    log.last().map(Commit::place).unwrap_or_default()
}

/// An executed read or write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// Its statement id.
    pub id: String,
    /// Instance that executed it.
    pub instance: String,
    /// Settings of the session at that time.
    pub values: BTreeMap<String, String>,
    /// The row of a plain statement, or the shape and the row of a prepared statement.
    pub text: String,
    /// Whether it ran inside a transaction.
    pub in_transaction: bool,
    /// Number of the connection.
    pub connection: u64,
    /// Account for which the connection was opened.
    pub account: String,
}

/// One instance.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its listening socket.
    pub listener: RestartableListener,
    /// Whether it runs.
    pub running: bool,
    /// Whether its entry marks it as leaving.
    pub leaving: bool,
    /// Its role.
    pub role: Role,
    /// Identifies this start of its process. Entries carry a start time, which readers compare for
    /// equality only.
    pub incarnation: u64,
    /// Number of its process. The statements that an ended process had received never run.
    pub process: u64,
    /// Its term.
    pub term: Term,
    /// The commits that it has received.
    pub log: Vec<Commit>,
    /// When it received each commit.
    pub received: Vec<Instant>,
    /// Lowest term from which it accepts replication while it is stopped; zero otherwise.
    pub min_term: Term,
    /// Whether replication to it is blocked.
    pub replication_blocked: bool,
    /// Whether its reads are blocked.
    pub reads_blocked: bool,
    /// Open connections by number.
    pub streams: BTreeMap<u64, TcpStream>,
    /// When it first reached a primary of a higher term.
    pub outdated_since: Option<Instant>,
}

impl Instance {
    /// Position of the end of its log.
    pub fn position(&self) -> Position {
        let number = self.log.last().map_or(0, |commit| commit.number);
        Position { term: self.term, offset: LogOffset(number) }
    }

    /// Number of commits that its readers see.
    pub fn applied(&self, lag: Duration, now: Instant) -> usize {
        if self.role == Role::Primary {
            return self.log.len();
        }
        self.received.iter().take_while(|at| now >= **at + lag).count()
    }

    /// Place of the last commit that its readers see.
    pub fn visible_log_end(&self, lag: Duration, now: Instant) -> LogPlace {
        place_of_last(&self.log[..self.applied(lag, now)])
    }

    /// Place of the last commit that it has received.
    pub fn log_end(&self) -> LogPlace {
        place_of_last(&self.log)
    }

    /// The data of a row, as its readers see it.
    pub fn read(&self, row: &str, lag: Duration, now: Instant) -> Option<String> {
        let visible = &self.log[..self.applied(lag, now)];
        let writes = visible.iter().rev().flat_map(|commit| commit.writes.iter().rev());
        writes.into_iter().find(|(written, _)| written == row).map(|(_, data)| data.clone())
    }

    /// Appends a commit.
    pub fn append(&mut self, commit: Commit, now: Instant) {
        self.log.push(commit);
        self.received.push(now);
    }

    /// Closes all connections.
    pub fn close_connections(&mut self) {
        for stream in std::mem::take(&mut self.streams).into_values() {
            // An error means that the connection is already closed.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Drops all commits after the first `length`.
    pub fn truncate(&mut self, length: usize) {
        self.log.truncate(length);
        self.received.truncate(length);
    }
}

/// State of a group.
pub struct State {
    /// Its options.
    pub options: InstanceOptions,
    /// Its instances by name.
    pub instances: BTreeMap<String, Instance>,
    /// Executed reads and writes.
    pub executed_statements: Vec<ExecutedStatement>,
    /// Received statements and commits, for the check of statements.
    pub statements: GroupStatements,
    /// Number of status queries.
    pub status_queries: u64,
    /// Number of the next connection.
    pub next_connection: u64,
    /// Which instances reach each other.
    pub links: Links,
    /// Error with which the instances answer each `BEGIN`, if they begin no transactions.
    pub begin_error: Option<InstanceError>,
    /// Faults in answering requests, by instance.
    pub request_faults: BTreeMap<String, RequestFaults>,
}

impl State {
    /// Creates a group without instances.
    pub fn new(options: InstanceOptions) -> Self {
        let instances = BTreeMap::new();
        Self {
            options,
            instances,
            executed_statements: Vec::new(),
            statements: GroupStatements::default(),
            status_queries: 0,
            next_connection: 0,
            links: Links::default(),
            begin_error: None,
            request_faults: BTreeMap::new(),
        }
    }

    /// Adds instance `number`, which others reach at `address`; instance 0 starts as primary. Returns
    /// its name.
    pub fn add(
        &mut self,
        number: usize,
        listener: RestartableListener,
        address: SocketAddr,
    ) -> String {
        let name = format!("i-{}-{number}", self.options.group);
        let instance = Instance {
            name: name.clone(),
            zone: self.options.zones[number].clone(),
            address,
            listener,
            running: true,
            leaving: false,
            role: if number == 0 { Role::Primary } else { Role::Replica },
            incarnation: FIRST_INCARNATION,
            process: 0,
            term: Term(1),
            log: Vec::new(),
            received: Vec::new(),
            min_term: Term(0),
            replication_blocked: false,
            reads_blocked: false,
            streams: BTreeMap::new(),
            outdated_since: None,
        };
        self.instances.insert(name.clone(), instance);
        name
    }

    /// Kills an instance.
    pub fn kill(&mut self, name: &str) {
        let Some(instance) = self.instances.get_mut(name) else { return };
        instance.running = false;
        instance.process += 1;
        instance.listener.close();
        instance.close_connections();
    }

    /// Restarts a killed instance. It becomes a replica if another instance is primary.
    pub fn restart(&mut self, name: &str) {
        let has_other_primary = self.instances.values().any(|instance| {
            instance.name != name && instance.running && instance.role == Role::Primary
        });
        let Some(instance) = self.instances.get_mut(name) else { return };
        instance.running = true;
        instance.min_term = Term(0);
        if has_other_primary {
            instance.role = Role::Replica;
        }
        instance.listener.reopen();
    }

    /// Restarts a killed instance under the same name as a replica with an empty log.
    pub fn restart_empty(&mut self, name: &str) {
        let Some(instance) = self.instances.get_mut(name) else { return };
        instance.incarnation += 1;
        instance.role = Role::Replica;
        instance.term = Term(1);
        instance.truncate(0);
        self.restart(name);
    }

    /// Moves the state of a killed instance to `new_name`, which accepts connections from
    /// `listener`.
    pub fn rename(&mut self, name: &str, new_name: &str, listener: RestartableListener) {
        let Some(mut instance) = self.instances.remove(name) else { return };
        instance.name = new_name.to_owned();
        instance.listener = listener;
        self.instances.insert(new_name.to_owned(), instance);
    }

    /// Number of replicas that have received a commit and can tell its primary.
    pub fn received_by(&self, primary: &str, commit: &Commit) -> usize {
        let has_received = |instance: &&Instance| {
            instance.role == Role::Replica
                && self.links.connect(primary, &instance.name)
                && instance.log.contains(commit)
        };
        self.instances.values().filter(has_received).count()
    }

    /// The highest term or minimum term of any instance.
    pub fn highest_term(&self) -> Term {
        self.instances
            .values()
            .map(|instance| instance.term.max(instance.min_term))
            .max()
            .unwrap_or_default()
    }
}
