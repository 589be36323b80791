//! Threads that execute the coordinator's commands, so that an instance that does not respond or a
//! slow store does not block the coordinator.
//!
//! There is a thread for each instance and one for changes of the store, each with one command at a
//! time; promotions and reads of incarnations have a thread for each call. Changes of the store are
//! queued. A command to an instance is dropped if an earlier command to it is still queued; the
//! attempt sends its commands again until the instance has answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{
    Event, Intent, ProbeResult, PromotionAnswer, PromotionCaller, ReplacementId, ReplicationStatus,
    Successor,
};
use kestrellock_net::source::SourceAddress;
use kestrellock_store::control::{
    ControlError, ControlTarget, InstanceCommand, PromotionOutcome, PromotionRequest,
    PromotionService,
};
use kestrellock_store::coordination::{Coordination, CoordinatorLease, RecordOutcome};

use super::ReplacementServices;
use super::process_probes::probe;
use crate::shared::promotion_calls::PromotionCalls;

/// Result of a command, or an event that follows from it.
#[derive(Debug)]
pub enum Report {
    /// An event of one group's attempt.
    Event(GroupName, Event),
    /// The successor was recorded, or will be recorded when its attempt ends.
    Installed,
    /// A node was probed for a process.
    Probed(NodeName, ProbeResult),
    /// The intent of a group's attempt was removed from the store.
    Finished(GroupName),
    /// The store has an intent of an earlier attempt for the group, which may have sent promotions
    /// that the attempt does not know of.
    EarlierPromotion(GroupName),
    /// A change of the store failed and has to be retried.
    StoreFailed(GroupName),
    /// The store call to renew the coordinator lease has ended. The lease has its new end, or its
    /// previous one if the call failed, so that the coordinator has to renew it again.
    Renewed(CoordinatorLease),
    /// The coordinator lease has ended.
    LeaseOver,
}

/// A replacement that has finished.
#[derive(Debug)]
pub struct FinishedReplacement {
    /// Which replacement it was.
    pub id: ReplacementId,
    /// The new primary, if an instance was promoted.
    pub successor: Option<Successor>,
    /// Processes whose promotions may still arrive.
    pub open_callers: Vec<PromotionCaller>,
}

/// A change of the store.
#[derive(Debug)]
enum StoreCommand {
    Record(CoordinatorLease, GroupName, Intent),
    Install(CoordinatorLease, GroupName, InstanceName),
    Finish(CoordinatorLease, GroupName, FinishedReplacement),
    Renew(CoordinatorLease),
}

/// A command to an instance.
struct QueuedCommand {
    target: ControlTarget,
    command: InstanceCommand,
    /// End of the coordinator lease: the command is not sent after it.
    valid_until: Instant,
}

/// Sends commands to the threads that execute them.
pub struct Executor {
    source: SourceAddress,
    services: ReplacementServices,
    promotion_calls: Arc<PromotionCalls>,
    reports: Sender<Report>,
    instances: HashMap<InstanceName, Sender<QueuedCommand>>,
    store: Sender<StoreCommand>,
}

impl Executor {
    /// Starts the thread for the store; the thread of an instance starts with its first command.
    /// Nodes are probed from `source`.
    pub fn start(
        source: SourceAddress,
        services: ReplacementServices,
        promotion_calls: Arc<PromotionCalls>,
    ) -> (Self, Receiver<Report>) {
        let (reports, report_receiver) = unbounded();
        let (store, commands) = bounded(64);
        let coordination = services.coordination.clone();
        let report_sender = reports.clone();
        spawn("promotion-store", move || {
            for command in commands {
                let report = change_store(coordination.as_ref(), command);
                if report_sender.send(report).is_err() {
                    return;
                }
            }
        });
        let instances = HashMap::new();
        let executor = Self { source, services, promotion_calls, reports, instances, store };
        (executor, report_receiver)
    }

