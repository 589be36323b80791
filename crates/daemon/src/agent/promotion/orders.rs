//! Threads that carry commands out, so that a silent instance or a slow store holds nothing up.
//! Each has one command under way; whoever gives more waits, and gives them again.

use std::collections::HashMap;
use std::thread;
use std::time::Instant;

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{
    Event, Intent, PromotionAnswer, ReplacementId, ReplicationStatus, Successor,
};
use kestrellock_store::control::{ControlError, ControlTarget, Order};
use kestrellock_store::coordination::{Coordination, Hold};

use super::SuccessionServices;

/// What a thread reports.
#[derive(Debug)]
pub enum Report {
    /// An event of one group's attempt.
    Event(GroupName, Event),
    /// A successor was recorded, or will be with the end of its attempt.
    Installed,
    /// The record of a group's attempt was taken back.
    Finished(GroupName),
    /// A change of the store did not succeed: give it again.
    StoreFailed(GroupName),
    /// The hold was prolonged.
    Renewed(Hold),
    /// The hold is over.
    HoldOver,
}

/// A change of the store.
#[derive(Debug)]
enum StoreCommand {
    Record(Hold, GroupName, Intent),
    Install(Hold, GroupName, InstanceName),
    Finish(Hold, GroupName, ReplacementId, Option<Successor>),
    Renew(Hold),
}

/// The threads.
pub struct Orders {
    services: SuccessionServices,
    reports: Sender<Report>,
    instances: HashMap<InstanceName, Sender<(ControlTarget, Order)>>,
    store: Sender<StoreCommand>,
}

impl Orders {
    /// Starts the thread for the store; the others start with their first command.
    pub fn start(services: SuccessionServices) -> (Self, Receiver<Report>) {
        let (reports, received) = unbounded();
        let (store, commands) = bounded(64);
        let coordination = services.coordination.clone();
        let answers = reports.clone();
        spawn("promotion-store", move || {
            for command in commands {
                let report = change_store(coordination.as_ref(), command);
                if answers.send(report).is_err() {
                    return;
                }
            }
        });
        let orders = Self { services, reports, instances: HashMap::new(), store };
        (orders, received)
    }

    /// Gives an order to an instance, unless its thread is still at an earlier one.
    pub fn tell(&mut self, target: ControlTarget, order: Order) {
        let sender = self.instances.entry(target.instance.clone()).or_insert_with(|| {
            let (sender, orders) = bounded::<(ControlTarget, Order)>(1);
            let control = self.services.control.clone();
            let reports = self.reports.clone();
            spawn("promotion-instance", move || {
                for (target, order) in orders {
                    let sent = Instant::now();
                    let outcome = control.tell(&target, order);
                    log::info!(event = "order", group = target.group.as_str(), instance = target.instance.as_str(), order:? = order, outcome:? = outcome, took_us = sent.elapsed().as_micros() as u64; "order to an instance");
                    for event in events_of(&target, order, outcome, sent) {
                        if reports.send(Report::Event(target.group.clone(), event)).is_err() {
                            return;
                        }
                    }
                }
            });
            sender
        });
        // An order that finds its thread busy is given again.
        let _ = sender.try_send((target, order));
    }

    /// Has the platform promote an instance.
    pub fn promote(&self, group: GroupName, instance: InstanceName, holder: NodeName, hold: &Hold) {
        let promotions = self.services.promotions.clone();
        let (reports, fence) = (self.reports.clone(), hold.fence);
        let until = hold.until;
        spawn("promotion-call", move || {
            // Read again: this process may have stood still. After its hold nothing is sent.
            let answer = match Instant::now() < until {
                true => promotions.promote(&group, &instance, &holder, fence),
                false => PromotionAnswer::Unknown,
            };
            log::info!(event = "promotion", group = group.as_str(), instance = instance.as_str(), fence = fence, answer:? = answer; "promotion call");
            let event = Event::Promoted { instance, answer };
            // Whoever asked may be gone by now.
            let _ = reports.send(Report::Event(group, event));
        });
    }

    /// Records an intent.
    pub fn record(&self, hold: &Hold, group: GroupName, intent: Intent) {
        self.change(StoreCommand::Record(hold.clone(), group, intent));
    }

