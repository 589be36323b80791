//! The instances of one service: a primary and its replicas. They speak the wire of the protocol
//! page, keep a log that the replicas receive at once and apply later, and record what they run.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::record::{Record, brief};
use crate::store::Store;

/// Time that a read, a write or a commit takes.
const WORK: Duration = Duration::from_millis(3);

/// A statement that an instance has executed.
#[derive(Clone, Debug)]
pub struct Run {
    /// The instance.
    pub instance: String,
    /// Its id.
    pub id: String,
    /// Its text as it arrived.
    pub text: String,
    /// The shape of a prepared statement.
    pub shape: Option<String>,
    /// The session values of the connection.
    pub values: BTreeMap<String, String>,
    /// Number of the newest commit on the log that it ran on.
    pub number: u64,
}

#[derive(Clone)]
struct Commit {
    number: u64,
    writes: Vec<(String, String)>,
    at: Instant,
}

struct Instance {
    id: String,
    zone: String,
    address: SocketAddr,
    is_primary: bool,
    term: u64,
    min_term: u64,
    connections: usize,
}

struct State {
    instances: Vec<Instance>,
    /// The log; every replica receives a commit at once.
    log: Vec<Commit>,
    runs: Vec<Run>,
    random: u64,
    /// The instance that fails a part of its requests, and that part, from 0 to 1.
    failing: Option<(usize, f64)>,
    /// Numbers of requests that were failed, by their first words.
    failed: BTreeMap<String, usize>,
}

/// A running service.
#[derive(Clone)]
pub struct Service {
    /// Its name.
    pub name: String,
    state: Arc<Mutex<State>>,
    record: Record,
    store: Store,
    lag: Duration,
    max_connections: usize,
    slots: u32,
}

/// How a service is built.
pub struct Options<'a> {
    /// Its name.
    pub name: &'a str,
    /// Zones of its instances; the first is the primary's.
    pub zones: &'a [&'a str],
    /// Time after which a replica has applied a commit.
    pub lag: Duration,
    /// Connections that an instance accepts.
    pub max_connections: usize,
    /// Slots that it tells.
    pub slots: u32,
}

impl Service {
    /// Starts the instances and writes their entries to the store.
    pub fn start(options: &Options, store: &Store, record: &Record) -> io::Result<Self> {
        let mut instances = Vec::new();
        let mut listeners = Vec::new();
        for (number, zone) in options.zones.iter().enumerate() {
            let listener = TcpListener::bind(("127.0.0.1", 0))?;
            instances.push(Instance {
                id: format!("i-{}-{number}", options.name),
                zone: (*zone).to_owned(),
                address: listener.local_addr()?,
                is_primary: number == 0,
                term: 3,
                min_term: 0,
                connections: 0,
            });
            listeners.push(listener);
        }
        let first = Commit { number: 1, writes: Vec::new(), at: Instant::now() };
        let state = State {
            instances,
            log: vec![first],
            runs: Vec::new(),
            random: 0x9E37_79B9_7F4A_7C15,
            failing: None,
            failed: BTreeMap::new(),
        };
        let service = Self {
            name: options.name.to_owned(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
            store: store.clone(),
            lag: options.lag,
            max_connections: options.max_connections,
            slots: options.slots,
        };
        for (number, listener) in listeners.into_iter().enumerate() {
            service.publish(number);
            let served = service.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let service = served.clone();
                    thread::spawn(move || Session::serve(service, number, stream));
                }
            });
        }
        Ok(service)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, number: usize) {
        let state = self.lock();
        let instance = &state.instances[number];
        let entry = json!({
            "service": self.name,
            "address": instance.address.to_string(),
            "zone": instance.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "callSeq": 1,
            "dbRole": if instance.is_primary { "primary" } else { "replica" },
        });
        self.store.put(&format!("servers/{}", instance.id), &entry);
    }

    /// What the instances have executed so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Has one instance fail this part of its requests from now on, or none.
    pub fn set_failing(&self, failing: Option<(usize, f64)>) {
        self.lock().failing = failing;
        self.record.note(&format!("{}: instance that fails a part: {failing:?}", self.name));
    }

    /// How many requests were failed, by their first words.
    pub fn failed(&self) -> BTreeMap<String, usize> {
        self.lock().failed.clone()
    }

    /// `POST /promotion` for this service: the named instance leads the next term some time later.
    pub fn promote(&self, instance: &str) -> u16 {
        let Some(number) = self.lock().instances.iter().position(|known| known.id == instance)
        else {
            return 409;
        };
        self.record.note(&format!("{}: promotion of {instance} ordered", self.name));
        let service = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(300));
            let mut state = service.lock();
            if state.instances[number].is_primary {
                return;
            }
            let term = state.instances.iter().map(|known| known.term).max().unwrap_or(0) + 1;
            for known in &mut state.instances {
                known.is_primary = false;
                known.min_term = 0;
                known.term = term;
            }
            state.instances[number].is_primary = true;
            let count = state.instances.len();
            drop(state);
            (0..count).for_each(|number| service.publish(number));
        });
        200
    }
}

