//! A node's part in primary replacement: it publishes its suspicions, acquires the coordinator
//! lease, and as coordinator runs the attempt that replaces the primary.

use kestrellock_core::ids::InstanceName;
use kestrellock_core::primary_evidence::UNLISTED_EVIDENCE_LIFETIME;
use kestrellock_core::promotion::{
    AnsweredPrimary, Attempt, Command, Event, Intent, NOTIFY_INTERVAL, Need, ProcessProbes,
    ReplacementId, ReportingNodes, RestartReport, Successor, Timing,
};
use kestrellock_core::store_era::StoreEra;

use crate::messages::{Call, Message, Work};
use crate::node::{CoordinatorState, caller_process, group_name, instance_number};
use crate::plan::PlantedFault;
use crate::store::{CallResult, LEASE_MS, Operation, node_name};
use crate::world::World;

/// The coordinator lease is renewed this long before it expires.
const RENEWAL_MARGIN_MS: u64 = 1_500;
/// Time without an attempt after which the coordinator releases its lease.
const IDLE_TIMEOUT_MS: u64 = 300;
/// Time after the end of an attempt in which needs may not reflect its result yet.
const STALE_NEED_PERIOD_MS: u64 = 200;
/// A promotion is only sent if the lease is still valid for at least this time.
const MIN_REMAINING_LEASE_MS: u64 = 100;
/// Delay before a store operation is retried.
const STORE_RETRY_DELAY_MS: u64 = 100;
/// Interval between two notifications of the coordinator to a node.
const NOTIFY_INTERVAL_MS: u64 = NOTIFY_INTERVAL.as_millis() as u64;
/// Latency of such a notification.
const NOTIFICATION_LATENCY_MS: u64 = 3;
/// Interval between two reports of a node to the coordinator.
const REPORT_INTERVAL_MS: u64 = 30;
/// Interval between two attempts to write records back that the store has lost.
const WRITE_BACK_INTERVAL_MS: u64 = 100;
/// Delay after which votes are written again if the store does not show them.
const VOTE_RETRY_DELAY_MS: u64 = 300;

impl World {
    /// Runs one step of a node.
    pub fn step_node(&mut self, node: usize) {
        self.serve_clients(node);
        self.suspect(node);
        self.demote_old_primaries(node);
        self.query_refills(node);
        self.report_to_coordinator(node);
        let now = self.at(self.now);
        self.register(node);
        let live = self.nodes_known_to(node);
        let need = self.nodes[node].need(&live, now).map(|need| self.with_planted_fault_in(need));
        if self.nodes[node].should_acquire_lease(need.as_ref(), self.now, now) {
            self.nodes[node].acquiring = true;
            self.call(node, 0, Operation::AcquireLease);
        }
        self.drop_lease_of_earlier_era(node);
        self.reacquire_lease(node);
        self.write_back(node);
        if self.nodes[node].coordinator.is_some() {
            self.coordinate(node, need.as_ref());
        }
    }

    /// Drops the coordinator lease after a store restore, since the restored store does not know
    /// it.
    fn drop_lease_of_earlier_era(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        let Some(state) = &own.coordinator else { return };
        if StoreEra::of(state.fence) < own.newest_era {
            own.reacquire_until = state.lease_until;
            own.coordinator = None;
            self.retries.remove(&node);
        }
    }

    /// Writes records of replacements back that the store has lost, until it has them again.
    fn write_back(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        if !own.writes_back || self.now < own.wrote_back_at + WRITE_BACK_INTERVAL_MS {
            return;
        }
        own.wrote_back_at = self.now;
        let (successor, is_over) = own.missing_from_store();
        match successor.is_some() || is_over {
            true => self.call(node, 0, Operation::WriteBack(successor, is_over)),
            false => own.writes_back = false,
        }
    }

    /// Acquires the lost lease again. Until that lease would have expired, no other node can become
    /// coordinator.
    fn reacquire_lease(&mut self, node: usize) {
        let own = &mut self.nodes[node];
        let may_reacquire =
            self.now < own.reacquire_until && own.coordinator.is_none() && !own.acquiring;
        if may_reacquire && own.view.era == own.newest_era {
            own.acquiring = true;
            self.call(node, 0, Operation::AcquireLease);
        }
    }

