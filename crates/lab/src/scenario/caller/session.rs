//! A session: sends its requests when they are due, on whatever connection it has, and records
//! how each ended.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use super::connection::{Connection, ConnectionError, Endpoint};
use super::reply::Reply;
use super::statements::{Prepared, answer_of, operation_id, prepared, texts};
use crate::check::history::{
    Action, Attempt, GroupId, NodeId, OperationId, Outcome, RunTime, SessionNumber,
};
use crate::scenario::schedule::{Request, Requests};

/// Limit for opening a connection to a node.
const CONNECT_LIMIT: Duration = Duration::from_millis(1000);
/// Wait after every node has refused a connection.
const RECONNECT_WAIT: Duration = Duration::from_millis(10);
/// Wait between two attempts to resolve a doubt.
const RESOLVE_WAIT: Duration = Duration::from_millis(20);
/// How much longer than the deadline a caller waits for the answer.
const ANSWER_GRACE: Duration = Duration::from_millis(1500);
/// Number of the refusal of new work by a node that stops.
const STOPPING_NUMBER: u16 = 1404;

/// A node as callers know it.
#[derive(Clone, Debug)]
pub struct NodeEndpoint {
    /// The node.
    pub node: NodeId,
    /// Where it takes callers.
    pub address: SocketAddr,
}

/// What all sessions of a run share.
#[derive(Clone, Debug)]
pub struct Surroundings {
    /// Every node.
    pub nodes: Vec<NodeEndpoint>,
    /// When the run began.
    pub began: Instant,
    /// When the last request is sent.
    pub last_request: Instant,
    /// When callers give up resolving what is in doubt.
    pub last_resolution: Instant,
    /// Deadline of statements.
    pub deadline: Duration,
    /// Login.
    pub user: String,
}

/// Who a session is.
#[derive(Clone, Debug)]
pub struct SessionIdentity {
    /// Its number.
    pub number: SessionNumber,
    /// Group it uses.
    pub group: GroupId,
    /// Database of that group.
    pub database: String,
    /// Address its connections come from.
    pub from: IpAddr,
    /// Index of the node it tries first.
    pub home: usize,
}

/// How long a request took, from the time at which it was due.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// What was asked for.
    pub action: Action,
    /// When it was due, after the run began.
    pub due: Duration,
    /// The time.
    pub time: Duration,
}

/// What a session recorded.
#[derive(Debug, Default)]
pub struct Recorded {
    /// Every attempt.
    pub attempts: Vec<Attempt>,
    /// Latency of the requests that were answered.
    pub latencies: Vec<Latency>,
}

/// A running session.
pub struct Session<'a> {
    identity: SessionIdentity,
    surroundings: &'a Surroundings,
    requests: Requests,
    uses_token: bool,
    token: Option<String>,
    node: usize,
    connection: Option<Connection>,
    next_operation: u32,
    recorded: Recorded,
}

/// What one exchange of an action's texts led to.
struct Ended {
    outcome: Outcome,
    statements_answered: u32,
}

/// One thing to send.
enum Text {
    /// Sets the request key.
    Key(String),
    /// A statement of the action.
    Action(String),
    /// The action's one statement, prepared.
    Prepared(Prepared),
}

/// What a request is sent as. A keyed one goes out as a simple query after its key.
fn texts_to_send(operation: &OperationId, request: &Request) -> Vec<Text> {
    let action = &request.action;
    if request.keyed {
        let key = Text::Key(format!("SET kestrellock.request_id = '{operation}'"));
        let rest = texts(action, operation).into_iter().map(Text::Action);
        return std::iter::once(key).chain(rest).collect();
    }
    match prepared(action, operation).filter(|_| request.extended) {
        Some(prepared) => vec![Text::Prepared(prepared)],
        None => texts(action, operation).into_iter().map(Text::Action).collect(),
    }
}

impl<'a> Session<'a> {
    /// A session that has not connected yet.
    pub fn new(
        identity: SessionIdentity,
        surroundings: &'a Surroundings,
        mut requests: Requests,
    ) -> Self {
        let uses_token = requests.draw_token_use();
        let node = identity.home;
        Self {
            identity,
            surroundings,
            requests,
            uses_token,
            token: None,
            node,
            connection: None,
            next_operation: 0,
            recorded: Recorded::default(),
        }
    }

    /// Sends requests until the run ends.
    pub fn run(mut self) -> Recorded {
        loop {
            let request = self.requests.next_request();
            let due = self.surroundings.began + request.at;
            if due >= self.surroundings.last_request {
                break;
            }
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            self.perform(&request, due);
        }
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
        self.recorded
    }

    fn perform(&mut self, request: &Request, due: Instant) {
        if request.roams {
            self.roam();
        }
        let operation = self.new_operation();
        let Some(outcome) = self.attempt(&operation, request) else { return };
        match &outcome {
            Outcome::Answered(_) => {
                let latency =
                    Latency { action: request.action, due: request.at, time: due.elapsed() };
                self.recorded.latencies.push(latency);
            }
            Outcome::InDoubt(_) | Outcome::Disconnected if request.keyed => {
                self.resolve(&operation, request);
            }
            Outcome::NotRun(told) if told.number == Some(STOPPING_NUMBER) => {
                self.leave_node();
                let operation = self.new_operation();
                self.attempt(&operation, request);
            }
            _ => {}
        }
    }

