//! Server side of one connection to an instance.

mod recording;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kestrellock_core::position::Position;
use kestrellock_core::routing::Role;
use kestrellock_peer::message::TransactionState;
use kestrellock_platform::standin::lines::{
    self, InstanceError, InstanceRequest, InstanceStatement,
};

use super::Shared;
use super::request_faults::{DELAY, RequestFault};
use super::state::{Commit, Instance};
use crate::check::final_state::LogPlace;
use crate::check::statements::record::CommittedWrites;
use crate::standin::listener::RestartableListener;

/// Longest wait for the replicas to receive a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
const READ_BUFFER_BYTES: usize = 16 * 1024;
const NO_SIGNATURE: &str = "-";

/// Accepts and serves an instance's connections until the listener is stopped.
pub fn serve(shared: &Arc<Shared>, name: &str, listener: RestartableListener) {
    let (shared, name) = (shared.clone(), name.to_owned());
    thread::spawn(move || {
        while let Some(stream) = listener.accept() {
            let (shared, name) = (shared.clone(), name.clone());
            thread::spawn(move || Session::open(shared, name, stream));
        }
    });
}

/// An open transaction.
#[derive(Default)]
struct Transaction {
    read_only: bool,
    failed: bool,
    writes: Vec<(String, String)>,
    ids: Vec<String>,
}

struct Session {
    shared: Arc<Shared>,
    name: String,
    number: u64,
    stream: TcpStream,
    /// Number of the instance's process that accepted the connection.
    process: u64,
    started: bool,
    account: String,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (bool, String)>,
    transaction: Option<Transaction>,
    /// Address of the other side.
    source: IpAddr,
    /// Index of the current statement in the record of received statements.
    received: usize,
    /// End of the log on which the current read or write runs.
    log_end: Option<LogPlace>,
    output: BytesMut,
}

/// Outcome of a statement.
enum Outcome {
    /// The statement succeeded, with this signature. Its rows are already in the output.
    Done(String),
    /// The statement failed with an error response.
    Refused(InstanceError),
    /// The outcome is unknown: the connection closes without a response.
    Lost,
}

impl Session {
    fn open(shared: Arc<Shared>, name: String, stream: TcpStream) {
        let (number, process, source) = {
            let mut state = shared.state();
            state.next_connection += 1;
            let number = state.next_connection;
            let Ok(kept) = stream.try_clone() else { return };
            let Ok(peer) = stream.peer_addr() else { return };
            let Some(instance) = state.instances.get_mut(&name) else { return };
            if !instance.running {
                return;
            }
            instance.streams.insert(number, kept);
            (number, instance.process, peer.ip())
        };
        let mut session = Self {
            shared,
            name,
            number,
            stream,
            process,
            started: false,
            account: String::new(),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            source,
            received: 0,
            log_end: None,
            output: BytesMut::new(),
        };
        session.run();
        let mut state = session.shared.state();
        if let Some(instance) = state.instances.get_mut(&session.name) {
            instance.streams.remove(&session.number);
        }
    }

    fn run(&mut self) {
        // Responses are small, and clients wait for them.
        let _ = self.stream.set_nodelay(true);
        let mut input = BytesMut::new();
        let mut chunk = vec![0; READ_BUFFER_BYTES];
        loop {
            while let Some(call) = lines::next_request(&mut input) {
                if !self.handle(call) {
                    let _ = self.stream.write_all(&self.output);
                    return;
                }
            }
            let sent = self.stream.write_all(&self.output);
            self.output.clear();
            match self.stream.read(&mut chunk) {
                Ok(count @ 1..) if sent.is_ok() => input.extend_from_slice(&chunk[..count]),
                _ => return,
            }
        }
    }

