//! Processes the messages that a connection receives from its instance: completes startup, forwards
//! answers to the front, and derives whether the running exchange may have committed.

use std::time::Instant;

use kestrellock_core::exchange_state::Effect;
use kestrellock_core::position::Term;
use kestrellock_peer::message::{LeaseEvent, TransactionState};
use kestrellock_protocol::backend::{BackendTarget, Failure, Reply, ReplyKind};

use super::{CLEANUP_TIMEOUT, ProbeAnswer, Server, ServerEvent, State};
use crate::event::Io;
use crate::gateway::confirmation::Commit;
use crate::gateway::notify_front;
use crate::gateway::running_exchange::{Next, RunningExchange};
use crate::metrics::AnswerEvidence;
use crate::shared::statuses::{CommitTimes, ExchangeResponse};

/// Size from which a partial answer is forwarded to the front.
const FORWARD_THRESHOLD_BYTES: usize = 64 * 1024;

impl Server {
    /// Processes the complete messages received so far.
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
        self.forward_partial_answer(io);
        events
    }

    /// Answers an authentication challenge; returns false if that is not possible.
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
            State::Prepared(_) => {}
            State::Preparing(_) => self.on_preparation_reply(reply, events, io),
            State::DiscardingSession { .. } => match reply.kind {
                ReplyKind::Failed(_) => events.push(ServerEvent::Unusable),
                ReplyKind::Ready { .. } => self.on_session_discarded(events, io),
                _ => {}
            },
            State::Probing { number, queried_at, report } => match reply.kind {
                ReplyKind::Row => *report = self.protocol.report(reply),
                ReplyKind::Ready { .. } => {
                    let answer = report.map(|report| ProbeAnswer {
                        number: *number,
                        report,
                        queried_at: *queried_at,
                    });
                    self.state = State::Idle;
                    events.extend(answer.map(ServerEvent::Probed));
                    events.push(ServerEvent::Ready);
                }
                _ => {}
            },
            State::Running(running) => match running.on_reply(reply, self.protocol.as_mut()) {
                Next::Await => {}
                Next::QueryPosition => {
                    self.protocol.put_position_query(&mut self.connection.output);
                }
                Next::Finished => self.finish_exchange(events, io),
            },
            State::RollingBack { .. } => match reply.kind {
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
            ReplyKind::CancelKey(key) => self.cancel_key = Some(key),
            _ => {}
        }
    }

    fn on_session_discarded(&mut self, events: &mut Vec<ServerEvent>, io: &mut Io) {
        self.protocol.on_reset();
        self.end_lease(events, io);
    }

    /// Ends the lease; its session state is discarded before another lease uses the connection.
    pub(super) fn end_lease(&mut self, events: &mut Vec<ServerEvent>, io: &mut Io) {
        if self.is_last_lease {
            self.state = State::Idle;
            events.push(ServerEvent::Unusable);
            return;
        }
        if self.protocol.put_reset(&mut self.connection.output) {
            self.state = State::DiscardingSession { until: io.now + CLEANUP_TIMEOUT };
            return;
        }
        self.state = State::Idle;
        let lease = self.lease.take();
        events.extend(lease.map(|lease| ServerEvent::LeaseEnded { lease }));
    }

    /// Completes the exchange whose last message has arrived.
    fn finish_exchange(&mut self, events: &mut Vec<ServerEvent>, io: &mut Io) {
        let State::Running(mut running) = std::mem::replace(&mut self.state, State::Idle) else {
            return;
        };
        let is_covered = self.record_answer(&running, io);
        events.push(match running.found_instance_busy() {
            true => ServerEvent::InstanceBusy,
            false => ServerEvent::Answered,
        });
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if running.has_committed() {
            events.push(ServerEvent::CommitAnswered(Commit {
                lease: running.lease.clone(),
                sequence,
                instance: self.instance.clone(),
                is_covered,
                report: running.report(),
                deadline: running.deadline,
                frames: running.take_answer(),
                transaction: running.transaction,
            }));
        } else {
            let event = running.final_event(&self.instance);
            notify_front(&running.lease, sequence, event, io);
        }
        if running.transaction == TransactionState::Idle {
            self.end_lease(events, io);
        } else {
            events.push(ServerEvent::TransactionOpen);
        }
    }

    /// Records in the node's shared statuses what the answer shows about the instance. Returns
    /// whether evidence covers the answer of a commit, so that it may be acknowledged.
    fn record_answer(&self, running: &RunningExchange, io: &Io) -> bool {
        if !self.positions_in_answers {
            return false;
        }
        let catalog = io.context.catalog.load();
        let configured = catalog.instance(&self.instance).map(|(_, instance)| instance);
        let answered = ExchangeResponse {
            sent: running.sent,
            completed_at: io.now,
            position: running.answer_position(),
            commit_position: running.answer_position().filter(|_| running.has_committed()),
            role: configured.and_then(|instance| instance.announced_role),
            is_read_only: running.found_instance_read_only(),
            continues_transaction: running.impact.continues_transaction
                && running.write_commit_position().is_none(),
        };
        // First, because the commit shows that the instance led the term of its position.
        let is_covered = match running.write_commit_position() {
            Some(position) => self.record_commit(position.term, running.sent, io),
            // Unless it has written, nothing could be lost.
            None => !running.commits_write(),
        };
        let number = self.status_exchange_number;
        io.context.statuses.on_ended(&self.group, &self.instance, number, Some(answered));
        is_covered
    }

    /// Records the answer of a commit of `term` that wrote. Returns whether evidence covers it.
    fn record_commit(&self, term: Term, sent: Instant, io: &Io) -> bool {
        let statuses = &io.context.statuses;
        let catalog = io.context.catalog.load();
        let configured = catalog.groups.get(&self.group);
        if io.context.needs_replica_confirmation(&self.group, &self.instance) {
            statuses.on_commit_without_evidence(&self.group, &self.instance, term);
            io.context.metrics.commit_answers.count(AnswerEvidence::Missing);
            return false;
        }
        let Some(configured) = configured else { return false };
        let scope = io.context.evidence_scope(&self.group, configured);
        // Read the clock again: the answer may have arrived after this process received the event.
        let commit = CommitTimes { sent, answered: Instant::now() };
        let evidence = statuses.on_commit_answer(&self.group, &self.instance, term, commit, scope);
        let lacks_claim = io.context.lacks_claim(&self.group, configured, &self.instance);
        io.context.metrics.commit_answers.count(AnswerEvidence::of(evidence, lacks_claim));
        evidence.is_some()
    }

    /// Forwards part of a large answer before its end. The answer of an exchange that may commit is
    /// kept whole until the commit is confirmed.
    fn forward_partial_answer(&mut self, io: &mut Io) {
        let State::Running(running) = &mut self.state else { return };
        if running.impact.effect == Effect::MayCommit
            || running.answer.len() < FORWARD_THRESHOLD_BYTES
        {
            return;
        }
        running.is_partly_forwarded = true;
        let part = running.take_answer();
        notify_front(&running.lease, self.next_sequence, LeaseEvent::Part(part), io);
        self.next_sequence += 1;
    }
}