    fn suspect(&mut self, node: usize) {
        let now = self.at(self.now);
        let changed = self.nodes[node].suspect(now);
        let own = &self.nodes[node];
        let shown = own.view.votes.get(&node_name(node)).cloned().unwrap_or_default();
        let retry_is_due = self.now >= self.votes_published_at[node] + VOTE_RETRY_DELAY_MS;
        if own.view.revision > 0 && (changed || (retry_is_due && shown != own.votes)) {
            let votes = own.votes.clone();
            self.votes_published_at[node] = self.now;
            self.call(node, 0, Operation::Vote(votes));
        }
    }

    fn report_to_coordinator(&mut self, node: usize) {
        let own = &self.nodes[node];
        let Some(intent) = own.intent() else { return };
        let Some(id) = own.evidence.revoked_for() else { return };
        if self.now < own.reported_at + REPORT_INTERVAL_MS {
            return;
        }
        let coordinator = (0..self.nodes.len()).find(|other| node_name(*other) == intent.holder);
        let Some(to) = coordinator else { return };
        self.nodes[node].reported_at = self.now;
        let report = self.restart_report(node, &intent);
        self.send(Message::EvidenceRevoked { to, from: node, id, report });
    }

    /// What a node reports to the coordinator about restarts and acknowledged commits.
    fn restart_report(&self, node: usize, intent: &Intent) -> RestartReport {
        let (own, now) = (&self.nodes[node], self.at(self.now));
        let accepts_commits = intent.former.as_ref().is_none_or(|old_primary| {
            own.replacements.accepts_commit(&group_name(), old_primary, now)
        });
        let sampled = own.primary_samples.highest().zip(own.primary_samples.newest());
        let answered = AnsweredPrimary { sampled, committed: None };
        let report = own.known_instances.restart_report(&group_name(), answered.highest());
        RestartReport {
            has_ended_commits: !accepts_commits,
            position_age: answered.sample_age(report.primary_position, now),
            uptime: now.saturating_duration_since(self.at(own.started_at)),
            ..report
        }
    }

    fn coordinate(&mut self, node: usize, need: Option<&Need>) {
        let now = self.now;
        let Some(state) = &mut self.nodes[node].coordinator else { return };
        if now >= state.lease_until {
            self.nodes[node].coordinator = None;
            self.retries.remove(&node);
            return;
        }
        let fence = state.fence;
        if !state.renewing && now + RENEWAL_MARGIN_MS >= state.lease_until {
            state.renewing = true;
            self.call(node, fence, Operation::RenewLease);
        }
        self.begin_attempt(node, need);
        self.step_attempt(node, need);
        self.notify_nodes(node);
        let Some(state) = &self.nodes[node].coordinator else { return };
        let idle = state.last_attempt_ended.is_some_and(|ended| now >= ended + IDLE_TIMEOUT_MS);
        if state.attempt.is_none() && idle {
            self.nodes[node].coordinator = None;
            self.call(node, fence, Operation::ReleaseLease);
        }
    }

    /// Notifies the other nodes of the active replacement at intervals, since some of them cannot
    /// reach the store.
    fn notify_nodes(&mut self, node: usize) {
        let now = self.now;
        let Some(state) = &mut self.nodes[node].coordinator else { return };
        let recorded_intent = state.attempt.as_ref().and_then(Attempt::recorded_intent);
        let was_sent_recently =
            state.notified_at.is_some_and(|notified_at| now < notified_at + NOTIFY_INTERVAL_MS);
        let Some(intent) =
            recorded_intent.filter(|_| self.coordinator_notifies && !was_sent_recently).cloned()
        else {
            return;
        };
        let recorded = state.intent_recorded_at.unwrap_or(now);
        state.notified_at = Some(now);
        for to in (0..self.nodes.len()).filter(|to| *to != node) {
            let intent = intent.clone();
            self.send_after(
                NOTIFICATION_LATENCY_MS,
                Message::ReplacementStarted { from: node, to, intent, recorded },
            );
        }
    }