enum Outcome {
    Done(Vec<String>, String),
    Failed(&'static str),
}

#[derive(Default)]
struct Transaction {
    read_only: bool,
    failed: bool,
    writes: Vec<(String, String)>,
}

struct Session {
    service: Service,
    number: usize,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (bool, String)>,
    transaction: Option<Transaction>,
}

impl Session {
    fn serve(service: Service, number: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let open = {
            let mut state = service.lock();
            state.instances[number].connections += 1;
            state.instances[number].connections
        };
        let limit = service.max_connections;
        let mut session = Session {
            service: service.clone(),
            number,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
        };
        let _ = session.run(stream, open > limit);
        service.lock().instances[number].connections -= 1;
    }

    fn run(&mut self, stream: TcpStream, is_beyond_limit: bool) -> io::Result<()> {
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        let mut line = Vec::new();
        let mut started = false;
        loop {
            line.clear();
            if input.read_until(b'\n', &mut line)? == 0 {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&line).trim_end_matches("\r\n").to_owned();
            let (word, rest) = text.split_once(' ').unwrap_or((text.as_str(), ""));
            match word {
                "STARTUP" if !started => {
                    let fields: Vec<&str> = rest.splitn(3, ' ').collect();
                    let own = self.service.lock().instances[self.number].id.clone();
                    let is_wrong = fields.first() != Some(&self.service.name.as_str())
                        || fields.get(2).is_some_and(|id| *id != own);
                    let refusal = match (is_wrong, is_beyond_limit) {
                        (true, _) => Some("MISROUTED"),
                        (false, true) => Some("CONNLIMIT"),
                        (false, false) => None,
                    };
                    if let Some(code) = refusal {
                        return output.write_all(format!("ERROR {code} {own}\r\n").as_bytes());
                    }
                    started = true;
                    thread::sleep(WORK);
                    output.write_all(self.ready().as_bytes())?;
                }
                "QUERY" if started => {
                    let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    let answer = self.answer(id, text);
                    output.write_all(answer.as_bytes())?;
                }
                _ => return Ok(()),
            }
        }
    }

    /// Number of the newest commit that statements on this instance see.
    fn applied(&self, state: &State) -> u64 {
        let is_primary = state.instances[self.number].is_primary;
        let now = Instant::now();
        let seen = state.log.iter().rev();
        let mut seen = seen.filter(|commit| is_primary || now >= commit.at + self.service.lag);
        seen.next().map_or(0, |commit| commit.number)
    }

    fn ready(&self) -> String {
        let state = match &self.transaction {
            None => "I",
            Some(transaction) if transaction.failed => "E",
            Some(_) => "T",
        };
        let known = self.service.lock();
        let (term, number) = (known.instances[self.number].term, self.applied(&known));
        format!("READY {state} {term}.{number}\r\n")
    }

    fn answer(&mut self, id: &str, text: &str) -> String {
        let outcome = self.outcome(id, text);
        let mut answer = String::new();
        match outcome {
            Outcome::Done(rows, signature) => {
                for row in rows {
                    answer.push_str(&format!("DATAROW {row}\r\n"));
                }
                answer.push_str(&format!("COMPLETE {signature}\r\n"));
            }
            Outcome::Failed(code) => {
                if let Some(transaction) = &mut self.transaction {
                    transaction.failed = true;
                }
                let own = self.service.lock().instances[self.number].id.clone();
                answer.push_str(&format!("ERROR {code} {own}\r\n"));
            }
        }
        answer + &self.ready()
    }

