//! What the instances of a group hold.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::routing::Role;

use super::InstanceOptions;
use crate::standin::door::Door;

/// Start of the first processes, in milliseconds since 1970.
const FIRST_START: u64 = 1_790_000_000_000;

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
pub struct Run {
    /// Its id.
    pub id: String,
    /// The instance.
    pub instance: String,
    /// Values of the session in force.
    pub values: BTreeMap<String, String>,
    /// What it was: a plain statement's thing, or a prepared one's shape and thing.
    pub what: String,
    /// Whether it ran inside a transaction.
    pub in_transaction: bool,
    /// Number of the connection.
    pub connection: u64,
    /// On whose behalf the connection was opened.
    pub who: String,
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
    pub door: Door,
    /// Whether it runs.
    pub running: bool,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// Its role.
    pub role: Role,
    /// Which start of its process it is: the instances' entries tell a time, of which only equality counts.
    pub born: u64,
    /// Its term.
    pub term: Term,
    /// What it has received.
    pub log: Vec<Commit>,
    /// When it received each commit.
    pub received: Vec<Instant>,
    /// Term below which it receives nothing; zero if it receives.
    pub held: Term,
    /// Whether nothing reaches it.
    pub deaf: bool,
    /// Whether its reads wait.
    pub holds_reads: bool,
    /// Open connections.
    pub streams: BTreeMap<u64, TcpStream>,
    /// Since when another instance of a higher term can be reached.
    pub outdated: Option<Instant>,
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
    pub fn read(&self, thing: &str, lag: Duration, now: Instant) -> Option<String> {
        let visible = &self.log[..self.applied(lag, now)];
        let writes = visible.iter().rev().flat_map(|commit| commit.writes.iter().rev());
        writes.into_iter().find(|(written, _)| written == thing).map(|(_, data)| data.clone())
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
    pub runs: Vec<Run>,
    /// Questions how an instance stands.
    pub questions: u64,
    /// Number of the next connection.
    pub next_connection: u64,
}

impl State {
    /// A group without instances.
    pub fn new(options: InstanceOptions) -> Self {
        let instances = BTreeMap::new();
        Self { options, instances, runs: Vec::new(), questions: 0, next_connection: 0 }
    }

    /// Adds instance `number`; the first one leads. Returns its name.
    pub fn add(&mut self, number: usize, door: Door) -> String {
        let name = format!("i-{}-{number}", self.options.group);
        let instance = Instance {
            name: name.clone(),
            zone: self.options.zones[number].clone(),
            address: door.address(),
            door,
            running: true,
            leaving: false,
            role: if number == 0 { Role::Primary } else { Role::Replica },
            born: FIRST_START,
            term: Term(1),
            log: Vec::new(),
            received: Vec::new(),
            held: Term(0),
            deaf: false,
            holds_reads: false,
            streams: BTreeMap::new(),
            outdated: None,
        };
        self.instances.insert(name.clone(), instance);
        name
    }

    /// Kills an instance.
    pub fn kill(&mut self, name: &str) {
        let Some(instance) = self.instances.get_mut(name) else { return };
        instance.running = false;
        instance.door.shut();
        for stream in std::mem::take(&mut instance.streams).into_values() {
            // One that is closed already is what is wanted.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts a killed instance again.
    pub fn restart(&mut self, name: &str) {
        let other_leads = self
            .instances
            .values()
            .any(|one| one.name != name && one.running && one.role == Role::Primary);
        let Some(instance) = self.instances.get_mut(name) else { return };
        instance.running = true;
        instance.held = Term(0);
        if other_leads {
            instance.role = Role::Replica;
        }
        instance.door.reopen();
    }

    /// Starts a killed instance again under its name with nothing, as a replica.
    pub fn restart_empty(&mut self, name: &str) {
        let Some(instance) = self.instances.get_mut(name) else { return };
        instance.born += 1;
        instance.role = Role::Replica;
        instance.term = Term(1);
        instance.truncate(0);
        self.restart(name);
    }

    /// What a killed instance holds belongs to `successor` from now on, which listens at `door`.
    pub fn rename(&mut self, name: &str, successor: &str, door: Door) {
        let Some(mut instance) = self.instances.remove(name) else { return };
        instance.name = successor.to_owned();
        instance.door = door;
        self.instances.insert(successor.to_owned(), instance);
    }

    /// Replicas that have received a commit.
    pub fn received_by(&self, commit: &Commit) -> usize {
        let holds = |one: &&Instance| one.role == Role::Replica && one.log.contains(commit);
        self.instances.values().filter(holds).count()
    }

    /// The highest term of any instance.
    pub fn highest_term(&self) -> Term {
        self.instances.values().map(|one| one.term.max(one.held)).max().unwrap_or_default()
    }
}
