//! Executes the commands of attempts.

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName};
use kestrellock_core::promotion::{Command, Event, KnownInstances, Successor};
use kestrellock_store::control::{ControlTarget, InstanceCommand};

use super::CoordinatorThread;
use crate::agent::promotion::executor::FinishedReplacement;

/// A promotion is sent only if at least this much is left of the lease.
const MIN_LEASE_FOR_PROMOTION: Duration = Duration::from_millis(100);

impl CoordinatorThread<'_> {
    pub(super) fn execute(
        &mut self,
        group: &GroupName,
        command: Command,
        known: &KnownInstances,
        now: Instant,
    ) {
        match command {
            Command::ReadIncarnations if self.incarnations_may_be_outdated => {
                log::info!(event = "starts_unknown", group = group.as_str(); "the store was restored from an older copy: it may not know all restarts of instances yet");
                if let Some(running) = self.attempts.get_mut(group) {
                    running.attempt.on_event(Event::IncarnationsUnavailable, now);
                }
            }
            Command::ReadIncarnations => {
                let members = known.members(group).all;
                let instances = members.into_iter().map(|member| member.name).collect();
                self.executor.read_starts(group.clone(), instances);
            }
            Command::QueryStatus(instance) => {
                self.send_command(group, &instance, InstanceCommand::Ask, known)
            }
            Command::Stop { instance, term } => {
                self.send_command(group, &instance, InstanceCommand::Stop(term), known);
            }
            Command::Demote { instance, term } => {
                self.send_command(group, &instance, InstanceCommand::Demote(term), known);
            }
            Command::Release(instance) => {
                self.send_command(group, &instance, InstanceCommand::Release, known)
            }
            Command::QueryCaller(caller) => self.query_caller(group, caller, now),
            Command::Promote(instance) => {
                if let Some(running) = self.attempts.get(group) {
                    running.report_promotion(group, &self.context.metrics);
                }
                if now + MIN_LEASE_FOR_PROMOTION < self.lease.valid_until {
                    let coordinator = self.context.identity.node.clone();
                    self.executor.promote(group.clone(), instance, coordinator, &self.lease);
                }
            }
            Command::RecordIntent(ref intent) => {
                self.executor.record(&self.lease, group.clone(), intent.clone());
                self.keep_pending(group, command);
            }
            Command::RecordSuccessor(successor) => {
                self.executor.install(&self.lease, group.clone(), successor);
            }
            Command::Finish { id, ref successor } => {
                self.log_end(group, successor.as_ref(), now);
                let running = self.attempts.get(group);
                let open_callers =
                    running.map(|running| running.attempt.callers_at_end()).unwrap_or_default();
                let finished =
                    FinishedReplacement { id, successor: successor.clone(), open_callers };
                self.executor.finish(&self.lease, group.clone(), finished);
                self.keep_pending(group, command);
            }
        }
    }

    fn keep_pending(&mut self, group: &GroupName, command: Command) {
        if let Some(running) = self.attempts.get_mut(group) {
            running.pending = Some(command);
        }
    }

    fn log_end(&self, group: &GroupName, successor: Option<&Successor>, now: Instant) {
        let started = self.attempts.get(group).map_or(now, |running| running.started);
        let took = now.saturating_duration_since(started).as_millis() as u64;
        log::info!(event = "attempt_over", group = group.as_str(), successor:? = successor, took_ms = took; "the attempt is over");
        if successor.is_none() {
            let mut input = self.input.lock().unwrap_or_else(PoisonError::into_inner);
            input.cancelled.push(group.clone());
        }
    }

    fn send_command(
        &mut self,
        group: &GroupName,
        instance: &InstanceName,
        command: InstanceCommand,
        known: &KnownInstances,
    ) {
        let Some(address) = known.address(group, instance) else { return };
        let (group, instance) = (group.clone(), instance.clone());
        let target = ControlTarget { group, instance, address };
        self.executor.send_command(target, command, self.lease.valid_until);
    }
}