    /// Sends a command to an instance, unless an earlier command to it is still queued.
    /// It is not sent after `valid_until`, the end of the coordinator lease.
    pub fn send_command(
        &mut self,
        target: ControlTarget,
        command: InstanceCommand,
        valid_until: Instant,
    ) {
        let sender = self.instances.entry(target.instance.clone()).or_insert_with(|| {
            let (sender, commands) = bounded::<QueuedCommand>(1);
            let control = self.services.control.clone();
            let reports = self.reports.clone();
            spawn("promotion-instance", move || {
                for QueuedCommand { target, command, valid_until } in commands {
                    let sent = Instant::now();
                    let outcome = control.execute(&target, command, Some(valid_until));
                    log::info!(event = "order", group = target.group.as_str(), instance = target.instance.as_str(), order:? = command, outcome:? = outcome, took_us = sent.elapsed().as_micros() as u64; "executed a command on an instance");
                    for event in events_for(&target, command, outcome, sent) {
                        if reports.send(Report::Event(target.group.clone(), event)).is_err() {
                            return;
                        }
                    }
                }
            });
            sender
        });
        // If an earlier command is still queued, this one is dropped: the attempt sends it again.
        let _ = sender.try_send(QueuedCommand { target, command, valid_until });
    }

    /// Asks the platform to promote an instance, unless an earlier promotion of the group is open.
    pub fn promote(
        &self,
        group: GroupName,
        instance: InstanceName,
        coordinator: NodeName,
        lease: &CoordinatorLease,
    ) {
        let promotions = self.services.promotions.clone();
        let reports = self.reports.clone();
        let calls = self.promotion_calls.clone();
        let (fence, deadline) = (lease.fence, lease.valid_until);
        let request = PromotionRequest { group, instance, coordinator, fence, deadline };
        spawn("promotion-call", move || {
            let begun = Instant::now();
            let answer = match calls.begin(&request.group, &request.instance, fence, begun) {
                true => promote(promotions.as_ref(), &calls, &request),
                false => {
                    log::info!(event = "promotion_not_begun", group = request.group.as_str(), fence = fence; "an earlier promotion is open, or a later coordinator has asked for the end of promotions");
                    PromotionAnswer::NotSent
                }
            };
            let event = Event::Promoted { instance: request.instance, answer };
            // The coordinator thread may have ended by now.
            let _ = reports.send(Report::Event(request.group, event));
        });
    }

    /// Finds out whether a process listens at the address of a node.
    pub fn probe(&self, node: NodeName, address: SocketAddr) {
        let (source, reports) = (self.source, self.reports.clone());
        spawn("promotion-probe", move || {
            // The coordinator thread may have ended by now.
            let _ = reports.send(Report::Probed(node, probe(source, address)));
        });
    }

    /// Records an intent.
    pub fn record(&self, lease: &CoordinatorLease, group: GroupName, intent: Intent) {
        self.send_change(StoreCommand::Record(lease.clone(), group, intent));
    }

    /// Reads the incarnations of instances from the store.
    pub fn read_starts(&self, group: GroupName, instances: Vec<InstanceName>) {
        let coordination = self.services.coordination.clone();
        let reports = self.reports.clone();
        spawn("promotion-starts", move || {
            let event = read_starts(coordination.as_ref(), &instances);
            // The coordinator thread may have ended by now.
            let _ = reports.send(Report::Event(group, event));
        });
    }

    /// Records the successor of a group's primary.
    pub fn install(&self, lease: &CoordinatorLease, group: GroupName, successor: InstanceName) {
        self.send_change(StoreCommand::Install(lease.clone(), group, successor));
    }

    /// Removes the intent of an attempt that has ended.
    pub fn finish(
        &self,
        lease: &CoordinatorLease,
        group: GroupName,
        finished: FinishedReplacement,
    ) {
        self.send_change(StoreCommand::Finish(lease.clone(), group, finished));
    }

    /// Renews the coordinator lease.
    pub fn renew(&self, lease: &CoordinatorLease) {
        self.send_change(StoreCommand::Renew(lease.clone()));
    }