    /// Asks the store which starts of their processes instances tell.
    pub fn read_starts(&self, group: GroupName, instances: Vec<InstanceName>) {
        let coordination = self.services.coordination.clone();
        let reports = self.reports.clone();
        spawn("promotion-starts", move || {
            let event = read_starts(coordination.as_ref(), &instances);
            // Whoever asked may be gone by now.
            let _ = reports.send(Report::Event(group, event));
        });
    }

    /// Records a successor.
    pub fn install(&self, hold: &Hold, group: GroupName, successor: InstanceName) {
        self.change(StoreCommand::Install(hold.clone(), group, successor));
    }

    /// Takes a record back.
    pub fn finish(
        &self,
        hold: &Hold,
        group: GroupName,
        id: ReplacementId,
        successor: Option<Successor>,
    ) {
        self.change(StoreCommand::Finish(hold.clone(), group, id, successor));
    }

    /// Prolongs the hold.
    pub fn renew(&self, hold: &Hold) {
        self.change(StoreCommand::Renew(hold.clone()));
    }

    fn change(&self, command: StoreCommand) {
        // With 64 changes waiting the store has not answered for long: the hold is over soon.
        let _ = self.store.try_send(command);
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) {
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(body);
    if let Err(error) = spawned {
        log::error!("a thread for {name} could not be started: {error}");
    }
}

fn change_store(coordination: &dyn Coordination, command: StoreCommand) -> Report {
    match command {
        StoreCommand::Record(hold, group, intent) => {
            match coordination.record(&hold, &group, &intent) {
                Ok(true) => Report::Event(group, Event::IntentRecorded(intent)),
                Ok(false) => Report::HoldOver,
                Err(_) => Report::StoreFailed(group),
            }
        }
        StoreCommand::Install(hold, group, successor) => {
            match coordination.install(&hold, &group, &successor) {
                Ok(true) => Report::Installed,
                Ok(false) => Report::HoldOver,
                // It is recorded with the end of the attempt at the latest.
                Err(_) => Report::Installed,
            }
        }
        StoreCommand::Finish(hold, group, id, successor) => {
            match coordination.finish(&hold, &group, id, successor.as_ref()) {
                Ok(true) => Report::Finished(group),
                Ok(false) => Report::HoldOver,
                Err(_) => Report::StoreFailed(group),
            }
        }
        StoreCommand::Renew(hold) => match coordination.renew(&hold) {
            Ok(Some(renewed)) => Report::Renewed(renewed),
            Ok(None) => Report::HoldOver,
            // It lasts as long as it did; the next attempt may succeed.
            Err(_) => Report::Renewed(hold),
        },
    }
}

fn read_starts(coordination: &dyn Coordination, instances: &[InstanceName]) -> Event {
    let asked = Instant::now();
    match coordination.starts(instances) {
        Ok(told) => Event::Incarnations { by_instance: told, asked },
        Err(error) => {
            log::info!(event = "starts_unknown", error = error.to_string().as_str(); "the store does not say which instances have started again");
            Event::IncarnationsUnavailable
        }
    }
}

/// What an order's outcome means for the attempt.
fn events_of(
    target: &ControlTarget,
    order: Order,
    outcome: Result<ReplicationStatus, ControlError>,
    sent: Instant,
) -> Vec<Event> {
    let instance = target.instance.clone();
    match outcome {
        Ok(standing) => {
            let stands =
                Event::StatusReported { instance: instance.clone(), status: standing, sent };
            match order {
                Order::Release => vec![stands, Event::Released(instance)],
                Order::Ask | Order::Stop(_) | Order::Demote(_) => vec![stands],
            }
        }
        Err(ControlError::Refused) => vec![Event::Refused { instance, sent }],
        Err(ControlError::Displaced) => vec![Event::Displaced { instance, sent }],
        // An instance that has nothing to be released from says so.
        Err(ControlError::Rejected(_)) if order == Order::Release => {
            vec![Event::Released(instance)]
        }
        Err(ControlError::Unanswered(_) | ControlError::Rejected(_)) => {
            vec![Event::NoAnswer(instance)]
        }
    }
}