    /// Handles one request. Returns false if the connection is to be closed.
    fn handle(&mut self, call: InstanceRequest) -> bool {
        match call {
            InstanceRequest::Startup { group, account, instance } => {
                self.account = account;
                self.start(&group, instance.as_deref())
            }
            InstanceRequest::Statement { id, text, after, statement } if self.started => {
                self.record_received(&id, text, &statement);
                self.statement(&id, after, statement)
            }
            InstanceRequest::Statement { .. } | InstanceRequest::Unknown => {
                lines::put_error(InstanceError::Malformed, "unexpected", &mut self.output);
                false
            }
            InstanceRequest::Terminate => false,
        }
    }

    fn start(&mut self, group: &str, instance: Option<&str>) -> bool {
        let state = self.shared.state();
        let is_wrong_instance = group != state.options.group
            || instance.is_some_and(|requested| requested != self.name);
        let open = state.instances.get(&self.name).map_or(0, |instance| instance.streams.len());
        let too_many = open > state.options.connections;
        drop(state);
        if is_wrong_instance || too_many {
            let error = if is_wrong_instance {
                InstanceError::WrongInstance
            } else {
                InstanceError::TooManyConnections
            };
            lines::put_error(error, "refused", &mut self.output);
            return false;
        }
        self.started = true;
        self.put_ready();
        true
    }