    fn send_change(&self, command: StoreCommand) {
        // A full queue of 64 changes means that the store has not responded for a long time, so the
        // lease is about to end.
        let _ = self.store.try_send(command);
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) {
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(body);
    if let Err(error) = spawned {
        log::error!("failed to start thread {name}: {error}");
    }
}

/// Carries out a promotion call that has begun.
fn promote(
    promotions: &dyn PromotionService,
    calls: &PromotionCalls,
    request: &PromotionRequest,
) -> PromotionAnswer {
    let begun = Instant::now();
    log_promotion_begin(request, begun);
    let outcome = promotions.promote(request);
    calls.end(&request.group, outcome.answer.may_take_effect(), Instant::now());
    log_promotion_end(request, &outcome, begun);
    outcome.answer
}

/// Logged before the call, since this process may be killed during it.
fn log_promotion_begin(request: &PromotionRequest, begun: Instant) {
    log::info!(event = "promotion_begun", group = request.group.as_str(), instance = request.instance.as_str(), fence = request.fence, lease_left_ms = milliseconds_left(request.deadline, begun); "a promotion call begins");
}

/// Logs how a promotion call went. Times are in milliseconds since it began.
fn log_promotion_end(request: &PromotionRequest, outcome: &PromotionOutcome, begun: Instant) {
    let ended = Instant::now();
    let since_begin = |time: Instant| time.saturating_duration_since(begun).as_millis() as u64;
    log::info!(
        event = "promotion",
        group = request.group.as_str(),
        instance = request.instance.as_str(),
        fence = request.fence,
        answer:? = outcome.answer,
        connected_ms:? = outcome.connected.map(since_begin),
        sent_ms:? = outcome.sent.map(since_begin),
        ended_ms = since_begin(ended),
        lease_left_at_begin_ms = milliseconds_left(request.deadline, begun),
        lease_left_at_end_ms = milliseconds_left(request.deadline, ended),
        failure = outcome.failure.as_deref().unwrap_or_default();
        "a promotion call has ended"
    );
}

/// Milliseconds from `now` until `end`, negative if it has passed.
fn milliseconds_left(end: Instant, now: Instant) -> i64 {
    let left = end.saturating_duration_since(now).as_millis() as i64;
    left - now.saturating_duration_since(end).as_millis() as i64
}

fn change_store(coordination: &dyn Coordination, command: StoreCommand) -> Report {
    match command {
        StoreCommand::Record(lease, group, intent) => {
            match coordination.record_intent(&lease, &group, &intent) {
                Ok(RecordOutcome::Recorded) => Report::Event(group, Event::IntentRecorded(intent)),
                Ok(RecordOutcome::LeaseOver) => Report::LeaseOver,
                Ok(RecordOutcome::EarlierPromotion) => Report::EarlierPromotion(group),
                Err(_) => Report::StoreFailed(group),
            }
        }
        StoreCommand::Install(lease, group, successor) => {
            match coordination.record_primary(&lease, &group, &successor) {
                // Not retried if it failed: the successor is recorded when the attempt ends at the
                // latest. A lease that has ended shows when it is renewed.
                Ok(_) | Err(_) => Report::Installed,
            }
        }
        StoreCommand::Finish(lease, group, finished) => {
            let FinishedReplacement { id, successor, open_callers } = finished;
            let successor = successor.as_ref();
            match coordination.finish_replacement(&lease, &group, id, successor, &open_callers) {
                Ok(true) => Report::Finished(group),
                Ok(false) => Report::LeaseOver,
                Err(_) => Report::StoreFailed(group),
            }
        }
        StoreCommand::Renew(lease) => match coordination.renew(&lease) {
            Ok(Some(renewed)) => Report::Renewed(renewed),
            Ok(None) => Report::LeaseOver,
            // The lease keeps its end; the next renewal may succeed.
            Err(_) => Report::Renewed(lease),
        },
    }
}

fn read_starts(coordination: &dyn Coordination, instances: &[InstanceName]) -> Event {
    let requested_at = Instant::now();
    match coordination.reported_incarnations(instances) {
        Ok(incarnations) => Event::Incarnations { by_instance: incarnations, requested_at },
        Err(error) => {
            log::info!(event = "starts_unknown", error = error.to_string().as_str(); "the store did not return the incarnations of the instances");
            Event::IncarnationsUnavailable
        }
    }
}

/// The events for the attempt that follow from the outcome of a command.
fn events_for(
    target: &ControlTarget,
    command: InstanceCommand,
    outcome: Result<ReplicationStatus, ControlError>,
    sent: Instant,
) -> Vec<Event> {
    let instance = target.instance.clone();
    match outcome {
        Ok(status) => {
            let status_event = Event::StatusReported { instance: instance.clone(), status, sent };
            match command {
                InstanceCommand::Release => vec![status_event, Event::Released(instance)],
                InstanceCommand::Ask | InstanceCommand::Stop(_) | InstanceCommand::Demote(_) => {
                    vec![status_event]
                }
            }
        }
        Err(ControlError::Refused) => vec![Event::Refused { instance, sent }],
        Err(ControlError::Displaced) => vec![Event::Displaced { instance, sent }],
        // An instance that was not stopped rejects the release.
        Err(ControlError::Rejected(_)) if command == InstanceCommand::Release => {
            vec![Event::Released(instance)]
        }
        Err(ControlError::Unanswered(_) | ControlError::Rejected(_)) => {
            vec![Event::NoAnswer(instance)]
        }
    }
}
