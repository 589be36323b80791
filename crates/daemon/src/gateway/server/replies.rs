//! What a connection makes of the messages of its back end.

use std::time::Instant;

use kestrellock_core::exchange_state::{Effect, Fault};
use kestrellock_core::outcome::{Refusal, ResultCode};
use kestrellock_peer::message::{LeaseEvent, TransactionState};
use kestrellock_protocol::backend::{BackendTarget, Failure, Reply, ReplyKind};

use super::{ProbeAnswer, RESET_LIMIT, Server, ServerEvent, State};
use crate::event::Io;
use crate::gateway::confirmation::Commit;
use crate::gateway::notify;
use crate::gateway::running::{Next, Running};
use crate::shared::statuses::ExchangeResponse;

/// Bytes of an answer gathered before a part of it is passed on.
const PART_BYTES: usize = 64 * 1024;

impl Server {
    /// Handles the whole messages received so far.
    pub fn take_events(&mut self, io: &mut Io) -> Vec<ServerEvent> {
        let mut events = Vec::new();
        loop {
            match self.protocol.next_reply(&mut self.connection.input) {
                Ok(Some(reply)) => self.on_reply(&reply, &mut events, io),
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

    /// Answers what the back end asks of a login; false where no answer is known.
    fn answer_challenge(&mut self, challenge: &Reply, io: &Io) -> bool {
        let catalog = io.context.catalog.load();
        let Some(group) = catalog.groups.get(&self.group) else { return false };
        let target = BackendTarget {
            group: &self.group,
            instance: &self.instance,
            database: &group.database,
            account: self.account.as_ref(),
            user: &group.user,
            password: io.context.backend_passwords.get(&group.user),
        };
        self.protocol.answer_challenge(challenge, &target, &mut self.connection.output)
    }

    fn on_reply(&mut self, reply: &Reply, events: &mut Vec<ServerEvent>, io: &mut Io) {
        match &mut self.state {
            State::StartingUp => self.on_startup_reply(reply, events, io),
            State::Idle => {}
            State::Preparing { failed, .. } => match reply.kind {
                ReplyKind::Failed(_) => *failed = true,
                ReplyKind::Ready { .. } => self.on_prepared(events, io),
                _ => {}
            },
            State::Discarding { .. } => match reply.kind {
                ReplyKind::Failed(_) => events.push(ServerEvent::Unusable),
                ReplyKind::Ready { .. } => self.on_discarded(events, io),
                _ => {}
            },
            State::Probing { number, asked, report } => match reply.kind {
                ReplyKind::Row => *report = self.protocol.report(reply),
                ReplyKind::Ready { .. } => {
                    let answer =
                        report.map(|report| ProbeAnswer { number: *number, report, asked: *asked });
                    self.state = State::Idle;
                    events.extend(answer.map(ServerEvent::Probed));
                    events.push(ServerEvent::Ready);
                }
                _ => {}
            },
            State::Running(running) => match running.on_reply(reply, self.protocol.as_mut()) {
                Next::Await => {}
                Next::AskPosition => {
                    self.protocol.put_position_query(&mut self.connection.output);
                }
                Next::Finished => self.finish(events, io),
            },
            State::Resetting { .. } => match reply.kind {
                ReplyKind::Ready { transaction: TransactionState::Idle, .. } => {
                    self.end_lease(events, io);
                }
                ReplyKind::Ready { .. } => events.push(ServerEvent::Unusable),
                _ => {}
            },
        }
    }

    fn on_startup_reply(&mut self, reply: &Reply, events: &mut Vec<ServerEvent>, io: &mut Io) {
        match reply.kind {
            ReplyKind::Ready { position, .. } => {
                self.state = State::Idle;
                events.push(ServerEvent::Started(position));
                events.push(ServerEvent::Ready);
            }
            ReplyKind::Failed(Failure::TooManyConnections) => events.push(ServerEvent::Refused),
            ReplyKind::Failed(Failure::WrongInstance) => events.push(ServerEvent::Displaced),
            ReplyKind::Failed(_) => events.push(ServerEvent::Unusable),
            ReplyKind::Challenge if !self.answer_challenge(reply, io) => {
                events.push(ServerEvent::Unusable);
            }
            ReplyKind::CancelKey(key) => self.key = Some(key),
            _ => {}
        }
    }

    /// The caller's settings were put in force, or refused by the back end.
    fn on_prepared(&mut self, events: &mut Vec<ServerEvent>, io: &mut Io) {
        let state = std::mem::replace(&mut self.state, State::Idle);
        let State::Preparing { exchange, deadline, failed } = state else { return };
        if failed {
            let detail = "the back end does not accept the session's settings";
            let refusal = Refusal::new(ResultCode::NotSupported, detail);
            notify(&exchange.lease, self.next_sequence, LeaseEvent::Refused(refusal), io);
            events.push(ServerEvent::Unusable);
            return;
        }
        self.protocol.on_prepared(&exchange);
        // Read again: this process may have been paused since the preparation was sent.
        if Instant::now() >= deadline {
            self.refuse_unsent(&exchange, Fault::Deadline, io);
            events.push(ServerEvent::Unusable);
            return;
        }
        self.send(&exchange, deadline, io);
    }

    fn on_discarded(&mut self, events: &mut Vec<ServerEvent>, io: &mut Io) {
        self.protocol.on_reset();
        self.end_lease(events, io);
    }

    /// Frees the connection for another lease, once it is clean.
    fn end_lease(&mut self, events: &mut Vec<ServerEvent>, io: &mut Io) {
        if self.is_last_lease {
            self.state = State::Idle;
            events.push(ServerEvent::Unusable);
            return;
        }
        if self.protocol.put_reset(&mut self.connection.output) {
            self.state = State::Discarding { until: io.now + RESET_LIMIT };
            return;
        }
        self.state = State::Idle;
        let lease = self.lease.take();
        events.extend(lease.map(|lease| ServerEvent::LeaseEnded { lease }));
    }

    /// Ends the exchange whose last message has arrived.
    fn finish(&mut self, events: &mut Vec<ServerEvent>, io: &mut Io) {
        let State::Running(mut running) = std::mem::replace(&mut self.state, State::Idle) else {
            return;
        };
        self.report_answer(&running, io);
        events.push(match running.found_no_room() {
            true => ServerEvent::NoRoom,
            false => ServerEvent::Answered,
        });
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if running.has_committed() {
            events.push(ServerEvent::CommitAnswered(Commit {
                lease: running.lease.clone(),
                sequence,
                instance: self.instance.clone(),
                report: running.report(),
                deadline: running.deadline,
                frames: running.take_answer(),
                transaction: running.transaction,
            }));
        } else {
            let event = running.final_event(&self.instance);
            notify(&running.lease, sequence, event, io);
        }
        if running.transaction == TransactionState::Idle {
            self.end_lease(events, io);
        } else {
            events.push(ServerEvent::TransactionOpen);
        }
    }

    /// Lets the node know what the answer tells of the instance.
    fn report_answer(&self, running: &Running, io: &Io) {
        if !self.positions_in_answers {
            return;
        }
        let catalog = io.context.catalog.load();
        let configured = catalog.instance(&self.instance).map(|(_, instance)| instance);
        let answered = ExchangeResponse {
            sent: running.sent,
            at: io.now,
            position: running.position(),
            role: configured.and_then(|instance| instance.announced_role),
        };
        let number = self.waiting_number;
        io.context.statuses.on_ended(&self.group, &self.instance, number, Some(answered));
        if let Some(position) = running.shown_commit() {
            let (term, sent) = (position.term, running.sent);
            let statuses = &io.context.statuses;
            match io.context.is_waited_for() {
                true => statuses.on_commit(&self.group, &self.instance, term, sent),
                false => statuses.on_commit_without_evidence(&self.group, &self.instance, term),
            }
        }
    }

    /// Passes a large answer on before its end; a write's answer is kept whole until confirmed.
    fn pass_on_part(&mut self, io: &mut Io) {
        let State::Running(running) = &mut self.state else { return };
        if running.stake.effect == Effect::MayCommit || running.answer.len() < PART_BYTES {
            return;
        }
        running.passed_on = true;
        let part = running.take_answer();
        notify(&running.lease, self.next_sequence, LeaseEvent::Part(part), io);
        self.next_sequence += 1;
    }
}
