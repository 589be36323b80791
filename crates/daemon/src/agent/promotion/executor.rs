//! Threads that execute the coordinator's commands, so that an instance that does not respond or a
//! slow store does not block the coordinator.
//!
//! There is a thread for each instance and one for changes of the store, each with one command at a
//! time; promotions and reads of incarnations have a thread for each call. Changes of the store are
//! queued. An order to an instance is dropped if an earlier order to it is still
//! queued; the attempt sends its orders again until the instance has answered.

use std::collections::HashMap;
use std::thread;
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{
    Event, Intent, PromotionAnswer, ReplacementId, Standing, Successor,
};
use kestrellock_store::control::{ControlError, ControlTarget, Order};
use kestrellock_store::coordination::{Coordination, Hold};

use super::ReplacementServices;

/// Result of a command, or an event that follows from it.
#[derive(Debug)]
pub enum Report {
    /// An event of one group's attempt.
    Event(GroupName, Event),
    /// The successor was recorded, or will be recorded when its attempt ends.
    Installed,
    /// The intent of a group's attempt was removed from the store.
    Finished(GroupName),
    /// A change of the store failed and has to be retried.
    StoreFailed(GroupName),
    /// The coordinator lease was renewed, or its renewal has to be retried.
    Renewed(Hold),
    /// The coordinator lease has ended.
    LeaseOver,
}

/// A change of the store.
#[derive(Debug)]
enum StoreCommand {
    Record(Hold, GroupName, Intent),
    Install(Hold, GroupName, InstanceName),
    Finish(Hold, GroupName, ReplacementId, Option<Successor>),
    Renew(Hold),
}

/// Sends commands to the threads that execute them.
pub struct Executor {
    services: ReplacementServices,
    reports: Sender<Report>,
    instances: HashMap<InstanceName, Sender<(ControlTarget, Order)>>,
    store: Sender<StoreCommand>,
}

impl Executor {
    /// Starts the thread for the store; the thread of an instance starts with its first order.
    pub fn start(services: ReplacementServices) -> (Self, Receiver<Report>) {
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
        let executor = Self { services, reports, instances: HashMap::new(), store };
        (executor, report_receiver)
    }

    /// Sends an order to an instance, unless an earlier order to it is still queued.
    pub fn send_order(&mut self, target: ControlTarget, order: Order) {
        let sender = self.instances.entry(target.instance.clone()).or_insert_with(|| {
            let (sender, orders) = bounded::<(ControlTarget, Order)>(1);
            let control = self.services.control.clone();
            let reports = self.reports.clone();
            spawn("promotion-instance", move || {
                for (target, order) in orders {
                    let sent = Instant::now();
                    let outcome = control.tell(&target, order);
                    log::info!(event = "order", group = target.group.as_str(), instance = target.instance.as_str(), order:? = order, outcome:? = outcome, took_us = sent.elapsed().as_micros() as u64; "executed an order to an instance");
                    for event in events_for(&target, order, outcome, sent) {
                        if reports.send(Report::Event(target.group.clone(), event)).is_err() {
                            return;
                        }
                    }
                }
            });
            sender
        });
        // If an earlier order is still queued, this one is dropped: the attempt sends it again.
        let _ = sender.try_send((target, order));
    }

    /// Asks the platform to promote an instance.
    pub fn promote(
        &self,
        group: GroupName,
        instance: InstanceName,
        coordinator: NodeName,
        lease: &Hold,
    ) {
        let promotions = self.services.promotions.clone();
        let (reports, fence) = (self.reports.clone(), lease.fence);
        let until = lease.until;
        spawn("promotion-call", move || {
            // The time is read again here, because this process may have been suspended. No
            // promotion is sent after the end of the lease.
            let answer = match Instant::now() < until {
                true => promotions.promote(&group, &instance, &coordinator, fence),
                false => PromotionAnswer::Unknown,
            };
            log::info!(event = "promotion", group = group.as_str(), instance = instance.as_str(), fence = fence, answer:? = answer; "the platform answered a promotion request");
            let event = Event::Promoted { instance, answer };
            // The coordinator thread may have ended by now.
            let _ = reports.send(Report::Event(group, event));
        });
    }

    /// Records an intent.
    pub fn record(&self, lease: &Hold, group: GroupName, intent: Intent) {
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
    pub fn install(&self, lease: &Hold, group: GroupName, successor: InstanceName) {
        self.send_change(StoreCommand::Install(lease.clone(), group, successor));
    }

    /// Removes the intent of an attempt that has ended.
    pub fn finish(
        &self,
        lease: &Hold,
        group: GroupName,
        id: ReplacementId,
        successor: Option<Successor>,
    ) {
        self.send_change(StoreCommand::Finish(lease.clone(), group, id, successor));
    }

    /// Renews the coordinator lease.
    pub fn renew(&self, lease: &Hold) {
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
            match coordination.record(&lease, &group, &intent) {
                Ok(true) => Report::Event(group, Event::Recorded(intent)),
                Ok(false) => Report::LeaseOver,
                Err(_) => Report::StoreFailed(group),
            }
        }
        StoreCommand::Install(lease, group, successor) => {
            match coordination.install(&lease, &group, &successor) {
                Ok(true) => Report::Installed,
                Ok(false) => Report::LeaseOver,
                // Not retried: the successor is recorded when the attempt ends at the latest.
                Err(_) => Report::Installed,
            }
        }
        StoreCommand::Finish(lease, group, id, successor) => {
            match coordination.finish(&lease, &group, id, successor.as_ref()) {
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
    let asked = Instant::now();
    match coordination.starts(instances) {
        Ok(told) => Event::Starts { told, asked },
        Err(error) => {
            log::info!(event = "starts_unknown", error = error.to_string().as_str(); "the store did not return the incarnations of the instances");
            Event::StartsUnknown
        }
    }
}

/// The events for the attempt that follow from the outcome of an order.
fn events_for(
    target: &ControlTarget,
    order: Order,
    outcome: Result<Standing, ControlError>,
    sent: Instant,
) -> Vec<Event> {
    let instance = target.instance.clone();
    match outcome {
        Ok(standing) => {
            let status_event = Event::Stands { instance: instance.clone(), standing, sent };
            match order {
                Order::Release => vec![status_event, Event::Released(instance)],
                Order::Ask | Order::Stop(_) | Order::Demote(_) => vec![status_event],
            }
        }
        Err(ControlError::Refused) => vec![Event::Refused { instance, sent }],
        Err(ControlError::Displaced) => vec![Event::Displaced { instance, sent }],
        // An instance that was not stopped rejects the release.
        Err(ControlError::Rejected(_)) if order == Order::Release => {
            vec![Event::Released(instance)]
        }
        Err(ControlError::Unanswered(_) | ControlError::Rejected(_)) => {
            vec![Event::Unanswered(instance)]
        }
    }
}
