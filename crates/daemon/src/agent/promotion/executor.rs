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
use kestrellock_store::control::{ControlError, ControlTarget, InstanceCommand};
use kestrellock_store::coordination::{Coordination, CoordinatorLease};

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

/// Sends commands to the threads that execute them.
pub struct Executor {
    services: ReplacementServices,
    promotion_calls: Arc<PromotionCalls>,
    reports: Sender<Report>,
    instances: HashMap<InstanceName, Sender<(ControlTarget, InstanceCommand)>>,
    store: Sender<StoreCommand>,
}

impl Executor {
    /// Starts the thread for the store; the thread of an instance starts with its first command.
    pub fn start(
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
        let executor = Self { services, promotion_calls, reports, instances, store };
        (executor, report_receiver)
    }

    /// Sends a command to an instance, unless an earlier command to it is still queued.
    pub fn send_command(&mut self, target: ControlTarget, command: InstanceCommand) {
        let sender = self.instances.entry(target.instance.clone()).or_insert_with(|| {
            let (sender, commands) = bounded::<(ControlTarget, InstanceCommand)>(1);
            let control = self.services.control.clone();
            let reports = self.reports.clone();
            spawn("promotion-instance", move || {
                for (target, command) in commands {
                    let sent = Instant::now();
                    let outcome = control.execute(&target, command);
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
        let _ = sender.try_send((target, command));
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
        let calls = self.promotion_calls.clone();
        let (reports, fence) = (self.reports.clone(), lease.fence);
        let until = lease.valid_until;
        spawn("promotion-call", move || {
            // The time is read again here, because this process may have been suspended. No
            // promotion is sent after the end of the lease.
            let may_send = Instant::now() < until && calls.begin(&group, fence);
            let answer = match may_send {
                true => promotions.promote(&group, &instance, &coordinator, fence),
                false => PromotionAnswer::Unknown,
            };
            if may_send {
                calls.end(&group, answer != PromotionAnswer::Unknown, Instant::now());
            }
            log::info!(event = "promotion", group = group.as_str(), instance = instance.as_str(), fence = fence, answer:? = answer; "the platform answered a promotion request");
            let event = Event::Promoted { instance, answer };
            // The coordinator thread may have ended by now.
            let _ = reports.send(Report::Event(group, event));
        });
    }

    /// Finds out whether a process listens at the address of a node.
    pub fn probe(&self, node: NodeName, address: SocketAddr) {
        let reports = self.reports.clone();
        spawn("promotion-probe", move || {
            // The coordinator thread may have ended by now.
            let _ = reports.send(Report::Probed(node, probe(address)));
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

fn change_store(coordination: &dyn Coordination, command: StoreCommand) -> Report {
    match command {
        StoreCommand::Record(lease, group, intent) => {
            match coordination.record_intent(&lease, &group, &intent) {
                Ok(true) => Report::Event(group, Event::IntentRecorded(intent)),
                Ok(false) => Report::LeaseOver,
                Err(_) => Report::StoreFailed(group),
            }
        }
        StoreCommand::Install(lease, group, successor) => {
            match coordination.record_primary(&lease, &group, &successor) {
                Ok(true) => Report::Installed,
                Ok(false) => Report::LeaseOver,
                // Not retried: the successor is recorded when the attempt ends at the latest.
                Err(_) => Report::Installed,
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
