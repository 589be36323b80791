//! One connection to a back end: start-up, one exchange at a time, answers in order.

use std::collections::BTreeMap;
use std::io;
use std::time::Instant;

use bytes::BytesMut;
use kestrellock_core::catalog::{Group, Instance};
use kestrellock_core::ids::{GroupName, InstanceName, LeaseId};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_core::routing::Access;
use kestrellock_peer::message::{Exchange, LeaseEvent, TransactionState};
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use slab::Slab;

use super::confirmation::Commit;
use super::notify;
use super::prepared::{PreparedSet, Reply};
use super::probe::{POSITION_QUERY, Report, parse_row};
use crate::net::connect::connect_from;
use crate::net::connection::{Connection, ReadOutcome};
use crate::net::frames;
use crate::shard::{Io, Part, token};

/// Bytes of an answer gathered before a part of it is passed on.
const PART_BYTES: usize = 64 * 1024;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Callers' statements.
    Pooled,
    /// Position probes.
    Probe,
}

/// What came of reading a connection.
#[derive(Debug)]
pub enum ServerEvent {
    /// Start-up is over.
    Ready,
    /// The back end refused the connection or broke the protocol.
    Unusable,
    /// The transaction is over and the connection free.
    LeaseEnded {
        /// The lease that ended.
        lease: LeaseId,
    },
    /// A commit was answered and its answer waits for confirmation.
    CommitAnswered(Commit),
    /// A position probe was answered.
    Probed(ProbeAnswer),
}

/// An answered probe and when it was asked.
#[derive(Clone, Copy, Debug)]
pub struct ProbeAnswer {
    /// What the instance said.
    pub report: Report,
    /// When the question was sent.
    pub asked: Instant,
}

#[derive(Debug)]
enum State {
    StartingUp,
    Idle,
    Running(Box<Running>),
    Probing { asked: Instant, report: Option<Report> },
}

/// The exchange under way.
#[derive(Debug)]
struct Running {
    lease: LeaseId,
    writes: bool,
    may_commit: bool,
    deadline: Instant,
    ready_left: u32,
    transaction: TransactionState,
    answer: BytesMut,
    /// Set while the pipelined position query is being answered.
    position: Option<Option<Report>>,
}

/// One connection to a back end.
#[derive(Debug)]
pub struct Server {
    connection: Connection,
    /// Group of the instance.
    pub group: GroupName,
    /// The instance.
    pub instance: InstanceName,
    /// What it is for.
    pub purpose: Use,
    state: State,
    lease: Option<LeaseId>,
    next_sequence: u32,
    prepared: PreparedSet,
}

impl Server {
    /// Opens a connection and sends the start-up message. Returns its key.
    pub fn connect(
        servers: &mut Slab<Server>,
        name: &GroupName,
        group: &Group,
        instance: &Instance,
        purpose: Use,
        io: &mut Io,
    ) -> io::Result<usize> {
        let stream = connect_from(io.context.identity.address, instance.address)?;
        let entry = servers.vacant_entry();
        let key = entry.key();
        let mut connection =
            Connection::register(stream, token(Part::Server, key), io.registry, true)?;
        let mut startup = Startup::new();
        startup.parameters = BTreeMap::from([
            ("user".to_owned(), group.user.clone()),
            ("database".to_owned(), group.database.clone()),
            ("application_name".to_owned(), "kestrellock".to_owned()),
        ]);
        put(&PgWireFrontendMessage::Startup(startup), &mut connection.output);
        entry.insert(Server {
            connection,
            group: name.clone(),
            instance: instance.name.clone(),
            purpose,
            state: State::StartingUp,
            lease: None,
            next_sequence: 0,
            prepared: PreparedSet::default(),
        });
        Ok(key)
    }

    /// Reads what the back end sent.
    pub fn fill(&mut self) -> ReadOutcome {
        self.connection.fill()
    }

    /// Sends what is queued.
    pub fn flush(&mut self, io: &mut Io) -> io::Result<()> {
        self.connection.flush(io.registry)
    }

    /// Takes the connection out of the event loop.
    pub fn deregister(&mut self, io: &mut Io) {
        self.connection.deregister(io.registry);
    }

    /// Sends an exchange, with a position query behind it if it may commit.
    pub fn run(&mut self, exchange: Exchange, io: &mut Io) {
        if exchange.number == 0 {
            self.next_sequence = 0;
        }
        self.lease = Some(exchange.lease.clone());
        self.prepared.send(&exchange.statements, &exchange.frames, &mut self.connection.output);
        if exchange.may_commit {
            put_query(POSITION_QUERY, &mut self.connection.output);
        }
        self.state = State::Running(Box::new(Running {
            lease: exchange.lease,
            writes: exchange.access == Access::Write,
            may_commit: exchange.may_commit,
            deadline: io.now + exchange.time_left,
            ready_left: exchange.ready_expected,
            transaction: TransactionState::Idle,
            answer: BytesMut::new(),
            position: None,
        }));
    }

