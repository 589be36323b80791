//! A client of the platform: it asks one request at a time, closes at an error while nothing is
//! asked, and takes an error that crosses its request as the first part of the answer.

use std::collections::VecDeque;

use kestrellock_core::outcome::ResultCode;

use crate::messages::{ConnectionId, FromNode, RequestId, Statement, Transaction};
use crate::random::SeededRandom;

/// Time after which a client closes a session whose start-up is not answered.
pub const STARTUP_TIMEOUT: u64 = 2000;

/// How a client uses its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Operations follow each other at once.
    Busy,
    /// Rests for up to some seconds between operations.
    Resting,
    /// Each operation has its own session.
    SingleOperation,
    /// Each request has its own session, and is sent together with the start-up.
    InOneGo,
}

/// What a client waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It has no connection.
    Away,
    /// The answer to its start-up; the request, if any, was sent together with it.
    Starting(ConnectionId, Option<RequestId>),
    /// Nothing: it asks its next request when its timer ends.
    Resting(ConnectionId),
    /// The answer to its request; the first error of the answer, if there was one.
    Asking(ConnectionId, RequestId, Option<ResultCode>),
    /// It makes no more requests.
    Done,
}

/// What a client does after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaction {
    None,
    /// The request got a complete answer or refusal.
    Ended(RequestId, Option<ResultCode>),
    /// The request got a complete refusal and the session is over: the client closes.
    RefusedAndClosed(RequestId, ResultCode),
    /// The client closes its connection.
    Close,
    /// A message that answers nothing, or another request.
    Unexpected,
}

/// A client and its current operation.
#[derive(Debug)]
pub struct Client {
    pub habit: Habit,
    pub state: State,
    /// Number of the timer that counts; earlier ones are void.
    pub timer: u64,
    /// Statements of the operation that were not sent yet.
    pub operation: VecDeque<Statement>,
    pub transaction: Transaction,
    /// Closes instead of asking, once, in the middle of an operation.
    pub leaves_early: bool,
    /// A result was received in the current answer.
    has_result: bool,
}

impl Client {
    pub fn new(habit: Habit, random: &mut SeededRandom) -> Self {
        Self {
            habit,
            state: State::Away,
            timer: 0,
            operation: VecDeque::new(),
            transaction: Transaction::Idle,
            leaves_early: random.happens(5),
            has_result: false,
        }
    }

    /// Chooses the statements of the next operation.
    pub fn choose_operation(&mut self, random: &mut SeededRandom) {
        let single = self.habit == Habit::InOneGo || random.happens(65);
        self.operation.clear();
        if single {
            let statements = [
                Statement::Read,
                Statement::Read,
                Statement::Read,
                Statement::Write,
                Statement::Set,
            ];
            return self.operation.push_back(statements[random.between(0, 4) as usize]);
        }
        self.operation.push_back(Statement::Begin);
        for _ in 0..random.between(1, 10) {
            let statement = if random.happens(50) { Statement::Read } else { Statement::Write };
            self.operation.push_back(statement);
        }
        let end = if random.happens(90) { Statement::Commit } else { Statement::Rollback };
        self.operation.push_back(end);
    }

    /// Time until the next request.
    pub fn rest(&self, random: &mut SeededRandom) -> u64 {
        if !self.operation.is_empty() && self.transaction != Transaction::Idle {
            return if random.happens(10) {
                random.between(0, 3000)
            } else {
                random.between(0, 80)
            };
        }
        match self.habit {
            Habit::Resting if random.happens(30) => random.between(1000, 6000),
            Habit::Resting => random.between(0, 3000),
            Habit::Busy | Habit::SingleOperation | Habit::InOneGo => random.between(0, 20),
        }
    }

    /// Handles a message of the node, other than the end of the stream.
    pub fn on_message(&mut self, message: FromNode) -> Reaction {
        match self.state {
            State::Starting(connection, request) => match message {
                FromNode::Ready(Transaction::Idle) => {
                    self.transaction = Transaction::Idle;
                    self.state = match request {
                        Some(request) => State::Asking(connection, request, None),
                        None => State::Resting(connection),
                    };
                    Reaction::None
                }
                FromNode::Error(code) | FromNode::Fatal(code) => match request {
                    Some(request) => Reaction::RefusedAndClosed(request, code),
                    None => Reaction::Close,
                },
                _ => Reaction::Unexpected,
            },
            State::Resting(_) => match message {
                FromNode::Error(_) | FromNode::Fatal(_) => Reaction::Close,
                _ => Reaction::Unexpected,
            },
            State::Asking(connection, request, error) => {
                self.on_answer(message, connection, request, error)
            }
            State::Away | State::Done => Reaction::None,
        }
    }

    fn on_answer(
        &mut self,
        message: FromNode,
        connection: ConnectionId,
        request: RequestId,
        error: Option<ResultCode>,
    ) -> Reaction {
        match message {
            FromNode::Result(answered) if answered == request && error.is_none() => {
                self.has_result = true;
                Reaction::None
            }
            FromNode::Fatal(code) => Reaction::RefusedAndClosed(request, code),
            FromNode::Error(code) if error.is_none() && !self.has_result => {
                self.state = State::Asking(connection, request, Some(code));
                Reaction::None
            }
            FromNode::Ready(transaction) => {
                let has_result = std::mem::take(&mut self.has_result);
                if has_result == error.is_some() {
                    return Reaction::Unexpected;
                }
                self.transaction = transaction;
                self.state = State::Resting(connection);
                Reaction::Ended(request, error)
            }
            _ => Reaction::Unexpected,
        }
    }
}
