//! What the instances of a group hold.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::routing::Role;

use super::InstanceOptions;
use crate::standin::listener::RestartableListener;

/// Start of the first processes, in milliseconds since 1970.
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// One commit in a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Term of the primary that made it.
    pub term: Term,
    /// Its number.
    pub number: u64,
    /// What it wrote: things and data.
    pub writes: Vec<(String, String)>,
    /// Ids of the statements that wrote.
    pub ids: Vec<String>,
}

/// A statement with an id that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// Its id.
    pub id: String,
    /// The instance.
    pub instance: String,
    /// Values of the session in force.
    pub values: BTreeMap<String, String>,
    /// What it was: a plain statement's thing, or a prepared one's shape and thing.
    pub text: String,
    /// Whether it ran inside a transaction.
    pub in_transaction: bool,
    /// Number of the connection.
    pub connection: u64,
    /// On whose behalf the connection was opened.
    pub account: String,
}

/// One instance.
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its listening socket.
    pub listener: RestartableListener,
    /// Whether it runs.
    pub running: bool,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// Its role.
    pub role: Role,
    /// Which start of its process it is: the instances' entries tell a time, of which only equality counts.
    pub incarnation: u64,
    /// Its term.
    pub term: Term,
    /// What it has received.
    pub log: Vec<Commit>,
    /// When it received each commit.
    pub received: Vec<Instant>,
    /// Term below which it receives nothing; zero if it receives.
    pub min_term: Term,
    /// Whether nothing reaches it.
    pub replication_blocked: bool,
    /// Whether its reads wait.
    pub reads_blocked: bool,
    /// Open connections.
    pub streams: BTreeMap<u64, TcpStream>,
    /// Since when another instance of a higher term can be reached.
    pub outdated_since: Option<Instant>,
}

impl Instance {
    /// Where its log ends.
    pub fn position(&self) -> Position {
        let number = self.log.last().map_or(0, |commit| commit.number);
        Position { term: self.term, offset: LogOffset(number) }
    }

    /// Commits that its readers see.
    pub fn applied(&self, lag: Duration, now: Instant) -> usize {
        if self.role == Role::Primary {
            return self.log.len();
        }
        self.received.iter().take_while(|at| now >= **at + lag).count()
    }

    /// The data of a thing, as its readers see it.
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

    /// Drops everything behind the first `length` commits.
    pub fn truncate(&mut self, length: usize) {
        self.log.truncate(length);
        self.received.truncate(length);
    }
}

/// A group.
pub struct State {
    /// How it is set up.
    pub options: InstanceOptions,
    /// Its instances by name.
    pub instances: BTreeMap<String, Instance>,
    /// Statements that ran.
    pub executed_statements: Vec<ExecutedStatement>,
    /// Questions how an instance stands.
    pub status_queries: u64,
    /// Number of the next connection.
    pub next_connection: u64,
}

impl State {
    /// A group without instances.
    pub fn new(options: InstanceOptions) -> Self {
        let instances = BTreeMap::new();
        Self {
            options,
            instances,
            executed_statements: Vec::new(),
            status_queries: 0,
            next_connection: 0,
        }
    }

    /// Adds instance `number`; the first one leads. Returns its name.
    pub fn add(&mut self, number: usize, listener: RestartableListener) -> String {
        let name = format!("i-{}-{number}", self.options.group);
        let instance = Instance {
            name: name.clone(),
            zone: self.options.zones[number].clone(),
            address: listener.address(),
            listener,
            running: true,
            leaving: false,
            role: if number == 0 { Role::Primary } else { Role::Replica },
            incarnation: FIRST_INCARNATION,
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
        instance.listener.close();
        for stream in std::mem::take(&mut instance.streams).into_values() {
            // One that is closed already is what is wanted.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts a killed instance again.
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

    /// Starts a killed instance again under its name with nothing, as a replica.
    pub fn restart_empty(&mut self, name: &str) {
        let Some(instance) = self.instances.get_mut(name) else { return };
        instance.incarnation += 1;
        instance.role = Role::Replica;
        instance.term = Term(1);
        instance.truncate(0);
        self.restart(name);
    }

    /// What a killed instance holds belongs to `new_name` from now on, which listens at `door`.
    pub fn rename(&mut self, name: &str, new_name: &str, listener: RestartableListener) {
        let Some(mut instance) = self.instances.remove(name) else { return };
        instance.name = new_name.to_owned();
        instance.listener = listener;
        self.instances.insert(new_name.to_owned(), instance);
    }

    /// Replicas that have received a commit.
    pub fn received_by(&self, commit: &Commit) -> usize {
        let has_received =
            |instance: &&Instance| instance.role == Role::Replica && instance.log.contains(commit);
        self.instances.values().filter(has_received).count()
    }

    /// The highest term of any instance.
    pub fn highest_term(&self) -> Term {
        self.instances
            .values()
            .map(|instance| instance.term.max(instance.min_term))
            .max()
            .unwrap_or_default()
    }
}
