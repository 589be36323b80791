//! Looks at the store that confirm the word of replicas: nobody replaces the primary.
//!
//! A look asks the store whether this node's copy is complete. If so, what the copy says of replacements
//! and of the instance promoted last held when the look began.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TryRecvError, bounded, unbounded};
use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::CoordinationView;
use kestrellock_store::coordination::Coordination;

use super::SuccessionServices;
use crate::context::NodeContext;

/// Least time between two looks of a node: calls of the store are few and dear, and evidence that a
/// look confirms lasts for a second.
const PAUSE: Duration = Duration::from_millis(100);

/// A look that was answered.
#[derive(Clone, Copy, Debug)]
struct Looked {
    /// When it began.
    asked: Instant,
    /// Revision of the copy, if the store had nothing newer.
    revision: Option<u64>,
}

/// Looks of one node, one at a time.
pub struct Looks {
    requests: Sender<()>,
    answers: Receiver<Looked>,
    /// Groups that the look under way is for.
    under_way: Option<BTreeSet<GroupName>>,
    last: Option<Instant>,
}

impl Looks {
    /// Starts the thread that asks the store; it ends with the looks.
    pub fn start(services: &SuccessionServices) -> Self {
        let (requests, wanted) = bounded::<()>(1);
        let (answered, answers) = unbounded();
        let coordination = services.coordination.clone();
        let spawned = thread::Builder::new()
            .name("store-look".to_owned())
            .spawn(move || answer_requests(&coordination, &wanted, &answered));
        if let Err(error) = spawned {
            log::error!("a thread for looks at the store could not be started: {error}");
        }
        Self { requests, answers, under_way: None, last: None }
    }

    /// Takes in the look that was answered, and begins one if groups wait for it. `view` is what this
    /// node goes by.
    pub fn step(&mut self, context: &NodeContext, view: &CoordinationView, now: Instant) {
        match self.answers.try_recv() {
            Ok(looked) => {
                let groups = self.under_way.take().unwrap_or_default();
                take_in(&groups, looked, context, view);
            }
            Err(TryRecvError::Empty) => {}
            // The thread could not be started, which was told.
            Err(TryRecvError::Disconnected) => return,
        }
        let is_early = self.last.is_some_and(|last| now < last + PAUSE);
        if self.under_way.is_some() || is_early {
            return;
        }
        let groups = context.store_looks.take();
        if !groups.is_empty() && self.requests.try_send(()).is_ok() {
            self.under_way = Some(groups);
            self.last = Some(now);
        }
    }
}

fn answer_requests(
    coordination: &Arc<dyn Coordination>,
    wanted: &Receiver<()>,
    answered: &Sender<Looked>,
) {
    while wanted.recv().is_ok() {
        let asked = Instant::now();
        let revision = match coordination.complete_revision() {
            Ok(revision) => revision,
            Err(error) => {
                log::debug!("a look at the store failed: {error}");
                None
            }
        };
        if answered.send(Looked { asked, revision }).is_err() {
            return;
        }
    }
}

fn take_in(
    groups: &BTreeSet<GroupName>,
    looked: Looked,
    context: &NodeContext,
    view: &CoordinationView,
) {
    let Some(revision) = looked.revision else { return };
    if view.revision < revision {
        return;
    }
    let catalog = context.catalog.load();
    for name in groups {
        let Some(group) = catalog.groups.get(name) else { continue };
        let promoted = view.promoted.get(name).map(|successor| &successor.instance);
        let is_in_force = group.promoted.as_ref() == promoted;
        let is_heard_of = context.intents.load().contains_key(name);
        let is_replaced =
            is_heard_of || view.intents.contains_key(name) || !group.is_led_by_last_promoted();
        if is_in_force && !is_replaced {
            context.statuses.on_unreplaced(name, looked.asked);
        }
    }
}