    /// Notifies the other nodes that a replacement has finished.
    fn notify_finished(&mut self, node: usize, id: ReplacementId, successor: Option<&Successor>) {
        let state = self.nodes[node].coordinator.as_ref();
        let attempt = state.and_then(|state| state.attempt.as_ref());
        let is_announced = attempt.is_none_or(Attempt::may_announce_end);
        if !self.coordinator_notifies || !is_announced {
            return;
        }
        for to in (0..self.nodes.len()).filter(|to| *to != node) {
            let successor = successor.cloned();
            self.send_after(
                NOTIFICATION_LATENCY_MS,
                Message::ReplacementFinished { from: node, to, id, successor },
            );
        }
    }

    fn begin_attempt(&mut self, node: usize, need: Option<&Need>) {
        let now = self.now;
        let highest = self.highest_term(node);
        let timing = self.timing();
        let own = &mut self.nodes[node];
        let members = own.known_instances.members(&group_name());
        let Some(state) = &mut own.coordinator else { return };
        let need_may_be_stale = state.attempts_started > 0
            && state.last_attempt_ended.is_some_and(|end| now < end + STALE_NEED_PERIOD_MS);
        let Some(need) = need.filter(|_| state.attempt.is_none() && !need_may_be_stale) else {
            return;
        };
        state.attempts_started += 1;
        state.intent_recorded_at = None;
        state.notified_at = None;
        let id = ReplacementId { fence: state.fence, attempt: state.attempts_started };
        let (own_name, process) = (node_name(node), own.process);
        let attempt = Attempt::new(own_name, id, need, members, highest, timing);
        state.attempt = Some(attempt.in_process(caller_process(process)));
    }

    fn timing(&self) -> Timing {
        let mut timing =
            Timing { unlisted_evidence_lifetime: UNLISTED_EVIDENCE_LIFETIME, ..Timing::default() };
        if self.planted_fault == PlantedFault::NoEvidenceWait {
            timing.evidence_lifetime = std::time::Duration::ZERO;
            timing.unlisted_evidence_lifetime = std::time::Duration::ZERO;
        }
        match self.planted_fault {
            PlantedFault::NoWaitForOpenCalls => {
                timing.open_call_timeout = std::time::Duration::ZERO
            }
            PlantedFault::SilenceEndsCalls => {
                timing.open_call_timeout = std::time::Duration::from_secs(1);
            }
            _ => {}
        }
        timing
    }

    fn step_attempt(&mut self, node: usize, need: Option<&Need>) {
        let now = self.at(self.now);
        let current = self.nodes_to_wait_for(node);
        let own = &mut self.nodes[node];
        let nodes =
            ReportingNodes { current, last_removal: None, highest_led: own.evidence.highest_led() };
        let members = own.known_instances.members(&group_name());
        let refilling = members.all.iter().filter(|member| member.is_refilling);
        let refilling: Vec<InstanceName> = refilling.map(|member| member.name.clone()).collect();
        let Some(state) = &mut own.coordinator else { return };
        let fence = state.fence;
        let Some(attempt) = &mut state.attempt else { return };
        attempt.on_event(Event::Members(members), now);
        attempt.on_event(Event::StillNeeded(need.is_some_and(|need| need.is_current)), now);
        if let Some(reports) = own.revocation_reports.get(&attempt.id()) {
            attempt.on_reports(reports, &nodes, now);
        }
        let before = attempt.phase();
        let commands = attempt.step(now);
        let phase = attempt.phase();
        if phase != before || !commands.is_empty() {
            self.trace.record(self.now, || {
                format!("node {node}: {phase:?} {commands:?}; refilling {refilling:?}")
            });
        }
        if phase != before {
            self.on_attempt_phase(node, phase);
        }
        for command in commands {
            self.execute(node, fence, command);
        }
        self.drop_withdrawn_attempt(node);
        let due = self.retries.get(&node).is_some_and(|(at, _)| self.now >= *at);
        if due && let Some((_, operation)) = self.retries.remove(&node) {
            self.call(node, fence, operation);
        }
    }

    /// Drops an attempt that has ended before it recorded anything.
    fn drop_withdrawn_attempt(&mut self, node: usize) {
        let now = self.now;
        let Some(state) = &mut self.nodes[node].coordinator else { return };
        if state.attempt.as_ref().is_some_and(Attempt::is_withdrawn) {
            state.attempt = None;
            state.last_attempt_ended = Some(now);
        }
    }