    /// Asks the instance for its position.
    pub fn ask_position(&mut self, io: &mut Io) {
        put_query(POSITION_QUERY, &mut self.connection.output);
        self.state = State::Probing { asked: io.now, report: None };
    }

    /// Handles the whole messages received so far.
    pub fn take_events(&mut self, io: &mut Io) -> Vec<ServerEvent> {
        let mut events = Vec::new();
        loop {
            match frames::next_frame(&mut self.connection.input) {
                Ok(Some(frame)) => self.on_frame(&frame, &mut events, io),
                Ok(None) => break,
                Err(_) => {
                    events.push(ServerEvent::Unusable);
                    break;
                }
            }
        }
        self.pass_on_part(io);
        events
    }

    fn on_frame(&mut self, frame: &frames::Frame, events: &mut Vec<ServerEvent>, io: &mut Io) {
        match &mut self.state {
            State::StartingUp => match frame.tag {
                b'Z' => {
                    self.state = State::Idle;
                    events.push(ServerEvent::Ready);
                }
                b'E' => events.push(ServerEvent::Unusable),
                _ => {}
            },
            State::Idle => {}
            State::Probing { asked, report } => match frame.tag {
                b'D' => *report = parse_row(frame.body()).ok(),
                b'Z' => {
                    let answer = report.map(|report| ProbeAnswer { report, asked: *asked });
                    self.state = State::Idle;
                    events.extend(answer.map(ServerEvent::Probed));
                    events.push(ServerEvent::Ready);
                }
                _ => {}
            },
            State::Running(running) => {
                if running.on_frame(frame, &mut self.prepared) {
                    self.finish(events, io);
                }
            }
        }
    }

    /// Ends the exchange whose last message has arrived.
    fn finish(&mut self, events: &mut Vec<ServerEvent>, io: &mut Io) {
        let State::Running(running) = std::mem::replace(&mut self.state, State::Idle) else {
            return;
        };
        let committed = running.may_commit && running.transaction == TransactionState::Idle;
        let position = running.position.flatten().map(|report| report.flushed);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let frames = running.answer.freeze();
        if committed {
            events.push(ServerEvent::CommitAnswered(Commit {
                lease: running.lease.clone(),
                sequence,
                instance: self.instance.clone(),
                position,
                deadline: running.deadline,
                frames,
            }));
        } else {
            let transaction = running.transaction;
            let event = LeaseEvent::Done { frames, transaction, confirmed: None };
            notify(&running.lease, sequence, event, io);
        }
        if running.transaction == TransactionState::Idle {
            self.lease = None;
            events.push(ServerEvent::LeaseEnded { lease: running.lease });
        }
    }

    /// Passes a large answer on before its end; a write's answer is kept whole until confirmed.
    fn pass_on_part(&mut self, io: &mut Io) {
        let State::Running(running) = &mut self.state else { return };
        if running.may_commit || running.answer.len() < PART_BYTES {
            return;
        }
        let part = running.answer.split().freeze();
        notify(&running.lease, self.next_sequence, LeaseEvent::Part(part), io);
        self.next_sequence += 1;
    }

    /// The connection is lost: tells the front of the exchange under way. Returns the lease.
    pub fn fail_exchange(&mut self, io: &mut Io) -> Option<LeaseId> {
        if let State::Running(running) = std::mem::replace(&mut self.state, State::Idle) {
            let code = match (running.writes, running.may_commit) {
                (true, true) => ResultCode::ConnectionLostInDoubt,
                (true, false) => ResultCode::TransactionLost,
                (false, _) => ResultCode::ReadInterrupted,
            };
            let refusal = Refusal::new(code, "the connection to the back end was lost");
            notify(&running.lease, self.next_sequence, LeaseEvent::Refused(refusal), io);
        }
        self.lease.take()
    }
}

impl Running {
    /// Takes in one message; true when it was the last.
    fn on_frame(&mut self, frame: &frames::Frame, prepared: &mut PreparedSet) -> bool {
        if let Some(report) = &mut self.position {
            if frame.tag == b'D' {
                *report = parse_row(frame.body()).ok();
            }
            return frame.tag == b'Z';
        }
        match prepared.on_reply(frame) {
            Reply::Pass => self.answer.extend_from_slice(&frame.bytes),
            Reply::Replace(message) => self.answer.extend_from_slice(&message),
            Reply::Swallow => {}
        }
        if frame.tag != b'Z' {
            return false;
        }
        self.transaction = match frame.body() {
            b"T" => TransactionState::Open,
            b"E" => TransactionState::Failed,
            _ => TransactionState::Idle,
        };
        self.ready_left -= 1;
        if self.ready_left > 0 {
            return false;
        }
        if self.may_commit {
            self.position = Some(None);
        }
        !self.may_commit
    }
}

fn put(message: &PgWireFrontendMessage, output: &mut BytesMut) {
    if let Err(error) = message.encode(output) {
        log::error!("a message of our own could not be encoded: {error}");
    }
}

fn put_query(sql: &str, output: &mut BytesMut) {
    put(&PgWireFrontendMessage::Query(Query::new(sql.to_owned())), output);
}