    /// Whether this request is one of those that the instance fails.
    fn fails(&self, id: &str, text: &str) -> bool {
        let mut state = self.service.lock();
        let Some((_, share)) = state.failing.filter(|(number, _)| *number == self.number) else {
            return false;
        };
        state.random ^= state.random << 13;
        state.random ^= state.random >> 7;
        state.random ^= state.random << 17;
        let fails = (state.random % 1_000) < (share * 1_000.0) as u64;
        if fails {
            let word = text.split(' ').next().unwrap_or_default().to_owned();
            *state.failed.entry(word).or_default() += 1;
            drop(state);
            self.service.record.note(&format!("instance fails {id} {}", brief(text)));
        }
        fails
    }

    fn outcome(&mut self, id: &str, text: &str) -> Outcome {
        let none = || Outcome::Done(Vec::new(), "-".to_owned());
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => return self.command(word, rest),
            _ => {}
        }
        let is_failed = self.transaction.as_ref().is_some_and(|transaction| transaction.failed);
        if is_failed && !matches!(word, "COMMIT" | "ROLLBACK") {
            return Outcome::Failed("MALFORMED");
        }
        if self.fails(id, text) {
            return Outcome::Failed("FAILED");
        }
        match word {
            "AFTER" => {
                let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                let number = position.split_once('.').and_then(|(_, number)| number.parse().ok());
                let (has_term, applied) = {
                    let state = self.service.lock();
                    let term = position.split('.').next().and_then(|term| term.parse().ok());
                    (term <= Some(state.instances[self.number].term), self.applied(&state))
                };
                match has_term && number.is_some_and(|number: u64| applied >= number) {
                    true => self.statement(id, text, rest),
                    false => Outcome::Failed("LAGGING"),
                }
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.to_owned(), value.to_owned());
                none()
            }
            "PREPARE" => {
                let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                let (kind, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                self.prepared.insert(name.to_owned(), (kind == "WRITE", shape.to_owned()));
                none()
            }
            "DEALLOC" => {
                self.prepared.remove(rest);
                none()
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                none()
            }
            _ => self.statement(id, text, text),
        }
    }

    fn statement(&mut self, id: &str, text: &str, statement: &str) -> Outcome {
        thread::sleep(WORK);
        let none = || Outcome::Done(Vec::new(), "-".to_owned());
        let (word, rest) = statement.split_once(' ').unwrap_or((statement, ""));
        let leads = self.service.lock().instances[self.number].is_primary;
        match word {
            "BEGIN" if rest == "READ" || leads => {
                let read_only = rest == "READ";
                self.transaction = Some(Transaction { read_only, ..Transaction::default() });
                none()
            }
            "BEGIN" => Outcome::Failed("READONLY"),
            "ROLLBACK" => {
                self.transaction = None;
                none()
            }
            "COMMIT" => match self.transaction.take() {
                None => Outcome::Failed("MALFORMED"),
                Some(transaction) if transaction.failed => Outcome::Failed("ABORTED"),
                Some(transaction) => {
                    self.note_run(id, text, None);
                    if !transaction.writes.is_empty() {
                        self.commit(transaction.writes);
                    }
                    Outcome::Done(Vec::new(), self.signature(id))
                }
            },
            "READ" => self.read(id, text, None, rest),
            "WRITE" => {
                let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
                self.write(id, text, None, thing, data)
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                let Some((writes, shape)) = self.prepared.get(name).cloned() else {
                    return Outcome::Failed("NOSTMT");
                };
                match (writes, arguments.split_once(' ')) {
                    (false, None) => self.read(id, text, Some(shape), arguments),
                    (true, Some((thing, data))) => self.write(id, text, Some(shape), thing, data),
                    _ => Outcome::Failed("MALFORMED"),
                }
            }
            _ => Outcome::Failed("MALFORMED"),
        }
    }

    fn signature(&self, id: &str) -> String {
        format!("signed-{}-{id}", self.service.lock().instances[self.number].id)
    }