    fn execute(&mut self, node: usize, fence: u64, command: Command) {
        match &command {
            Command::RecordIntent(intent) => {
                self.call(node, fence, Operation::RecordIntent(intent.clone()))
            }
            Command::RecordSuccessor(successor) => {
                self.call(node, fence, Operation::RecordSuccessor(successor.clone()));
            }
            Command::Finish { id, successor } => {
                if successor.is_none() {
                    let now = self.at(self.now);
                    self.nodes[node].on_attempt_cancelled(now);
                }
                let state = self.nodes[node].coordinator.as_ref();
                let attempt = state.and_then(|state| state.attempt.as_ref());
                let callers = attempt.map(Attempt::callers_at_end).unwrap_or_default();
                self.call(node, fence, Operation::Finish(*id, successor.clone(), callers));
            }
            Command::ReadIncarnations => self.call(node, fence, Operation::ReadIncarnations),
            Command::QueryCaller(caller) => self.query_caller(node, caller.clone()),
            Command::Promote(instance) => self.promote(node, fence, instance),
            Command::QueryStatus(instance)
            | Command::Stop { instance, .. }
            | Command::Demote { instance, .. }
            | Command::Release(instance) => {
                let (instance, request) = (instance_number(instance), self.next_number());
                self.send_request(node, instance, request, Work::Command(command));
            }
        }
    }

    fn promote(&mut self, node: usize, fence: u64, instance: &InstanceName) {
        let lease_lasts =
            |state: &CoordinatorState| self.now + MIN_REMAINING_LEASE_MS < state.lease_until;
        if !self.nodes[node].coordinator.as_ref().is_some_and(lease_lasts) {
            return;
        }
        let instance = match self.planted_fault {
            PlantedFault::LaggingReplicaPromoted => {
                self.most_lagging_replica(instance_number(instance))
            }
            _ => instance_number(instance),
        };
        let fence = if self.planted_fault == PlantedFault::FenceReused { 1 } else { fence };
        let process = self.nodes[node].process;
        let call = self.next_number();
        if !self.begin_promotion(node, instance, fence, call) {
            return;
        }
        self.send(Message::Promote { node, process, instance, fence, call });
        self.on_promotion_sent(node, instance, call);
    }

    fn most_lagging_replica(&self, chosen: usize) -> usize {
        let leader = self.nodes.iter().find_map(|node| node.leader());
        let replicas = (0..self.instances.len()).filter(|index| Some(*index) != leader);
        let alive = replicas.filter(|index| self.instances[*index].alive);
        alive.min_by_key(|index| self.instances[*index].log.len()).unwrap_or(chosen)
    }

    /// Passes an event to the node's current attempt.
    pub fn on_event(&mut self, node: usize, event: Event) {
        let now = self.at(self.now);
        let state = self.nodes[node].coordinator.as_mut();
        if let Some(attempt) = state.and_then(|state| state.attempt.as_mut()) {
            attempt.on_event(event, now);
        }
    }

