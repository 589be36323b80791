//! The preparation of an exchange: the proxy's own statements that establish the session state which
//! the exchange requires of its connection.
//!
//! The exchange is sent only after the instance has confirmed all of them. Otherwise an instance that
//! fails one of them runs the client's statement with the session state of another client. Until
//! then nothing of the client has been sent, so a failed or interrupted preparation is a refusal as
//! not run. A connection whose preparation failed stays open: its session state is established anew
//! for the next exchange, so that an instance that fails many requests does not cause as many new
//! connections.

use std::time::Instant;

use kestrellock_core::exchange_state::{Fault, Progress, failure_code};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::{Exchange, LeaseEvent};
use kestrellock_protocol::backend::{Failure, PreparationProgress, Reply};

use super::{CLEANUP_TIMEOUT, Server, ServerEvent, State};
use crate::event::Io;
use crate::gateway::running_exchange::impact_of;
use crate::gateway::{event_log, notify_front};
use crate::metrics::PreparationEvent;

/// A preparation takes at most one part in this many of the time that the exchange has left. The
/// rest is for another attempt of its front on another connection.
const TIME_LEFT_DIVISOR: u32 = 2;

/// An exchange whose session state is being established.
#[derive(Debug)]
pub(super) struct Preparing {
    pub exchange: Box<Exchange>,
    pub deadline: Instant,
    /// Time by which the instance must have confirmed the session state.
    pub until: Instant,
}

impl Server {
    /// Begins to establish the session state that an exchange requires. Returns false if there is
    /// nothing to establish; the exchange can then be sent.
    pub fn prepare(&mut self, exchange: &Exchange, deadline: Instant, io: &Io) -> bool {
        if !self.protocol.put_preparation(exchange, &mut self.connection.output) {
            return false;
        }
        io.context.metrics.preparations.count(PreparationEvent::Sent);
        let until = io.now + deadline.saturating_duration_since(io.now) / TIME_LEFT_DIVISOR;
        let exchange = Box::new(exchange.clone());
        self.state = State::Preparing(Preparing { exchange, deadline, until });
        true
    }

    /// The exchange whose session state the instance has confirmed, and its deadline.
    pub fn take_prepared(&mut self) -> Option<(Box<Exchange>, Instant)> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Prepared(Preparing { exchange, deadline, .. }) => Some((exchange, deadline)),
            other => {
                self.state = other;
                None
            }
        }
    }

    pub(super) fn on_preparation_reply(
        &mut self,
        reply: &Reply,
        events: &mut Vec<ServerEvent>,
        io: &mut Io,
    ) {
        let failure = match self.protocol.on_preparation_reply(reply) {
            PreparationProgress::Awaiting => return,
            PreparationProgress::Confirmed => None,
            PreparationProgress::Failed(failure) => Some(failure),
        };
        let state = std::mem::replace(&mut self.state, State::Idle);
        let State::Preparing(preparing) = state else {
            self.state = state;
            return;
        };
        match failure {
            None => {
                io.context.metrics.preparations.count(PreparationEvent::Confirmed);
                self.state = State::Prepared(preparing);
                events.push(ServerEvent::Prepared);
            }
            Some(failure) => self.on_preparation_failed(&preparing.exchange, failure, events, io),
        }
    }

    /// Refuses the exchange as not run and ends its lease. The connection is reused.
    fn on_preparation_failed(
        &mut self,
        exchange: &Exchange,
        failure: Failure,
        events: &mut Vec<ServerEvent>,
        io: &mut Io,
    ) {
        event_log::log_unprepared(exchange, &self.group, &self.instance, Some(failure), io);
        let refusal = match failure {
            Failure::Invalid if exchange.number == 0 => {
                let detail = "the back end does not accept the session's settings or statements";
                Refusal::new(ResultCode::NotSupported, detail)
            }
            _ => {
                let fault = Fault::InstanceConnectionLost;
                let code = failure_code(impact_of(exchange), Progress::Queued, fault);
                let detail = "the back end failed to establish the session's state";
                Refusal::new(code, detail)
            }
        };
        let event = LeaseEvent::Refused(refusal.at(&self.instance));
        notify_front(&exchange.lease, self.next_sequence, event, io);
        if exchange.number == 0 {
            return self.end_lease(events, io);
        }
        // The transaction is lost for the client: it must not stay open on the connection.
        self.protocol.put_rollback(&mut self.connection.output);
        self.state = State::RollingBack { until: io.now + CLEANUP_TIMEOUT };
    }

    /// Refuses an exchange because its connection ends before its session state was confirmed.
    pub(super) fn refuse_preparing(&self, preparing: &Preparing, fault: Fault, io: &mut Io) {
        let (group, instance) = (&self.group, &self.instance);
        event_log::log_unprepared(&preparing.exchange, group, instance, None, io);
        // The limit of a preparation is earlier than the deadline, so the front may try again.
        let fault = match fault {
            Fault::Deadline if Instant::now() < preparing.deadline => Fault::InstanceConnectionLost,
            fault => fault,
        };
        self.refuse_unsent(&preparing.exchange, fault, io);
    }
}