    fn put_ready(&mut self) {
        let state = match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        };
        let position = self.with_instance(|instance| instance.position()).unwrap_or_default();
        lines::put_ready(state, position, &mut self.output);
    }

    fn with_instance<T>(&self, read: impl FnOnce(&Instance) -> T) -> Option<T> {
        let state = self.shared.state();
        state.instances.get(&self.name).filter(|instance| self.is_served_by(instance)).map(read)
    }

    /// Whether the process that accepted the connection runs.
    fn is_served_by(&self, instance: &Instance) -> bool {
        instance.running && instance.process == self.process
    }

    fn statement(
        &mut self,
        id: &str,
        after: Option<Position>,
        statement: InstanceStatement,
    ) -> bool {
        let fault = self.draw_fault(&statement);
        if fault == Some(RequestFault::Delayed) {
            thread::sleep(DELAY);
        }
        let is_behind = after.is_some_and(|after| !self.has_reached(after));
        let answer_start = self.output.len();
        let outcome = match (fault, is_behind) {
            (Some(RequestFault::Fails), _) => {
                // A commit that fails rolls its transaction back.
                if statement == InstanceStatement::Commit {
                    self.transaction = None;
                }
                Outcome::Refused(InstanceError::Failed)
            }
            (_, true) => Outcome::Refused(InstanceError::Behind),
            (_, false) => self.execute_statement(id, statement),
        };
        self.record_outcome(&outcome);
        let outcome = match fault {
            Some(RequestFault::Unanswered) => {
                self.output.truncate(answer_start);
                return true;
            }
            Some(RequestFault::FailsAfterRun) => {
                self.output.truncate(answer_start);
                Outcome::Refused(InstanceError::Failed)
            }
            _ => outcome,
        };
        match outcome {
            Outcome::Done(signature) => lines::put_done(&signature, &mut self.output),
            Outcome::Refused(error) => {
                if let Some(transaction) = &mut self.transaction {
                    transaction.failed = true;
                }
                lines::put_error(error, "refused", &mut self.output);
            }
            Outcome::Lost => return false,
        }
        self.put_ready();
        true
    }

    fn draw_fault(&self, statement: &InstanceStatement) -> Option<RequestFault> {
        let mut state = self.shared.state();
        state.request_faults.get_mut(&self.name)?.draw(statement)
    }

    fn has_reached(&self, position: Position) -> bool {
        let lag = self.shared.state().options.lag;
        let applied = |instance: &Instance| {
            let count = instance.applied(lag, Instant::now());
            let number = count.checked_sub(1).map_or(0, |last| instance.log[last].number);
            instance.term >= position.term && number >= position.offset.0
        };
        self.with_instance(applied).unwrap_or(false)
    }

    fn execute_statement(&mut self, id: &str, statement: InstanceStatement) -> Outcome {
        let failed = self.transaction.as_ref().is_some_and(|transaction| transaction.failed);
        let ends = matches!(statement, InstanceStatement::Rollback | InstanceStatement::Commit);
        if failed && !ends {
            return Outcome::Refused(InstanceError::Malformed);
        }
        let done = || Outcome::Done(NO_SIGNATURE.to_owned());
        match statement {
            InstanceStatement::Begin { read_only } => self.begin(read_only),
            InstanceStatement::Commit => self.commit(id),
            InstanceStatement::Rollback => {
                self.transaction = None;
                done()
            }
            InstanceStatement::Read { row } => self.read(id, &row, row.clone()),
            InstanceStatement::Write { row, data } => {
                let text = row.clone();
                self.write(id, row, data, text)
            }
            InstanceStatement::Set { name, value } => {
                self.values.insert(name, value);
                done()
            }
            InstanceStatement::Prepare { name, writes, shape } => {
                self.prepared.insert(name, (writes, shape));
                done()
            }
            InstanceStatement::Execute { name, row, data } => self.execute(id, &name, row, data),
            InstanceStatement::Deallocate { name } => {
                self.prepared.remove(&name);
                done()
            }
            InstanceStatement::Reset => {
                self.values.clear();
                self.prepared.clear();
                done()
            }
            InstanceStatement::Status => {
                self.shared.state().status_queries += 1;
                self.put_status_row();
                done()
            }
            InstanceStatement::Stop(term) => {
                self.change_instance(|instance| {
                    if instance.role == Role::Replica && term > instance.term {
                        instance.min_term = term;
                    }
                });
                self.put_status_row();
                done()
            }
            InstanceStatement::Release => {
                self.change_instance(|instance| instance.min_term = Default::default());
                self.put_status_row();
                done()
            }
            InstanceStatement::Demote(term) => {
                self.change_instance(|instance| {
                    if instance.term < term {
                        instance.role = Role::Replica;
                    }
                });
                self.shared.publish_entry(&self.shared.state(), &self.name);
                self.put_status_row();
                done()
            }
        }
    }

    fn change_instance(&self, change: impl FnOnce(&mut Instance)) {
        if let Some(instance) = self.shared.state().instances.get_mut(&self.name) {
            change(instance);
        }
    }

    fn put_status_row(&mut self) {
        let read = |instance: &Instance| {
            (
                instance.role,
                instance.term,
                instance.position(),
                instance.min_term,
                instance.streams.len(),
            )
        };
        let Some((role, term, position, min_term, open)) = self.with_instance(read) else { return };
        lines::put_status_row(role, term, position, min_term, open, &mut self.output);
    }

    fn begin(&mut self, read_only: bool) -> Outcome {
        let error = self.shared.state().begin_error;
        if let Some(error) = error {
            return Outcome::Refused(error);
        }
        let is_primary = self.with_instance(|instance| instance.role == Role::Primary);
        if !read_only && is_primary != Some(true) {
            return Outcome::Refused(InstanceError::ReadOnly);
        }
        self.transaction = Some(Transaction { read_only, ..Transaction::default() });
        Outcome::Done(NO_SIGNATURE.to_owned())
    }

    fn signature(&self, id: &str) -> String {
        format!("{}:{id}", self.name)
    }

    /// Waits while the instance's reads are blocked.
    fn wait_until_reads_allowed(&self) {
        let mut state = self.shared.state();
        let is_blocked = |instance: &Instance| instance.running && instance.reads_blocked;
        while !self.shared.is_stopping() && state.instances.get(&self.name).is_some_and(is_blocked)
        {
            let waited = self.shared.changed.wait_timeout(state, Duration::from_millis(20));
            state = waited.expect("a holder of the group's lock panicked").0;
        }
    }

    fn read(&mut self, id: &str, row: &str, text: String) -> Outcome {
        self.wait_until_reads_allowed();
        if self.with_instance(|_| ()).is_none() {
            return Outcome::Lost;
        }
        let lag = self.shared.state().options.lag;
        let own_writes =
            self.transaction.iter().flat_map(|transaction| transaction.writes.iter().rev());
        let own_write =
            own_writes.into_iter().find(|(written, _)| written == row).map(|(_, data)| data);
        let data = match own_write {
            Some(data) => Some(data.clone()),
            None => {
                let now = Instant::now();
                let read = |instance: &Instance| {
                    (instance.read(row, lag, now), instance.visible_log_end(lag, now))
                };
                let (data, log_end) = self.with_instance(read).unzip();
                self.log_end = log_end;
                data.flatten()
            }
        };
        self.record(id, text);
        lines::put_row(data.as_deref().unwrap_or("nothing"), &mut self.output);
        Outcome::Done(self.signature(id))
    }

    fn write(&mut self, id: &str, row: String, data: String, text: String) -> Outcome {
        let (is_primary, log_end) = self
            .with_instance(|instance| (instance.role == Role::Primary, instance.log_end()))
            .unzip();
        let is_read_only =
            self.transaction.as_ref().is_some_and(|transaction| transaction.read_only);
        if is_primary != Some(true) || is_read_only {
            return Outcome::Refused(InstanceError::ReadOnly);
        }
        self.log_end = log_end;
        self.record(id, text);
        match &mut self.transaction {
            Some(transaction) => {
                transaction.writes.push((row, data));
                transaction.ids.push(id.to_owned());
                Outcome::Done(self.signature(id))
            }
            None => self.commit_writes(id, vec![(row, data)], vec![id.to_owned()]),
        }
    }

    fn execute(&mut self, id: &str, name: &str, row: String, data: Option<String>) -> Outcome {
        let Some((writes, shape)) = self.prepared.get(name).cloned() else {
            return Outcome::Refused(InstanceError::UnknownStatement);
        };
        let text = format!("{shape} {row}");
        match (writes, data) {
            (false, None) => self.read(id, &row, text),
            (true, Some(data)) => self.write(id, row, data, text),
            _ => Outcome::Refused(InstanceError::Malformed),
        }
    }

    fn commit(&mut self, id: &str) -> Outcome {
        match self.transaction.take() {
            None => Outcome::Refused(InstanceError::Malformed),
            Some(transaction) if transaction.failed => Outcome::Refused(InstanceError::Aborted),
            Some(transaction) if transaction.writes.is_empty() => Outcome::Done(self.signature(id)),
            Some(transaction) => self.commit_writes(id, transaction.writes, transaction.ids),
        }
    }

    /// Commits the writes and waits until enough replicas have received the commit.
    fn commit_writes(&self, id: &str, writes: Vec<(String, String)>, ids: Vec<String>) -> Outcome {
        let mut state = self.shared.state();
        let needed = state.options.synchronous;
        let Some(instance) = state.instances.get_mut(&self.name) else { return Outcome::Lost };
        if !self.is_served_by(instance) || instance.role != Role::Primary {
            return Outcome::Refused(InstanceError::ReadOnly);
        }
        let number = instance.position().offset.0 + 1;
        let commit = Commit { term: instance.term, number, writes, ids };
        let previous = instance.log_end();
        instance.append(commit.clone(), Instant::now());
        state.statements.commits.push(CommittedWrites {
            place: commit.place(),
            previous,
            statement: id.to_owned(),
            writes: commit.ids.clone(),
        });
        let end = Instant::now() + COMMIT_TIMEOUT;
        while state.received_by(&self.name, &commit) < needed {
            let is_running =
                state.instances.get(&self.name).is_some_and(|instance| self.is_served_by(instance));
            if !is_running || Instant::now() >= end || self.shared.is_stopping() {
                return Outcome::Lost;
            }
            let waited = self.shared.changed.wait_timeout(state, Duration::from_millis(20));
            state = waited.expect("a holder of the group's lock panicked").0;
        }
        Outcome::Done(self.signature(id))
    }
}