    /// Handles an answer of the store.
    pub fn on_call_answered(&mut self, call: Call, result: CallResult, era: StoreEra) {
        if !self.pending_calls.remove(&call.number) {
            return;
        }
        let own = &mut self.nodes[call.node];
        own.newest_era = own.newest_era.max(era);
        if era != call.era {
            self.on_other_era(&call);
            return;
        }
        match (&call.operation, result) {
            (Operation::AcquireLease, CallResult::Done(fence)) => {
                self.trace.record(self.now, || {
                    format!("node {} is coordinator, fence {fence}", call.node)
                });
                let own = &mut self.nodes[call.node];
                own.acquiring = false;
                own.reacquire_until = 0;
                own.coordinator = Some(CoordinatorState {
                    fence,
                    lease_until: call.sent + LEASE_MS,
                    renewing: false,
                    attempt: None,
                    attempts_started: 0,
                    last_attempt_ended: Some(self.now),
                    nodes_at_intent: Vec::new(),
                    process_probes: ProcessProbes::default(),
                    intent_revision: None,
                    intent_recorded_at: None,
                    notified_at: None,
                });
            }
            (Operation::AcquireLease, CallResult::Conflict) => {
                self.nodes[call.node].acquiring = false
            }
            (Operation::ReadRevision, CallResult::Done(revision)) => {
                self.on_store_revision(call.node, revision, call.sent);
            }
            (Operation::ReadIncarnations, CallResult::Incarnations(incarnations)) => {
                let asked = self.at(call.sent);
                let may_be_stale = self.nodes[call.node].era.incarnations_may_be_stale(asked);
                let event = match may_be_stale
                    && self.planted_fault != PlantedFault::StaleIncarnationsTrusted
                {
                    true => Event::IncarnationsUnavailable,
                    false => Event::Incarnations { by_instance: incarnations, requested_at: asked },
                };
                self.on_event(call.node, event);
            }
            (Operation::RenewLease, result) => self.on_renewed(&call, result),
            (Operation::RecordIntent(_), CallResult::OtherIntent { revision, is_same: false }) => {
                self.on_intent_revision(call.node, revision);
                self.retry_call(&call);
            }
            (Operation::RecordIntent(intent), CallResult::OtherIntent { revision, .. }) => {
                self.on_intent_revision(call.node, revision);
                self.on_event(call.node, Event::IntentRecorded(intent.clone()));
            }
            (Operation::RecordIntent(intent), CallResult::Recorded { nodes, revision }) => {
                self.on_intent_revision(call.node, revision);
                if let Some(state) = &mut self.nodes[call.node].coordinator {
                    state.intent_recorded_at.get_or_insert(self.now);
                    if self.planted_fault != PlantedFault::NodeListFromCopy {
                        state.nodes_at_intent = nodes;
                    }
                }
                self.on_event(call.node, Event::IntentRecorded(intent.clone()));
            }
            (Operation::Finish(id, successor, _), CallResult::Done(_)) => {
                self.notify_finished(call.node, *id, successor.as_ref());
                if let Some(state) = &mut self.nodes[call.node].coordinator {
                    state.attempt = None;
                    state.intent_revision = None;
                    state.last_attempt_ended = Some(self.now);
                }
            }
            (Operation::RecordIntent(_) | Operation::Finish(..), CallResult::Conflict) => {
                self.retry_call(&call)
            }
            _ => {}
        }
    }

    fn on_intent_revision(&mut self, node: usize, revision: u64) {
        if let Some(state) = &mut self.nodes[node].coordinator {
            state.intent_revision = Some(revision);
        }
    }

    /// Handles an answer of a store in another era than the node knew: the operation was applied to
    /// keys of an era that has ended.
    fn on_other_era(&mut self, call: &Call) {
        match call.operation {
            Operation::AcquireLease => self.nodes[call.node].acquiring = false,
            Operation::ReadIncarnations => self.on_event(call.node, Event::IncarnationsUnavailable),
            _ => {}
        }
    }

    fn on_renewed(&mut self, call: &Call, result: CallResult) {
        let now = self.now;
        if let Some(state) = &mut self.nodes[call.node].coordinator {
            state.renewing = false;
            let renewed = matches!(result, CallResult::Done(_));
            state.lease_until = if renewed { call.sent + LEASE_MS } else { now };
        }
    }

    /// Handles the timeout of a call to the store.
    pub fn on_call_lost(&mut self, call: Call) {
        if !self.pending_calls.remove(&call.number) {
            return;
        }
        match call.operation {
            Operation::AcquireLease => self.nodes[call.node].acquiring = false,
            Operation::RenewLease => {
                if let Some(state) = &mut self.nodes[call.node].coordinator {
                    state.renewing = false;
                }
            }
            Operation::ReadIncarnations => self.on_event(call.node, Event::IncarnationsUnavailable),
            Operation::RecordIntent(_) | Operation::Finish(..) => self.retry_call(&call),
            _ => {}
        }
    }

    fn retry_call(&mut self, call: &Call) {
        let state = self.nodes[call.node].coordinator.as_ref();
        if state.is_some_and(|state| state.fence == call.fence && state.attempt.is_some()) {
            let retry = (self.now + STORE_RETRY_DELAY_MS, call.operation.clone());
            self.retries.insert(call.node, retry);
        }
    }
}