    fn new_operation(&mut self) -> OperationId {
        self.next_operation += 1;
        operation_id(self.identity.number.0, self.next_operation)
    }

    /// Repeats a keyed request until its outcome is final.
    fn resolve(&mut self, operation: &OperationId, request: &Request) {
        while Instant::now() < self.surroundings.last_resolution {
            std::thread::sleep(RESOLVE_WAIT);
            match self.attempt(operation, request) {
                Some(Outcome::Answered(_) | Outcome::AlreadyRan(_) | Outcome::Abandoned(_)) => {
                    return;
                }
                Some(Outcome::NotRun(told)) if told.number == Some(STOPPING_NUMBER) => {
                    self.leave_node();
                }
                _ => {}
            }
        }
    }

    /// Sends a request once and records how it ended; `None` if no node took the connection.
    fn attempt(&mut self, operation: &OperationId, request: &Request) -> Option<Outcome> {
        let mut connection = self.take_connection()?;
        let invoked = self.now();
        let ended = self.exchange(&mut connection, operation, request);
        let outcome = ended.outcome;
        self.recorded.attempts.push(Attempt {
            operation: operation.clone(),
            session: self.identity.number,
            group: self.identity.group.clone(),
            node: self.surroundings.nodes[self.node].node.clone(),
            invoked,
            completed: self.now(),
            action: request.action,
            keyed: request.keyed,
            with_token: connection.began_with_token,
            mark: operation.to_string(),
            statements_answered: ended.statements_answered,
            outcome: outcome.clone(),
        });
        if let Some(token) = &connection.token {
            self.token = Some(token.clone());
        }
        if outcome == Outcome::Disconnected || connection.is_closed() {
            self.leave_node();
        } else {
            self.connection = Some(connection);
        }
        Some(outcome)
    }

    /// Sends the texts of a request one after the other, or its one statement prepared.
    fn exchange(
        &self,
        connection: &mut Connection,
        operation: &OperationId,
        request: &Request,
    ) -> Ended {
        let action = &request.action;
        let mut ended = Ended { outcome: Outcome::Disconnected, statements_answered: 0 };
        let mut last = Reply::default();
        for text in texts_to_send(operation, request) {
            match self.ask(connection, &text) {
                Ok(reply) => last = reply,
                Err(outcome) => return Ended { outcome, ..ended },
            }
            ended.statements_answered += u32::from(matches!(text, Text::Action(_)));
        }
        ended.outcome = Outcome::Answered(answer_of(action, &last));
        ended
    }

    /// Sends one text; an error or a broken connection is the outcome of the whole request.
    fn ask(&self, connection: &mut Connection, text: &Text) -> Result<Reply, Outcome> {
        let limit = Instant::now() + self.surroundings.deadline + ANSWER_GRACE;
        let replied = match text {
            Text::Key(text) | Text::Action(text) => connection.query(text, limit),
            Text::Prepared(prepared) => connection.execute(prepared, limit),
        };
        let reply = match replied {
            Ok(reply) => reply,
            Err(ConnectionError::Refused(error)) => return Err(error.outcome()),
            Err(_) => return Err(Outcome::Disconnected),
        };
        let Some(error) = &reply.error else { return Ok(reply) };
        if connection.in_transaction {
            // The outcome is told already; a connection that breaks here is seen later.
            let _ = connection.query("ROLLBACK", limit);
        }
        Err(error.outcome())
    }

    /// The open connection, or a new one to the first node that takes it.
    fn take_connection(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take()
            && !connection.is_closed()
        {
            return Some(connection);
        }
        while Instant::now() < self.surroundings.last_resolution {
            for _ in 0..self.surroundings.nodes.len() {
                if let Ok(connection) = self.connect() {
                    return Some(connection);
                }
                self.next_node();
            }
            std::thread::sleep(RECONNECT_WAIT);
        }
        None
    }

    fn connect(&self) -> Result<Connection, ConnectionError> {
        let endpoint = Endpoint {
            address: self.surroundings.nodes[self.node].address,
            from: Some(self.identity.from),
            user: self.surroundings.user.clone(),
            database: self.identity.database.clone(),
        };
        let token = self.token.as_deref().filter(|_| self.uses_token);
        Connection::connect(&endpoint, token, CONNECT_LIMIT)
    }

    fn roam(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
        let others = self.surroundings.nodes.len() - 1;
        let step = 1 + self.requests.draw_below(others);
        self.node = (self.node + step) % self.surroundings.nodes.len();
    }

    fn leave_node(&mut self) {
        self.connection = None;
        self.next_node();
    }

    fn next_node(&mut self) {
        self.node = (self.node + 1) % self.surroundings.nodes.len();
    }

    fn now(&self) -> RunTime {
        RunTime(self.surroundings.began.elapsed().as_micros() as u64)
    }
}