    fn note_run(&self, id: &str, text: &str, shape: Option<String>) {
        let mut state = self.service.lock();
        let instance = state.instances[self.number].id.clone();
        let number = self.applied(&state);
        let shown = shape.as_deref().map(|shape| format!(" with the shape {}", ends(shape)));
        let values = self.values.clone();
        let line = format!(
            "{instance} runs {id} {}{} values {values:?} log {number}",
            brief(text),
            shown.unwrap_or_default()
        );
        state.runs.push(Run {
            instance,
            id: id.to_owned(),
            text: text.to_owned(),
            shape,
            values,
            number,
        });
        drop(state);
        self.service.record.note(&line);
    }

    fn read(&mut self, id: &str, text: &str, shape: Option<String>, thing: &str) -> Outcome {
        self.note_run(id, text, shape.clone());
        let state = self.service.lock();
        let applied = self.applied(&state);
        let own = self.transaction.iter().flat_map(|transaction| transaction.writes.iter());
        let visible = state.log.iter().filter(|commit| commit.number <= applied);
        let written = visible.flat_map(|commit| commit.writes.iter()).chain(own);
        let data = written.rev_find(thing).unwrap_or_else(|| "nothing".to_owned());
        drop(state);
        let row = match &shape {
            // What a prepared statement answers depends on its shape.
            Some(shape) => format!("{data} by {}", ends(shape)),
            None => data,
        };
        Outcome::Done(vec![row], self.signature(id))
    }

    fn write(
        &mut self,
        id: &str,
        text: &str,
        shape: Option<String>,
        thing: &str,
        data: &str,
    ) -> Outcome {
        let leads = self.service.lock().instances[self.number].is_primary;
        let read_only = self.transaction.as_ref().is_some_and(|transaction| transaction.read_only);
        if !leads || read_only {
            return Outcome::Failed("READONLY");
        }
        self.note_run(id, text, shape);
        let write = (thing.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some(transaction) => transaction.writes.push(write),
            None => self.commit(vec![write]),
        }
        Outcome::Done(Vec::new(), self.signature(id))
    }

    /// Appends a commit, which the replicas receive at once.
    fn commit(&self, writes: Vec<(String, String)>) {
        let mut state = self.service.lock();
        let number = state.log.last().map_or(0, |commit| commit.number) + 1;
        state.log.push(Commit { number, writes, at: Instant::now() });
    }

    fn command(&mut self, word: &str, rest: &str) -> Outcome {
        let mut state = self.service.lock();
        let term: u64 = rest.parse().unwrap_or(0);
        let applied = self.applied(&state);
        let received = state.log.last().map_or(0, |commit| commit.number);
        let instance = &mut state.instances[self.number];
        match word {
            "PAUSE" if !instance.is_primary && term > instance.term => instance.min_term = term,
            "RESUME" => instance.min_term = 0,
            "DEMOTE" if instance.is_primary && term > instance.term => instance.is_primary = false,
            _ => {}
        }
        let role = if instance.is_primary { "primary" } else { "replica" };
        let lag = if applied < received { self.service.lag.as_millis() } else { 0 };
        let row = format!(
            "{role} {} {}.{received} {} {lag} 0 {}",
            instance.term, instance.term, instance.min_term, instance.connections
        );
        Outcome::Done(vec![row], "-".to_owned())
    }
}

/// The last write of a thing.
trait LastWrite {
    fn rev_find(self, thing: &str) -> Option<String>;
}

impl<'a, I: Iterator<Item = &'a (String, String)>> LastWrite for I {
    fn rev_find(self, thing: &str) -> Option<String> {
        let written = self.filter(|(written, _)| written == thing);
        written.last().map(|(_, data)| data.clone())
    }
}

/// A short name of a shape, by which two long ones can be told apart: its bytes added up with their
/// places.
pub fn ends(shape: &str) -> String {
    let places = (1_u64..).zip(shape.bytes());
    let sum = places.fold(0_u64, |sum, (place, byte)| {
        sum.wrapping_mul(31).wrapping_add(place.wrapping_mul(u64::from(byte)))
    });
    format!("shape-{sum:016x}")
}
